package main

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

// freshness keeps a process that was paused from forwarding by a table that
// may be out of date, until it has heard of the newest configuration.
type freshness struct {
	lastTick   atomic.Int64
	staleUntil atomic.Int64
}

func newFreshness(now time.Time) *freshness {
	f := &freshness{}
	f.lastTick.Store(now.UnixNano())
	return f
}

// tick notes that the control thread runs, and reports whether the process was
// paused before.
func (f *freshness) tick(now time.Time) bool {
	paused := f.notePause(now)
	f.lastTick.Store(now.UnixNano())
	return paused
}

func (f *freshness) notePause(now time.Time) bool {
	if now.UnixNano()-f.lastTick.Load() <= int64(pauseBound) {
		return false
	}
	f.staleUntil.CompareAndSwap(0, now.Add(staleLimit).UnixNano())
	return true
}

// stale reports whether packets must not be forwarded at now.
func (f *freshness) stale(now time.Time) bool {
	f.notePause(now)
	until := f.staleUntil.Load()
	return until != 0 && now.UnixNano() < until
}

// heardNewest ends the waiting.
func (f *freshness) heardNewest() { f.staleUntil.Store(0) }
