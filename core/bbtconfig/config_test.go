package bbtconfig_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
)

// problems returns the text of each problem of err.
func problems(err error) []string {
	var list *bbtini.Error
	if !errors.As(err, &list) {
		return nil
	}
	var out []string
	for _, p := range list.Problems() {
		out = append(out, p.String())
	}
	return out
}

// assertLines fails the test unless got equals want.
func assertLines(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

const (
	validZone     = "[zone z]\nregion = north\n"
	validEndpoint = "[endpoint e]\nzone = z\nkind = plain-service\naddress = 10.0.0.1:80\npool = tracking\nslots = 4\n"
	validContract = "[contract a]\ntier = 1\nrequests = 5 requests/s\ntokens = unlimited\ndeadline = 2s\n"
)

func TestInvalidParts(t *testing.T) {
	// Each text follows a valid zone, endpoint and contract, so that its first
	// line is line 15.
	tests := []struct {
		name, text string
		want       []string
	}{
		{"valid", "", nil},
		{"unknown section", "[zones y]", []string{
			"p:15: unknown section; want [zone NAME], [endpoint NAME] or [contract ACCOUNT] (in [zones y])"}},
		{"no name", "[zone]\nregion = north", []string{
			"p:15: unknown section; want [zone NAME], [endpoint NAME] or [contract ACCOUNT] (in [zone])"}},
		{"unknown key", "[zone y]\nregion = north\nregon = n", []string{
			"p:17: regon: unknown key; want one of region, state (in [zone y])"}},
		{"same zone twice", "[zone z]\nregion = north", []string{
			"p:15: section is defined twice; want another name; the first is at p:1 (in [zone z])"}},
		{"zone without region", "[zone y]\nstate = away", []string{
			"p:15: region: key is missing; want 1 to 64 letters, digits, dots, dashes and underscores (in [zone y])",
			`p:16: state: "away" is not a known word; want in or out (in [zone y])`}},
		{"empty endpoint", "[endpoint f]", []string{
			"p:15: zone: key is missing; want 1 to 64 letters, digits, dots, dashes and underscores (in [endpoint f])",
			"p:15: kind: key is missing; want model-engine or plain-service (in [endpoint f])",
			"p:15: pool: key is missing; want 1 to 64 letters, digits, dots, dashes and underscores (in [endpoint f])",
			"p:15: slots: key is missing; want a whole number from 1 to 100000 (in [endpoint f])",
			"p:15: address: key is missing; want an IP address and a port, such as 10.0.0.1:8000 (in [endpoint f])"}},
		{"wrong endpoint", "[endpoint f]\nzone = y\nkind = model\naddress = [::ffff:10.0.0.1]:80\npool = a pool\nslots = 0\nfencing = true\nstate = on", []string{
			`p:16: zone: "y" is not a defined zone; want the name of a [zone NAME] (in [endpoint f])`,
			`p:17: kind: "model" is not a known word; want model-engine or plain-service (in [endpoint f])`,
			`p:18: address: "10.0.0.1:80" is already used by another endpoint; want another address; the first use is at p:6 (in [endpoint f])`,
			`p:19: pool: "a pool" is not a valid name; want 1 to 64 letters, digits, dots, dashes and underscores (in [endpoint f])`,
			`p:20: slots: "0" is out of range; want a whole number from 1 to 100000 (in [endpoint f])`,
			`p:21: fencing: "true" is not a known word; want yes or no (in [endpoint f])`,
			`p:22: state: "on" is not a known word; want in or out (in [endpoint f])`}},
		{"empty contract", "[contract b]", []string{
			"p:15: tier: key is missing; want a whole number from 1 to 8 (in [contract b])",
			"p:15: deadline: key is missing; want a duration from 1ms to 24h, such as 250ms or 2s (in [contract b])",
			"p:15: requests: key is missing; want unlimited, or a positive rate such as 40 requests/s (in [contract b])",
			"p:15: tokens: key is missing; want unlimited, or a positive rate such as 40 tokens/s (in [contract b])"}},
		{"wrong contract", "[contract b]\ntier = 9\nrequests = -1 requests/s\nrequest-burst = 0.5 requests\ntokens = 4 requests/s\ntoken-burst = 0 tokens\ndeadline = 0s\nrepeatable = tracking 2, labels 1", []string{
			`p:16: tier: "9" is out of range; want a whole number from 1 to 8 (in [contract b])`,
			`p:17: requests: "-1 requests/s" is out of range; want unlimited, or a positive rate such as 40 requests/s (in [contract b])`,
			`p:18: request-burst: "0.5 requests" is less than one unit; want at least 1 requests (in [contract b])`,
			`p:19: tokens: "4 requests/s" does not have the unit tokens/s; want unlimited, or a positive rate such as 40 tokens/s (in [contract b])`,
			`p:20: token-burst: "0 tokens" is out of range; want a positive amount such as 200 tokens (in [contract b])`,
			`p:21: deadline: "0s" is out of range; want a duration from 1ms to 24h, such as 250ms or 2s (in [contract b])`,
			`p:22: repeatable: "labels" is not a defined pool; want the pool of an [endpoint NAME] (in [contract b])`}},
		{"burst without limit", "[contract b]\ntier = 8\nrequests = unlimited\nrequest-burst = 5 requests\ntokens = unlimited\ndeadline = 1h", []string{
			`p:18: request-burst: "5 requests" is not allowed for an unlimited rate; want no burst, or a rate for requests (in [contract b])`}},
		{"no list", contractWithRetries("tracking"), []string{retriesProblem("tracking", "is not a list of pools and counts")}},
		{"no count", contractWithRetries("tracking two"), []string{retriesProblem("tracking two", "has a count outside 1 to 10")}},
		{"count of zero", contractWithRetries("tracking 0"), []string{retriesProblem("tracking 0", "has a count outside 1 to 10")}},
		{"count too high", contractWithRetries("tracking 11"), []string{retriesProblem("tracking 11", "has a count outside 1 to 10")}},
		{"same pool twice", contractWithRetries("tracking 1, tracking 2"), []string{retriesProblem("tracking 1, tracking 2", "lists a pool twice")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := validZone + validEndpoint + validContract + "\n" + tt.text
			_, err := bbtconfig.Check(bbtconfig.NewPart("p", []byte(text)))
			assertLines(t, problems(err), tt.want...)
		})
	}
}

// contractWithRetries returns a contract with the given list of retryable
// pools.
func contractWithRetries(list string) string {
	return strings.Replace(validContract, "[contract a]", "[contract b]", 1) + "repeatable = " + list
}

// retriesProblem returns the problem of a list of retryable pools.
func retriesProblem(list, reason string) string {
	return fmt.Sprintf("p:20: repeatable: %q %s; want pools and how often a call may be repeated, "+
		"such as tracking 2, labels 1 (in [contract b])", list, reason)
}

func TestInvalidManifests(t *testing.T) {
	const valid = "[manifest]\nrevision = 1\n[part zones]\ndigest = 0123456789abcdef\nsize = 1KiB\n"
	tests := []struct {
		name, text string
		want       []string
	}{
		{"empty", "", []string{
			"manifest: has no revision; want a section [manifest] with the key revision",
			"manifest: lists no parts; want a section [part KEY] for each part"}},
		{"revision zero", strings.Replace(valid, "= 1\n", "= 0\n", 1), []string{
			`manifest:2: revision: "0" is not a revision; want a whole number from 1 that grows with each publication (in [manifest])`}},
		{"duplicate manifest section", valid + "[manifest]\nrevision = 2\n", []string{
			"manifest:6: section is defined twice; want one section [manifest], as on line 1 (in [manifest])"}},
		{"part twice", valid + valid[strings.Index(valid, "[part"):], []string{
			"manifest:6: part is listed twice; want one section for each part; the first is on line 3 (in [part zones])"}},
		{"manifest listed as part", strings.Replace(valid, "zones", "manifest", 1), []string{
			"manifest:3: part has the manifest's own key; want another key (in [part manifest])"}},
		{"digest and size", strings.NewReplacer("cdef", "CDEF", "1KiB", "2MiB").Replace(valid), []string{
			`manifest:4: digest: "0123456789abCDEF" is not a digest; want the part's xxhash as 16 lower case hexadecimal digits (in [part zones])`,
			`manifest:5: size: "2MiB" is out of range; want a size from 1B to 1000000B, such as 64KiB (in [part zones])`}},
		{"short digest", strings.Replace(valid, "0123456789ab", "", 1), []string{
			`manifest:4: digest: "cdef" is not a digest; want the part's xxhash as 16 lower case hexadecimal digits (in [part zones])`}},
		{"unknown section", valid + "[host]\n", []string{
			"manifest:6: unknown section; want [manifest] or [part KEY] (in [host])"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := bbtconfig.ParseManifest([]byte(tt.text))
			assertLines(t, problems(err), tt.want...)
		})
	}
}

func TestPartsOfAnotherRevisionAreMismatches(t *testing.T) {
	manifest, parts := bbtconfig.Format(3, testConfiguration(2))
	m, err := bbtconfig.ParseManifest(manifest)
	if err != nil {
		t.Fatal(err)
	}
	changed := slices.Clone(parts)
	data := slices.Clone(parts[1].Data())
	data[len(data)-1] = ' '
	changed[1] = bbtconfig.NewPart(parts[1].Key(), data)
	for _, given := range [][]bbtconfig.Part{parts[1:], changed} {
		_, err := bbtconfig.Parse(m, given)
		var mismatch *bbtconfig.MismatchError
		if !errors.As(err, &mismatch) || mismatch.Missing() != (len(given) < len(parts)) {
			t.Errorf("got %v, want a mismatch", err)
		}
	}
}

func TestPublishedConfigurationRoundTrips(t *testing.T) {
	want := testConfiguration(3_000)
	manifest, parts := bbtconfig.Format(9, want)
	m, err := bbtconfig.ParseManifest(manifest)
	if err != nil {
		t.Fatal(err)
	}
	slices.Reverse(parts)
	got, err := bbtconfig.Parse(m, parts)
	if err != nil {
		t.Fatal(err)
	}
	if got.Version() != m.Version() || m.Revision() != 9 {
		t.Errorf("got version %v, want %v of revision 9", got.Version(), m.Version())
	}
	if !reflect.DeepEqual(got.Zones(), want.Zones()) || !reflect.DeepEqual(got.Endpoints(), want.Endpoints()) {
		t.Errorf("got %v %v, want %v %v", got.Zones(), got.Endpoints(), want.Zones(), want.Endpoints())
	}
	if !reflect.DeepEqual(got.Contracts(), want.Contracts()) {
		t.Errorf("got contracts that differ from the published ones")
	}
}

func TestParserReparsesChangedParts(t *testing.T) {
	first := testConfiguration(3_000)
	second := withChangedContract(first)
	duplicate := bbtconfig.NewPart("more", []byte("[contract account-00007]\ntier = 1\nrequests = unlimited\ntokens = unlimited\ndeadline = 1s\n"))
	var p bbtconfig.Parser
	for i, cfg := range []*bbtfleet.Configuration{first, second, first} {
		_, parts := bbtconfig.Format(1, cfg)
		m, err := bbtconfig.ParseManifest(bbtconfig.FormatManifest(bbtfleet.Revision(i+1), append(parts, duplicate)))
		if err != nil {
			t.Fatal(err)
		}
		_, err = p.Parse(m, append(parts, duplicate))
		_, fresh := bbtconfig.Parse(m, append(parts, duplicate))
		assertLines(t, problems(err), problems(fresh)...)
		if len(problems(err)) != 1 {
			t.Errorf("got problems %q, want that of a duplicate contract", problems(err))
		}
		m, err = bbtconfig.ParseManifest(bbtconfig.FormatManifest(bbtfleet.Revision(i+1), parts))
		if err != nil {
			t.Fatal(err)
		}
		got, err := p.Parse(m, parts)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got.Contracts(), cfg.Contracts()) || got.Version() != m.Version() {
			t.Errorf("got a configuration that differs from published revision %d", i+1)
		}
	}
}

func TestChangedContractChangesOnePart(t *testing.T) {
	before := testConfiguration(3_000)
	after := withChangedContract(before)
	_, old := bbtconfig.Format(1, before)
	_, parts := bbtconfig.Format(2, after)
	if len(old) < 4 || len(parts) != len(old) {
		t.Fatalf("got %d parts after and %d before the change, want the same number and several parts of contracts", len(parts), len(old))
	}
	changed := 0
	for i, p := range parts {
		if p.Key() != old[i].Key() {
			t.Errorf("got part %s, want %s", p.Key(), old[i].Key())
		}
		if !bbtconfig.NewPartRef(old[i]).Matches(p.Data()) {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("got %d changed parts, want 1", changed)
	}
}
