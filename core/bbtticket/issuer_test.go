package bbtticket_test

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtticket"
	"github.com/cockroachdb/errors"
)

var start = time.Unix(100, 0)

// newIssuer returns an issuer with the secret that all tests share.
func newIssuer(h bbtfleet.HostID, inc bbtfleet.Incarnation) *bbtticket.Issuer {
	return bbtticket.NewIssuer(h, inc, start, []byte("a random secret of this process."))
}

// faultOf returns the string form of the error's fault, or "none".
func faultOf(err error) string {
	var e *bbtticket.Error
	if errors.As(err, &e) {
		return e.Fault().String()
	}
	return "none"
}

func TestVerifyReportsFault(t *testing.T) {
	i := newIssuer("edin-1", 7)
	text := i.Issue(3, "kitchen", 5, start.Add(time.Minute))
	long := bbtfleet.AccountID(strings.Repeat("kitchen", 60))
	otherSecret := bbtticket.NewIssuer("edin-1", 7, start, []byte("another"))
	for _, tc := range []struct {
		want    string
		issuer  *bbtticket.Issuer
		text    string
		account bbtfleet.AccountID
		after   time.Duration
	}{
		{"none", i, text, "kitchen", time.Minute - time.Millisecond},
		{"expired", i, text, "kitchen", time.Minute},
		{"foreign-account", i, text, "another", 0},
		{"forged", otherSecret, text, "kitchen", 0},
		{"other-incarnation", newIssuer("edin-1", 8), text, "kitchen", 0},
		{"other-host", newIssuer("edin-2", 7), text, "kitchen", 0},
		{"malformed", i, "not a ticket", "kitchen", 0},
		{"malformed", i, "", "kitchen", 0},
		{"malformed", i, i.Issue(3, long, 5, start.Add(time.Minute)), long, 0},
	} {
		_, err := tc.issuer.Verify(start.Add(tc.after), tc.text, tc.account)
		if got := faultOf(err); got != tc.want {
			t.Errorf("got %v, want %s", err, tc.want)
		}
	}
}

func TestTicketWithFlippedBitIsRejected(t *testing.T) {
	i := newIssuer("edin-1", 7)
	raw, err := base64.RawURLEncoding.DecodeString(i.Issue(3, "kitchen", 5, start.Add(time.Minute)))
	if err != nil {
		t.Fatal(err)
	}
	for bit := range 8 * len(raw) {
		raw[bit/8] ^= 1 << (bit % 8)
		if _, err := i.Verify(start, base64.RawURLEncoding.EncodeToString(raw), "kitchen"); err == nil {
			t.Errorf("bit %d changed: got no error", bit)
		}
		raw[bit/8] ^= 1 << (bit % 8)
	}
}

// Strict base64 decoding rejects the other last characters that decode to the
// same bytes, so that a ticket has only one text form.
func TestTicketHasOneTextForm(t *testing.T) {
	i := newIssuer("edin-1", 7)
	for _, account := range []bbtfleet.AccountID{"k", "ki", "kit"} {
		text := i.Issue(3, account, 5, start.Add(time.Minute))
		accepted := 0
		for _, lastChar := range "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_" {
			if _, err := i.Verify(start, text[:len(text)-1]+string(lastChar), account); err == nil {
				accepted++
			}
		}
		if accepted != 1 {
			t.Errorf("got %d texts accepted, want one", accepted)
		}
	}
}

// FuzzVerify checks that a decoded ticket is unchanged by a round trip through
// the encoder, and that only text that the issuer created is accepted.
func FuzzVerify(f *testing.F) {
	i := newIssuer("edin-1", 7)
	f.Add(i.Issue(1, "kitchen", 0, start.Add(time.Minute)))
	f.Add(i.Issue(1<<63, "", 1<<63, start.Add(-time.Minute)))
	f.Add(newIssuer("", 0).Issue(0, "", 0, start))
	f.Add("")
	f.Add("hmFhAQFna2l0Y2hlbgAaAG-x")
	f.Fuzz(func(t *testing.T, text string) {
		found, err := bbtticket.Parse(text)
		if err != nil {
			if got := faultOf(err); got != "malformed" {
				t.Errorf("got fault %s, want malformed", got)
			}
			return
		}
		expiry := start.Add(found.Expiry())
		reissued := newIssuer(found.Host(), found.Incarnation()).Issue(found.Sequence(), found.Account(), found.Key(), expiry)
		if decoded, err := bbtticket.Parse(reissued); err != nil || decoded != found {
			t.Errorf("got %+v and %v, want %+v", decoded, err, found)
		}
		if _, err := i.Verify(start, text, found.Account()); err == nil && text != reissued {
			t.Errorf("got %q accepted, want only %q", text, reissued)
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	i := newIssuer("edin-1", 7)
	text := i.Issue(3, "kitchen", 5, start.Add(time.Minute))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := i.Verify(start, text, "kitchen"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkIssue(b *testing.B) {
	i := newIssuer("edin-1", 7)
	b.ReportAllocs()
	for b.Loop() {
		if i.Issue(3, "kitchen", 5, start) == "" {
			b.Fatal("got an empty ticket")
		}
	}
}
