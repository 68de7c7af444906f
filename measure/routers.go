package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// The routers that are compared.
const (
	routerBramleyfall = "Bramleyfall"
	routerRendezvous  = "Rendezvous"
	routerFlowTable   = "FlowTable"
)

var routerNames = []string{routerBramleyfall, routerRendezvous, routerFlowTable}

// router brings a caller's packet from a balancer to an upstream.
type router interface {
	// forward handles a packet that the fabric gave to a balancer.
	forward(b *balancer, m *message)
	// gated reports whether agents decide at the upstreams.
	gated() bool
}

func newRouter(name string, w *world) router {
	switch name {
	case routerRendezvous:
		return &hashRouter{world: w}
	case routerFlowTable:
		return &hashRouter{world: w, flowTable: true}
	}
	return &ownRouter{world: w}
}

// ownRouter is the project's: hop lists and gates.
type ownRouter struct {
	world *world
}

func (r *ownRouter) gated() bool { return true }

func (r *ownRouter) forward(b *balancer, m *message) { r.page(b, m, 0) }

func (r *ownRouter) page(b *balancer, m *message, page uint8) {
	list := &bramleyfall.HopList{}
	code := b.table.Route(m.flow, m.kind == bramleyfall.KindOpening, page, list)
	if code != bramleyfall.OK {
		if code == bramleyfall.NoUpstream {
			r.world.toCaller(&message{flow: m.flow, kind: bramleyfall.KindReset, refused: m.kind == bramleyfall.KindOpening, retry: time.Second})
		}
		return
	}
	r.world.tally.firstHop()
	r.hop(b, m, list, b.Member.Domain)
}

// hop carries a packet to the current hop of its list.
func (r *ownRouter) hop(b *balancer, m *message, list *bramleyfall.HopList, from bramleyfall.DomainName) {
	w := r.world
	s := w.byKey[list.Current().Upstream]
	if s == nil {
		return
	}
	w.After(w.delay(from, s.agent.Member.Domain), func() {
		if s.agent.Up && !s.agent.Frozen {
			r.arrive(b, s, m, list)
		}
	})
}

func (r *ownRouter) arrive(b *balancer, s *server, m *message, list *bramleyfall.HopList) {
	w := r.world
	ack := uint32(0)
	if m.kind != bramleyfall.KindOpening {
		ack = m.start + 1
	}
	p := &bramleyfall.Packet{
		Flow: m.flow, Kind: m.kind, HasAck: m.kind != bramleyfall.KindOpening, Sequence: m.sequence(), Ack: ack, Length: m.size,
	}
	a := s.gate.FromCaller(p, list, w.Now())
	switch a.Kind {
	case bramleyfall.ActionDeliver:
		if s.gate.AllowHint(m.flow, list, w.Now()) {
			w.After(w.delay(s.agent.Member.Domain, b.Member.Domain), func() { b.table.SetHint(m.flow.Hash(), s.key) })
		}
		s.take(m)
	case bramleyfall.ActionPass:
		w.tally.extraHop()
		r.hop(b, m, list, s.agent.Member.Domain)
	case bramleyfall.ActionNextPage:
		w.tally.extraHop()
		w.After(w.delay(s.agent.Member.Domain, b.Member.Domain), func() { r.page(b, m, list.Page+1) })
	default:
		s.act([]bramleyfall.Action{a})
	}
}

// hashRouter is a baseline: rendezvous hashing over the upstreams that are open,
// alone or behind a flow table of each balancer's own.
type hashRouter struct {
	world     *world
	flowTable bool
}

func (r *hashRouter) gated() bool { return false }

func (r *hashRouter) forward(b *balancer, m *message) {
	w := r.world
	entry := b.table.Lookup(m.flow)
	if entry == nil {
		return
	}
	w.tally.firstHop()
	var best bramleyfall.InstanceKey
	hash := m.flow.Hash()
	for _, c := range entry.Candidates {
		if c.AcceptsNewFlows && (best == 0 || c.Upstream.Score(hash) > best.Score(hash)) {
			best = c.Upstream
		}
	}
	if r.flowTable {
		if known, ok := b.flows[m.flow]; ok && m.kind != bramleyfall.KindOpening && present(entry.Candidates, known) {
			best = known
		}
		b.flows[m.flow] = best
	}
	s := w.byKey[best]
	if s == nil {
		w.toCaller(&message{flow: m.flow, kind: bramleyfall.KindReset, refused: m.kind == bramleyfall.KindOpening, retry: time.Second})
		return
	}
	w.After(w.delay(b.Member.Domain, s.agent.Member.Domain), func() {
		if s.agent.Up {
			s.take(m)
		}
	})
}
