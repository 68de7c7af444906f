package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/admission"
	"bramleyfall.example/bramleyfall/placement"
	"bramleyfall.example/bramleyfall/virtual"
)

const (
	// placerTickInterval is the time between two calls of Placer.Tick in a balancer,
	// loadReportInterval the time between two load reports of an agent.
	placerTickInterval = 20 * time.Millisecond
	loadReportInterval = 100 * time.Millisecond
	// entryListDelay is the time from the start of a balancer until it has read the
	// agents' entries, maxEntryPropagationDelay the maximum time until a new entry has
	// reached all balancers.
	entryListDelay           = 30 * time.Millisecond
	maxEntryPropagationDelay = 250 * time.Millisecond
)

// agentSpec describes an upstream and its agent.
type agentSpec struct {
	domain  bramleyfall.DomainName
	service bramleyfall.ServiceName
	slots   int
}

// directConfig is the configuration of a directRouter.
type directConfig struct {
	// balancers holds the failure domain of each balancer.
	balancers []bramleyfall.DomainName
	agents    []agentSpec
	snapshot  *bramleyfall.Snapshot
	// heartbeatInterval is the time between two heartbeats of an upstream.
	heartbeatInterval time.Duration
	// delay returns the one-way delay between a balancer and an agent.
	delay func(balancer, agent int) time.Duration
	// datagramLost reports whether the next datagram between a balancer and an agent
	// is lost.
	datagramLost     func() bool
	placementOptions []placement.Option
	admissionOptions []admission.Option
}

// environment simulates both ends of the flows whose packets a directRouter
// forwards: the callers and the upstreams. Upstreams are identified by index.
type environment interface {
	// decodePacket returns the packet whose encoded form is raw.
	decodePacket(raw []byte) bramleyfall.Packet
	// deliverToUpstream delivers a packet to an upstream. It reports whether the
	// upstream holds the packet's flow. A packet that the upstream ignores or that is
	// lost counts as held.
	deliverToUpstream(index int, p bramleyfall.Packet) bool
	// sendToCaller sends a packet to the caller of its flow.
	sendToCaller(p bramleyfall.Packet)
	// heartbeat returns the next heartbeat of an upstream, and false if the upstream
	// is down.
	heartbeat(index int) (bramleyfall.Heartbeat, bool)
}

// directRouter simulates the direct mode: a placer in each balancer and a gate in
// each agent. A list of entries, which balancers read with a delay, simulates the
// store.
type directRouter struct {
	*virtual.Scheduler
	environment
	directConfig
	random *rand.Rand
	// placers and gates are indexed by balancer and by agent. They are nil while the
	// process is down.
	placers []*placement.Placer
	gates   []*admission.Gate
	// entries holds the agents' entries in the store.
	entries []*bramleyfall.Announcement
	// balancersToNotify maps each flow that was delivered to an upstream, but not
	// accepted yet, to the balancer that must be told when the upstream accepts it.
	balancersToNotify map[bramleyfall.Flow]int
}

// newDirectRouter returns a directRouter whose processes are all running and know
// each other.
func newDirectRouter(scheduler *virtual.Scheduler, env environment, config *directConfig, random *rand.Rand) *directRouter {
	r := &directRouter{
		Scheduler: scheduler, environment: env, directConfig: *config, random: random,
		placers: make([]*placement.Placer, len(config.balancers)), gates: make([]*admission.Gate, len(config.agents)),
		entries: make([]*bramleyfall.Announcement, len(config.agents)), balancersToNotify: make(map[bramleyfall.Flow]int),
	}
	for i := range r.agents {
		h, _ := r.heartbeat(i)
		r.entries[i] = r.newEntry(i, h.Boot)
		r.startAgent(i, 0)
	}
	for i := range r.balancers {
		r.startBalancer(i, 0)
	}
	return r
}

func agentAddress(agent int) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(agent >> 8), byte(agent)}, Port: 8000}
}

func agentIndex(address bramleyfall.Endpoint) int { return int(address.IP[2])<<8 + int(address.IP[3]) }

