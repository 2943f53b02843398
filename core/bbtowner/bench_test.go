package bbtowner_test

import (
	"fmt"
	"testing"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtowner"
)

// BenchmarkPlacement computes the ranks of 600 endpoints, as after each change of
// the view.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{100, 200, 400, 800} {
		cfg := fleetPlacement(n, "", skipNone).Configuration()
		list := bbtfleet.NewHostList(1, hosts(n, skipNone))
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				m := bbtowner.NewPlacement(cfg, list)
				for _, ep := range cfg.Endpoints() {
					m.Ranks(ep.ID())
				}
			}
		})
	}
}

// BenchmarkAddresses computes the addresses that one caller is given.
func BenchmarkAddresses(b *testing.B) {
	for _, n := range []int{100, 200, 400, 800} {
		m := fleetPlacement(n, "", skipNone)
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				m.Addresses(bbtfleet.AccountID(fmt.Sprintf("account-%05d", i%fleetAccounts)))
			}
		})
	}
}
