package bbtexec_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtticket"
)

func ExampleExecutor() {
	now := time.Unix(0, 0)
	selectFirst := func(hosts []bbtfleet.HostID, _ uint64) bbtfleet.HostID { return hosts[0] }
	e := bbtexec.New(
		bbtticket.NewIssuer("edin-1", 1, now, []byte("a random secret of this process.")),
		bbtledger.NewLedger(),
		bbthome.New("edin-1", selectFirst),
	)
	refused := e.Step(now, bbtexec.Submit{Call: 1, Account: "kitchen"})[0].(bbtexec.Refuse)
	fmt.Println(refused.Err)

	e.Step(now, bbtexec.Submit{Call: 2, Account: "kitchen", Ticket: refused.Ticket})
	d, _ := e.Dispatch(now, 2)
	response := bbtledger.NewResponse(200, "text/plain", []byte("booked"))
	e.Step(now, bbtexec.Finished{Call: 2, Dispatch: d, Response: response})

	resent := e.Step(now, bbtexec.Submit{Call: 3, Account: "kitchen", Ticket: refused.Ticket})
	fmt.Printf("%T\n", resent[0])
	// Output:
	// not-run: ticket-required
	// bbtexec.Response
}
