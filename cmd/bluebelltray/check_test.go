package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/io/bbtsettings"
)

const examples = "../../examples"

func TestExamplesAreValid(t *testing.T) {
	for fleet, first := range map[string]string{
		"ciocche":         "4 availability zones, 14 endpoints, 5 contracts\n",
		"clyde-and-forth": "4 availability zones, 16 endpoints, 5 contracts\n",
	} {
		dir := filepath.Join(examples, fleet)
		var out bytes.Buffer
		cmd := checkCmd{Files: []string{
			filepath.Join(dir, "zones.ini"), filepath.Join(dir, "endpoints.ini"), filepath.Join(dir, "contracts.ini"),
		}}
		if err := cmd.check(&out); err != nil {
			t.Errorf("%s: got %v\n%s", fleet, err, &out)
		}
		if got := out.String(); !strings.HasPrefix(got, first) {
			t.Errorf("%s: got %q, want prefix %q", fleet, got, first)
		}
		settings := filepath.Join(dir, "entry-1.settings.ini")
		data, err := os.ReadFile(settings)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bbtsettings.Parse(settings, data); err != nil {
			t.Errorf("%s: got %v, want valid settings", fleet, err)
		}
	}
}

func TestCheckExplainsContractWithoutEndpoints(t *testing.T) {
	var out bytes.Buffer
	cmd := checkCmd{
		Files:   []string{filepath.Join(examples, "ciocche", "contracts.ini")},
		Account: []string{"salons"},
	}
	if err := cmd.check(&out); err != nil {
		t.Fatal(err)
	}
	want := `0 availability zones, 0 endpoints, 5 contracts

Client account salons ranks in tier 1, the highest: it is shed last.
It may send 6 requests/s in the long run and 20 requests at once.
It may send 3000 tokens/s in the long run and 20000 tokens at once.
A complete answer is due within 30s; a request that cannot meet this deadline is refused before it runs.
A call to tracking may be repeated up to 2 times.
A call to any other pool runs at most once, and needs a ticket if it goes to a plain service or has an idempotency key.
`
	if got := out.String(); got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

func TestCheckPrintsAllProblemsOfAllFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	zone := bbtfleet.NewConfiguration(bbtfleet.Version{}, bbtfleet.WithZones(bbtfleet.NewZone("edin-a", "scotland", false)))
	manifest, _ := bbtconfig.Format(1, zone)
	files := []string{
		write("manifest.ini", string(manifest)),
		write("zones.ini", "[zone edin-a]\nregion = fife\n"),
		write("contracts.ini", "[contract a]\ntier = 0\nrequests = 1 requests/s\ntokens = unlimited\ndeadline = 0s\nrepeatable = tracking 1\n"),
		write("host.ini", "[host]\nid = a b\n"),
		filepath.Join(dir, "absent.ini"),
	}
	var out bytes.Buffer
	err := (&checkCmd{Files: files}).check(&out)

	var exit *exitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitUnusable {
		t.Errorf("got %v, want exit status %d", err, exitUnusable)
	}
	got := strings.ReplaceAll(out.String(), dir+string(filepath.Separator), "")
	for _, want := range []string{
		"manifest.ini: contents of the part do not match the manifest; want digest = ",
		`contracts.ini:2: tier: "0" is out of range; want a whole number from 1 to 8 (in [contract a])`,
		`contracts.ini:5: deadline: "0s" is out of range; want a duration from 1ms to 24h`,
		`contracts.ini:6: repeatable: "tracking" is not a defined pool; want the pool of an [endpoint NAME]`,
		`host.ini:2: id: "a b" is not a valid name; want`,
		"host.ini: section is missing; want the section [keys]",
		"absent.ini: open absent.ini: no such file",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("got:\n%s\nwant a line with %q", got, want)
		}
	}
}
