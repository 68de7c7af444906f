package placement

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// open places an opening. A retransmission is forwarded to the agent that received the
// first copy, unless that agent is silent.
func (p *Placer) open(packet *bramleyfall.Packet, f *flowState, route *bramleyfall.Route, now time.Time) Decision {
	if f != nil && f.sequence == packet.Sequence && f.service != "" {
		f.lastUse = now
		if f.owner != nil && !f.owner.silent(p.config.SilentAfter, now) {
			return p.forward(packet.Flow, f.owner, now)
		}
	} else {
		f = &flowState{sequence: packet.Sequence, lastUse: now, service: pickService(route, packet.Flow.Hash())}
		p.flows[packet.Flow] = f
	}
	f.openingPacket = append(f.openingPacket[:0], packet.Raw...)
	return p.placeOpening(packet.Flow, f, route, now)
}

// pickService selects the service of a new flow according to the weights of the route.
func pickService(route *bramleyfall.Route, hash uint64) bramleyfall.ServiceName {
	total := uint64(0)
	for _, t := range route.Targets {
		total += uint64(t.Weight)
	}
	if total == 0 {
		return ""
	}
	// The low bits of the hash are reserved for the selection of the upstream.
	offset := (hash >> 20) % total
	for _, t := range route.Targets {
		if offset < uint64(t.Weight) {
			return t.Service
		}
		offset -= uint64(t.Weight)
	}
	return ""
}

// placeOpening sends an opening to the upstream with the lowest cost among those that
// have not refused it. When none of them is believed to have a free slot, the opening
// is placed as a last resort with the upstream that is expected to queue it for the
// shortest time. When no upstream is eligible, the caller is refused at once.
func (p *Placer) placeOpening(flow bramleyfall.Flow, f *flowState, route *bramleyfall.Route, now time.Time) Decision {
	if len(f.attempts) >= p.config.MaxAttempts {
		return p.refuseOpening(flow, f)
	}
	best, anyFree := p.bestUpstream(flow, f, route, now)
	if !anyFree && !f.lastResort {
		// Only upstreams that refused for lack of a free slot are tried again.
		f.lastResort = true
		f.attempts = withoutCapacityRefusals(f.attempts)
		best, _ = p.bestUpstream(flow, f, route, now)
	}
	if best == nil {
		return p.refuseOpening(flow, f)
	}
	best.placedSinceReport++
	best.lastPlaced = now
	f.owner = best
	p.openingTimers = append(p.openingTimers, openingTimer{flow: flow, sentAt: now, upstream: best})
	return Decision{
		Kind: bramleyfall.ActionPass, Flow: flow, Targets: p.singleTarget(best, now), Placed: true, LastResort: f.lastResort,
		Priority: route.Priority, Objective: route.Objective, Idempotent: route.Idempotent,
		Instance: best.Instance, Load: best.load, LoadAge: now.Sub(best.loadAt), Raw: f.openingPacket,
	}
}

// withoutCapacityRefusals returns the attempts that failed for other reasons than the
// lack of a free slot.
func withoutCapacityRefusals(attempts []attempt) []attempt {
	var kept []attempt
	for _, a := range attempts {
		if a.reason != bramleyfall.NotRunClass {
			kept = append(kept, a)
		}
	}
	return kept
}

