package bbtview

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// errVersionMismatch reports that a ParseConfiguration function returned a
// configuration whose version is not that of the manifest.
var errVersionMismatch = errors.New("version of the configuration differs from that of its manifest")

// evaluate parses a complete candidate and makes it active or refuses it.
func (v *View) evaluate(now time.Time, c *candidate) []Action {
	cfg, err := v.parseConfiguration(c.manifest, c.orderedParts())
	if err == nil && cfg.Version() != c.manifest.Version() {
		err = errVersionMismatch
	}
	if err != nil {
		return v.refuse(c.snapshot(), err)
	}
	first := v.config == nil
	v.config = cfg
	c.keepCompressed(v.active.compressed)
	v.active = c.snapshot()
	v.counters.applied++
	v.discardSuperseded()
	if !c.requestedAt.IsZero() {
		v.fresh.platformConfirmed(c.requestedAt)
	}
	v.notifyNeighbours = v.notifyNeighbours || !first || !c.requestedAt.IsZero()
	return append([]Action{ConfigurationApplied{Configuration: cfg}}, v.checkReady(now)...)
}

// refuse keeps the active configuration. It also keeps the newest refused one, so
// that peers can get and evaluate it too.
func (v *View) refuse(s snapshot, err error) []Action {
	v.counters.refused++
	if s.version.Newer(v.refused.version) {
		v.refused = s
		v.refusedErr = err
		v.notifyNeighbours = true
	}
	return []Action{ConfigurationRefused{Version: s.version, Err: err}}
}

// refuseManifest refuses a manifest that cannot be parsed. Repeated reads of the
// same bytes are reported once.
func (v *View) refuseManifest(data []byte, err error) []Action {
	hash := Hash(data)
	if hash == v.unreadableManifest {
		return nil
	}
	v.unreadableManifest = hash
	v.counters.refused++
	return []Action{ConfigurationRefused{Version: bbtfleet.NewVersion(0, hash), Err: err}}
}

// discardSuperseded discards the candidate and the refused configuration if the
// active one supersedes them.
func (v *View) discardSuperseded() {
	if v.candidate != nil && !v.applicable(v.candidate.manifest.Version()) {
		v.candidate = nil
	}
	if !v.refused.version.Newer(v.active.version) {
		v.refused = snapshot{}
		v.refusedErr = nil
	}
}
