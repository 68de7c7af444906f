package admission

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// handleOpening decides on an opening. A retransmission of an admitted opening is
// delivered again, unless the upstream is silent.
func (g *Gate) handleOpening(p *bramleyfall.Packet, f *flow, metadata ForwardMetadata, now time.Time) bramleyfall.Action {
	if f != nil && f.state != g.chart.Closed && f.openingSequence == p.Sequence {
		if f.state == g.chart.Opening && g.silent(now) {
			return pass(p, bramleyfall.NotRunUnavailable)
		}
		return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow}
	}
	if code := g.admit(p.Flow.Destination, metadata, now); code != bramleyfall.OK {
		return pass(p, code)
	}
	if f != nil {
		g.removeFlow(p.Flow, f, now)
	}
	f = &flow{state: g.chart.Opening, openingSequence: p.Sequence, lastPacket: now}
	g.flows[p.Flow] = f
	g.openFlows++
	g.setActive(f, true, now)
	g.upstream.packetDelivered(&g.upstream.openingUnansweredSince, now)
	if g.upstream.cold(now) {
		g.coldOpenings.add(now)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow, Opened: true}
}

// admit returns OK if the upstream accepts one more flow, otherwise the reason why
// not.
func (g *Gate) admit(address bramleyfall.Endpoint, metadata ForwardMetadata, now time.Time) bramleyfall.ResultCode {
	if code := g.allowed(address, metadata); code != bramleyfall.OK {
		return code
	}
	if code := g.admitByState(metadata, now); code != bramleyfall.OK {
		return code
	}
	limits := g.limits()
	if limits.Connections > 0 && g.openFlows >= limits.Connections {
		return bramleyfall.NotRunFull
	}
	if g.activeRequests >= g.activeLimit(metadata, now) {
		return bramleyfall.NotRunClass
	}
	return bramleyfall.OK
}

// allowed returns OK if the configuration allows the upstream to receive flows to
// an address, otherwise the reason why not. If the balancer's configuration is newer
// than the agent's, the balancer's choice of the service is trusted.
func (g *Gate) allowed(address bramleyfall.Endpoint, metadata ForwardMetadata) bramleyfall.ResultCode {
	s := g.snapshot
	switch {
	case metadata.Service != g.config.Service.Key():
		return bramleyfall.WrongService
	case s != nil && s.Version >= metadata.Version && !s.Allows(address, g.config.Service):
		return bramleyfall.WrongService
	case s != nil && g.outOfService(s):
		return bramleyfall.NotRunDomainOut
	}
	return bramleyfall.OK
}

// admitByState returns OK if the state of the upstream allows a new flow, otherwise
// the reason why not.
func (g *Gate) admitByState(metadata ForwardMetadata, now time.Time) bramleyfall.ResultCode {
	switch g.State(now) {
	case bramleyfall.UpstreamUnknown, bramleyfall.UpstreamSilent:
		return bramleyfall.NotRunUnavailable
	case bramleyfall.UpstreamDraining:
		return bramleyfall.NotRunDraining
	case bramleyfall.UpstreamFailing:
		if !metadata.LastResort {
			return bramleyfall.NotRunFailing
		}
	case bramleyfall.UpstreamTrial:
		if !metadata.LastResort && (!metadata.Idempotent || g.activeRequests > 0) {
			return bramleyfall.NotRunFailing
		}
	}
	rate := g.limits().ColdRate
	if g.upstream.cold(now) && rate > 0 && g.coldOpenings.count(now) >= coldOpeningLimit(rate) {
		return bramleyfall.NotRunWarmUp
	}
	return bramleyfall.OK
}

// activeLimit returns the number of active requests at which an opening is refused.
// It limits queueing when the requests exceed the capacity of the upstreams: no
// request is queued while another upstream may have a free slot. When all slots are
// taken, a request may be queued if its answer is still expected within the
// objective. In a standing queue, high-priority requests may wait longer than others.
func (g *Gate) activeLimit(metadata ForwardMetadata, now time.Time) int {
	slots := g.upstream.slots
	if !metadata.LastResort {
		return slots
	}
	perSlot, share := g.config.QueuePerSlot, g.config.ObjectiveShare
	if g.upstream.cold(now) {
		share = g.config.ColdObjectiveShare
	}
	if metadata.Objective > 0 {
		perSlot = min(perSlot, max(0, share*float64(metadata.Objective)/float64(g.processingTime.estimate())-1))
	}
	if metadata.Priority > fullQueuePriority && g.queue.standing(now) {
		perSlot *= g.config.LowPriorityQueueShare
	}
	return slots + int(perSlot*float64(slots)+0.5)
}

// fullQueuePriority is the lowest priority (greatest value) whose openings may use
// the whole of a standing queue. It is the priority of orders placed by users.
const fullQueuePriority bramleyfall.Priority = 1

// coldOpeningLimit returns the number of openings that a cold upstream accepts per
// second: its configured rate, but at least one.
func coldOpeningLimit(rate float64) int { return max(1, int(rate)) }

// silent reports whether an opening or request has been unanswered for longer than
// its timeout.
func (g *Gate) silent(now time.Time) bool {
	u := &g.upstream
	return overdue(u.openingUnansweredSince, g.config.OpeningTimeout, now) || overdue(u.requestUnansweredSince, g.config.RequestTimeout, now)
}

func overdue(since time.Time, timeout time.Duration, now time.Time) bool {
	return !since.IsZero() && now.Sub(since) > timeout
}

// Sweep removes flows that are closed or have timed out, and frees the slots of
// half-open flows whose SlotReservation has ended. If the upstream is down, Sweep
// removes all flows and returns resets for the callers of the open ones.
func (g *Gate) Sweep(now time.Time) []bramleyfall.Segment {
	if g.upstream.bootID != 0 && g.heartbeatOverdue(now) {
		return g.endFlows(now)
	}
	idleTimeout := g.idleTimeout()
	for key, f := range g.flows {
		age := now.Sub(f.lastPacket)
		inHandshake := f.state == g.chart.Opening || f.state == g.chart.HalfOpen
		switch {
		case f.state == g.chart.Closed && age > closedFlowRetention, inHandshake && age > handshakeTimeout, age > idleTimeout:
			g.removeFlow(key, f, now)
		case inHandshake && f.active && age > g.config.SlotReservation:
			g.setActive(f, false, now)
		}
	}
	return nil
}

const (
	// closedFlowRetention is the time for which a closed flow is kept to handle its
	// last packets. It is the upstream's longest retransmission interval.
	closedFlowRetention = 2 * time.Second
	// handshakeTimeout is the time after which an incomplete handshake is discarded.
	// Callers abandon an opening after 1.4 s.
	handshakeTimeout = 2 * time.Second
)
