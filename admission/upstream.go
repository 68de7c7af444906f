package admission

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// upstream is what the gate knows of the process beside it.
type upstream struct {
	id       bramleyfall.UpstreamID
	boot     bramleyfall.BootID
	sequence uint64
	domain   bramleyfall.DomainName
	slots    int
	draining bool
	left     bool
	// young is set when it started after the gate, or so shortly before that it
	// holds no flow that the gate hasn't seen.
	young bool
	// coldUntil is until when it is slow after its start.
	coldUntil time.Time
	// lastBeat is when its last heartbeat came.
	lastBeat time.Time
	// openingSince and requestSince are when the first opening or request was
	// delivered since the last packet of the upstream, or zero.
	openingSince, requestSince time.Time
}

// heard notes that the upstream sent a packet.
func (u *upstream) heard() { u.openingSince, u.requestSince = time.Time{}, time.Time{} }

// delivered notes in since that the upstream was given something to answer.
func (u *upstream) delivered(since *time.Time, now time.Time) {
	if since.IsZero() {
		*since = now
	}
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// assumeCold treats the upstream as cold until it says otherwise.
func (u *upstream) assumeCold(now time.Time, coldFor time.Duration) {
	if until := now.Add(coldFor); until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// firstHeartbeats is the sequence up to which a heartbeat is one of the first of
// a run. Both start together after a loss of power; the upstream's first
// heartbeat may find nobody.
const firstHeartbeats = 2

// startedTogether is the time before the gate's start within which an upstream
// counts as started with it: as long as both need to start, and less than an agent
// before this one would need to take a flow, end and be replaced.
const startedTogether = 100 * time.Millisecond

// startedWith reports whether a run of the upstream started with the gate or after
// it. Its clock is that of the machine and may have been set back meanwhile: a time
// in the future says nothing.
func (g *Gate) startedWith(boot bramleyfall.BootID, now time.Time) bool {
	started := time.Unix(0, int64(boot)) //nolint:gosec // a time later than 2262 is in the future, too
	return !started.After(now) && started.After(g.started.Add(-startedTogether))
}

// Heartbeat processes a heartbeat of the upstream. It reports whether the heartbeat
// is new rather than late or from an earlier run. If the heartbeat starts a new
// run, the returned resets are for the callers whose flows ended with the old one.
func (g *Gate) Heartbeat(h bramleyfall.Heartbeat, now time.Time) (bool, []bramleyfall.Segment) {
	u := &g.upstream
	sameRun := h.Boot == u.boot && h.Upstream == u.id
	if sameRun && h.Sequence <= u.sequence || h.Boot < u.boot && !g.away(now) {
		return false, nil
	}
	var lost []bramleyfall.Segment
	if !sameRun {
		if u.boot != 0 {
			lost = g.endFlows(now)
			g.outcomes.restarted(now)
		}
		*u = upstream{id: h.Upstream, boot: h.Boot, young: u.boot != 0 || h.Sequence <= firstHeartbeats || g.startedWith(h.Boot, now)}
	}
	u.sequence, u.domain, u.slots, u.draining = h.Sequence, h.Domain, h.Slots, h.Draining
	u.coldUntil = now.Add(h.ColdRemaining)
	u.lastBeat = now
	u.heard()
	return true, lost
}

// endFlows forgets all flows and returns resets for the callers of those that
// were open.
func (g *Gate) endFlows(now time.Time) []bramleyfall.Segment {
	var resets []bramleyfall.Segment
	for key, f := range g.flows {
		if f.state != g.chart.Opening && f.state != g.chart.HalfOpen && f.state != g.chart.Closed && f.ack != 0 {
			resets = append(resets, bramleyfall.Segment{Flow: key.Reverse(), Sequence: f.ack, Reset: true})
		}
		g.forget(key, f, now)
	}
	return resets
}

// UpstreamLeaving records that the upstream announced its end. It returns false if
// id is not the current upstream.
func (g *Gate) UpstreamLeaving(id bramleyfall.UpstreamID) bool {
	if id != g.upstream.id {
		return false
	}
	g.upstream.left = true
	return true
}

// UpstreamRun returns the ID and the boot ID of the last known run of the upstream.
func (g *Gate) UpstreamRun() (bramleyfall.UpstreamID, bramleyfall.BootID) {
	return g.upstream.id, g.upstream.boot
}

// away reports whether heartbeats are missing.
func (g *Gate) away(now time.Time) bool {
	return now.Sub(g.upstream.lastBeat) > g.missedAfter()
}

// missedAfter is the time without a heartbeat after which the upstream is away.
func (g *Gate) missedAfter() time.Duration {
	return time.Duration(g.config.MissedHeartbeats) * g.config.HeartbeatInterval
}

// State returns the state of the upstream.
func (g *Gate) State(now time.Time) bramleyfall.UpstreamState {
	u := &g.upstream
	switch {
	case g.leaving || u.draining || u.left:
		return bramleyfall.UpstreamDraining
	case u.boot == 0:
		return bramleyfall.UpstreamUnknown
	case g.away(now) || g.silent(now):
		return bramleyfall.UpstreamSilent
	case g.outcomes.ejected(now):
		return bramleyfall.UpstreamFailing
	case g.outcomes.onTrial:
		return bramleyfall.UpstreamTrial
	case u.cold(now):
		return bramleyfall.UpstreamCold
	}
	return bramleyfall.UpstreamReady
}
