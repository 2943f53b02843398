package bbtsettings

import (
	"strings"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// The ranges of values.
const (
	minHeaderSize         = bbtunit.Kibibyte
	maxHeaderSize         = bbtunit.Mebibyte
	minBodySize           = bbtunit.Kibibyte
	maxBodySize           = 64 * bbtunit.Mebibyte
	maxConcurrentRequests = 100_000
	minTimeout            = 100 * time.Millisecond
	maxTimeout            = 5 * time.Minute
	minLifetime           = time.Second
	maxLifetime           = 10 * time.Minute
	maxDrainTime          = time.Hour
	maxAddressesOffered   = 16
)

// The sections of a settings file.
const (
	hostSection      = "host"
	addressesSection = "addresses"
	keysSection      = "keys"
	logSection       = "log"
	limitsSection    = "limits"
)

// wantSections lists the allowed sections in error messages.
const wantSections = "[host], [addresses], [keys], [log] or [limits]"

// parser parses a settings file and collects its problems.
type parser struct {
	file         string
	report       bbtini.Report
	settings     *Settings
	seenSections map[string]bool
	pemPaths     []pemPath
}

// pemPath is a setting whose value is the path of a PEM file.
type pemPath struct {
	section *bbtini.Section
	key     string
	path    *string
}

// parse parses all sections and reports those that are missing.
func (p *parser) parse(data []byte) {
	p.settings = New("", "")
	p.seenSections = make(map[string]bool)
	for s := range bbtini.Sections(p.file, data, &p.report) {
		p.parseSection(s)
	}
	for _, kind := range []string{hostSection, addressesSection, keysSection} {
		if !p.seenSections[kind] {
			p.report.Add(bbtini.NewProblem(p.file, 0, "section is missing",
				bbtini.WithWant("the section ["+kind+"]")))
		}
	}
}

// finish returns the settings, or an error with all problems found.
func (p *parser) finish() (*Settings, error) {
	if err := p.report.Err(); err != nil {
		return nil, err
	}
	return p.settings, nil
}

// parseSection parses one section.
func (p *parser) parseSection(s *bbtini.Section) {
	parse := p.sectionParser(s.Kind())
	if parse == nil || s.Name() != "" {
		s.ReportProblem("unknown section", bbtini.WithWant(wantSections))
		return
	}
	if p.seenSections[s.Kind()] {
		s.ReportProblem("section is repeated", bbtini.WithWant("each section once"))
	}
	p.seenSections[s.Kind()] = true
	parse(s)
	s.ReportUnknownKeys()
}

// sectionParser returns the method that parses a section, or nil for an unknown
// section.
func (p *parser) sectionParser(kind string) func(*bbtini.Section) {
	switch kind {
	case hostSection:
		return p.parseHost
	case addressesSection:
		return p.parseAddresses
	case keysSection:
		return p.parseKeys
	case logSection:
		return p.parseLog
	case limitsSection:
		return p.parseLimits
	}
	return nil
}

// parseHost parses the section [host].
func (p *parser) parseHost(s *bbtini.Section) {
	id, _ := bbtini.Require(s, "id", bbtini.ParseName)
	zone, _ := bbtini.Require(s, "availability-zone", bbtini.ParseName)
	p.settings.host = bbtfleet.HostID(id)
	p.settings.zone = bbtfleet.ZoneID(zone)
}

// parseAddresses parses the section [addresses].
func (p *parser) parseAddresses(s *bbtini.Section) {
	p.settings.callerAddr, _ = bbtini.Require(s, "callers", bbtunit.ParseAddr)
	p.settings.peerAddr, _ = bbtini.Require(s, "peers", bbtunit.ParseAddr)
	p.settings.platformAddr, _ = bbtini.Require(s, "platform", bbtunit.ParseAddr)
	p.settings.seeds, _ = bbtini.Optional(s, "seeds", nil, parseSeeds)
}

// parseKeys parses the section [keys].
func (p *parser) parseKeys(s *bbtini.Section) {
	p.parsePEMPath(s, "certificate", &p.settings.certificate)
	p.parsePEMPath(s, "key", &p.settings.key)
	p.parsePEMPath(s, "authority", &p.settings.authority)
}

// parsePEMPath parses a setting whose value is the path of a PEM file.
func (p *parser) parsePEMPath(s *bbtini.Section, key string, path *string) {
	text, ok := bbtini.Require(s, key, parsePath)
	if !ok {
		return
	}
	*path = text
	p.pemPaths = append(p.pemPaths, pemPath{section: s, key: key, path: path})
}

// parsePath checks that text can be a path.
func parsePath(text string) (string, error) {
	if text == "" || strings.ContainsRune(text, 0) {
		return "", bbtunit.NewError(text, "is not a path", "the path of a file in PEM")
	}
	return text, nil
}

// parseLog parses the section [log].
func (p *parser) parseLog(s *bbtini.Section) {
	level, _ := bbtini.Optional(s, "level", string(DefaultLevel), parseLevel)
	format, _ := bbtini.Optional(s, "format", string(DefaultFormat), parseFormat)
	p.settings.level = Level(level)
	p.settings.format = Format(format)
}

// parseLevel parses a log level.
func parseLevel(text string) (string, error) {
	return bbtunit.ParseEnum(text, string(LevelDebug), string(LevelInfo), string(LevelWarn), string(LevelError))
}

// parseFormat parses a log format.
func parseFormat(text string) (string, error) {
	return bbtunit.ParseEnum(text, string(FormatJSON), string(FormatConsole))
}
