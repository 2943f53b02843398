package bbtticket_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtticket"
)

func ExampleIssuer() {
	start := time.Unix(100, 0)
	issuer := bbtticket.NewIssuer("edin-1", 7, start, []byte("a random secret of this process."))
	text := issuer.Issue(1, "kitchen", bbtticket.Digest("kitchen", "booking-4711"), start.Add(time.Minute))

	found, _ := bbtticket.Parse(text)
	fmt.Println(found.Host(), found.Incarnation())
	_, err := issuer.Verify(start, text, "another")
	fmt.Println(err)
	// Output:
	// edin-1 7
	// ticket: foreign-account
}