func (r *directRouter) newEntry(agent int, boot bramleyfall.BootID) *bramleyfall.Announcement {
	spec := &r.agents[agent]
	return &bramleyfall.Announcement{
		Instance: bramleyfall.InstanceID(fmt.Sprintf("agent-%d", agent)), Boot: boot, Service: spec.service,
		Domain: spec.domain, Packets: agentAddress(agent), Slots: spec.slots,
	}
}

// startBalancer starts a balancer that reads the agents' entries after listDelay.
func (r *directRouter) startBalancer(balancer int, listDelay time.Duration) {
	options := append([]placement.Option{placement.WithDomain(r.balancers[balancer])}, r.placementOptions...)
	placer := placement.New(options...)
	r.placers[balancer] = placer
	placer.Configure(r.snapshot)
	readEntries := func() {
		for _, entry := range r.entries {
			placer.EntryAdded(*entry)
		}
		placer.ListComplete(r.Now())
	}
	if listDelay == 0 {
		readEntries()
	} else {
		r.After(listDelay, readEntries)
	}
	r.Every(placerTickInterval, placerTickInterval, func() bool {
		if r.placers[balancer] != placer {
			return false
		}
		r.execute(balancer, placer.Tick(r.Now()), nil)
		for _, target := range placer.DueProbes(r.Now()) {
			r.sendDatagram(balancer, agentIndex(target.Address), func() {
				r.replyToBalancer(agentIndex(target.Address), balancer, func(*placement.Placer) []placement.Decision { return nil })
			})
		}
		return true
	})
}

// startAgent starts an agent that receives the first heartbeat of its upstream after
// heartbeatDelay.
func (r *directRouter) startAgent(agent int, heartbeatDelay time.Duration) {
	options := append([]admission.Option{
		admission.WithService(r.agents[agent].service), admission.WithHeartbeatInterval(r.heartbeatInterval),
	}, r.admissionOptions...)
	gate, err := admission.New(r.Now(), options...)
	if err != nil {
		panic(err) // the state chart of the package is invalid
	}
	gate.Configure(r.snapshot, r.Now())
	r.gates[agent] = gate
	r.Every(heartbeatDelay, r.heartbeatInterval, func() bool {
		if r.gates[agent] != gate {
			return false
		}
		if h, ok := r.heartbeat(agent); ok {
			gate.Heartbeat(h, r.Now())
			r.announceIfRestarted(agent, h.Boot)
		}
		return true
	})
	r.Every(loadReportInterval, loadReportInterval, func() bool {
		if r.gates[agent] != gate {
			return false
		}
		for _, s := range gate.Sweep(r.Now()) {
			r.sendToCaller(bramleyfall.Packet{Flow: s.Flow, Kind: bramleyfall.KindReset})
		}
		for balancer := range r.placers {
			r.replyToBalancer(agent, balancer, func(*placement.Placer) []placement.Decision { return nil })
		}
		return true
	})
}

// announceIfRestarted updates an agent's entry in the store if the upstream has been
// restarted, and propagates the entry to the balancers.
func (r *directRouter) announceIfRestarted(agent int, boot bramleyfall.BootID) {
	if r.entries[agent].Boot == boot {
		return
	}
	r.entries[agent] = r.newEntry(agent, boot)
	entry := *r.entries[agent]
	for _, placer := range r.placers {
		if placer != nil {
			r.After(time.Duration(r.random.Int64N(int64(maxEntryPropagationDelay))), func() { placer.EntryAdded(entry) })
		}
	}
}

// sendDatagram calls receive when a datagram between a balancer and an agent has
// arrived, unless the datagram is lost.
func (r *directRouter) sendDatagram(balancer, agent int, receive func()) {
	if !r.datagramLost() {
		r.After(r.delay(balancer, agent), receive)
	}
}

func (r *directRouter) receiveFromCaller(balancer int, p bramleyfall.Packet) {
	if placer := r.placers[balancer]; placer != nil {
		r.execute(balancer, placer.FromCaller(&p, r.Now()), p.Raw)
	}
}

