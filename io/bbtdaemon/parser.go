package bbtdaemon

import (
	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtview"
)

// parser parses published configurations for the View. It caches parts, so that
// each is parsed once.
type parser struct {
	parts bbtconfig.Parser
}

func (p *parser) parseManifest(data []byte) (bbtview.Manifest, error) {
	m, err := bbtconfig.ParseManifest(data)
	if err != nil {
		return bbtview.Manifest{}, err
	}
	parts := make([]bbtview.Part, 0, len(m.Parts()))
	for _, ref := range m.Parts() {
		parts = append(parts, bbtview.NewPart(ref.Key(), ref.Digest(), ref.Size()))
	}
	return bbtview.NewManifest(m.Revision(), parts...), nil
}

// parseConfiguration parses the parts of a manifest, given their contents in
// the order of the manifest.
func (p *parser) parseConfiguration(m bbtview.Manifest, contents [][]byte) (*bbtfleet.Configuration, error) {
	manifest, err := bbtconfig.ParseManifest(m.Data())
	if err != nil {
		return nil, err
	}
	parts := make([]bbtconfig.Part, 0, len(contents))
	for i, ref := range m.Parts() {
		parts = append(parts, bbtconfig.NewPart(ref.Key(), contents[i]))
	}
	return p.parts.Parse(manifest, parts)
}
