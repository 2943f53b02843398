package bbtview

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// errVersion says that a Parse function gave a configuration another version
// than the manifest's.
var errVersion = errors.New("configuration has another version than its manifest")

// judge puts a whole candidate in force or refuses it.
func (k *View) judge(now time.Time, c *candidate) []Action {
	cfg, err := k.parse(c.manifest, c.ordered())
	if err == nil && cfg.Version() != c.manifest.Version() {
		err = errVersion
	}
	if err != nil {
		return k.refuse(c.snapshot(), err)
	}
	first := k.config == nil
	k.config = cfg
	c.keep(k.force.packed)
	k.force = c.snapshot()
	k.counters.taken++
	k.drop()
	if !c.asked.IsZero() {
		k.fresh.platform(c.asked)
	}
	k.tell = k.tell || !first || !c.asked.IsZero()
	return append([]Action{ConfigurationApplied{Configuration: cfg}}, k.finishStart(now)...)
}

// refuse keeps the configuration in force and remembers the refused one, so
// that peers can judge it too.
func (k *View) refuse(s snapshot, err error) []Action {
	k.counters.refused++
	if s.version.Newer(k.refused.version) {
		k.refused = s
		k.refusal = err
		k.tell = true
	}
	return []Action{ConfigurationRejected{Version: s.version, Err: err}}
}

// refuseManifest refuses a manifest that can't be read. It is reported once.
func (k *View) refuseManifest(data []byte, err error) []Action {
	hash := Hash(data)
	if hash == k.unreadable {
		return nil
	}
	k.unreadable = hash
	k.counters.refused++
	return []Action{ConfigurationRejected{Version: bbtfleet.NewVersion(0, hash), Err: err}}
}

// drop forgets what the configuration in force has made superfluous.
func (k *View) drop() {
	if k.candidate != nil && !k.wanted(k.candidate.manifest.Version()) {
		k.candidate = nil
	}
	if !k.refused.version.Newer(k.force.version) {
		k.refused = snapshot{}
		k.refusal = nil
	}
}
