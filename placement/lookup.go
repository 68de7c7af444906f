package placement

import (
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// lookupTimeout is the maximum duration of a lookup. It exceeds the time for which
	// a lookup waits for silent agents.
	lookupTimeout = 1500 * time.Millisecond
	// lookupRestartInterval is the time after which the caller's next packet restarts
	// a lookup that has not found the owner.
	lookupRestartInterval = 500 * time.Millisecond
	// maxTentativeTargets is the number of agents that are sent a packet tentatively
	// at the same time. After a restart of all agents, none of them can tell whether
	// its upstream owns a flow; sending the packet to all of them would saturate the
	// balancer's link.
	maxTentativeTargets = 3
	// maxStoredPackets limits the packets that are stored per flow, and
	// maxFlowsWithStoredPackets the flows with stored packets, to a few megabytes in
	// total.
	maxStoredPackets          = 6
	maxFlowsWithStoredPackets = 1024
)

// lookup is the state of the lookup of a flow's owner.
type lookup struct {
	// firstStarted is when the lookup was started, startedAt when it was last started
	// or restarted. stage is the last stage that was started, at stageStartedAt.
	firstStarted   time.Time
	startedAt      time.Time
	stage          stage
	stageStartedAt time.Time
	// queries holds the queries to the agents whose answers decide the lookup, in the
	// order in which they were first sent.
	queries []query
	// nonOwners holds the agents that do not own the flow.
	nonOwners []bramleyfall.Endpoint
	// storedPackets are the packets that wait for the owner. possibleOwners are the
	// agents that cannot tell whether their upstream owns the flow. tentativeTargets
	// are the first of them, to which the first stored packet has been sent.
	storedPackets                    [][]byte
	possibleOwners, tentativeTargets []*upstream
	// firstHasData is set if the first stored packet carries data.
	firstHasData bool
}

// query asks an agent whether its upstream owns the flow.
type query struct {
	upstream *upstream
	sentAt   time.Time
}

func (l *lookup) hasQueried(u *upstream) bool {
	return slices.ContainsFunc(l.queries, func(q query) bool { return q.upstream == u })
}

// hasAnswered reports whether an agent has reported what it knows about the flow.
func (l *lookup) hasAnswered(u *upstream) bool {
	return slices.Contains(l.nonOwners, u.Packets) || slices.Contains(l.possibleOwners, u)
}

// storePacket stores a packet until the owner is found. Only the first stored packet
// is forwarded tentatively. A packet with data is preferred for this as long as none
// has been forwarded, because an upstream responds to data.
func (l *lookup) storePacket(packet *bramleyfall.Packet) {
	if len(l.storedPackets) >= maxStoredPackets {
		return
	}
	index := len(l.storedPackets)
	if packet.Length > 0 && !l.firstHasData && len(l.tentativeTargets) == 0 {
		l.firstHasData, index = true, 0
	}
	l.storedPackets = slices.Insert(l.storedPackets, index, slices.Clone(packet.Raw))
}

// tentativePacket returns the packet to forward tentatively, or nothing if no packet
// is stored.
func (l *lookup) tentativePacket() [][]byte { return l.storedPackets[:min(1, len(l.storedPackets))] }

// stage identifies the set of agents that a lookup queries.
type stage uint8

// Stages of a lookup, in order. Each covers more agents than the previous one.
const (
	stageNone stage = iota
	// stageOwnDomain covers the agents of the route's current and former services in
	// the balancer's own failure domain.
	stageOwnDomain
	// stageServices covers all agents of the route's current and former services.
	stageServices
	// stageAll covers all agents. A balancer that joined recently does not know the
	// former services of a route.
	stageAll
)

// lookupTimer is an entry of the queue of lookups in progress. A restart adds another
// entry for the same flow.
type lookupTimer struct {
	flow      bramleyfall.Flow
	startedAt time.Time
}

