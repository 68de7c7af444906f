package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// Names of the routers that the cluster simulation compares.
const (
	clusterRouterBramleyfall = "Bramleyfall"
	clusterRouterRendezvous  = "Rendezvous"
	clusterRouterFlowTable   = "FlowTable"
)

var clusterRouterNames = []string{clusterRouterBramleyfall, clusterRouterRendezvous, clusterRouterFlowTable}

// clusterRouter forwards packets of callers from balancers to upstreams.
type clusterRouter interface {
	// forward handles a packet that the fabric routed to a balancer.
	forward(b *balancer, m *message)
	// usesAgentFilter reports whether packets pass through the flow filter of the
	// upstream's agent.
	usesAgentFilter() bool
}

func newClusterRouter(name string, sim *clusterSimulation) clusterRouter {
	switch name {
	case clusterRouterRendezvous:
		return &hashRouter{sim: sim}
	case clusterRouterFlowTable:
		return &hashRouter{sim: sim, flowTable: true}
	}
	return &bramleyfallRouter{sim: sim}
}

// bramleyfallRouter routes by hop lists and the flow filters of the agents.
type bramleyfallRouter struct {
	sim *clusterSimulation
}

func (r *bramleyfallRouter) usesAgentFilter() bool { return true }

func (r *bramleyfallRouter) forward(b *balancer, m *message) { r.routeToPage(b, m, 0) }

// routeToPage routes a packet to the first hop of a page of hop lists, or refuses it if
// there is no upstream.
func (r *bramleyfallRouter) routeToPage(b *balancer, m *message, page uint8) {
	list := &bramleyfall.HopList{}
	code := b.table.Route(m.flow, m.kind == bramleyfall.KindOpening, page, list)
	if code != bramleyfall.OK {
		if code == bramleyfall.NoUpstream {
			r.sim.sendToCaller(&message{flow: m.flow, kind: bramleyfall.KindReset, refused: m.kind == bramleyfall.KindOpening, retryAfter: time.Second})
		}
		return
	}
	r.sim.recorder.recordFirstHop()
	r.sendToHop(b, m, list, b.Member.Domain)
}

// sendToHop sends a packet to the current hop of its hop list.
func (r *bramleyfallRouter) sendToHop(b *balancer, m *message, list *bramleyfall.HopList, from bramleyfall.DomainName) {
	sim := r.sim
	u := sim.upstreamsByKey[list.Current().Upstream]
	if u == nil {
		return
	}
	sim.After(sim.delay(from, u.agent.Member.Domain), func() {
		if u.agent.Up && !u.agent.Frozen {
			r.receiveAtAgent(b, u, m, list)
		}
	})
}

// receiveAtAgent executes the decision of the flow filter of an agent on a packet.
func (r *bramleyfallRouter) receiveAtAgent(b *balancer, u *clusterUpstream, m *message, list *bramleyfall.HopList) {
	sim := r.sim
	ack := uint32(0)
	if m.kind != bramleyfall.KindOpening {
		ack = m.upstreamInitialSequence + 1
	}
	packet := &bramleyfall.Packet{
		Flow: m.flow, Kind: m.kind, HasAck: m.kind != bramleyfall.KindOpening, Sequence: m.sequence(), Ack: ack, Length: m.size,
	}
	action := u.filter.FromCaller(packet, list, sim.Now())
	switch action.Kind {
	case bramleyfall.ActionDeliver:
		if u.filter.AllowHint(m.flow, list, sim.Now()) {
			sim.After(sim.delay(u.agent.Member.Domain, b.Member.Domain), func() { b.table.SetHint(m.flow.Hash(), u.key) })
		}
		u.receive(m)
	case bramleyfall.ActionPass:
		sim.recorder.recordExtraHop()
		r.sendToHop(b, m, list, u.agent.Member.Domain)
	case bramleyfall.ActionNextPage:
		sim.recorder.recordExtraHop()
		sim.After(sim.delay(u.agent.Member.Domain, b.Member.Domain), func() { r.routeToPage(b, m, list.Page+1) })
	default:
		u.execute([]bramleyfall.Action{action})
	}
}

// hashRouter is a baseline without agents: rendezvous hashing over the upstreams that
// accept new flows. With flowTable, each balancer also has its own flow table, which
// takes precedence over the hash.
type hashRouter struct {
	sim       *clusterSimulation
	flowTable bool
}

func (r *hashRouter) usesAgentFilter() bool { return false }

func (r *hashRouter) forward(b *balancer, m *message) {
	sim := r.sim
	entry := b.table.Lookup(m.flow)
	if entry == nil {
		return
	}
	sim.recorder.recordFirstHop()
	var best bramleyfall.InstanceKey
	hash := m.flow.Hash()
	for _, c := range entry.Candidates {
		if c.AcceptsNewFlows && (best == 0 || c.Upstream.Score(hash) > best.Score(hash)) {
			best = c.Upstream
		}
	}
	if r.flowTable {
		if owner, ok := b.flows[m.flow]; ok && m.kind != bramleyfall.KindOpening && hasCandidate(entry.Candidates, owner) {
			best = owner
		}
		b.flows[m.flow] = best
	}
	u := sim.upstreamsByKey[best]
	if u == nil {
		sim.sendToCaller(&message{flow: m.flow, kind: bramleyfall.KindReset, refused: m.kind == bramleyfall.KindOpening, retryAfter: time.Second})
		return
	}
	sim.After(sim.delay(b.Member.Domain, u.agent.Member.Domain), func() {
		if u.agent.Up {
			u.receive(m)
		}
	})
}
