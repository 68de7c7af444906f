package placement

import (
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// lookupFor is how long the owner of a flow is looked for: longer than a
	// silent agent is waited for.
	lookupFor = 1500 * time.Millisecond
	// lookupAgain is the least time between two lookups of one flow. A caller
	// repeats its packets after 200 ms.
	lookupAgain = 100 * time.Millisecond
	// maxHeld bounds the packets of one flow that wait for its owner, and
	// maxHeldFlows the flows: together some megabytes.
	maxHeld      = 6
	maxHeldFlows = 1024
)

// search is a lookup under way.
type search struct {
	// asked is the number of agents that were asked; zero when none is awaited.
	asked int
	at    time.Time
	// all is set when agents beside those of the route's services were asked.
	all bool
	// denied holds those that don't hold the flow.
	denied []bramleyfall.Endpoint
	// held are the packets that wait, offered the agents that have them already.
	held    [][]byte
	offered []*upstream
}

// lookup is an entry of the queue of flows whose owner is looked for.
type lookup struct {
	flow bramleyfall.Flow
	at   time.Time
}

// find asks the agents that may hold a flow whether they do, and keeps the packet
// until one says so. The packet itself isn't sent along: a balancer that takes
// over many flows at once would fill its link.
func (p *Placer) find(packet *bramleyfall.Packet, f *placed, route *bramleyfall.Route, now time.Time) {
	again := f.search.asked == 0 || now.Sub(f.search.at) >= lookupAgain
	if again {
		f.search = search{denied: f.search.denied[:0]}
	}
	if f.owner == nil && len(f.search.held) < maxHeld && len(p.lookups) < maxHeldFlows {
		f.search.held = append(f.search.held, slices.Clone(packet.Raw))
	}
	if !again {
		return
	}
	p.ask(packet.Flow, f, route, now)
	p.lookups = append(p.lookups, lookup{packet.Flow, now})
}

// ask sends a lookup to the agents of the services that the route goes to, or
// went to before; where there are none, to all.
func (p *Placer) ask(flow bramleyfall.Flow, f *placed, route *bramleyfall.Route, now time.Time) {
	first := len(p.targets)
	for _, t := range route.Targets {
		p.askEach(p.services[t.Service], now)
	}
	for _, name := range p.former[route.Address] {
		p.askEach(p.services[name], now)
	}
	if len(p.targets) == first {
		p.askAll(flow, f, now)
		return
	}
	p.decideLookup(flow, f, first, now)
}

// askAll sends a lookup to all agents. A balancer that joined lately doesn't
// know what services the route went to before.
func (p *Placer) askAll(flow bramleyfall.Flow, f *placed, now time.Time) {
	first := len(p.targets)
	for _, upstreams := range p.services {
		p.askEach(upstreams, now)
	}
	f.search.all = true
	p.decideLookup(flow, f, first, now)
}

func (p *Placer) askEach(upstreams []*upstream, now time.Time) {
	for _, u := range upstreams {
		u.sent(now)
		p.targets = append(p.targets, u.target())
	}
}

func (p *Placer) decideLookup(flow bramleyfall.Flow, f *placed, first int, now time.Time) {
	f.search.asked, f.search.at = len(p.targets)-first, now
	if f.search.asked == 0 {
		p.decide(Decision{Kind: bramleyfall.ActionDrop, Code: bramleyfall.NoUpstream, Flow: flow})
		return
	}
	p.decide(Decision{
		Kind: bramleyfall.ActionPass, Code: bramleyfall.NoOwner, Flow: flow,
		Targets: p.targets[first:], Lookup: true, Ack: f.ack,
	})
}

// Owned notes that an agent's upstream holds a flow, and sends it the packets
// that waited.
func (p *Placer) Owned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) []Decision {
	p.begin()
	u := p.upstreams[from]
	if u == nil {
		return nil
	}
	f := p.flows[flow]
	if f == nil {
		f = &placed{lastUse: now}
		p.flows[flow] = f
	}
	f.owner, f.pending, f.tried = u, nil, nil
	if !slices.Contains(f.search.offered, u) {
		p.deliver(flow, f, u, false, now)
	}
	f.search = search{}
	return p.decisions
}

// MayOwn notes that an agent can't tell whether its upstream holds a flow. The
// packets that wait are offered to it; it returns them if not.
func (p *Placer) MayOwn(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) []Decision {
	p.begin()
	u, f := p.upstreams[from], p.flows[flow]
	if u == nil || f == nil || f.search.asked == 0 || slices.Contains(f.search.offered, u) {
		return nil
	}
	f.search.offered = append(f.search.offered, u)
	p.deliver(flow, f, u, true, now)
	return p.decisions
}

func (p *Placer) deliver(flow bramleyfall.Flow, f *placed, u *upstream, offer bool, now time.Time) {
	for _, raw := range f.search.held {
		d := p.forward(flow, u, now)
		d.Raw, d.Offer = raw, offer
		p.decide(d)
	}
}

// NotOwned notes that an agent's upstream doesn't hold a flow. When no agent is
// left that may, its upstream is gone and the caller is told at once, so that it
// can open another.
func (p *Placer) NotOwned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) []Decision {
	p.begin()
	f := p.flows[flow]
	if f == nil || f.search.asked == 0 {
		return nil
	}
	if f.owner != nil && f.owner.Packets == from {
		f.owner = nil
	}
	if !slices.Contains(f.search.denied, from) {
		f.search.denied = append(f.search.denied, from)
	}
	p.conclude(flow, f, now)
	return p.decisions
}

// conclude resets a flow that no agent is left for. Where only some were asked,
// the others are asked first.
func (p *Placer) conclude(flow bramleyfall.Flow, f *placed, now time.Time) {
	if !p.lost(flow, f, now) {
		return
	}
	if !f.search.all && f.search.asked < len(p.upstreams) {
		if len(p.upstreams) <= p.config.MaxAsked {
			p.askAll(flow, f, now)
		}
		return
	}
	ack := f.ack
	delete(p.flows, flow)
	p.decide(Decision{
		Kind: bramleyfall.ActionRefuse, Code: bramleyfall.NoOwner, Flow: flow,
		Reset: &bramleyfall.Segment{Flow: flow.Reverse(), Sequence: ack, Reset: true},
	})
}

// lost reports whether none of the agents that were asked may hold a flow: each
// has denied it or is silent. When all are silent, it is the balancer that is
// cut off.
func (p *Placer) lost(flow bramleyfall.Flow, f *placed, now time.Time) bool {
	if len(f.search.denied) == 0 {
		return false
	}
	after := p.config.LostAfter
	if route := p.snapshot.Routes[flow.Destination]; route != nil && !route.Idempotent {
		after = p.config.OrderLostAfter
	}
	open := f.search.asked
	for _, u := range p.upstreams {
		if slices.Contains(f.search.denied, u.Packets) || u.silent(after, now) {
			open--
		}
	}
	return open <= 0
}

// checkLookups concludes the lookups whose last possible owners have gone silent
// since they were asked.
func (p *Placer) checkLookups(now time.Time) {
	kept := p.lookups[:0]
	for _, l := range p.lookups {
		f := p.flows[l.flow]
		if f == nil || f.search.asked == 0 {
			continue
		}
		p.conclude(l.flow, f, now)
		if now.Sub(l.at) < lookupFor {
			kept = append(kept, l)
			continue
		}
		f.search = search{}
	}
	p.lookups = kept
}
