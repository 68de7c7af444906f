package main

import (
	"fmt"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/upstream"
)

// The routers that are compared under load.
const (
	loadDirect           = "Direct"
	loadHopLists         = "HopLists"
	loadLeastConnections = "LeastConnections"
	loadRoundRobin       = "RoundRobin"
)

var loadRouterNames = []string{loadDirect, loadHopLists, loadLeastConnections, loadRoundRobin}

var loadWays = map[string]func(*loadPlay) loadWay{
	loadDirect:           newDirectWay,
	loadHopLists:         newHopListWay,
	loadLeastConnections: func(p *loadPlay) loadWay { return newPlainWay(p, true) },
	loadRoundRobin:       func(p *loadPlay) loadWay { return newPlainWay(p, false) },
}

const loadService bramleyfall.ServiceName = "railbook"

func loadDomain(n int) bramleyfall.DomainName {
	return bramleyfall.DomainName(fmt.Sprintf("domain-%d", n%3))
}

// loadDelay is that between a balancer and an upstream.
func loadDelay(balancer, server int) time.Duration {
	if loadDomain(balancer) == loadDomain(server) {
		return sameDomain
	}
	return otherDomain
}

// newDirectWay is the direct mode.
func newDirectWay(p *loadPlay) loadWay {
	s := &bramleyfall.Snapshot{
		Version: 1, Routes: make(map[bramleyfall.Endpoint]*bramleyfall.Route), IdleTimeout: 15 * time.Second,
		Services: map[bramleyfall.ServiceName]bramleyfall.ServiceLimits{
			loadService: {Name: loadService, ColdFor: time.Minute, ColdRate: coldRate},
		},
	}
	for priority, orders := range []bool{false, true} {
		address := loadAddress(orders)
		s.Routes[address] = &bramleyfall.Route{
			Address: address, Targets: []bramleyfall.Target{{Service: loadService, Weight: 1}}, Objective: loadObjective,
			Priority: bramleyfall.Priority(2 - priority), Idempotent: !orders,
		}
	}
	l := &setup{snapshot: s, beatEvery: time.Second, delay: loadDelay, lost: func() bool { return false }}
	for n := range loadBalancers {
		l.balancers = append(l.balancers, loadDomain(n))
	}
	for n := range p.servers {
		l.agents = append(l.agents, agentSpec{loadDomain(n), loadService, loadSlots})
	}
	return newDirect(p.Scheduler, p, l, p.random)
}

// deliver implements ends.
func (p *loadPlay) deliver(server int, packet bramleyfall.Packet) bool {
	return p.servers[server].take(packet)
}

// heartbeat implements ends.
func (p *loadPlay) heartbeat(server int) (bramleyfall.Heartbeat, bool) {
	h := bramleyfall.Heartbeat{
		Upstream: "upstream", Boot: 1, Service: loadService, Domain: loadDomain(server), Slots: loadSlots,
		Sequence: uint64(p.Now().UnixNano()),
	}
	if p.servers[server].cold {
		h.ColdRemaining = time.Minute
	}
	return h, true
}

// hopListWay is the project's own interface: hop lists, and gates that pass
// openings on.
type hopListWay struct {
	*loadPlay
	table *upstream.Table
	gates []*caller.FlowFilter
	keys  map[bramleyfall.InstanceKey]int
}

