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
	// lookupAgain is the time after which a search that found nobody is begun
	// anew by the caller's next packet.
	lookupAgain = 500 * time.Millisecond
	// offersAtOnce is the number of agents that have a packet at the same time.
	// After a restart of all agents none of them can tell whether its upstream
	// holds a flow; sending a packet to all would fill the balancer's link.
	offersAtOnce = 3
	// maxHeld bounds the packets of one flow that wait for its owner, and
	// maxHeldFlows the flows: together some megabytes.
	maxHeld      = 6
	maxHeldFlows = 1024
)

// search is a lookup under way.
type search struct {
	// since is when the flow's agent was first looked for, began when the search
	// was begun anew, stage how far it has spread, at when it did so last.
	since time.Time
	began time.Time
	stage stage
	at    time.Time
	// asked holds the agents whose answer decides, in the order in which they were
	// asked.
	asked []question
	// denied holds those that don't hold the flow.
	denied []bramleyfall.Endpoint
	// held are the packets that wait. Unsure are the agents that can't tell whether
	// their upstream holds the flow, offered those that have the packets already.
	held            [][]byte
	unsure, offered []*upstream
	// heldData is set when the first of them carries data.
	heldData bool
}

// question is one that an agent was asked.
type question struct {
	to *upstream
	at time.Time
}

// asks reports whether an agent was asked.
func (s *search) asks(u *upstream) bool {
	return slices.ContainsFunc(s.asked, func(q question) bool { return q.to == u })
}

// answered reports whether an agent has said what it knows of the flow.
func (s *search) answered(u *upstream) bool {
	return slices.Contains(s.denied, u.Packets) || slices.Contains(s.unsure, u)
}

// hold keeps a packet. The first is the one that is offered: one with data, if
// there is any by then, since an upstream answers those.
func (s *search) hold(packet *bramleyfall.Packet) {
	if len(s.held) >= maxHeld {
		return
	}
	at := len(s.held)
	if packet.Length > 0 && !s.heldData && len(s.offered) == 0 {
		s.heldData, at = true, 0
	}
	s.held = slices.Insert(s.held, at, slices.Clone(packet.Raw))
}

// toOffer returns the packet that is offered, if there is one.
func (s *search) toOffer() [][]byte { return s.held[:min(1, len(s.held))] }

// stage tells which agents a search has reached.
type stage uint8

// The stages of a search. Each asks fewer agents than the next would.
const (
	stageNone stage = iota
	// stageOwnDomain reaches the agents of the balancer's failure domain.
	stageOwnDomain
	// stageServices reaches all agents of the services that the route goes to, or
	// went to before.
	stageServices
	// stageAll reaches all agents. A balancer that joined lately doesn't know what
	// services a route went to before.
	stageAll
)

// lookup is an entry of the queue of flows whose owner is looked for.
type lookup struct {
	flow bramleyfall.Flow
	at   time.Time
}

// find asks the agents that may hold a flow whether they do, and keeps the packet
// until one says so. The packet itself isn't sent along: a balancer that takes
// over many flows at once would fill its link. Those that have denied the flow
// aren't asked again.
func (p *Placer) find(packet *bramleyfall.Packet, f *placed, now time.Time) {
	s := &f.search
	again := s.stage == stageNone || now.Sub(s.began) >= lookupAgain
	if again {
		since := s.since
		if since.IsZero() {
			since = now
		}
		*s = search{denied: s.denied, since: since, began: now}
	}
	if f.owner == nil && len(p.lookups) < maxHeldFlows {
		s.hold(packet)
	}
	if !again {
		return
	}
	p.lookups = append(p.lookups, lookup{packet.Flow, now})
	first := stageOwnDomain
	if len(s.denied) > 0 || f.owner != nil || !p.config.OwnDomainFirst {
		first = stageServices
	}
	p.spread(packet.Flow, f, first, now)
}

// spread asks the agents of a stage that weren't asked yet. Where there are none,
// it goes on to the next.
func (p *Placer) spread(flow bramleyfall.Flow, f *placed, to stage, now time.Time) {
	s := &f.search
	first := len(p.targets)
	for ; to <= stageAll && len(p.targets) == first; to++ {
		if to == stageAll && len(p.upstreams) > p.config.MaxQueriedAgents {
			break
		}
		s.stage, s.at = to, now
		p.askStage(flow, s, to, now)
	}
	p.ask(flow, f, p.targets[first:])
}

