package fabric

import (
	"sync/atomic"
	"time"
)

const (
	// pauseBound is the time without a tick of the control thread after which
	// the process is taken to have been paused.
	pauseBound = 2 * time.Second
	// staleLimit is the longest time for which a resumed process waits for
	// news before it forwards by what it knew.
	staleLimit = 1500 * time.Millisecond
)

// Freshness keeps a process that was paused from forwarding by a table that
// may be out of date, until it has heard of the newest configuration.
type Freshness struct {
	lastTick   atomic.Int64
	staleUntil atomic.Int64
	held       atomic.Bool
}

// NewFreshness returns the state of a process that started at now.
func NewFreshness(now time.Time) *Freshness {
	f := &Freshness{}
	f.lastTick.Store(now.UnixNano())
	return f
}

// Tick notes that the control thread runs, and reports whether the process was
// paused before.
func (f *Freshness) Tick(now time.Time) bool {
	paused := f.notePause(now)
	f.lastTick.Store(now.UnixNano())
	return paused
}

func (f *Freshness) notePause(now time.Time) bool {
	if now.UnixNano()-f.lastTick.Load() <= int64(pauseBound) {
		return false
	}
	f.staleUntil.CompareAndSwap(0, now.Add(staleLimit).UnixNano())
	return true
}

// Stale reports whether packets must not be forwarded at now.
func (f *Freshness) Stale(now time.Time) bool {
	if f.held.Load() {
		return true
	}
	f.notePause(now)
	until := f.staleUntil.Load()
	return until != 0 && now.UnixNano() < until
}

// HeardNewest ends the waiting.
func (f *Freshness) HeardNewest() { f.staleUntil.Store(0) }

// Hold stops or resumes forwarding. A balancer that starts or is cut off holds
// back: callers repeat their packets, which the fabric hands to others, while
// a wrong table would break flows.
func (f *Freshness) Hold(held bool) { f.held.Store(held) }

// Held reports whether forwarding is held.
func (f *Freshness) Held() bool { return f.held.Load() }
