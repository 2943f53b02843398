package bbtsettings

import (
	"strings"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// The limits of values.
const (
	minHeaderSize   = bbtunit.Kibibyte
	maxHeaderSize   = bbtunit.Mebibyte
	minBodySize     = bbtunit.Kibibyte
	maxBodySize     = 64 * bbtunit.Mebibyte
	maxConcurrent   = 100_000
	minTimeout      = 100 * time.Millisecond
	maxTimeout      = 5 * time.Minute
	minLifetime     = time.Second
	maxLifetime     = 10 * time.Minute
	maxDrainTime    = time.Hour
	maxOfferedHosts = 16
)

// The kinds of section of a settings file.
const (
	hostKind      = "host"
	addressesKind = "addresses"
	keysKind      = "keys"
	logKind       = "log"
	limitsKind    = "limits"
)

// wantSections says which sections a settings file may hold.
const wantSections = "[host], [addresses], [keys], [log] or [limits]"

// parser gathers the sections of a settings file.
type parser struct {
	file     string
	report   bbtini.Report
	settings *Settings
	seen     map[string]bool
	paths    []keyPath
}

// keyPath is a key that names a file.
type keyPath struct {
	section *bbtini.Section
	key     string
	path    *string
}

// parse reads all sections.
func (p *parser) parse(data []byte) {
	p.settings = New("", "")
	p.seen = make(map[string]bool)
	for s := range bbtini.Sections(p.file, data, &p.report) {
		p.section(s)
	}
	for _, kind := range []string{hostKind, addressesKind, keysKind} {
		if !p.seen[kind] {
			p.report.Add(bbtini.NewProblem(p.file, 0, "section is missing",
				bbtini.WithWant("the section ["+kind+"]")))
		}
	}
}

// finish returns the settings, or an error if any problem was found.
func (p *parser) finish() (*Settings, error) {
	if err := p.report.Err(); err != nil {
		return nil, err
	}
	return p.settings, nil
}

// section reads one section.
func (p *parser) section(s *bbtini.Section) {
	read := p.reader(s.Kind())
	if read == nil || s.Name() != "" {
		s.Refuse("unknown section", bbtini.WithWant(wantSections))
		return
	}
	if p.seen[s.Kind()] {
		s.Refuse("section stands twice", bbtini.WithWant("each section once"))
	}
	p.seen[s.Kind()] = true
	read(s)
	s.Done()
}

// reader returns the method that reads a kind of section, or nil.
func (p *parser) reader(kind string) func(*bbtini.Section) {
	switch kind {
	case hostKind:
		return p.host
	case addressesKind:
		return p.addresses
	case keysKind:
		return p.keys
	case logKind:
		return p.log
	case limitsKind:
		return p.limits
	}
	return nil
}

// host reads the section [host].
func (p *parser) host(s *bbtini.Section) {
	id, _ := bbtini.Require(s, "id", bbtini.ParseName)
	zone, _ := bbtini.Require(s, "availability-zone", bbtini.ParseName)
	p.settings.host = bbtfleet.HostID(id)
	p.settings.zone = bbtfleet.ZoneID(zone)
}

// addresses reads the section [addresses].
func (p *parser) addresses(s *bbtini.Section) {
	p.settings.callerAddr, _ = bbtini.Require(s, "callers", bbtunit.ParseAddr)
	p.settings.peerAddr, _ = bbtini.Require(s, "peers", bbtunit.ParseAddr)
	p.settings.platformAddr, _ = bbtini.Require(s, "platform", bbtunit.ParseAddr)
	p.settings.seeds, _ = bbtini.Optional(s, "seeds", nil, parseSeeds)
}

// keys reads the section [keys].
func (p *parser) keys(s *bbtini.Section) {
	p.path(s, "certificate", &p.settings.certificate)
	p.path(s, "key", &p.settings.key)
	p.path(s, "authority", &p.settings.authority)
}

// path reads a key that names a file.
func (p *parser) path(s *bbtini.Section, key string, path *string) {
	text, ok := bbtini.Require(s, key, parsePath)
	if !ok {
		return
	}
	*path = text
	p.paths = append(p.paths, keyPath{section: s, key: key, path: path})
}

// parsePath parses a file's path.
func parsePath(text string) (string, error) {
	if text == "" || strings.ContainsRune(text, 0) {
		return "", bbtunit.Refuse(text, "is no path", "the path of a file in PEM")
	}
	return text, nil
}

// log reads the section [log].
func (p *parser) log(s *bbtini.Section) {
	level, _ := bbtini.Optional(s, "level", string(DefaultLevel), parseLevel)
	format, _ := bbtini.Optional(s, "format", string(DefaultFormat), parseFormat)
	p.settings.level = Level(level)
	p.settings.format = Format(format)
}

// parseLevel parses the level of log lines.
func parseLevel(text string) (string, error) {
	return bbtunit.ParseWord(text, string(LevelDebug), string(LevelInfo), string(LevelWarn), string(LevelError))
}

// parseFormat parses the form of log lines.
func parseFormat(text string) (string, error) {
	return bbtunit.ParseWord(text, string(FormatJSON), string(FormatConsole))
}
