package admission

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// upstream is the state of the agent's upstream, as known from its heartbeats and
// packets.
type upstream struct {
	id           bramleyfall.UpstreamID
	bootID       bramleyfall.BootID
	sequence     uint64
	domain       bramleyfall.DomainName
	slots        int
	draining     bool
	deregistered bool
	// startedWithGate is set if the upstream started after the gate, or so shortly
	// before that it owns no flow unknown to the gate.
	startedWithGate bool
	// coldUntil is when the upstream, after its start, reaches its full speed.
	coldUntil time.Time
	// lastHeartbeat is when the last heartbeat was received.
	lastHeartbeat time.Time
	// openingUnansweredSince and requestUnansweredSince are when the first opening or
	// request since the upstream's last packet was delivered, or zero.
	openingUnansweredSince, requestUnansweredSince time.Time
}

// packetReceived records that the upstream sent a packet or heartbeat.
func (u *upstream) packetReceived() {
	u.openingUnansweredSince, u.requestUnansweredSince = time.Time{}, time.Time{}
}

// packetDelivered records in since that an answer is outstanding from now on, unless
// one already was.
func (u *upstream) packetDelivered(since *time.Time, now time.Time) {
	if since.IsZero() {
		*since = now
	}
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// assumeCold marks the upstream as cold for coldFor or until its next heartbeat.
func (u *upstream) assumeCold(now time.Time, coldFor time.Duration) {
	if until := now.Add(coldFor); until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// maxInitialSequence is the greatest sequence number of a heartbeat that shows that
// the upstream has just started. Agent and upstream start at the same time after a
// power failure, and the first heartbeat may be sent before the agent is up.
const maxInitialSequence = 2

// startTolerance is how long before the gate an upstream may have started and still
// count as started with it. It covers the start of both processes, and is shorter
// than a previous agent would need to accept a flow, stop and be replaced.
const startTolerance = 100 * time.Millisecond

// startedWithGate reports whether a run of the upstream started with the gate or
// after it. The start time is from the clock of the same machine, which may have been
// set back since: a start time in the future is inconclusive and yields false.
func (g *Gate) startedWithGate(bootID bramleyfall.BootID, now time.Time) bool {
	started := time.Unix(0, int64(bootID)) //nolint:gosec // a time later than 2262 is in the future, too
	return !started.After(now) && started.After(g.started.Add(-startTolerance))
}

// Heartbeat processes a heartbeat of the upstream. It reports whether the heartbeat
// is new rather than late or from an earlier run. If the heartbeat is the first of a
// new run, the returned resets are for the callers whose flows ended with the old run.
func (g *Gate) Heartbeat(h bramleyfall.Heartbeat, now time.Time) (bool, []bramleyfall.Segment) {
	u := &g.upstream
	sameRun := h.Boot == u.bootID && h.Upstream == u.id
	if sameRun && h.Sequence <= u.sequence || h.Boot < u.bootID && !g.heartbeatOverdue(now) {
		return false, nil
	}
	var resets []bramleyfall.Segment
	if !sameRun {
		if u.bootID != 0 {
			resets = g.endFlows(now)
			g.outcomes.restarted(now)
		}
		*u = upstream{id: h.Upstream, bootID: h.Boot, startedWithGate: u.bootID != 0 || h.Sequence <= maxInitialSequence || g.startedWithGate(h.Boot, now)}
	}
	u.sequence, u.domain, u.slots, u.draining = h.Sequence, h.Domain, h.Slots, h.Draining
	u.coldUntil = now.Add(h.ColdRemaining)
	u.lastHeartbeat = now
	u.packetReceived()
	return true, resets
}

// endFlows removes all flows and returns resets for the callers of those that were
// open.
func (g *Gate) endFlows(now time.Time) []bramleyfall.Segment {
	var resets []bramleyfall.Segment
	for key, f := range g.flows {
		if f.state != g.chart.Opening && f.state != g.chart.HalfOpen && f.state != g.chart.Closed && f.ack != 0 {
			resets = append(resets, bramleyfall.Segment{Flow: key.Reverse(), Sequence: f.ack, Reset: true})
		}
		g.removeFlow(key, f, now)
	}
	return resets
}

// Deregister records that the upstream announced its shutdown. It returns false if
// id is not the current upstream.
func (g *Gate) Deregister(id bramleyfall.UpstreamID) bool {
	if id != g.upstream.id {
		return false
	}
	g.upstream.deregistered = true
	return true
}

// UpstreamRun returns the ID and the boot ID of the last known run of the upstream.
func (g *Gate) UpstreamRun() (bramleyfall.UpstreamID, bramleyfall.BootID) {
	return g.upstream.id, g.upstream.bootID
}

// heartbeatOverdue reports whether the upstream is down because MissedHeartbeats
// consecutive heartbeats are missing.
func (g *Gate) heartbeatOverdue(now time.Time) bool {
	return now.Sub(g.upstream.lastHeartbeat) > g.heartbeatTimeout()
}

// heartbeatTimeout returns the time without a heartbeat after which the upstream is
// considered down.
func (g *Gate) heartbeatTimeout() time.Duration {
	return time.Duration(g.config.MissedHeartbeats) * g.config.HeartbeatInterval
}

// State returns the state of the upstream.
func (g *Gate) State(now time.Time) bramleyfall.UpstreamState {
	u := &g.upstream
	switch {
	case g.draining || u.draining || u.deregistered:
		return bramleyfall.UpstreamDraining
	case u.bootID == 0:
		return bramleyfall.UpstreamUnknown
	case g.heartbeatOverdue(now) || g.silent(now):
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