// execute executes a balancer's decisions. raw is the packet that they are about, for
// decisions without a stored packet.
func (r *directRouter) execute(balancer int, decisions []placement.Decision, raw []byte) {
	for i := range decisions {
		decision := decisions[i]
		if decision.Raw == nil {
			decision.Raw = raw
		}
		switch decision.Kind {
		case bramleyfall.ActionRefuse:
			r.sendToCaller(bramleyfall.Packet{Flow: decision.Flow.Reverse(), Kind: bramleyfall.KindReset})
		case bramleyfall.ActionPass:
			for _, target := range decision.Targets {
				agent := agentIndex(target.Address)
				r.sendDatagram(balancer, agent, func() { r.receiveAtAgent(agent, balancer, &decision) })
			}
		}
	}
}

// receiveAtAgent handles an ownership query or a packet that a balancer sent to an
// agent.
func (r *directRouter) receiveAtAgent(agent, balancer int, decision *placement.Decision) {
	gate := r.gates[agent]
	if gate == nil {
		return
	}
	now, from := r.Now(), agentAddress(agent)
	if decision.Lookup {
		ownership := gate.Ownership(decision.Flow, r.agents[agent].service.Key(), decision.Ack, now)
		r.replyToBalancer(agent, balancer, func(placer *placement.Placer) []placement.Decision {
			switch ownership {
			case admission.Owned:
				return placer.FlowOwned(decision.Flow, from, r.Now())
			case admission.MayBeOwned:
				return placer.FlowMayBeOwned(decision.Flow, from, r.Now())
			}
			return placer.FlowNotOwned(decision.Flow, from, r.Now())
		})
		return
	}
	p := r.decodePacket(decision.Raw)
	action := gate.FromBalancer(&p, admission.ForwardMetadata{
		Service: r.agents[agent].service.Key(), Version: 1, Priority: decision.Priority, Objective: decision.Objective,
		LastResort: decision.LastResort, Idempotent: decision.Idempotent, Tentative: decision.Tentative,
	}, now)
	if action.Kind == bramleyfall.ActionDeliver {
		if p.Kind == bramleyfall.KindOpening || !action.Opened {
			r.balancersToNotify[p.Flow] = balancer
		}
		if r.deliverToUpstream(agent, p) {
			return
		}
		action = gate.ReturnedByUpstream(&p, now)
	}
	if action.Kind != bramleyfall.ActionPass {
		return
	}
	r.replyToBalancer(agent, balancer, func(placer *placement.Placer) []placement.Decision {
		if decision.Tentative {
			return placer.FlowNotOwned(p.Flow, from, r.Now())
		}
		return placer.ReturnedByAgent(&p, from, action.Code, r.Now())
	})
}

// replyToBalancer sends the load of an upstream to a balancer, which then executes
// the decisions that decide returns.
func (r *directRouter) replyToBalancer(agent, balancer int, decide func(*placement.Placer) []placement.Decision) {
	if r.gates[agent] == nil {
		return
	}
	load := r.gates[agent].Load(r.Now())
	r.sendDatagram(balancer, agent, func() {
		placer := r.placers[balancer]
		if placer == nil {
			return
		}
		placer.UpdateLoad(agentAddress(agent), r.agents[agent].service.Key(), load, r.Now())
		r.execute(balancer, decide(placer), nil)
	})
}

func (r *directRouter) receiveFromUpstream(agent int, p bramleyfall.Packet) {
	gate := r.gates[agent]
	if gate == nil {
		return
	}
	action := gate.FromUpstream(&p, r.Now())
	if balancer, ok := r.balancersToNotify[action.Flow]; ok && action.Opened {
		delete(r.balancersToNotify, action.Flow)
		r.replyToBalancer(agent, balancer, func(placer *placement.Placer) []placement.Decision {
			return placer.FlowOwned(action.Flow, agentAddress(agent), r.Now())
		})
	}
	r.sendToCaller(p)
}

// siteDirectRouter is the directRouter of a site simulation.
type siteDirectRouter struct{ *directRouter }

func newSiteDirectRouter(sim *siteSimulation, overrides configOverrides) siteRouter {
	return siteDirectRouter{newDirectRouter(sim.Scheduler, sim, sim.directConfig(overrides), sim.random)}
}

// stopAll implements siteRouter.
func (r siteDirectRouter) stopAll() {
	clear(r.placers)
	clear(r.gates)
	clear(r.balancersToNotify)
}
