package bbtconfig_test

import (
	"reflect"
	"testing"

	"bluebelltray/core/bbtconfig"
)

// FuzzPart checks that no input causes a panic, that problems are
// deterministic, and that a valid configuration is unchanged after it is
// formatted and parsed.
func FuzzPart(f *testing.F) {
	f.Add([]byte(validZone + validEndpoint + validContract + "repeatable = tracking 2\n"))
	f.Add([]byte(validContract + "token-burst = 5 tokens\n[zone z]\nstate = out\n"))
	f.Add([]byte("[contract a]\ntier = 9\nrequests = 0.5 requests/s\ntokens = 1 tokens/s\ndeadline = 1h1ns\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		part := bbtconfig.NewPart("p", data)
		cfg, err := bbtconfig.Check(part)
		_, again := bbtconfig.Check(part)
		assertLines(t, problems(again), problems(err)...)
		if err != nil {
			return
		}
		manifest, parts := bbtconfig.Format(1, cfg)
		if len(parts) == 0 {
			return
		}
		m, err := bbtconfig.ParseManifest(manifest)
		if err != nil {
			t.Fatalf("got error %v for a formatted manifest", err)
		}
		got, err := bbtconfig.Parse(m, parts)
		if err != nil {
			t.Fatalf("got error %v for formatted parts", err)
		}
		if !reflect.DeepEqual(got.Contracts(), cfg.Contracts()) || !reflect.DeepEqual(got.Endpoints(), cfg.Endpoints()) {
			t.Errorf("got %v %v, want %v %v", got.Contracts(), got.Endpoints(), cfg.Contracts(), cfg.Endpoints())
		}
	})
}

// FuzzManifest checks that no input causes a panic and that a valid manifest
// lists parts within the size limits.
func FuzzManifest(f *testing.F) {
	manifest, _ := bbtconfig.Format(7, testConfiguration(1))
	f.Add(manifest)
	f.Add([]byte("[manifest]\nrevision = 18446744073709551615\n[part p]\ndigest = ffffffffffffffff\nsize = 1B\n"))
	f.Add([]byte("[part p]\nsize = 1GiB\n[part p]\n[manifest]\n[manifest]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := bbtconfig.ParseManifest(data)
		if err != nil {
			return
		}
		if m.Revision() == 0 || len(m.Parts()) == 0 {
			t.Errorf("got revision %d with %d parts", m.Revision(), len(m.Parts()))
		}
		for _, p := range m.Parts() {
			if p.Size() < 1 || p.Size() > int(bbtconfig.MaxPartSize) {
				t.Errorf("got a part of %d bytes", p.Size())
			}
		}
	})
}
