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
	// settle is the time before the callers start, filling the time in which
	// they open their lasting flows, and playTime the time that is measured.
	settle   = 12 * time.Second
	filling  = 12 * time.Second
	playTime = 40 * time.Second
	// learnLate is the time after which the fabric knows that a balancer died,
	// readyLate the time until it uses a new one.
	learnLate = time.Second
	readyLate = 4 * time.Second
	sweep     = 500 * time.Millisecond
)

var epoch = time.Unix(1_800_000_000, 0)

// world is one play's deployment.
type world struct {
	*virtual.Cluster
	spec      deployment
	router    router
	random    *rand.Rand
	balancers []*balancer
	// live are the balancers that the fabric uses.
	live      []*balancer
	upstreams []*server
	byKey     map[bramleyfall.InstanceKey]*server
	revision  bramleyfall.Revision
	share     float64
	hints     int
	tally     tally
}

// balancer is a balancer with its routing table.
type balancer struct {
	*virtual.Balancer
	table   *upstream.Table
	builder *upstream.Builder
	// flows is the flow table of the baseline that keeps one.
	flows map[bramleyfall.Flow]bramleyfall.InstanceKey
}

func newWorld(p *play) *world {
	w := &world{
		Cluster: virtual.NewCluster(virtual.NewScheduler(epoch), p.seed), spec: p.deployment,
		random: rand.New(rand.NewPCG(p.seed, 99)), byKey: make(map[bramleyfall.InstanceKey]*server),
		share: p.share, hints: p.hints,
	}
	w.router = newRouter(p.router, w)
	w.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) { return w.delay(from, to), true }
	for _, domain := range w.spec.domains {
		for n := range w.spec.balancers {
			w.startBalancer(fmt.Sprintf("balancer-%s-%d", domain, n), domain)
		}
	}
	for _, s := range w.spec.services {
		for n := range s.upstreams {
			w.startServer(fmt.Sprintf("%s-%d", s.name, n), s.name, w.spec.domains[n%len(w.spec.domains)], true)
		}
	}
	for i, s := range w.spec.services {
		w.accept(configuration.ServiceKey(bramleyfall.ServiceName(s.name)), bramleyfall.Service{
			Name: bramleyfall.ServiceName(s.name), Addresses: []bramleyfall.ServiceAddress{serviceAddress(i)},
			Allowed: []string{s.name + "-*"}, WarmUp: bramleyfall.Duration(warmUp),
		})
	}
	w.Run(settle)
	return w
}

func serviceAddress(n int) bramleyfall.ServiceAddress {
	return bramleyfall.ServiceAddress{
		Endpoint: bramleyfall.Endpoint{IP: [4]byte{127, 0, 9, byte(n)}, Port: 443},
		Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders,
	}
}

func (w *world) delay(from, to bramleyfall.DomainName) time.Duration {
	if from == to {
		return time.Millisecond / 5
	}
	return w.spec.between
}

// startBalancer starts a balancer that joins through those that live. The first
// ones are used at once.
func (w *world) startBalancer(id, domain string) {
	m := w.NewMember(id, bramleyfall.RoleBalancer, bramleyfall.DomainName(domain))
	var contacts []bramleyfall.Endpoint
	for _, b := range w.balancers {
		if b.Up && len(contacts) < 3 {
			contacts = append(contacts, b.Member.Control)
		}
	}
	b := &balancer{
		builder: upstream.NewBuilder(w.Now()),
		table:   upstream.NewTable(upstream.WithHints(w.hints), upstream.WithBalancer(m.Packets)),
		flows:   make(map[bramleyfall.Flow]bramleyfall.InstanceKey),
	}
	b.Balancer = w.AddBalancer(m, contacts, nil)
	b.OnRoutingChange = func() { w.sync(b) }
	w.balancers = append(w.balancers, b)
	late := readyLate
	if w.Now().Equal(epoch) {
		late = 0
	}
	w.After(late, func() {
		if b.Up {
			w.live = append(w.live, b)
		}
	})
}

// stopBalancer ends a balancer. A planned stop lets the fabric know before.
func (w *world) stopBalancer(b *balancer, planned bool) {
	leave := func() {
		for i, x := range w.live {
			if x == b {
				w.live = append(w.live[:i:i], w.live[i+1:]...)
				return
			}
		}
	}
	if planned {
		leave()
		w.After(2*time.Second, func() { b.Up = false })
		return
	}
	b.Up = false
	w.After(learnLate, leave)
}

// sync brings a routing table up to what the node knows, as the balancer does.
func (w *world) sync(b *balancer) {
	services, all := b.Node.TakeChangedServices()
	if all {
		services = services[:0]
		for _, s := range b.Node.State().Services() {
			services = append(services, s.Name)
		}
	}
	for _, name := range append(services, b.builder.DueForRebuild(w.Now())...) {
		if s, ok := b.Node.State().Service(name); ok {
			b.table.Set(b.builder.Build(&s, b.Node.State(), b.Node.Serving(name), w.Now()), s.Addresses)
		}
	}
}

// accept has a change accepted and read by one balancer of each domain.
func (w *world) accept(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.revision++
	c := bramleyfall.Change{
		Revision: w.revision, ID: bramleyfall.ChangeID(fmt.Sprintf("c-%d", w.revision)), Key: key, Value: data, At: w.Now(),
	}
	seen := make(map[bramleyfall.DomainName]bool)
	for _, b := range w.balancers {
		if b.Up && !seen[b.Member.Domain] {
			seen[b.Member.Domain] = true
			if err := w.ApplyChange(b.Balancer, c); err != nil {
				panic(err)
			}
		}
	}
}

func (w *world) setDomain(name string, state bramleyfall.DomainState) {
	w.accept(configuration.DomainKey(bramleyfall.DomainName(name)), bramleyfall.Domain{Name: bramleyfall.DomainName(name), State: state})
}

func (w *world) drain(id string, drained bool) {
	w.accept(configuration.UpstreamKey(bramleyfall.UpstreamID(id)), bramleyfall.UpstreamSettings{ID: bramleyfall.UpstreamID(id), Drained: drained})
}

// startServer starts an upstream with its agent. A warm one has run for long.
func (w *world) startServer(id, service, domain string, warm bool) {
	m := w.NewMember(id, bramleyfall.RoleAgent, bramleyfall.DomainName(domain))
	m.Services = []bramleyfall.ServiceName{bramleyfall.ServiceName(service)}
	var seeds []bramleyfall.Endpoint
	for _, b := range w.balancers {
		if b.Up && len(seeds) < 3 {
			seeds = append(seeds, b.Member.Control)
		}
	}
	s := &server{world: w, id: id, service: service, key: m.Key(), flows: make(map[bramleyfall.Flow]*serverFlow)}
	gate, err := caller.NewFlowFilter(w.Now(), caller.WithUpstream(s.key), caller.WithCapacity(w.spec.slots, connections),
		caller.WithRecoveryPeriod(0), caller.WithWarmUp(warmUp), caller.WithMaxLoadRatio(w.share))
	if err != nil {
		panic(err)
	}
	s.gate = gate
	s.agent = w.AddAgent(m, seeds)
	s.agent.OnConfigured = s.configure
	w.upstreams = append(w.upstreams, s)
	w.byKey[s.key] = s
	started := w.Now()
	if warm {
		started = started.Add(-time.Hour)
	}
	s.boot(started)
	w.Every(sweep, sweep, func() bool {
		if s.agent.Up {
			s.act(s.gate.Sweep(w.Now()))
			s.announce()
		}
		return s.agent.Up
	})
}
