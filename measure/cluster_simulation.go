package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/upstream"
	"bramleyfall.example/bramleyfall/virtual"
)

const (
	// startupTime is the time before the callers start, callerRampTime the time over
	// which their starts are spread, and measuredTime the time that is measured.
	startupTime    = 12 * time.Second
	callerRampTime = 12 * time.Second
	measuredTime   = 40 * time.Second
	// failureDetectionDelay is the time until the fabric stops routing to a balancer that
	// died, newBalancerDelay the time until it routes to a new balancer.
	failureDetectionDelay = time.Second
	newBalancerDelay      = 4 * time.Second
	sweepInterval         = 500 * time.Millisecond
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0)

// clusterSimulation simulates the deployment of a trial.
type clusterSimulation struct {
	*virtual.Cluster
	deployment deployment
	router     clusterRouter
	random     *rand.Rand
	balancers  []*balancer
	// routableBalancers are the balancers that the fabric routes to.
	routableBalancers []*balancer
	upstreams         []*clusterUpstream
	upstreamsByKey    map[bramleyfall.InstanceKey]*clusterUpstream
	revision          bramleyfall.Revision
	maxLoadRatio      float64
	hints             int
	recorder          clusterRecorder
}

// balancer is a simulated balancer with its routing table.
type balancer struct {
	*virtual.Balancer
	table   *upstream.Table
	builder *upstream.Builder
	// flows is the flow table for hashRouter. Other routers do not use it.
	flows map[bramleyfall.Flow]bramleyfall.InstanceKey
}

// newClusterSimulation starts a deployment and returns it after startupTime.
func newClusterSimulation(tr *trial) *clusterSimulation {
	sim := &clusterSimulation{
		Cluster: virtual.NewCluster(virtual.NewScheduler(epoch), tr.seed), deployment: tr.deployment,
		random: rand.New(rand.NewPCG(tr.seed, 99)), upstreamsByKey: make(map[bramleyfall.InstanceKey]*clusterUpstream),
		maxLoadRatio: tr.maxLoadRatio, hints: tr.hints,
	}
	sim.router = newClusterRouter(tr.router, sim)
	sim.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) { return sim.delay(from, to), true }
	for _, domain := range sim.deployment.domains {
		for n := range sim.deployment.balancers {
			sim.startBalancer(fmt.Sprintf("balancer-%s-%d", domain, n), domain)
		}
	}
	for _, s := range sim.deployment.services {
		for n := range s.upstreams {
			sim.startUpstream(fmt.Sprintf("%s-%d", s.name, n), s.name, sim.deployment.domains[n%len(sim.deployment.domains)], true)
		}
	}
	for i, s := range sim.deployment.services {
		sim.acceptChange(configuration.ServiceKey(bramleyfall.ServiceName(s.name)), bramleyfall.Service{
			Name: bramleyfall.ServiceName(s.name), Addresses: []bramleyfall.ServiceAddress{serviceAddress(i)},
			Allowed: []string{s.name + "-*"}, WarmUp: bramleyfall.Duration(warmUp),
		})
	}
	sim.Run(startupTime)
	return sim
}

func serviceAddress(n int) bramleyfall.ServiceAddress {
	return bramleyfall.ServiceAddress{
		Endpoint: bramleyfall.Endpoint{IP: [4]byte{127, 0, 9, byte(n)}, Port: 443},
		Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders,
	}
}

func (si *clusterSimulation) delay(from, to bramleyfall.DomainName) time.Duration {
	if from == to {
		return time.Millisecond / 5
	}
	return si.deployment.interDomainDelay
}

// startBalancer starts a balancer that joins through up to three running balancers.
// The fabric routes to the initial balancers at once and to later ones after
// newBalancerDelay.
func (si *clusterSimulation) startBalancer(id, domain string) {
	m := si.NewMember(id, bramleyfall.RoleBalancer, bramleyfall.DomainName(domain))
	var contacts []bramleyfall.Endpoint
	for _, b := range si.balancers {
		if b.Up && len(contacts) < 3 {
			contacts = append(contacts, b.Member.Control)
		}
	}
	b := &balancer{
		builder: upstream.NewBuilder(si.Now()),
		table:   upstream.NewTable(upstream.WithHints(si.hints), upstream.WithBalancer(m.Packets)),
		flows:   make(map[bramleyfall.Flow]bramleyfall.InstanceKey),
	}
	b.Balancer = si.AddBalancer(m, contacts, nil)
	b.OnRoutingChange = func() { si.updateTable(b) }
	si.balancers = append(si.balancers, b)
	routableDelay := newBalancerDelay
	if si.Now().Equal(epoch) {
		routableDelay = 0
	}
	si.After(routableDelay, func() {
		if b.Up {
			si.routableBalancers = append(si.routableBalancers, b)
		}
	})
}

