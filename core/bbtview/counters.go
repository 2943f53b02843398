package bbtview

// Counters holds event counts of a View since the process started.
type Counters struct {
	reads        uint64
	readFailures uint64
	stale        uint64
	conflicts    uint64
	mismatches   uint64
	refused      uint64
	applied      uint64
	pauses       uint64
}

// Reads returns the number of reads and watches of the platform.
func (c Counters) Reads() uint64 { return c.reads }

// ReadFailures returns the number of reads that failed.
func (c Counters) ReadFailures() uint64 { return c.readFailures }

// Stale returns the number of values that were ignored because they were older
// than the view.
func (c Counters) Stale() uint64 { return c.stale }

// Conflicts returns how often a configuration was seen that has the revision of
// the active one but different content.
func (c Counters) Conflicts() uint64 { return c.conflicts }

// Mismatches returns the number of parts whose content did not match the
// manifest or could not be decompressed.
func (c Counters) Mismatches() uint64 { return c.mismatches }

// Refused returns the number of configurations that were refused.
func (c Counters) Refused() uint64 { return c.refused }

// Applied returns the number of configurations that became active.
func (c Counters) Applied() uint64 { return c.applied }

// Pauses returns how often the local process was paused.
func (c Counters) Pauses() uint64 { return c.pauses }