func (p *Placer) askStage(flow bramleyfall.Flow, s *search, to stage, now time.Time) {
	if to == stageAll {
		for _, upstreams := range p.services {
			p.askEach(s, upstreams, "", now)
		}
		return
	}
	domain := bramleyfall.DomainName("")
	if to == stageOwnDomain {
		domain = p.config.Domain
	}
	if route := p.snapshot.Routes[flow.Destination]; route != nil {
		for _, t := range route.Targets {
			p.askEach(s, p.services[t.Service], domain, now)
		}
	}
	for _, name := range p.former[flow.Destination] {
		p.askEach(s, p.services[name], domain, now)
	}
}

// askEach asks those agents of a failure domain, or of all, that weren't asked.
func (p *Placer) askEach(s *search, upstreams []*upstream, domain bramleyfall.DomainName, now time.Time) {
	for _, u := range upstreams {
		if domain != "" && u.Domain != domain || s.asks(u) || slices.Contains(s.denied, u.Packets) {
			continue
		}
		u.sent(now)
		s.asked = append(s.asked, question{u, now})
		p.targets = append(p.targets, u.target())
	}
}

// askAgain asks those agents once more that were heard for the first time since
// they were asked.
func (p *Placer) askAgain(flow bramleyfall.Flow, f *placed, now time.Time) {
	s := &f.search
	first := len(p.targets)
	for i := range s.asked {
		q := &s.asked[i]
		if !q.to.heardAt.After(q.at) || s.answered(q.to) {
			continue
		}
		q.at = now
		q.to.sent(now)
		p.targets = append(p.targets, q.to.target())
	}
	p.ask(flow, f, p.targets[first:])
}

// ask asks agents whether they hold a flow.
func (p *Placer) ask(flow bramleyfall.Flow, f *placed, targets []Target) {
	if len(targets) == 0 {
		return
	}
	p.decide(Decision{
		Kind: bramleyfall.ActionPass, Code: bramleyfall.NoOwner, Flow: flow, Targets: targets, Lookup: true, Ack: f.ack,
	})
}

// FlowOwned records that an agent's upstream holds a flow, and forwards the waiting
// packets to it.
func (p *Placer) FlowOwned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) []Decision {
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
	rest := f.search.held
	if len(rest) > 0 && slices.Contains(f.search.offered, u) {
		rest = rest[1:]
	}
	p.deliver(flow, u, rest, false, now)
	f.search = search{}
	return p.decisions
}

// FlowMayBeOwned records that an agent cannot tell whether its upstream holds a
// flow. A waiting packet is forwarded to it tentatively; the agent returns the
// packet if the upstream does not hold the flow.
func (p *Placer) FlowMayBeOwned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) []Decision {
	p.begin()
	u, f := p.upstreams[from], p.flows[flow]
	if u == nil || f == nil || f.search.stage == stageNone || slices.Contains(f.search.unsure, u) {
		return nil
	}
	f.search.unsure = append(f.search.unsure, u)
	p.offer(flow, f, now)
	return p.decisions
}

// offer sends the first packet that waits to the next agents that may hold the
// flow.
func (p *Placer) offer(flow bramleyfall.Flow, f *placed, now time.Time) {
	s := &f.search
	open := 0
	for _, u := range s.offered {
		if !slices.Contains(s.denied, u.Packets) {
			open++
		}
	}
	for len(s.offered) < len(s.unsure) && open < offersAtOnce {
		u := s.unsure[len(s.offered)]
		s.offered = append(s.offered, u)
		p.deliver(flow, u, s.toOffer(), true, now)
		open++
	}
}

// offerMore sends it on while agents that have it don't answer.
func (p *Placer) offerMore(flow bramleyfall.Flow, f *placed, now time.Time) {
	s := &f.search
	for n := 0; n < offersAtOnce && len(s.offered) < len(s.unsure); n++ {
		u := s.unsure[len(s.offered)]
		s.offered = append(s.offered, u)
		p.deliver(flow, u, s.toOffer(), true, now)
	}
}

func (p *Placer) deliver(flow bramleyfall.Flow, u *upstream, packets [][]byte, offer bool, now time.Time) {
	for _, raw := range packets {
		d := p.forward(flow, u, now)
		d.Raw, d.Tentative = raw, offer
		p.decide(d)
	}
}

