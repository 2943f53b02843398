package bbtview

// Counters counts what happened to the view since the process started.
type Counters struct {
	reads      uint64
	failures   uint64
	stale      uint64
	conflicts  uint64
	mismatches uint64
	refused    uint64
	taken      uint64
	pauses     uint64
}

// Reads returns the reads and watches of the platform.
func (c Counters) Reads() uint64 { return c.reads }

// ReadFailures returns the reads that failed.
func (c Counters) ReadFailures() uint64 { return c.failures }

// Stale returns the values older than the view that were left alone.
func (c Counters) Stale() uint64 { return c.stale }

// Conflicts returns the configurations seen under a revision in force with
// another content.
func (c Counters) Conflicts() uint64 { return c.conflicts }

// Mismatches returns the parts read whose content was not the one that the
// manifest names.
func (c Counters) Mismatches() uint64 { return c.mismatches }

// Refused returns the configurations refused whole.
func (c Counters) Refused() uint64 { return c.refused }

// Applied returns the configurations put in force.
func (c Counters) Applied() uint64 { return c.taken }

// Pauses returns the pauses of the local process.
func (c Counters) Pauses() uint64 { return c.pauses }
