package bbtconfig_test

import (
	"fmt"
	"time"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
)

func ExampleParse() {
	manifest, parts := bbtconfig.Format(7, bbtfleet.NewConfiguration(bbtfleet.Version{},
		bbtfleet.WithZones(bbtfleet.NewZone("edin-a", "scotland", true)),
		bbtfleet.WithContracts(bbtfleet.NewContract("kerb-desk", 2,
			bbtfleet.WithRequests(bbtfleet.NewRate(5, 10)),
			bbtfleet.WithDeadline(20*time.Second)))))

	m, err := bbtconfig.ParseManifest(manifest)
	if err != nil {
		fmt.Println(err)
		return
	}
	cfg, err := bbtconfig.Parse(m, parts)
	if err != nil {
		fmt.Println(err)
		return
	}
	c, _ := cfg.Contract("kerb-desk")
	fmt.Println(cfg.Version().Revision(), c.Tier(), c.Requests().PerSecond(), c.Deadline())
	// Output: 7 2 5 20s
}

func ExampleCheck() {
	text := "[contract kerb-desk]\ntier = 9\nrequests = 5\ntokens = unlimited\ndeadline = 20s\n"
	_, err := bbtconfig.Check(bbtconfig.NewPart("kerb.ini", []byte(text)))
	fmt.Println(err)
	// Output:
	// kerb.ini:2: tier: "9" is out of range; want a whole number from 1 to 8 (in [contract kerb-desk])
	// kerb.ini:3: requests: "5" does not have the unit requests/s; want unlimited, or a positive rate such as 40 requests/s (in [contract kerb-desk])
}
