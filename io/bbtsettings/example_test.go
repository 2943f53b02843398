package bbtsettings_test

import (
	"fmt"

	"bluebelltray/io/bbtsettings"
)

func ExampleParse() {
	text := `[host]
id = entry-1
availability-zone = edin-a

[addresses]
callers = 10.0.0.1:8080
peers = 10.0.0.1:7443
platform = 10.0.9.1:9000

[keys]
certificate = entry-1.pem
key = entry-1.key
authority = authority.pem

[limits]
body-size = 64KiB
`
	s, err := bbtsettings.Parse("entry-1.ini", []byte(text))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(s.Host(), s.Zone(), s.CallerAddr(), s.BodySize(), s.DrainTime())
	// Output: entry-1 edin-a 10.0.0.1:8080 65536 1m0s
}

func ExampleParse_problems() {
	text := `[host]
id = entry-1
zone = edin-a

[limits]
drain-time = 10s
`
	_, err := bbtsettings.Parse("entry-1.ini", []byte(text))
	fmt.Println(err)
	// Output:
	// entry-1.ini: section is missing; want the section [addresses]
	// entry-1.ini: section is missing; want the section [keys]
	// entry-1.ini:1: availability-zone: key is missing; want 1 to 64 letters, digits, dots, dashes and underscores (in [host])
	// entry-1.ini:3: zone: unknown key; want one of availability-zone, id (in [host])
	// entry-1.ini:6: drain-time: "10s" is shorter than address-lifetime; want at least 30s, as callers may connect for that long (in [limits])
}
