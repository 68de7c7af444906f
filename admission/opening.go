package admission

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// open decides on an opening. A copy of one that the upstream was given goes to
// it again, unless it doesn't answer.
func (g *Gate) open(p *bramleyfall.Packet, f *flow, o ForwardMetadata, now time.Time) bramleyfall.Action {
	if f != nil && f.state != g.chart.Closed && f.opening == p.Sequence {
		if f.state == g.chart.Opening && g.silent(now) {
			return pass(p, bramleyfall.NotRunUnavailable)
		}
		return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow}
	}
	if code := g.admit(p.Flow.Destination, o, now); code != bramleyfall.OK {
		return pass(p, code)
	}
	if f != nil {
		g.forget(p.Flow, f, now)
	}
	f = &flow{state: g.chart.Opening, opening: p.Sequence, lastUse: now}
	g.flows[p.Flow] = f
	g.live++
	g.setWaiting(f, true, now)
	g.upstream.delivered(&g.upstream.openingSince, now)
	if g.upstream.cold(now) {
		g.cold.add(now)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow, Opened: true}
}

// admit reports whether the upstream takes one more flow.
func (g *Gate) admit(address bramleyfall.Endpoint, o ForwardMetadata, now time.Time) bramleyfall.ResultCode {
	if code := g.allowed(address, o); code != bramleyfall.OK {
		return code
	}
	if code := g.admitByState(o, now); code != bramleyfall.OK {
		return code
	}
	limits := g.limits()
	if limits.Connections > 0 && g.live >= limits.Connections {
		return bramleyfall.NotRunFull
	}
	if g.busy >= g.busyLimit(o, now) {
		return bramleyfall.NotRunClass
	}
	return bramleyfall.OK
}

// allowed reports whether operators let the upstream take flows to an address,
// by the newer of the balancer's and the agent's configurations.
func (g *Gate) allowed(address bramleyfall.Endpoint, o ForwardMetadata) bramleyfall.ResultCode {
	s := g.snapshot
	switch {
	case o.Service != g.config.Service.Key():
		return bramleyfall.WrongService
	case s != nil && s.Version >= o.Version && !s.Allows(address, g.config.Service):
		return bramleyfall.WrongService
	case s != nil && g.out(s):
		return bramleyfall.NotRunDomainOut
	}
	return bramleyfall.OK
}

// admitByState reports whether the state of the upstream allows a new flow.
func (g *Gate) admitByState(o ForwardMetadata, now time.Time) bramleyfall.ResultCode {
	switch g.State(now) {
	case bramleyfall.UpstreamUnknown, bramleyfall.UpstreamSilent:
		return bramleyfall.NotRunUnavailable
	case bramleyfall.UpstreamDraining:
		return bramleyfall.NotRunDraining
	case bramleyfall.UpstreamFailing:
		if !o.LastResort {
			return bramleyfall.NotRunFailing
		}
	case bramleyfall.UpstreamTrial:
		if !o.LastResort && (!o.Idempotent || g.busy > 0) {
			return bramleyfall.NotRunFailing
		}
	}
	rate := g.limits().ColdRate
	if g.upstream.cold(now) && rate > 0 && g.cold.count(now) >= coldLimit(rate) {
		return bramleyfall.NotRunWarmUp
	}
	return bramleyfall.OK
}

// busyLimit is the number of requests under way from which on an opening is
// refused. It answers a wave of requests above the upstreams' capacity: as long
// as another upstream may have a free slot none waits for one. When all are
// taken, a request may wait for as long as its answer is still in time; once the
// queue has stood for longer than in a burst, the most important ones longest.
func (g *Gate) busyLimit(o ForwardMetadata, now time.Time) int {
	slots := g.upstream.slots
	if !o.LastResort {
		return slots
	}
	perSlot, share := g.config.QueuePerSlot, g.config.ObjectiveShare
	if g.upstream.cold(now) {
		share = g.config.ColdObjectiveShare
	}
	if o.Objective > 0 {
		perSlot = min(perSlot, max(0, share*float64(o.Objective)/float64(g.work.get())-1))
	}
	if o.Priority > importantPriority && g.queue.stands(now) {
		perSlot *= g.config.LowPriorityQueueShare
	}
	return slots + int(perSlot*float64(slots)+0.5)
}

// importantPriority is the last priority whose openings may use the whole
// queue: that of the users' orders.
const importantPriority bramleyfall.Priority = 1

// coldLimit is the number of openings that a cold upstream takes in one second:
// what it bears, or one where that is less.
func coldLimit(rate float64) int { return max(1, int(rate)) }

// silent reports whether the upstream leaves packets unanswered.
func (g *Gate) silent(now time.Time) bool {
	u := &g.upstream
	return overdue(u.openingSince, g.config.OpeningTimeout, now) || overdue(u.requestSince, g.config.RequestTimeout, now)
}

func overdue(since time.Time, within time.Duration, now time.Time) bool {
	return !since.IsZero() && now.Sub(since) > within
}

// Sweep removes flows that are closed or have timed out, and frees the slots of
// half-open flows whose SlotReservation has ended. If the upstream is away, Sweep
// returns resets for the callers of its open flows.
func (g *Gate) Sweep(now time.Time) []bramleyfall.Segment {
	if g.upstream.boot != 0 && g.away(now) {
		return g.endFlows(now)
	}
	idle := g.lifetime()
	for key, f := range g.flows {
		age := now.Sub(f.lastUse)
		opening := f.state == g.chart.Opening || f.state == g.chart.HalfOpen
		switch {
		case f.state == g.chart.Closed && age > closedLinger, opening && age > openingTimeout, age > idle:
			g.forget(key, f, now)
		case opening && f.waiting && age > g.config.SlotReservation:
			g.setWaiting(f, false, now)
		}
	}
	return nil
}

const (
	// closedLinger is the time for which a closed flow is kept for the last
	// packets on their way: the upstream's longest time between two copies.
	closedLinger = 2 * time.Second
	// openingTimeout is the time in which a caller completes an opening: it gives
	// up after 1.4 s.
	openingTimeout = 2 * time.Second
)
