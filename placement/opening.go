package placement

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// open places an opening. A copy goes to the agent that has the first one,
// while that agent answers.
func (p *Placer) open(packet *bramleyfall.Packet, f *placed, route *bramleyfall.Route, now time.Time) Decision {
	if f != nil && f.sequence == packet.Sequence && f.service != "" {
		f.lastUse = now
		if f.owner != nil && !f.owner.silent(p.config.SilentAfter, now) {
			return p.forward(packet.Flow, f.owner, now)
		}
	} else {
		f = &placed{sequence: packet.Sequence, lastUse: now, service: pick(route, packet.Flow.Hash())}
		p.flows[packet.Flow] = f
	}
	f.pending = append(f.pending[:0], packet.Raw...)
	return p.place(packet.Flow, f, route, now)
}

// pick chooses the service of a new flow by the weights of the route.
func pick(route *bramleyfall.Route, hash uint64) bramleyfall.ServiceName {
	total := uint64(0)
	for _, t := range route.Targets {
		total += uint64(t.Weight)
	}
	if total == 0 {
		return ""
	}
	// The low bits are left to the choice of the upstream.
	at := (hash >> 20) % total
	for _, t := range route.Targets {
		if at < uint64(t.Weight) {
			return t.Service
		}
		at -= uint64(t.Weight)
	}
	return ""
}

// place offers an opening to the best upstream that hasn't refused it. When all
// have, the one that would queue it for the shortest time must take it; when
// none can, the caller is refused at once.
func (p *Placer) place(flow bramleyfall.Flow, f *placed, route *bramleyfall.Route, now time.Time) Decision {
	if len(f.tried) >= p.config.MaxTries {
		return p.giveUp(flow, f)
	}
	best, anyFree := p.best(flow, f, route, now)
	if !anyFree && !f.must {
		// Only those that refused for want of a slot are asked again.
		f.must = true
		f.tried = keepHopeless(f.tried)
		best, _ = p.best(flow, f, route, now)
	}
	if best == nil {
		return p.giveUp(flow, f)
	}
	best.placed++
	best.lastPlaced = now
	f.owner = best
	p.openings = append(p.openings, opening{flow: flow, at: now, to: best})
	return Decision{
		Kind: bramleyfall.ActionPass, Flow: flow, Targets: p.to(best, now), Placed: true, LastResort: f.must,
		Priority: route.Priority, Objective: route.Objective, Idempotent: route.Idempotent,
		Instance: best.Instance, Load: best.load, LoadAge: now.Sub(best.loadAt), Raw: f.pending,
	}
}

// keepHopeless drops the attempts that failed for want of a slot only.
func keepHopeless(tried []attempt) []attempt {
	var kept []attempt
	for _, a := range tried {
		if a.code != bramleyfall.NotRunClass {
			kept = append(kept, a)
		}
	}
	return kept
}

// best returns the upstream with the least cost that hasn't failed the opening,
// and whether one is believed to have a free slot.
func (p *Placer) best(flow bramleyfall.Flow, f *placed, route *bramleyfall.Route, now time.Time) (*upstream, bool) {
	var best *upstream
	var least float64
	anyFree := false
	hash := flow.Hash()
	for _, u := range p.services[f.service] {
		if p.snapshot.Out[u.Domain] || !u.takes(&p.config, now) || f.hasTried(u) {
			continue
		}
		cost := p.cost(u, hash, route.Idempotent, now)
		full := u.full(now)
		anyFree = anyFree || !full
		if full && !f.must {
			cost += fullCost
		}
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	return best, anyFree
}

// fullCost puts upstreams with a free slot before those without.
const fullCost = 10

// spreadCost is the greatest part of a cost that differs from flow to flow, so
// that balancers with the same knowledge don't all choose the same upstream.
const spreadCost = 0.06

func (p *Placer) cost(u *upstream, hash uint64, idempotent bool, now time.Time) float64 {
	cost := u.use(now)
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
	return cost + spreadCost*float64(u.key.Score(hash)%buckets)/buckets
}

const (
	// failingCost puts upstreams that break requests off after all others, also
	// after those that would queue.
	failingCost = 20
	// trialEvery is the time between two openings that a balancer tries an
	// upstream by which was failing.
	trialEvery = 500 * time.Millisecond
)

// trialCost lets one opening through from time to time, of those whose requests
// may be repeated.
func trialCost(u *upstream, idempotent bool, now time.Time) float64 {
	if idempotent && now.Sub(u.lastPlaced) >= trialEvery {
		return 0
	}
	return failingCost
}

func (f *placed) hasTried(u *upstream) bool {
	for _, a := range f.tried {
		if a.upstream == u {
			return true
		}
	}
	return false
}

// giveUp refuses an opening that no upstream takes.
func (p *Placer) giveUp(flow bramleyfall.Flow, f *placed) Decision {
	code := bramleyfall.NoUpstream
	if n := len(f.tried); n > 0 {
		code = f.tried[n-1].code
	}
	delete(p.flows, flow)
	return Decision{
		Kind: bramleyfall.ActionRefuse, Code: code, Flow: flow,
		Reset: &bramleyfall.Segment{Flow: flow.Reverse(), Reset: true},
	}
}

// ReturnedByAgent decides on a packet that an agent returned.
func (p *Placer) ReturnedByAgent(packet *bramleyfall.Packet, from bramleyfall.Endpoint, code bramleyfall.ResultCode, now time.Time) []Decision {
	p.begin()
	if p.snapshot == nil {
		return nil
	}
	u := p.upstreams[from]
	if u != nil && code == bramleyfall.WrongService {
		u.foreign = true
	}
	route := p.snapshot.Routes[packet.Flow.Destination]
	f := p.flows[packet.Flow]
	if route == nil || f == nil || u == nil || f.owner != u {
		return nil // answered by another meanwhile
	}
	if packet.Kind != bramleyfall.KindOpening {
		f.owner = nil
		p.find(packet, f, now)
		return p.decisions
	}
	if f.pending == nil {
		return nil
	}
	f.owner = nil
	f.tried = append(f.tried, attempt{u, code})
	p.decide(p.place(packet.Flow, f, route, now))
	return p.decisions
}

// Tick places openings elsewhere whose agents did not answer in time, advances and
// ends lookups, and removes idle flows and agents that are gone.
func (p *Placer) Tick(now time.Time) []Decision {
	p.begin()
	p.sweep(now)
	p.checkLookups(now)
	due := 0
	for due < len(p.openings) && now.Sub(p.openings[due].at) >= p.config.OpeningTimeout {
		due++
	}
	late := append([]opening(nil), p.openings[:due]...)
	p.openings = append(p.openings[:0], p.openings[due:]...)
	for _, o := range late {
		f := p.flows[o.flow]
		if f == nil || f.pending == nil || f.owner != o.to || p.snapshot == nil {
			continue
		}
		route := p.snapshot.Routes[o.flow.Destination]
		if route == nil {
			continue
		}
		f.owner = nil
		f.tried = append(f.tried, attempt{o.to, bramleyfall.NotRunUnavailable})
		p.decide(p.place(o.flow, f, route, now))
	}
	return p.decisions
}
