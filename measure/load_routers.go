package main

import (
	"fmt"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/upstream"
)

// Names of the routers that the load simulation compares.
const (
	loadRouterDirect           = "Direct"
	loadRouterHopLists         = "HopLists"
	loadRouterLeastConnections = "LeastConnections"
	loadRouterRoundRobin       = "RoundRobin"
)

var loadRouterNames = []string{loadRouterDirect, loadRouterHopLists, loadRouterLeastConnections, loadRouterRoundRobin}

var newLoadRouterByName = map[string]func(*loadSimulation) loadRouter{
	loadRouterDirect:           newLoadDirectRouter,
	loadRouterHopLists:         newHopListRouter,
	loadRouterLeastConnections: func(sim *loadSimulation) loadRouter { return newBaselineRouter(sim, true) },
	loadRouterRoundRobin:       func(sim *loadSimulation) loadRouter { return newBaselineRouter(sim, false) },
}

const loadService bramleyfall.ServiceName = "railbook"

func loadDomain(n int) bramleyfall.DomainName {
	return bramleyfall.DomainName(fmt.Sprintf("domain-%d", n%3))
}

// loadDelay returns the one-way delay between two balancers or upstreams, which are given
// by index.
func loadDelay(from, to int) time.Duration {
	if loadDomain(from) == loadDomain(to) {
		return loadSameDomainDelay
	}
	return loadInterDomainDelay
}

// newLoadDirectRouter returns a router for the direct mode.
func newLoadDirectRouter(sim *loadSimulation) loadRouter {
	snapshot := &bramleyfall.Snapshot{
		Version: 1, Routes: make(map[bramleyfall.Endpoint]*bramleyfall.Route), IdleTimeout: 15 * time.Second,
		Services: map[bramleyfall.ServiceName]bramleyfall.ServiceLimits{
			loadService: {Name: loadService, ColdFor: time.Minute, ColdRate: loadColdRate},
		},
	}
	for priority, orders := range []bool{false, true} {
		address := loadAddress(orders)
		snapshot.Routes[address] = &bramleyfall.Route{
			Address: address, Targets: []bramleyfall.Target{{Service: loadService, Weight: 1}}, Objective: loadObjective,
			Priority: bramleyfall.Priority(2 - priority), Idempotent: !orders,
		}
	}
	config := &directConfig{snapshot: snapshot, heartbeatInterval: time.Second, delay: loadDelay, datagramLost: func() bool { return false }}
	for i := range loadBalancerCount {
		config.balancers = append(config.balancers, loadDomain(i))
	}
	for i := range sim.upstreams {
		config.agents = append(config.agents, agentSpec{loadDomain(i), loadService, loadSlotsPerUpstream})
	}
	return newDirectRouter(sim.Scheduler, sim, config, sim.random)
}

// deliverToUpstream implements environment.
func (si *loadSimulation) deliverToUpstream(index int, packet bramleyfall.Packet) bool {
	return si.upstreams[index].receive(packet)
}

// heartbeat implements environment.
func (si *loadSimulation) heartbeat(index int) (bramleyfall.Heartbeat, bool) {
	h := bramleyfall.Heartbeat{
		Upstream: "upstream", Boot: 1, Service: loadService, Domain: loadDomain(index), Slots: loadSlotsPerUpstream,
		Sequence: uint64(si.Now().UnixNano()),
	}
	if si.upstreams[index].cold {
		h.ColdRemaining = time.Minute
	}
	return h, true
}

// hopListRouter routes by hop lists and flow filters that forward openings to the
// next hop.
type hopListRouter struct {
	*loadSimulation
	table      *upstream.Table
	filters    []*caller.FlowFilter
	indexByKey map[bramleyfall.InstanceKey]int
}

