package bbtdaemon

import (
	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
	"github.com/cockroachdb/errors"
)

// parser reads published configurations for the Keeper. It remembers the
// manifest read last, whose parts are being fetched.
type parser struct {
	manifest bbtconfig.Manifest
}

// parseManifest reads a manifest.
func (p *parser) parseManifest(data []byte) (bbtview.Manifest, error) {
	m, err := bbtconfig.ParseManifest(data)
	if err != nil {
		return bbtview.Manifest{}, err
	}
	p.manifest = m
	parts := make([]bbtview.Part, 0, len(m.Parts()))
	for _, ref := range m.Parts() {
		parts = append(parts, bbtview.NewPart(ref.Key(), ref.Digest(), ref.Size()))
	}
	return bbtview.NewManifest(m.Revision(), parts...), nil
}

// parse reads the parts of the manifest read last.
func (p *parser) parse(m bbtview.Manifest, contents [][]byte) (*bbtfleet.Configuration, error) {
	if m.Version() != p.manifest.Version() {
		return nil, errors.Newf("manifest %v is not the one read last, %v", m.Version(), p.manifest.Version())
	}
	parts := make([]bbtconfig.Part, 0, len(contents))
	for i, ref := range m.Parts() {
		parts = append(parts, bbtconfig.NewPart(ref.Key(), contents[i]))
	}
	return bbtconfig.Parse(p.manifest, parts)
}