// bestUpstream returns the upstream with the lowest cost among those that have not
// failed the opening, and whether any of them is believed to have a free slot.
func (p *Placer) bestUpstream(flow bramleyfall.Flow, f *flowState, route *bramleyfall.Route, now time.Time) (*upstream, bool) {
	var best *upstream
	var lowest float64
	anyFree := false
	hash := flow.Hash()
	for _, u := range p.services[f.service] {
		if p.snapshot.Out[u.Domain] || !u.acceptsFlows(&p.config, now) || f.hasFailedAt(u) {
			continue
		}
		cost := p.cost(u, hash, route.Idempotent, now)
		full := u.full(now)
		anyFree = anyFree || !full
		if full && !f.lastResort {
			cost += fullCost
		}
		if best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	return best, anyFree
}

// fullCost ranks upstreams without a free slot after those with one.
const fullCost = 10

// maxHashCost is the upper limit of the part of the cost that depends on the hash of
// the flow. It prevents balancers with the same information from all selecting the
// same upstream.
const maxHashCost = 0.06

func (p *Placer) cost(u *upstream, hash uint64, idempotent bool, now time.Time) float64 {
	cost := u.utilization(now)
	if u.Domain != p.config.Domain {
		cost += p.config.RemoteCost
	}
	switch u.load.State {
	case bramleyfall.UpstreamCold:
		cost += p.config.ColdCost
	case bramleyfall.UpstreamFailing:
		cost += failingCost
	case bramleyfall.UpstreamTrial:
		cost += trialCost(u, idempotent, now)
	}
	const buckets = 1 << 10
	return cost + maxHashCost*float64(u.key.Score(hash)%buckets)/buckets
}

const (
	// failingCost ranks upstreams that abort requests after all others, including
	// those without a free slot.
	failingCost = 20
	// trialInterval is the minimum time between two openings that a balancer places
	// with an upstream on trial, which was failing, to test whether it has recovered.
	trialInterval = 500 * time.Millisecond
)

// trialCost admits one opening per trialInterval, and only if requests of the flow may
// be repeated.
func trialCost(u *upstream, idempotent bool, now time.Time) float64 {
	if idempotent && now.Sub(u.lastPlaced) >= trialInterval {
		return 0
	}
	return failingCost
}

// hasFailedAt reports whether an attempt to place the opening with u has failed.
func (f *flowState) hasFailedAt(u *upstream) bool {
	for _, a := range f.attempts {
		if a.upstream == u {
			return true
		}
	}
	return false
}

// refuseOpening refuses an opening that no upstream accepts.
func (p *Placer) refuseOpening(flow bramleyfall.Flow, f *flowState) Decision {
	code := bramleyfall.NoUpstream
	if n := len(f.attempts); n > 0 {
		code = f.attempts[n-1].reason
	}
	delete(p.flows, flow)
	return Decision{
		Kind: bramleyfall.ActionRefuse, Code: code, Flow: flow,
		Reset: &bramleyfall.Segment{Flow: flow.Reverse(), Reset: true},
	}
}

// ReturnedByAgent decides on a packet that an agent returned.
func (p *Placer) ReturnedByAgent(packet *bramleyfall.Packet, from bramleyfall.Endpoint, code bramleyfall.ResultCode, now time.Time) []Decision {
	p.clearResults()
	if p.snapshot == nil {
		return nil
	}
	u := p.upstreams[from]
	if u != nil && code == bramleyfall.WrongService {
		u.wrongService = true
	}
	route := p.snapshot.Routes[packet.Flow.Destination]
	f := p.flows[packet.Flow]
	if route == nil || f == nil || u == nil || f.owner != u {
		return nil // another agent has answered in the meantime
	}
	if packet.Kind != bramleyfall.KindOpening {
		f.owner = nil
		p.lookUpOwner(packet, f, now)
		return p.decisions
	}
	if f.openingPacket == nil {
		return nil
	}
	f.owner = nil
	f.attempts = append(f.attempts, attempt{u, code})
	p.addDecision(p.placeOpening(packet.Flow, f, route, now))
	return p.decisions
}

// Tick places openings elsewhere whose agents did not answer within OpeningTimeout,
// advances and ends lookups, and removes idle flows and expired agents.
func (p *Placer) Tick(now time.Time) []Decision {
	p.clearResults()
	p.sweep(now)
	p.updateLookups(now)
	expired := 0
	for expired < len(p.openingTimers) && now.Sub(p.openingTimers[expired].sentAt) >= p.config.OpeningTimeout {
		expired++
	}
	unanswered := append([]openingTimer(nil), p.openingTimers[:expired]...)
	p.openingTimers = append(p.openingTimers[:0], p.openingTimers[expired:]...)
	for _, timer := range unanswered {
		f := p.flows[timer.flow]
		if f == nil || f.openingPacket == nil || f.owner != timer.upstream || p.snapshot == nil {
			continue
		}
		route := p.snapshot.Routes[timer.flow.Destination]
		if route == nil {
			continue
		}
		f.owner = nil
		f.attempts = append(f.attempts, attempt{timer.upstream, bramleyfall.NotRunUnavailable})
		p.addDecision(p.placeOpening(timer.flow, f, route, now))
	}
	return p.decisions
}