func newHopListWay(p *loadPlay) loadWay {
	h := &hopListWay{loadPlay: p, table: upstream.NewTable(), keys: make(map[bramleyfall.InstanceKey]int)}
	entry := &upstream.Entry{Name: loadService, Revision: 1}
	boot := bramleyfall.BootID(epoch.Add(-time.Hour).UnixNano())
	addresses := []bramleyfall.ServiceAddress{
		{Endpoint: loadAddress(true), Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders},
		{Endpoint: loadAddress(false), Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders},
	}
	for n := range p.servers {
		id := bramleyfall.InstanceID(fmt.Sprintf("agent-%d", n))
		key := bramleyfall.InstanceKeyFor(string(id))
		h.keys[key] = n
		entry.IDs = append(entry.IDs, id)
		entry.Candidates = append(entry.Candidates, upstream.Candidate{Upstream: key, Boot: boot, AcceptsNewFlows: true, Address: agentAddress(n)})
		gate, err := caller.NewFlowFilter(p.Now(), caller.WithUpstream(key), caller.WithCapacity(loadSlots, connections),
			caller.WithRecoveryPeriod(0), caller.WithWarmUp(time.Minute))
		if err != nil {
			panic(err) // the chart in the package is broken
		}
		gate.SetServices([]bramleyfall.Service{{Name: loadService, Addresses: addresses}})
		started := p.Now().Add(-time.Hour)
		if p.servers[n].cold {
			started = p.Now()
		}
		gate.UpstreamStarted(boot, started, p.Now())
		gate.Sweep(p.Now())
		h.gates = append(h.gates, gate)
	}
	h.table.Set(entry, addresses)
	return h
}

func (h *hopListWay) fromCaller(balancer int, p bramleyfall.Packet) { h.page(balancer, p, 0) }

func (h *hopListWay) page(balancer int, p bramleyfall.Packet, page uint8) {
	list := &bramleyfall.HopList{}
	if h.table.Route(p.Flow, p.Kind == bramleyfall.KindOpening, page, list) == bramleyfall.OK {
		h.hop(balancer, balancer, p, list)
	}
}

func (h *hopListWay) hop(balancer, from int, p bramleyfall.Packet, list *bramleyfall.HopList) {
	n, ok := h.keys[list.Current().Upstream]
	if !ok {
		return
	}
	h.After(loadDelay(from, n), func() {
		action := h.gates[n].FromCaller(&p, list, h.Now())
		switch action.Kind {
		case bramleyfall.ActionDeliver:
			h.servers[n].take(p)
		case bramleyfall.ActionPass:
			h.hop(balancer, n, p, list)
		case bramleyfall.ActionNextPage:
			h.After(loadDelay(balancer, n), func() { h.page(balancer, p, list.Page+1) })
		case bramleyfall.ActionRefuse, bramleyfall.ActionReset:
			h.toCaller(bramleyfall.Packet{Flow: p.Flow.Reverse(), Kind: bramleyfall.KindReset})
		}
	})
}

func (h *hopListWay) fromServer(n int, p bramleyfall.Packet) {
	h.gates[n].FromUpstream(&p, h.Now())
	h.toCaller(p)
}

// plainWay is a baseline without agents: each balancer counts its own open
// flows, or takes the upstreams in turn.
type plainWay struct {
	*loadPlay
	leastConnections bool
	open             [loadBalancers][loadUpstreams]int
	next             [loadBalancers]int
	// owners stands for a table of flows that all balancers share.
	owners map[bramleyfall.Flow]plainOwner
}

type plainOwner struct{ balancer, server int }

func newPlainWay(p *loadPlay, leastConnections bool) loadWay {
	return &plainWay{loadPlay: p, leastConnections: leastConnections, owners: make(map[bramleyfall.Flow]plainOwner)}
}

func (w *plainWay) fromCaller(balancer int, p bramleyfall.Packet) {
	if p.Kind == bramleyfall.KindOpening {
		n := w.choose(balancer)
		w.open[balancer][n]++
		w.owners[p.Flow] = plainOwner{balancer, n}
	}
	owner := w.owners[p.Flow]
	if p.Kind == bramleyfall.KindReset {
		w.open[owner.balancer][owner.server]--
	}
	w.After(loadDelay(balancer, owner.server), func() { w.servers[owner.server].take(p) })
}

func (w *plainWay) choose(balancer int) int {
	w.next[balancer] = (w.next[balancer] + 1) % loadUpstreams
	best := w.next[balancer]
	if !w.leastConnections {
		return best
	}
	for i := range loadUpstreams {
		n := (w.next[balancer] + i) % loadUpstreams
		if w.open[balancer][n] < w.open[balancer][best] {
			best = n
		}
	}
	return best
}

func (w *plainWay) fromServer(_ int, p bramleyfall.Packet) { w.toCaller(p) }
