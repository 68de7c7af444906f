package admission

import (
	"math"
	"time"
)

// coldRateWindow is the window over which the request rate of a cold upstream is
// limited. It exceeds one second because the delay between an opening and its request,
// a round trip, varies by some milliseconds.
const coldRateWindow = time.Second + 15*time.Millisecond

// slidingWindow counts the events within the last coldRateWindow.
type slidingWindow struct{ times []time.Time }

func (w *slidingWindow) add(now time.Time) { w.times = append(w.times, now) }

func (w *slidingWindow) count(now time.Time) int {
	expired := 0
	for expired < len(w.times) && now.Sub(w.times[expired]) >= coldRateWindow {
		expired++
	}
	w.times = w.times[expired:]
	return len(w.times)
}

// utilizationTimeConstant is the time constant of the mean utilization. It covers
// a few requests of a long-lived flow.
const utilizationTimeConstant = time.Second

// decayingMean is the exponentially weighted moving average of the number of active
// requests.
type decayingMean struct {
	updated time.Time
	mean    float64
}

func newDecayingMean(now time.Time) decayingMean { return decayingMean{updated: now} }

// advance updates the mean, given the number of requests that were active since the
// last call.
func (m *decayingMean) advance(now time.Time, active int) {
	elapsed := now.Sub(m.updated)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(utilizationTimeConstant))
	m.mean = m.mean*decay + float64(active)*(1-decay)
	m.updated = now
}

// permille returns the mean utilization of the slots in units of 1/1000.
func (m *decayingMean) permille(now time.Time, active, slots int) uint16 {
	m.advance(now, active)
	if slots == 0 {
		return 0
	}
	return uint16(min(1000*m.mean/float64(slots), math.MaxUint16))
}

// maxBurst is the longest time for which a burst keeps requests queued. The
// requests that accumulate in half a second, while all balancers restart, are
// processed within this time.
const maxBurst = 300 * time.Millisecond

// queue distinguishes a burst of requests from sustained overload. waitingSince is
// when requests began to wait for slots, or zero if none waits.
type queue struct{ waitingSince time.Time }

// update records whether requests wait for a slot.
func (q *queue) update(now time.Time, waiting bool) {
	switch {
	case !waiting:
		q.waitingSince = time.Time{}
	case q.waitingSince.IsZero():
		q.waitingSince = now
	}
}

// standing reports whether requests have been waiting for slots for longer than
// maxBurst.
func (q *queue) standing(now time.Time) bool { return overdue(q.waitingSince, maxBurst, now) }

const (
	// initialProcessingTime is the estimate before the first measurement.
	initialProcessingTime = 20 * time.Millisecond
	// processingTimeWeight is the weight of each request in the mean, which thus
	// covers about the last ten requests.
	processingTimeWeight = 0.1
)

// processingTime estimates the mean time for which a request occupies a slot. It is
// measured on requests that found a free slot and, while no slot is free, derived
// from the intervals between answers. The second is needed because an upstream that
// has just started may be slow.
type processingTime struct {
	mean time.Duration
	// lastAnswer is when the last answer was received, or zero if a slot has been
	// free since.
	lastAnswer time.Time
}

// answered records an answer. deliveredAt is when the request was delivered, or
// zero if no slot was free for it. active is the number of active requests including
// this one.
func (p *processingTime) answered(deliveredAt, now time.Time, active, slots int) {
	switch {
	case !deliveredAt.IsZero():
		p.addSample(now.Sub(deliveredAt))
	case !p.lastAnswer.IsZero():
		p.addSample(time.Duration(slots) * now.Sub(p.lastAnswer))
	}
	p.lastAnswer = time.Time{}
	if active > slots {
		p.lastAnswer = now
	}
}

// slotFree records that a slot is free.
func (p *processingTime) slotFree() { p.lastAnswer = time.Time{} }

func (p *processingTime) addSample(sample time.Duration) {
	p.mean = time.Duration((1-processingTimeWeight)*float64(p.estimate()) + processingTimeWeight*float64(sample))
}

func (p *processingTime) estimate() time.Duration {
	if p.mean == 0 {
		return initialProcessingTime
	}
	return p.mean
}
