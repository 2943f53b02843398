package bbtview

import (
	"cmp"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// ReadersPerZone is the number of hosts of an availability zone that watch
	// the manifest.
	ReadersPerZone = 2

	manifestInterval    = time.Second     // mean time between reads of the manifest by all readers together
	hostListInterval    = time.Second     // mean time between reads of the host list by all hosts together
	minHostListInterval = 2 * time.Second // minimum mean time between reads of the host list by one host
	partReadTimeout     = 5 * time.Second // after which a read of a part without a result counts as lost
	watchRetryDelay     = time.Second     // mean delay after a failed watch
	readBurst           = 8               // reads that a host may send in a burst
	minReadRate         = 1.0             // minimum of a host's rate limit, in reads a second
)

// readState is the state of a host's reads of the platform.
type readState struct {
	zoneRank          int // rank among the zone's live hosts, less than ReadersPerZone for a reader
	readerCount       int // number of readers in all zones
	limiter           *rate.Limiter
	serviceRevision   bbtfleet.Revision // the configuration service's own revision of the manifest
	watching          bool
	nextWatch         time.Time
	nextManifestRead  time.Time
	nextHostListRead  time.Time
	hostListStaggered bool      // the random first delay between reads of the host list has been chosen
	partKey           string    // key of the part being read, empty if none
	partSentAt        time.Time // when the read of that part was sent
}

// assignReaderRole decides from the host list whether the host is a reader.
func (v *View) assignReaderRole() {
	zones := make(map[bbtfleet.ZoneID]int)
	var zoneHosts []bbtfleet.HostID
	for _, h := range v.Hosts().Hosts() {
		if h.State() != bbtfleet.HostLive {
			continue
		}
		zones[h.Zone()]++
		if h.Zone() == v.zone {
			zoneHosts = append(zoneHosts, h.ID())
		}
	}
	v.readState.readerCount = 0
	for _, n := range zones {
		v.readState.readerCount += min(n, ReadersPerZone)
	}
	slices.SortFunc(zoneHosts, func(a, b bbtfleet.HostID) int {
		return cmp.Or(cmp.Compare(readerHash(a), readerHash(b)), cmp.Compare(a, b))
	})
	v.readState.zoneRank = ReadersPerZone
	if i := slices.Index(zoneHosts, v.self); i >= 0 {
		v.readState.zoneRank = i
	}
	v.updateLimiter()
}

// readerHash returns the key by which the hosts of a zone are sorted to choose
// its readers.
func readerHash(id bbtfleet.HostID) uint64 { return xxhash.Sum64String("reader/" + string(id)) }

// isReader reports whether the host watches the manifest for its zone.
func (v *View) isReader() bool { return v.readState.zoneRank < ReadersPerZone }

// updateLimiter sets the host's share of the fleet's read rate. A reader gets an
// equal share of one half of the rate. Any other host gets a share of the other
// half, which is divided by the number of all hosts.
func (v *View) updateLimiter() {
	sharers := len(v.Hosts().Hosts())
	if v.isReader() {
		sharers = v.readState.readerCount
	}
	r := rate.Limit(max(v.fleetReadRate/2/float64(max(sharers, 1)), minReadRate))
	if v.readState.limiter == nil {
		v.readState.limiter = rate.NewLimiter(r, readBurst)
		return
	}
	v.readState.limiter.SetLimit(r)
}

// allowRead reports whether the limiter allows a read at now, and counts the
// read.
func (v *View) allowRead(now time.Time) bool {
	if v.readState.limiter == nil {
		v.updateLimiter()
	}
	if !v.readState.limiter.AllowN(now, 1) {
		return false
	}
	v.counters.reads++
	return true
}

// jitter returns a random duration from 0.5 to 1.5 times d.
func (v *View) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(v.rng.Int64N(int64(d)))
}

// dueReads returns the reads and the watch that are due at now.
func (v *View) dueReads(now time.Time) []Action {
	var actions []Action
	if !now.Before(v.readState.nextHostListRead) && v.allowRead(now) {
		v.readState.nextHostListRead = now.Add(v.hostListDelay())
		actions = append(actions, ReadHostList{})
	}
	if v.manifestDue(now) && v.allowRead(now) {
		v.readState.nextManifestRead = now.Add(v.manifestDelay(now))
		actions = append(actions, ReadManifest{})
	}
	if v.watchDue(now) && v.allowRead(now) {
		v.readState.watching = true
		actions = append(actions, WatchManifest{After: v.readState.serviceRevision})
	}
	return append(actions, v.readParts(now)...)
}

// hostListDelay returns the time to the next read of the host list. It is chosen
// so that all hosts together read the list about once every hostListInterval.
// The first delay after a host has a list is random over the whole period, so
// that this also holds for hosts that start at the same time.
func (v *View) hostListDelay() time.Duration {
	n := len(v.Hosts().Hosts())
	d := max(time.Duration(n)*hostListInterval, minHostListInterval)
	if n > 0 && !v.readState.hostListStaggered {
		v.readState.hostListStaggered = true
		return time.Duration(v.rng.Int64N(int64(d)))
	}
	return v.jitter(d)
}

// manifestDue reports whether the host has to read the manifest itself at now.
// Readers do so regularly, other hosts only if the view is not fresh or has not
// been confirmed within MaxConfirmationAge.
func (v *View) manifestDue(now time.Time) bool {
	if now.Before(v.readState.nextManifestRead) {
		return false
	}
	if !v.startup.ready {
		return v.startupReadDue(now)
	}
	if v.isReader() || !v.Fresh(now) {
		return true
	}
	return !within(now, v.fresh.confirmedAt, MaxConfirmationAge)
}

// manifestDelay returns the time to the next read of the manifest.
func (v *View) manifestDelay(now time.Time) time.Duration {
	switch {
	case !v.startup.ready || !v.Fresh(now):
		return v.jitter(FreshnessWindow)
	case v.isReader():
		return v.jitter(time.Duration(v.readState.readerCount) * manifestInterval)
	default:
		return v.jitter(2 * MaxConfirmationAge)
	}
}

// watchDue reports whether a watch has to be started at now.
func (v *View) watchDue(now time.Time) bool {
	return v.startup.ready && v.isReader() && !v.readState.watching && !now.Before(v.readState.nextWatch)
}

// readParts returns the read of the candidate's next missing part if it is due.
// One part is read at a time.
func (v *View) readParts(now time.Time) []Action {
	c := v.candidate
	if c == nil || now.Before(c.retryAt) {
		return nil
	}
	if v.readState.partKey != "" && now.Sub(v.readState.partSentAt) < partReadTimeout {
		return nil
	}
	if v.readState.limiter.TokensAt(now) < 1 {
		return nil
	}
	p, ok := c.nextMissing()
	if !ok {
		c.scheduleRetry(now)
		return nil
	}
	v.allowRead(now)
	v.readState.partKey = p.Key()
	v.readState.partSentAt = now
	return []Action{ReadPart{Key: p.Key()}}
}
