package bbtsettings_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtini"
	"bluebelltray/io/bbtsettings"
)

const validText = `[host]
id = entry-1
availability-zone = edin-a
[addresses]
callers = 10.0.0.1:8443
peers = 10.0.0.1:7443
platform = 10.0.9.1:9000
[keys]
certificate = c.pem
key = /k/k.pem
authority = a.pem
`

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

func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"valid", validText, nil},
		{"empty", "", []string{
			"s: section is missing; want the section [host]",
			"s: section is missing; want the section [addresses]",
			"s: section is missing; want the section [keys]"}},
		{"unknown section", validText + "[limit]\n", []string{
			"s:12: unknown section; want [host], [addresses], [keys], [log] or [limits] (in [limit])"}},
		{"named section", validText + "[log file]\n", []string{
			"s:12: unknown section; want [host], [addresses], [keys], [log] or [limits] (in [log file])"}},
		{"section twice", validText + "[log]\n[log]\n", []string{
			"s:13: section is repeated; want each section once (in [log])"}},
		{"unknown key", validText + "[log]\nlevels = info\n", []string{
			"s:13: levels: unknown key; want one of format, level (in [log])"}},
		{"log", validText + "[log]\nlevel = trace\nformat = text\n", []string{
			`s:13: level: "trace" is not a known word; want debug, info, warn or error (in [log])`,
			`s:14: format: "text" is not a known word; want json or console (in [log])`}},
		{"addresses", strings.NewReplacer("10.0.0.1:8443", "entry-1:8443", "peers = 10.0.0.1:7443\n", "", "9000", "0").Replace(validText), []string{
			"s:4: peers: key is missing; want an IP address and a port, such as 10.0.0.1:8000 (in [addresses])",
			`s:5: callers: "entry-1:8443" is not a valid address; want an IP address and a port, such as 10.0.0.1:8000 (in [addresses])`,
			`s:6: platform: "10.0.9.1:0" is not a valid address; want an IP address and a port, such as 10.0.0.1:8000 (in [addresses])`}},
		{"empty path", strings.Replace(validText, "a.pem", "", 1), []string{
			"s:11: authority: value is empty; want the path of a file in PEM (in [keys])"}},
		{"limits", validText + "[limits]\nheader-size = 2MiB\nbody-size = 1B\nconcurrent-requests = 0\nheader-timeout = 1ms\n" +
			"body-timeout = 1h\naddresses-offered = 17\naddress-lifetime = 1h\ndrain-time = 0s\n", []string{
			`s:13: header-size: "2MiB" is out of range; want a size from 1KiB to 1MiB, such as 64KiB (in [limits])`,
			`s:14: body-size: "1B" is out of range; want a size from 1KiB to 64MiB, such as 64KiB (in [limits])`,
			`s:15: concurrent-requests: "0" is out of range; want a whole number from 1 to 100000 (in [limits])`,
			`s:16: header-timeout: "1ms" is out of range; want a duration from 100ms to 5m, such as 250ms or 2s (in [limits])`,
			`s:17: body-timeout: "1h" is out of range; want a duration from 100ms to 5m, such as 250ms or 2s (in [limits])`,
			`s:18: addresses-offered: "17" is out of range; want a whole number from 1 to 16 (in [limits])`,
			`s:19: address-lifetime: "1h" is out of range; want a duration from 1s to 10m, such as 250ms or 2s (in [limits])`,
			`s:20: drain-time: "0s" is out of range; want a duration from 1s to 1h, such as 250ms or 2s (in [limits])`}},
		{"drain shorter than lifetime", validText + "[limits]\ndrain-time = 2m\naddress-lifetime = 121s\n", []string{
			`s:13: drain-time: "2m" is shorter than address-lifetime; want at least 2m1s, as callers may connect for that long (in [limits])`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := bbtsettings.Parse("s", []byte(tt.text))
			if got := problems(err); !slices.Equal(got, tt.want) {
				t.Errorf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(tt.want, "\n"))
			}
		})
	}
}

func TestLoadResolvesPEMPathsAgainstFileDirectory(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.ini")
	text := strings.Replace(validText, "/k/k.pem", "k.pem", 1)
	for name, data := range map[string]string{"s.ini": text, "c.pem": "", "k.pem": ""} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	authority := filepath.Join(dir, "a.pem")
	_, err := bbtsettings.Load(path)
	want := path + `:11: authority: "` + authority + `" cannot be read; want a readable file in PEM (in [keys])`
	if got := problems(err); !slices.Equal(got, []string{want}) {
		t.Errorf("got %q, want %q", got, want)
	}
	if err := os.WriteFile(authority, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := bbtsettings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Key(), filepath.Join(dir, "k.pem"); got != want {
		t.Errorf("got key %s, want %s", got, want)
	}
}

// FuzzSettings checks that no text causes a panic, and that valid settings have a
// host, a zone and a drain time of at least the address lifetime.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte(validText + "[limits]\ndrain-time = 30s\naddress-lifetime = 30s\n[log]\nlevel = warn\n"))
	f.Add([]byte("[host x]\n[log]\nformat = 1\n[log]\n[keys]\nkey = \x00\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := bbtsettings.Parse("s", data)
		if err != nil {
			return
		}
		if s.Host() == "" || s.Zone() == "" || s.DrainTime() < s.AddressLifetime() {
			t.Errorf("got host %q, zone %q, drain time %v and lifetime %v, want a host, a zone and a drain time of at least the lifetime", s.Host(), s.Zone(), s.DrainTime(), s.AddressLifetime())
		}
	})
}
