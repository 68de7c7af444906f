package admission

import (
	"math"
	"time"
)

// windowSpan is the span over which the rate of a cold upstream counts: a second,
// and room for requests that follow their openings by round trips of some
// milliseconds more or less.
const windowSpan = time.Second + 15*time.Millisecond

// window counts events in the last windowSpan.
type window struct{ times []time.Time }

func (w *window) add(now time.Time) { w.times = append(w.times, now) }

func (w *window) count(now time.Time) int {
	first := 0
	for first < len(w.times) && now.Sub(w.times[first]) >= windowSpan {
		first++
	}
	w.times = w.times[first:]
	return len(w.times)
}

// useSpan is the time over which use is averaged: a few requests of a long flow.
const useSpan = time.Second

// meter averages the number of requests under way with exponential decay.
type meter struct {
	at   time.Time
	mean float64
}

func newMeter(now time.Time) meter { return meter{at: now} }

// advance takes that busy requests were under way since the last call.
func (m *meter) advance(now time.Time, busy int) {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(useSpan))
	m.mean = m.mean*keep + float64(busy)*(1-keep)
	m.at = now
}

// permille returns the mean use of the slots in 1/1000.
func (m *meter) permille(now time.Time, busy, slots int) uint16 {
	m.advance(now, busy)
	if slots == 0 {
		return 0
	}
	return uint16(min(1000*m.mean/float64(slots), math.MaxUint16))
}

// burstFor is the time for which requests wait for slots in a burst: what was
// asked while all balancers restarted, for half a second, is served in less.
const burstFor = 300 * time.Millisecond

// queue tells a burst of requests from a load above the capacity.
type queue struct{ since time.Time }

// note takes whether requests wait for a slot.
func (q *queue) note(now time.Time, waiting bool) {
	switch {
	case !waiting:
		q.since = time.Time{}
	case q.since.IsZero():
		q.since = now
	}
}

// stands reports whether requests have waited for slots for longer than in a
// burst.
func (q *queue) stands(now time.Time) bool { return overdue(q.since, burstFor, now) }

const (
	// firstWork is the time that a request is taken to need before any was seen.
	firstWork = 20 * time.Millisecond
	// workWeight is the weight of each request in the mean: some ten requests
	// make a new one.
	workWeight = 0.1
)

// workTime is the mean time for which a request holds a slot. It is learned from
// requests that found a free slot, and from the times between answers while none
// was free: an upstream that has just started may be slow.
type workTime struct {
	mean time.Duration
	// last is when the last answer came while no slot was free since, or zero.
	last time.Time
}

// answered takes the answer to a request that was delivered at asked, where it
// found a free slot, and the number of requests that were under way until now.
func (w *workTime) answered(asked, now time.Time, busy, slots int) {
	switch {
	case !asked.IsZero():
		w.learn(now.Sub(asked))
	case !w.last.IsZero():
		w.learn(time.Duration(slots) * now.Sub(w.last))
	}
	w.last = time.Time{}
	if busy > slots {
		w.last = now
	}
}

// idle notes that a slot is free.
func (w *workTime) idle() { w.last = time.Time{} }

func (w *workTime) learn(took time.Duration) {
	w.mean = time.Duration((1-workWeight)*float64(w.get()) + workWeight*float64(took))
}

func (w *workTime) get() time.Duration {
	if w.mean == 0 {
		return firstWork
	}
	return w.mean
}
