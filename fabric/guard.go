package fabric

import (
	"sync/atomic"
	"time"
)

const (
	// pauseThreshold is the time without a tick of the balancer's controller
	// goroutine after which the process is considered to have been paused.
	pauseThreshold = 2 * time.Second
	// maxStaleWait is the maximum time for which forwarding is blocked after a
	// pause. If the newest configuration has not arrived by then, forwarding
	// resumes with the existing table.
	maxStaleWait = 1500 * time.Millisecond
)

// ForwardingGuard blocks forwarding by a routing table that may be out of date:
// after a pause of the process until the newest configuration has arrived, and
// while the balancer suspends forwarding. The controller goroutine updates it, the
// forwarder's goroutine reads it.
type ForwardingGuard struct {
	// lastTick is the time of the last tick in nanoseconds since 1970.
	lastTick atomic.Int64
	// staleUntil is the end of the wait after a pause in nanoseconds since 1970, or
	// 0 if no pause was detected since the last SetUpToDate.
	staleUntil atomic.Int64
	suspended  atomic.Bool
}

// NewForwardingGuard returns the guard of a process that started at now.
func NewForwardingGuard(now time.Time) *ForwardingGuard {
	g := &ForwardingGuard{}
	g.lastTick.Store(now.UnixNano())
	return g
}

// Tick records that the controller goroutine is running, and reports whether the
// process was paused since the previous tick.
func (g *ForwardingGuard) Tick(now time.Time) bool {
	paused := g.detectPause(now)
	g.lastTick.Store(now.UnixNano())
	return paused
}

// detectPause reports whether the last tick is more than pauseThreshold ago and, if
// so, blocks forwarding for up to maxStaleWait. The forwarder calls it as well,
// since its goroutine may resume before the controller's next tick.
func (g *ForwardingGuard) detectPause(now time.Time) bool {
	if now.UnixNano()-g.lastTick.Load() <= int64(pauseThreshold) {
		return false
	}
	g.staleUntil.CompareAndSwap(0, now.Add(maxStaleWait).UnixNano())
	return true
}

// Blocked reports whether packets must be dropped rather than forwarded at now.
func (g *ForwardingGuard) Blocked(now time.Time) bool {
	if g.suspended.Load() {
		return true
	}
	g.detectPause(now)
	deadline := g.staleUntil.Load()
	return deadline != 0 && now.UnixNano() < deadline
}

// SetUpToDate ends the wait after a pause. The controller calls it when it has the
// newest configuration.
func (g *ForwardingGuard) SetUpToDate() { g.staleUntil.Store(0) }

// SetSuspended suspends or resumes forwarding. A balancer suspends forwarding while
// it starts or is partitioned from the deployment: callers retransmit dropped
// packets, which the fabric then sends to other balancers, whereas forwarding by a
// wrong table would break flows.
func (g *ForwardingGuard) SetSuspended(suspended bool) { g.suspended.Store(suspended) }

// Suspended reports whether forwarding is suspended by SetSuspended.
func (g *ForwardingGuard) Suspended() bool { return g.suspended.Load() }