// lookUpOwner queries the agents that may own a flow, and stores the packet until one
// of them reports that it does. The packet is not part of the query: a balancer that
// takes over many flows at once would saturate its link. Agents that do not own the
// flow are not queried again.
func (p *Placer) lookUpOwner(packet *bramleyfall.Packet, f *flowState, now time.Time) {
	l := &f.lookup
	restart := l.stage == stageNone || now.Sub(l.startedAt) >= lookupRestartInterval
	if restart {
		firstStarted := l.firstStarted
		if firstStarted.IsZero() {
			firstStarted = now
		}
		*l = lookup{nonOwners: l.nonOwners, firstStarted: firstStarted, startedAt: now}
	}
	if f.owner == nil && len(p.lookupTimers) < maxFlowsWithStoredPackets {
		l.storePacket(packet)
	}
	if !restart {
		return
	}
	p.lookupTimers = append(p.lookupTimers, lookupTimer{packet.Flow, now})
	firstStage := stageOwnDomain
	if len(l.nonOwners) > 0 || f.owner != nil || !p.config.OwnDomainFirst {
		firstStage = stageServices
	}
	p.startStage(packet.Flow, f, firstStage, now)
}

// startStage queries the agents of a stage that have not been queried yet. If there
// are none, it proceeds to the following stage.
func (p *Placer) startStage(flow bramleyfall.Flow, f *flowState, next stage, now time.Time) {
	l := &f.lookup
	firstTarget := len(p.targets)
	for ; next <= stageAll && len(p.targets) == firstTarget; next++ {
		if next == stageAll && len(p.upstreams) > p.config.MaxQueriedAgents {
			break
		}
		l.stage, l.stageStartedAt = next, now
		p.queryStage(flow, l, next, now)
	}
	p.addLookupDecision(flow, f, p.targets[firstTarget:])
}

func (p *Placer) queryStage(flow bramleyfall.Flow, l *lookup, current stage, now time.Time) {
	if current == stageAll {
		for _, upstreams := range p.services {
			p.queryAgents(l, upstreams, "", now)
		}
		return
	}
	domain := bramleyfall.DomainName("")
	if current == stageOwnDomain {
		domain = p.config.Domain
	}
	if route := p.snapshot.Routes[flow.Destination]; route != nil {
		for _, t := range route.Targets {
			p.queryAgents(l, p.services[t.Service], domain, now)
		}
	}
	for _, name := range p.formerServices[flow.Destination] {
		p.queryAgents(l, p.services[name], domain, now)
	}
}

// queryAgents queries those of the given agents that have not been queried yet,
// restricted to a failure domain unless domain is empty.
func (p *Placer) queryAgents(l *lookup, upstreams []*upstream, domain bramleyfall.DomainName, now time.Time) {
	for _, u := range upstreams {
		if domain != "" && u.Domain != domain || l.hasQueried(u) || slices.Contains(l.nonOwners, u.Packets) {
			continue
		}
		u.noteSent(now)
		l.queries = append(l.queries, query{u, now})
		p.targets = append(p.targets, u.target())
	}
}

// repeatQueries repeats unanswered queries that were sent before the first message
// from their agent arrived: the agent may not have been running yet.
func (p *Placer) repeatQueries(flow bramleyfall.Flow, f *flowState, now time.Time) {
	l := &f.lookup
	firstTarget := len(p.targets)
	for i := range l.queries {
		q := &l.queries[i]
		if !q.upstream.firstHeardAt.After(q.sentAt) || l.hasAnswered(q.upstream) {
			continue
		}
		q.sentAt = now
		q.upstream.noteSent(now)
		p.targets = append(p.targets, q.upstream.target())
	}
	p.addLookupDecision(flow, f, p.targets[firstTarget:])
}

// addLookupDecision adds the decision to ask targets whether they own a flow.
func (p *Placer) addLookupDecision(flow bramleyfall.Flow, f *flowState, targets []Target) {
	if len(targets) == 0 {
		return
	}
	p.addDecision(Decision{
		Kind: bramleyfall.ActionPass, Code: bramleyfall.NoOwner, Flow: flow, Targets: targets, Lookup: true, Ack: f.ack,
	})
}