func newHopListRouter(sim *loadSimulation) loadRouter {
	r := &hopListRouter{loadSimulation: sim, table: upstream.NewTable(), indexByKey: make(map[bramleyfall.InstanceKey]int)}
	entry := &upstream.Entry{Name: loadService, Revision: 1}
	boot := bramleyfall.BootID(epoch.Add(-time.Hour).UnixNano())
	addresses := []bramleyfall.ServiceAddress{
		{Endpoint: loadAddress(true), Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders},
		{Endpoint: loadAddress(false), Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders},
	}
	for n := range sim.upstreams {
		id := bramleyfall.InstanceID(fmt.Sprintf("agent-%d", n))
		key := bramleyfall.InstanceKeyFor(string(id))
		r.indexByKey[key] = n
		entry.IDs = append(entry.IDs, id)
		entry.Candidates = append(entry.Candidates, upstream.Candidate{Upstream: key, Boot: boot, AcceptsNewFlows: true, Address: agentAddress(n)})
		filter, err := caller.NewFlowFilter(sim.Now(), caller.WithUpstream(key), caller.WithCapacity(loadSlotsPerUpstream, maxConnections),
			caller.WithRecoveryPeriod(0), caller.WithWarmUp(time.Minute))
		if err != nil {
			panic(err) // a state chart of the package is invalid
		}
		filter.SetServices([]bramleyfall.Service{{Name: loadService, Addresses: addresses}})
		started := sim.Now().Add(-time.Hour)
		if sim.upstreams[n].cold {
			started = sim.Now()
		}
		filter.UpstreamStarted(boot, started, sim.Now())
		filter.Sweep(sim.Now())
		r.filters = append(r.filters, filter)
	}
	r.table.Set(entry, addresses)
	return r
}

func (r *hopListRouter) receiveFromCaller(balancer int, p bramleyfall.Packet) {
	r.routeToPage(balancer, p, 0)
}

// routeToPage routes a packet to the first hop of a page of hop lists.
func (r *hopListRouter) routeToPage(balancer int, p bramleyfall.Packet, page uint8) {
	list := &bramleyfall.HopList{}
	if r.table.Route(p.Flow, p.Kind == bramleyfall.KindOpening, page, list) == bramleyfall.OK {
		r.sendToHop(balancer, balancer, p, list)
	}
}

// sendToHop sends a packet to the current hop of its hop list and executes the decision
// of the flow filter there.
func (r *hopListRouter) sendToHop(balancer, from int, p bramleyfall.Packet, list *bramleyfall.HopList) {
	index, ok := r.indexByKey[list.Current().Upstream]
	if !ok {
		return
	}
	r.After(loadDelay(from, index), func() {
		action := r.filters[index].FromCaller(&p, list, r.Now())
		switch action.Kind {
		case bramleyfall.ActionDeliver:
			r.upstreams[index].receive(p)
		case bramleyfall.ActionPass:
			r.sendToHop(balancer, index, p, list)
		case bramleyfall.ActionNextPage:
			r.After(loadDelay(balancer, index), func() { r.routeToPage(balancer, p, list.Page+1) })
		case bramleyfall.ActionRefuse, bramleyfall.ActionReset:
			r.sendToCaller(bramleyfall.Packet{Flow: p.Flow.Reverse(), Kind: bramleyfall.KindReset})
		}
	})
}

func (r *hopListRouter) receiveFromUpstream(index int, p bramleyfall.Packet) {
	r.filters[index].FromUpstream(&p, r.Now())
	r.sendToCaller(p)
}

// baselineRouter is a baseline without agents: each balancer selects the upstream with
// the fewest of the balancer's own open flows, or selects the upstreams in turn.
type baselineRouter struct {
	*loadSimulation
	leastConnections bool
	openFlows        [loadBalancerCount][loadUpstreamCount]int
	next             [loadBalancerCount]int
	// owners simulates a flow table that all balancers share.
	owners map[bramleyfall.Flow]flowOwner
}

type flowOwner struct{ balancer, upstream int }

func newBaselineRouter(sim *loadSimulation, leastConnections bool) loadRouter {
	return &baselineRouter{loadSimulation: sim, leastConnections: leastConnections, owners: make(map[bramleyfall.Flow]flowOwner)}
}

func (r *baselineRouter) receiveFromCaller(balancer int, p bramleyfall.Packet) {
	if p.Kind == bramleyfall.KindOpening {
		n := r.selectUpstream(balancer)
		r.openFlows[balancer][n]++
		r.owners[p.Flow] = flowOwner{balancer, n}
	}
	owner := r.owners[p.Flow]
	if p.Kind == bramleyfall.KindReset {
		r.openFlows[owner.balancer][owner.upstream]--
	}
	r.After(loadDelay(balancer, owner.upstream), func() { r.upstreams[owner.upstream].receive(p) })
}

func (r *baselineRouter) selectUpstream(balancer int) int {
	r.next[balancer] = (r.next[balancer] + 1) % loadUpstreamCount
	best := r.next[balancer]
	if !r.leastConnections {
		return best
	}
	for i := range loadUpstreamCount {
		n := (r.next[balancer] + i) % loadUpstreamCount
		if r.openFlows[balancer][n] < r.openFlows[balancer][best] {
			best = n
		}
	}
	return best
}

func (r *baselineRouter) receiveFromUpstream(_ int, p bramleyfall.Packet) {
	r.sendToCaller(p)
}
