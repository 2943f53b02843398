// Package bbtpace learns from the streams of an engine how many requests it takes well.
//
// An engine that runs more requests produces the events of each one later. As long as
// all of them together produce more, a further request is worth it; beyond that load, its
// knee, each one only delays the others. The knee is found from the streams that pass, and
// no request is sent to find it: a load that was too much is forgotten after a while, so
// that the next requests show whether it still is.
package bbtpace

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the mean of a load.
	sampleWeight = 0.15
	// effectiveSamples is the number of independent samples that such a mean is worth.
	effectiveSamples = 2/sampleWeight - 1
	// errorBounds is the number of standard errors within which means are taken to lie.
	errorBounds = 2.0
	// minSamples is the number of samples from which the mean of a load counts.
	minSamples = 5
	// worseThroughput is the part of the best throughput below which a higher load is
	// too much.
	worseThroughput = 0.9
	// gapPart is the part of the longest gap that callers accept between events at which
	// a load is too much. Prefill of further prompts needs the rest.
	gapPart = 0.8
	// suspiciousGap is the factor over the shortest gap from which a load is suspected to
	// be too much while no lower one is known.
	suspiciousGap = 2.5
	// lowerPart is the part of a suspected load that the engine runs until the lower load
	// is known.
	lowerPart = 0.7
	// verdictRetention is for how long a load is not suspected again that has proved not
	// to be too much.
	verdictRetention = 10 * time.Second
	// retention is for how long a load counts as too much that no stream has shown since.
	retention = 6 * time.Second
	// lowerRetention is the same for a lower load that higher ones are compared with, which
	// an engine under pressure does not show.
	lowerRetention = 3 * retention
	// minGap is the shortest gap that is told apart, in ms.
	minGap = 0.01
	// maxLoad bounds the loads that are told apart.
	maxLoad = 256
)

// Pace is what is known of one engine. It is not safe for concurrent use. The zero value
// knows nothing.
type Pace struct {
	levels  []level   // by load; the first is that of one request
	idle    float64   // ms, shortest mean gap of a load; 0 if none is known
	cleared time.Time // when a suspected load last proved not to be too much
	adopted int       // limit that a former owner found; 0 for none
	until   time.Time // until which adopted holds; zero before it was first used
}

// level is the course of streams at one load.
type level struct {
	gap      float64 // ms between events
	variance float64 // of gap
	samples  int
	at       time.Time // of the latest sample
}

// Observe records a stream during which the engine ran load requests on average, and
// whose events came gap apart.
func (p *Pace) Observe(now time.Time, load int, gap time.Duration) {
	if load < 1 || load > maxLoad || gap <= 0 {
		return
	}
	if missing := load - len(p.levels); missing > 0 {
		p.levels = append(p.levels, make([]level, missing)...)
	}
	l := &p.levels[load-1]
	ms := float64(gap) / float64(time.Millisecond)
	if l.samples == 0 || now.Sub(l.at) > lowerRetention {
		*l = level{gap: ms}
	}
	delta := ms - l.gap
	l.gap += sampleWeight * delta
	l.variance = (1 - sampleWeight) * (l.variance + sampleWeight*delta*delta)
	l.samples++
	l.at = now
	if l.counts(now) && (p.idle == 0 || l.gap < p.idle) {
		p.idle = l.gap
	}
}

// margin returns the error within which the mean gap is taken to lie.
func (l level) margin() float64 {
	return errorBounds * math.Sqrt(l.variance/min(float64(l.samples), effectiveSamples))
}

// shortest returns the shortest gap that the load is taken to have, not below zero.
func (l level) shortest() float64 { return max(0, l.gap-l.margin()) }

// counts reports whether enough is known of a load.
func (l level) counts(now time.Time) bool {
	return l.samples >= minSamples && now.Sub(l.at) <= lowerRetention
}

// Limit returns how many of its slots the engine takes well, at least one. maxGap is the
// longest gap between events that callers accept; 0 if any.
func (p *Pace) Limit(now time.Time, slots int, maxGap time.Duration) int {
	limit := slots
	best, bestLoad := 0.0, 0 // throughput at least, and its load
	for i := range p.levels[:min(len(p.levels), slots)] {
		l := &p.levels[i]
		if !l.counts(now) {
			continue
		}
		load := i + 1
		recent := now.Sub(l.at) <= retention
		suspected := recent && l.shortest() > suspiciousGap*p.idle
		lower := max(1, int(lowerPart*float64(load)))
		if suspected && now.Sub(p.cleared) > verdictRetention && !p.knows(now, (lower+1)/2, lower) {
			return min(limit, lower)
		}
		if recent && maxGap > 0 && l.shortest() > gapPart*float64(maxGap)/float64(time.Millisecond) {
			limit = min(limit, load-1)
			break
		}
		if recent && float64(load)/max(l.shortest(), minGap) < worseThroughput*best {
			limit = min(limit, bestLoad)
			break
		}
		if throughput := float64(load) / (l.gap + l.margin()); throughput > best {
			if suspected && 2*bestLoad >= lower {
				p.cleared = now
			}
			best, bestLoad = throughput, load
		}
	}
	if p.adopted > 0 && p.until.IsZero() {
		p.until = now.Add(retention)
	}
	if limit == slots && p.adopted > 0 && now.Before(p.until) {
		limit = min(limit, p.adopted)
	}
	return max(limit, 1)
}

// knows reports whether a load between two is known.
func (p *Pace) knows(now time.Time, from, to int) bool {
	return slices.ContainsFunc(p.levels[from-1:min(to, len(p.levels))], func(l level) bool { return l.counts(now) })
}

// Adopt takes over the limit that a former owner of the service found. It holds for a
// while from its first use.
func (p *Pace) Adopt(limit int) { p.adopted, p.until = limit, time.Time{} }