// stopBalancer stops a balancer. Before a planned stop, the fabric stops routing to it.
func (si *clusterSimulation) stopBalancer(b *balancer, planned bool) {
	removeFromFabric := func() {
		for i, other := range si.routableBalancers {
			if other == b {
				si.routableBalancers = append(si.routableBalancers[:i:i], si.routableBalancers[i+1:]...)
				return
			}
		}
	}
	if planned {
		removeFromFabric()
		si.After(2*time.Second, func() { b.Up = false })
		return
	}
	b.Up = false
	si.After(failureDetectionDelay, removeFromFabric)
}

// updateTable updates a routing table from the state of the balancer's node, as the
// real balancer does.
func (si *clusterSimulation) updateTable(b *balancer) {
	services, all := b.Node.TakeChangedServices()
	if all {
		services = services[:0]
		for _, s := range b.Node.State().Services() {
			services = append(services, s.Name)
		}
	}
	for _, name := range append(services, b.builder.DueForRebuild(si.Now())...) {
		if s, ok := b.Node.State().Service(name); ok {
			b.table.Set(b.builder.Build(&s, b.Node.State(), b.Node.Serving(name), si.Now()), s.Addresses)
		}
	}
}

// acceptChange accepts a configuration change and passes it to one running balancer of
// each failure domain.
func (si *clusterSimulation) acceptChange(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	si.revision++
	change := bramleyfall.Change{
		Revision: si.revision, ID: bramleyfall.ChangeID(fmt.Sprintf("c-%d", si.revision)), Key: key, Value: data, At: si.Now(),
	}
	reached := make(map[bramleyfall.DomainName]bool)
	for _, b := range si.balancers {
		if b.Up && !reached[b.Member.Domain] {
			reached[b.Member.Domain] = true
			if err := si.ApplyChange(b.Balancer, change); err != nil {
				panic(err)
			}
		}
	}
}

func (si *clusterSimulation) setDomain(name string, state bramleyfall.DomainState) {
	si.acceptChange(configuration.DomainKey(bramleyfall.DomainName(name)), bramleyfall.Domain{Name: bramleyfall.DomainName(name), State: state})
}

func (si *clusterSimulation) setDrained(id string, drained bool) {
	si.acceptChange(configuration.UpstreamKey(bramleyfall.UpstreamID(id)), bramleyfall.UpstreamSettings{ID: bramleyfall.UpstreamID(id), Drained: drained})
}

// startUpstream starts an upstream with its agent. A warm upstream has already been
// running for an hour.
func (si *clusterSimulation) startUpstream(id, service, domain string, warm bool) {
	m := si.NewMember(id, bramleyfall.RoleAgent, bramleyfall.DomainName(domain))
	m.Services = []bramleyfall.ServiceName{bramleyfall.ServiceName(service)}
	var contacts []bramleyfall.Endpoint
	for _, b := range si.balancers {
		if b.Up && len(contacts) < 3 {
			contacts = append(contacts, b.Member.Control)
		}
	}
	u := &clusterUpstream{sim: si, id: id, service: service, key: m.Key(), flows: make(map[bramleyfall.Flow]*clusterUpstreamFlow)}
	filter, err := caller.NewFlowFilter(si.Now(), caller.WithUpstream(u.key), caller.WithCapacity(si.deployment.slots, maxConnections),
		caller.WithRecoveryPeriod(0), caller.WithWarmUp(warmUp), caller.WithMaxLoadRatio(si.maxLoadRatio))
	if err != nil {
		panic(err)
	}
	u.filter = filter
	u.agent = si.AddAgent(m, contacts)
	u.agent.OnConfigured = u.applyConfiguration
	si.upstreams = append(si.upstreams, u)
	si.upstreamsByKey[u.key] = u
	started := si.Now()
	if warm {
		started = started.Add(-time.Hour)
	}
	u.startProcess(started)
	si.Every(sweepInterval, sweepInterval, func() bool {
		if u.agent.Up {
			u.execute(u.filter.Sweep(si.Now()))
			u.announce()
		}
		return u.agent.Up
	})
}
