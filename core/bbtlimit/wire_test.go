package bbtlimit_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtlimit"
)

// encode returns the encoded message.
func encode(t testing.TB, m bbtlimit.Message) []byte {
	t.Helper()
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// sample is a message with a credit request and a grant.
var sample = bbtlimit.Message{
	CreditRequests: []bbtlimit.CreditRequest{{ID: 7, Account: "salons", Requests: 1500, Tokens: 200_000, NeededTokens: 90_000}},
	Grants:         []bbtlimit.Grant{{ID: 9, Account: "couriers", Tokens: 1}},
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	long := strings.Repeat("x", 65)
	many := bbtlimit.Message{}
	for range 257 {
		many.Grants = append(many.Grants, bbtlimit.Grant{Account: "a"})
	}
	for name, data := range map[string][]byte{
		"empty":                 {},
		"truncated":             encode(t, sample)[:10],
		"trailing bytes":        append(encode(t, sample), 0),
		"no account":            encode(t, bbtlimit.Message{CreditRequests: []bbtlimit.CreditRequest{{}}}),
		"long account":          encode(t, bbtlimit.Message{Grants: []bbtlimit.Grant{{Account: long}}}),
		"amount out of range":   encode(t, bbtlimit.Message{Grants: []bbtlimit.Grant{{Account: "a", Tokens: 1 << 51}}}),
		"need beyond request":   encode(t, bbtlimit.Message{CreditRequests: []bbtlimit.CreditRequest{{Account: "a", Tokens: 1, NeededTokens: 2}}}),
		"many items":            encode(t, many),
		"unknown key":           {0xa1, 0x07, 0x80},
		"duplicate key":         {0xa2, 0x01, 0x80, 0x01, 0x80},
		"indefinite length":     {0xa1, 0x01, 0x9f, 0xff},
		"text in place of list": {0xa1, 0x01, 0x61, 0x61},
	} {
		if _, err := bbtlimit.Decode(data); !errors.Is(err, bbtlimit.ErrInvalidMessage) {
			t.Errorf("%s: got %v, want %v", name, err, bbtlimit.ErrInvalidMessage)
		}
	}
}

// FuzzDecode checks that no input causes a panic and that a decoded message
// survives another round trip.
func FuzzDecode(f *testing.F) {
	f.Add(encode(f, sample))
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa1, 0x02, 0x81, 0xa2, 0x01, 0x01, 0x02, 0x61, 0x61})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := bbtlimit.Decode(data)
		if err != nil {
			return
		}
		got, err := bbtlimit.Decode(encode(t, m))
		if err != nil || len(got.CreditRequests) != len(m.CreditRequests) || len(got.Grants) != len(m.Grants) {
			t.Errorf("got %v, %v, want %v", got, err, m)
		}
		if len(m.CreditRequests) > 0 && !reflect.DeepEqual(got.CreditRequests, m.CreditRequests) {
			t.Errorf("got %v, want %v", got.CreditRequests, m.CreditRequests)
		}
	})
}
