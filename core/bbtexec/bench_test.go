package bbtexec_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtverdict"
	"github.com/fxamacker/cbor/v2"
)

// BenchmarkRequest measures a request from the refusal that carries its ticket
// to its response, where the entry host is also the executor.
func BenchmarkRequest(b *testing.B) {
	now := time.Unix(0, 0)
	issuer := bbtticket.NewIssuer("a", 1, now, []byte("a random secret of this process."))
	e := bbtexec.New(issuer, bbtledger.NewLedger(), bbthome.New("a", nil))
	response := bbtledger.NewResponse(200, "text/plain", make([]byte, 1024))
	id := bbtexec.CallID(0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		id += 2
		refused := e.Step(now, bbtexec.Submit{Call: id, Account: "kitchen"})
		e.Step(now, bbtexec.Submit{Call: id + 1, Account: "kitchen", Ticket: refused[0].(bbtexec.Refuse).Ticket})
		d, _ := e.Dispatch(now, id+1)
		if len(e.Step(now, bbtexec.Finished{Call: id + 1, Dispatch: d, Response: response})) != 1 {
			b.Fatal("got no response")
		}
	}
}

// BenchmarkMessageBytes measures the encoded size of the messages of a ticket
// request and of a forwarded call, without path and bodies.
func BenchmarkMessageBytes(b *testing.B) {
	now := time.Unix(0, 0)
	issuer := bbtticket.NewIssuer("mi-lambrate-17", 1764822000000000000, now, []byte("a random secret of this process."))
	ticket := issuer.Issue(1<<20, "ciocche-salone-0417", 1<<63, now.Add(time.Hour))
	request := bbtexec.Request{Incarnation: 1764822000000000000, ID: 1 << 20}
	messages := []bbtexec.Message{
		bbtexec.IssueRequest{Request: request, Account: "ciocche-salone-0417", Key: 1 << 63, Claim: bbthome.First},
		bbtexec.IssueReply{Request: request, Verdict: bbtverdict.NotRun, Reason: bbtverdict.ReasonTicketRequired, Ticket: ticket},
		bbtexec.ForwardRequest{Request: request, Account: "ciocche-salone-0417", Ticket: ticket, Fingerprint: 1 << 63},
		bbtexec.ForwardReply{Request: request, Verdict: bbtverdict.Ran, Status: 200, ContentType: "application/json"},
	}
	var sizes [4]int
	for b.Loop() {
		for i, m := range messages {
			raw, err := cbor.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			sizes[i] = len(raw)
		}
	}
	b.ReportMetric(float64(len(ticket)), "ticket-B")
	b.ReportMetric(float64(sizes[0]), "issue-request-B")
	b.ReportMetric(float64(sizes[1]), "issue-reply-B")
	b.ReportMetric(float64(sizes[2]), "forward-B")
	b.ReportMetric(float64(sizes[3]), "reply-B")
}
