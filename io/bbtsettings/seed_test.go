package bbtsettings

import "testing"

func TestParseSeeds(t *testing.T) {
	got, err := parseSeeds("entry-1@10.0.0.1:7443, entry-2@10.0.0.2:7443")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(got), 2; got != want {
		t.Fatalf("got %d seeds, want %d", got, want)
	}
	if got, want := string(got[1].ID())+" "+got[1].PeerAddr(), "entry-2 10.0.0.2:7443"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	for _, text := range []string{"", "entry-1", "entry-1@10.0.0.1", "@10.0.0.1:7443", "entry-1@10.0.0.1:7443,"} {
		if _, err := parseSeeds(text); err == nil {
			t.Errorf("%q: got no error, want one", text)
		}
	}
}