// FlowOwned records that an agent's upstream owns a flow, and forwards the stored
// packets to it.
func (p *Placer) FlowOwned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) []Decision {
	p.clearResults()
	u := p.upstreams[from]
	if u == nil {
		return nil
	}
	f := p.flows[flow]
	if f == nil {
		f = &flowState{lastUse: now}
		p.flows[flow] = f
	}
	f.owner, f.openingPacket, f.attempts = u, nil, nil
	packets := f.lookup.storedPackets
	if len(packets) > 0 && slices.Contains(f.lookup.tentativeTargets, u) {
		packets = packets[1:]
	}
	p.forwardStored(flow, u, packets, false, now)
	f.lookup = lookup{}
	return p.decisions
}

// FlowMayBeOwned records that an agent cannot tell whether its upstream owns a flow. A
// stored packet is forwarded to it tentatively; the agent returns the packet if the
// upstream does not own the flow.
func (p *Placer) FlowMayBeOwned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) []Decision {
	p.clearResults()
	u, f := p.upstreams[from], p.flows[flow]
	if u == nil || f == nil || f.lookup.stage == stageNone || slices.Contains(f.lookup.possibleOwners, u) {
		return nil
	}
	f.lookup.possibleOwners = append(f.lookup.possibleOwners, u)
	p.forwardTentatively(flow, f, now)
	return p.decisions
}

// forwardTentatively forwards the first stored packet to the next possible owners. It
// stops when maxTentativeTargets agents have the packet and have not reported that
// they do not own the flow.
func (p *Placer) forwardTentatively(flow bramleyfall.Flow, f *flowState, now time.Time) {
	l := &f.lookup
	outstanding := 0
	for _, u := range l.tentativeTargets {
		if !slices.Contains(l.nonOwners, u.Packets) {
			outstanding++
		}
	}
	for len(l.tentativeTargets) < len(l.possibleOwners) && outstanding < maxTentativeTargets {
		u := l.possibleOwners[len(l.tentativeTargets)]
		l.tentativeTargets = append(l.tentativeTargets, u)
		p.forwardStored(flow, u, l.tentativePacket(), true, now)
		outstanding++
	}
}

// forwardToMore forwards the first stored packet to up to maxTentativeTargets further
// possible owners. It is called on each tick while the agents that were sent the
// packet do not answer.
func (p *Placer) forwardToMore(flow bramleyfall.Flow, f *flowState, now time.Time) {
	l := &f.lookup
	for n := 0; n < maxTentativeTargets && len(l.tentativeTargets) < len(l.possibleOwners); n++ {
		u := l.possibleOwners[len(l.tentativeTargets)]
		l.tentativeTargets = append(l.tentativeTargets, u)
		p.forwardStored(flow, u, l.tentativePacket(), true, now)
	}
}

// forwardStored forwards stored packets to an agent.
func (p *Placer) forwardStored(flow bramleyfall.Flow, u *upstream, packets [][]byte, tentative bool, now time.Time) {
	for _, raw := range packets {
		d := p.forward(flow, u, now)
		d.Raw, d.Tentative = raw, tentative
		p.addDecision(d)
	}
}

// FlowNotOwned records that an agent's upstream does not own a flow. If no agent is
// left that may own it, the flow's upstream is gone and the caller receives a reset at
// once, so that it can open another flow.
func (p *Placer) FlowNotOwned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) []Decision {
	p.clearResults()
	f := p.flows[flow]
	if f == nil || f.lookup.stage == stageNone {
		return nil
	}
	if f.owner != nil && f.owner.Packets == from {
		f.owner = nil
	}
	if !slices.Contains(f.lookup.nonOwners, from) {
		f.lookup.nonOwners = append(f.lookup.nonOwners, from)
	}
	p.forwardTentatively(flow, f, now)
	p.advanceLookup(flow, f, now)
	return p.decisions
}

