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

	manifestPeriod = time.Second     // between the readers' reads of the manifest, over all hosts
	hostsPeriod    = time.Second     // between reads of the host list, over all hosts
	minHostsPeriod = 2 * time.Second // between reads of the host list by one host
	readTimeout    = 5 * time.Second // after which a read without a result is given up
	watchRetry     = time.Second     // pause after a watch that failed
	readBurst      = 8               // reads that a host may send at once
	minReadRate    = 1.0             // reads a second that each host may send
)

// reading holds what a host does with the platform.
type reading struct {
	rank         int // place among the zone's hosts, below ZoneReaders for a reader
	readers      int // readers of all zones
	limiter      *rate.Limiter
	service      bbtfleet.Revision // the service's own revision of the manifest
	watching     bool
	nextWatch    time.Time
	nextManifest time.Time
	nextHosts    time.Time
	inTurn       bool   // the host has its turn among the readers of the host list
	part         string // key of the part being read, empty if none
	partSent     time.Time
}

// assign computes the host's role from the host list.
func (k *View) assign() {
	zones := make(map[bbtfleet.ZoneID]int)
	var mates []bbtfleet.HostID
	for _, h := range k.Hosts().Hosts() {
		if h.State() != bbtfleet.HostLive {
			continue
		}
		zones[h.Zone()]++
		if h.Zone() == k.zone {
			mates = append(mates, h.ID())
		}
	}
	k.reading.readers = 0
	for _, n := range zones {
		k.reading.readers += min(n, ReadersPerZone)
	}
	slices.SortFunc(mates, func(a, b bbtfleet.HostID) int {
		return cmp.Or(cmp.Compare(readerHash(a), readerHash(b)), cmp.Compare(a, b))
	})
	k.reading.rank = ReadersPerZone
	if i := slices.Index(mates, k.self); i >= 0 {
		k.reading.rank = i
	}
	k.limit()
}

// readerHash orders the hosts of a zone for the role of a reader.
func readerHash(id bbtfleet.HostID) uint64 { return xxhash.Sum64String("reader/" + string(id)) }

// reader reports whether the host watches the manifest.
func (k *View) reader() bool { return k.reading.rank < ReadersPerZone }

// limit sets the host's part of the read share: half of it belongs to the
// readers, half to all others.
func (k *View) limit() {
	sharers := len(k.Hosts().Hosts())
	if k.reader() {
		sharers = k.reading.readers
	}
	r := rate.Limit(max(k.share/2/float64(max(sharers, 1)), minReadRate))
	if k.reading.limiter == nil {
		k.reading.limiter = rate.NewLimiter(r, readBurst)
		return
	}
	k.reading.limiter.SetLimit(r)
}

// mayRead reports whether a read fits the host's part of the share at now, and
// counts it.
func (k *View) mayRead(now time.Time) bool {
	if k.reading.limiter == nil {
		k.limit()
	}
	if !k.reading.limiter.AllowN(now, 1) {
		return false
	}
	k.counters.reads++
	return true
}

// around returns a random time between a half and one and a half of d.
func (k *View) around(d time.Duration) time.Duration {
	return d/2 + time.Duration(k.rng.Int64N(int64(d)))
}

// readDue returns the reads and the watch that are due at now.
func (k *View) readDue(now time.Time) []Action {
	var actions []Action
	if !now.Before(k.reading.nextHosts) && k.mayRead(now) {
		k.reading.nextHosts = now.Add(k.hostsWait())
		actions = append(actions, ReadHostList{})
	}
	if k.manifestDue(now) && k.mayRead(now) {
		k.reading.nextManifest = now.Add(k.manifestWait(now))
		actions = append(actions, ReadManifest{})
	}
	if k.watchDue(now) && k.mayRead(now) {
		k.reading.watching = true
		actions = append(actions, WatchManifest{After: k.reading.service})
	}
	return append(actions, k.readParts(now)...)
}

// hostsWait returns the time to the next read of the host list, so that all
// hosts together read it about once every hostsPeriod. The first wait under a
// host list is any part of the others, so that hosts that start together do so
// too.
func (k *View) hostsWait() time.Duration {
	n := len(k.Hosts().Hosts())
	d := max(time.Duration(n)*hostsPeriod, minHostsPeriod)
	if n > 0 && !k.reading.inTurn {
		k.reading.inTurn = true
		return time.Duration(k.rng.Int64N(int64(d)))
	}
	return k.around(d)
}

// manifestDue reports whether the host reads the manifest itself at now.
// Readers do so in turn; others do when the view goes unconfirmed.
func (k *View) manifestDue(now time.Time) bool {
	if now.Before(k.reading.nextManifest) {
		return false
	}
	if !k.starting.done {
		return k.startReadDue(now)
	}
	if k.reader() || !k.Fresh(now) {
		return true
	}
	return !within(now, k.fresh.confirmed, MaxConfirmationAge)
}

// manifestWait returns the time to the next read of the manifest.
func (k *View) manifestWait(now time.Time) time.Duration {
	switch {
	case !k.starting.done || !k.Fresh(now):
		return k.around(FreshnessWindow)
	case k.reader():
		return k.around(time.Duration(k.reading.readers) * manifestPeriod)
	default:
		return k.around(2 * MaxConfirmationAge)
	}
}

// watchDue reports whether a watch has to be started at now.
func (k *View) watchDue(now time.Time) bool {
	return k.starting.done && k.reader() && !k.reading.watching && !now.Before(k.reading.nextWatch)
}

// readParts returns the reads of the candidate's lacking parts that are due.
// One part is read at a time.
func (k *View) readParts(now time.Time) []Action {
	c := k.candidate
	if c == nil || now.Before(c.retry) {
		return nil
	}
	if k.reading.part != "" && now.Sub(k.reading.partSent) < readTimeout {
		return nil
	}
	if k.reading.limiter.TokensAt(now) < 1 {
		return nil
	}
	p, ok := c.nextLacking()
	if !ok {
		c.again(now)
		return nil
	}
	k.mayRead(now)
	k.reading.part = p.Key()
	k.reading.partSent = now
	return []Action{ReadPart{Key: p.Key()}}
}