// FlowNotOwned records that an agent's upstream does not hold a flow. If no agent
// is left that may hold it, the flow's upstream is gone and the caller gets a reset
// at once, so that it can open another flow.
func (p *Placer) FlowNotOwned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) []Decision {
	p.begin()
	f := p.flows[flow]
	if f == nil || f.search.stage == stageNone {
		return nil
	}
	if f.owner != nil && f.owner.Packets == from {
		f.owner = nil
	}
	if !slices.Contains(f.search.denied, from) {
		f.search.denied = append(f.search.denied, from)
	}
	p.offer(flow, f, now)
	p.conclude(flow, f, now)
	return p.decisions
}

// conclude spreads a search that has found nobody so far, and resets the flow
// when no agent is left that may hold it.
func (p *Placer) conclude(flow bramleyfall.Flow, f *placed, now time.Time) {
	s := &f.search
	for {
		switch {
		case s.stage == stageOwnDomain && !p.deniedByAll(s) && now.Sub(s.at) < ownDomainWithin:
			return
		case s.stage != stageOwnDomain && !p.lost(flow, f, now):
			return
		}
		before, first := s.stage, len(p.targets)
		p.spread(flow, f, min(before+1, stageAll), now)
		switch {
		case len(p.targets) > first:
			return // others may hold it, such as were listed since
		case before == stageAll && p.complete(s, now):
			p.resetLost(flow, f)
			return
		case s.stage == before:
			return
		}
	}
}

func (p *Placer) resetLost(flow bramleyfall.Flow, f *placed) {
	delete(p.flows, flow)
	p.decide(Decision{
		Kind: bramleyfall.ActionRefuse, Code: bramleyfall.NoOwner, Flow: flow,
		Reset: &bramleyfall.Segment{Flow: flow.Reverse(), Sequence: f.ack, Reset: true},
	})
}

// ownDomainWithin is the time that agents of the balancer's own failure domain
// have to answer: many round trips within it.
const ownDomainWithin = 15 * time.Millisecond

func (p *Placer) deniedByAll(s *search) bool {
	for _, q := range s.asked {
		if !slices.Contains(s.denied, q.to.Packets) {
			return false
		}
	}
	return true
}

// lost reports whether none of the agents that were asked may hold a flow: each
// has denied it or is silent. When all are silent, it is the balancer that is
// cut off.
func (p *Placer) lost(flow bramleyfall.Flow, f *placed, now time.Time) bool {
	if len(f.search.denied) == 0 {
		return false
	}
	route := p.snapshot.Routes[flow.Destination]
	repeated := route == nil || route.Idempotent
	for _, q := range f.search.asked {
		if !slices.Contains(f.search.denied, q.to.Packets) && !q.to.silent(p.lostAfter(q.to, repeated), now) {
			return false
		}
	}
	return true
}

// lostAfter is the time without a message after which an agent's flows are given up.
func (p *Placer) lostAfter(u *upstream, repeated bool) time.Duration {
	switch {
	case u.withdrawn:
		return p.config.OpeningTimeout // it answers at once, if it is there at all
	case repeated && u.heardAt.IsZero():
		return p.config.UnheardFlowLossTimeout
	}
	return p.config.FlowLossTimeout
}

// endSearch ends a search that waited too long, and names an agent that didn't
// answer. The packets are discarded: their caller repeats them.
func (p *Placer) endSearch(flow bramleyfall.Flow, f *placed, now time.Time) {
	d := Decision{Kind: bramleyfall.ActionDrop, Code: bramleyfall.StaleInstance, Flow: flow}
	for _, q := range f.search.asked {
		if !slices.Contains(f.search.denied, q.to.Packets) {
			d.Instance, d.Load, d.LoadAge = q.to.Instance, q.to.load, now.Sub(q.to.loadAt)
		}
	}
	f.search = search{}
	p.decide(d)
}

// checkLookups concludes the lookups whose last possible owners have gone silent
// since they were asked.
func (p *Placer) checkLookups(now time.Time) {
	kept := p.lookups[:0]
	for _, l := range p.lookups {
		f := p.flows[l.flow]
		if f == nil || f.search.stage == stageNone {
			continue
		}
		p.askAgain(l.flow, f, now)
		p.offerMore(l.flow, f, now)
		p.conclude(l.flow, f, now)
		if now.Sub(l.at) < lookupFor {
			kept = append(kept, l)
			continue
		}
		if f.search.began.Equal(l.at) {
			p.endSearch(l.flow, f, now)
		}
	}
	p.lookups = kept
}