// advanceLookup starts the next stages of a lookup that has not found the owner, and
// resets the flow when no agent is left that may own it.
func (p *Placer) advanceLookup(flow bramleyfall.Flow, f *flowState, now time.Time) {
	l := &f.lookup
	for {
		switch {
		case l.stage == stageOwnDomain && !p.allNonOwners(l) && now.Sub(l.stageStartedAt) < ownDomainTimeout:
			return
		case l.stage != stageOwnDomain && !p.flowLost(flow, f, now):
			return
		}
		previous, firstTarget := l.stage, len(p.targets)
		p.startStage(flow, f, min(previous+1, stageAll), now)
		switch {
		case len(p.targets) > firstTarget:
			return // further agents may own it, such as those listed since
		case previous == stageAll && p.knowsAllAgents(l, now):
			p.resetFlow(flow, f)
			return
		case l.stage == previous:
			return
		}
	}
}

func (p *Placer) resetFlow(flow bramleyfall.Flow, f *flowState) {
	delete(p.flows, flow)
	p.addDecision(Decision{
		Kind: bramleyfall.ActionRefuse, Code: bramleyfall.NoOwner, Flow: flow,
		Reset: &bramleyfall.Segment{Flow: flow.Reverse(), Sequence: f.ack, Reset: true},
	})
}

// ownDomainTimeout is the time for which a lookup waits for the agents of the
// balancer's own failure domain alone: many round trips within the domain.
const ownDomainTimeout = 15 * time.Millisecond

func (p *Placer) allNonOwners(l *lookup) bool {
	for _, q := range l.queries {
		if !slices.Contains(l.nonOwners, q.upstream.Packets) {
			return false
		}
	}
	return true
}

// flowLost reports whether none of the queried agents may own a flow: each has reported
// that it does not, or is silent. If all are silent, it returns false, because the
// balancer itself may be isolated.
func (p *Placer) flowLost(flow bramleyfall.Flow, f *flowState, now time.Time) bool {
	if len(f.lookup.nonOwners) == 0 {
		return false
	}
	route := p.snapshot.Routes[flow.Destination]
	idempotent := route == nil || route.Idempotent
	for _, q := range f.lookup.queries {
		if !slices.Contains(f.lookup.nonOwners, q.upstream.Packets) && !q.upstream.silent(p.flowLossTimeout(q.upstream, idempotent), now) {
			return false
		}
	}
	return true
}

// flowLossTimeout returns how long an agent must be silent before its flows are
// considered lost.
func (p *Placer) flowLossTimeout(u *upstream, idempotent bool) time.Duration {
	switch {
	case u.withdrawn:
		return p.config.OpeningTimeout // it answers at once if it is still running
	case idempotent && u.firstHeardAt.IsZero():
		return p.config.UnheardFlowLossTimeout
	}
	return p.config.FlowLossTimeout
}

// expireLookup ends a lookup that has timed out and reports an agent that did not
// answer. The stored packets are discarded; the caller retransmits them.
func (p *Placer) expireLookup(flow bramleyfall.Flow, f *flowState, now time.Time) {
	d := Decision{Kind: bramleyfall.ActionDrop, Code: bramleyfall.StaleInstance, Flow: flow}
	for _, q := range f.lookup.queries {
		if !slices.Contains(f.lookup.nonOwners, q.upstream.Packets) {
			d.Instance, d.Load, d.LoadAge = q.upstream.Instance, q.upstream.load, now.Sub(q.upstream.loadAt)
		}
	}
	f.lookup = lookup{}
	p.addDecision(d)
}

// updateLookups repeats queries, advances the lookups whose last possible owners have
// become silent since they were queried, and ends those that have timed out.
func (p *Placer) updateLookups(now time.Time) {
	kept := p.lookupTimers[:0]
	for _, timer := range p.lookupTimers {
		f := p.flows[timer.flow]
		if f == nil || f.lookup.stage == stageNone {
			continue
		}
		p.repeatQueries(timer.flow, f, now)
		p.forwardToMore(timer.flow, f, now)
		p.advanceLookup(timer.flow, f, now)
		if now.Sub(timer.startedAt) < lookupTimeout {
			kept = append(kept, timer)
			continue
		}
		if f.lookup.startedAt.Equal(timer.startedAt) {
			p.expireLookup(timer.flow, f, now)
		}
	}
	p.lookupTimers = kept
}
