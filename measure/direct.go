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
	// placerTick and reportEvery are the times between two looks of a balancer at
	// what waits, and between two reports of an agent.
	placerTick  = 20 * time.Millisecond
	reportEvery = 100 * time.Millisecond
	// listAfter is the time that a balancer needs after its start until it knows the
	// entries, and entryWithin that in which a new entry is known to all.
	listAfter   = 30 * time.Millisecond
	entryWithin = 250 * time.Millisecond
)

// agentSpec is an upstream with the agent beside it.
type agentSpec struct {
	domain  bramleyfall.DomainName
	service bramleyfall.ServiceName
	slots   int
}

// setup is what a direct mode is made of.
type setup struct {
	// balancers holds the failure domain of each balancer.
	balancers []bramleyfall.DomainName
	agents    []agentSpec
	snapshot  *bramleyfall.Snapshot
	// beatEvery is the time between two heartbeats of an upstream.
	beatEvery time.Duration
	delay     func(balancer, agent int) time.Duration
	// lost reports whether a datagram between a balancer and an agent is lost.
	lost      func() bool
	placement []placement.Option
	admission []admission.Option
}

// ends are the two ends of flows, between which a way carries packets.
type ends interface {
	// packet returns the packet that raw stands for.
	packet(raw []byte) bramleyfall.Packet
	// deliver hands a packet to an upstream. It reports whether the upstream holds
	// its flow.
	deliver(server int, p bramleyfall.Packet) bool
	// toCaller carries a packet to its caller.
	toCaller(p bramleyfall.Packet)
	// heartbeat returns what an upstream says of itself, if it is there.
	heartbeat(server int) (bramleyfall.Heartbeat, bool)
}

// direct is the direct mode: placers at the balancers, gates at the upstreams. The
// store is a list that all read with a delay.
type direct struct {
	*virtual.Scheduler
	ends
	setup
	random  *rand.Rand
	placers []*placement.Placer
	gates   []*admission.Gate
	// entries are those in the store.
	entries []*bramleyfall.Announcement
	// claims holds the balancers that wait for word of a flow.
	claims map[bramleyfall.Flow]int
}

// newDirect returns a direct mode whose processes all run and know each other.
func newDirect(q *virtual.Scheduler, e ends, s *setup, random *rand.Rand) *direct {
	d := &direct{
		Scheduler: q, ends: e, setup: *s, random: random,
		placers: make([]*placement.Placer, len(s.balancers)), gates: make([]*admission.Gate, len(s.agents)),
		entries: make([]*bramleyfall.Announcement, len(s.agents)), claims: make(map[bramleyfall.Flow]int),
	}
	for n := range d.agents {
		h, _ := d.heartbeat(n)
		d.entries[n] = d.entry(n, h.Boot)
		d.startAgent(n, 0)
	}
	for n := range d.balancers {
		d.startBalancer(n, 0)
	}
	return d
}

func agentAddress(n int) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 8000}
}

func agentAt(e bramleyfall.Endpoint) int { return int(e.IP[2])<<8 + int(e.IP[3]) }

func (d *direct) entry(n int, boot bramleyfall.BootID) *bramleyfall.Announcement {
	a := &d.agents[n]
	return &bramleyfall.Announcement{
		Instance: bramleyfall.InstanceID(fmt.Sprintf("agent-%d", n)), Boot: boot, Service: a.service,
		Domain: a.domain, Packets: agentAddress(n), Slots: a.slots,
	}
}

// startBalancer starts a balancer that knows the entries after a time.
func (d *direct) startBalancer(n int, after time.Duration) {
	options := append([]placement.Option{placement.WithDomain(d.balancers[n])}, d.placement...)
	placer := placement.New(options...)
	d.placers[n] = placer
	placer.Configure(d.snapshot)
	list := func() {
		for _, entry := range d.entries {
			placer.EntryAdded(*entry)
		}
		placer.ListComplete(d.Now())
	}
	if after == 0 {
		list()
	} else {
		d.After(after, list)
	}
	d.Every(placerTick, placerTick, func() bool {
		if d.placers[n] != placer {
			return false
		}
		d.decided(n, placer.Tick(d.Now()), nil)
		for _, target := range placer.DueProbes(d.Now()) {
			d.send(n, agentAt(target.Address), func() {
				d.answer(agentAt(target.Address), n, func(*placement.Placer) []placement.Decision { return nil })
			})
		}
		return true
	})
}

// startAgent starts an agent that hears its upstream after a time.
func (d *direct) startAgent(n int, after time.Duration) {
	options := append([]admission.Option{
		admission.WithService(d.agents[n].service), admission.WithHeartbeatInterval(d.beatEvery),
	}, d.admission...)
	gate, err := admission.New(d.Now(), options...)
	if err != nil {
		panic(err) // the chart in the package is broken
	}
	gate.Configure(d.snapshot, d.Now())
	d.gates[n] = gate
	d.Every(after, d.beatEvery, func() bool {
		if d.gates[n] != gate {
			return false
		}
		if h, ok := d.heartbeat(n); ok {
			gate.Heartbeat(h, d.Now())
			d.announce(n, h.Boot)
		}
		return true
	})
	d.Every(reportEvery, reportEvery, func() bool {
		if d.gates[n] != gate {
			return false
		}
		for _, s := range gate.Sweep(d.Now()) {
			d.toCaller(bramleyfall.Packet{Flow: s.Flow, Kind: bramleyfall.KindReset})
		}
		for balancer := range d.placers {
			d.answer(n, balancer, func(*placement.Placer) []placement.Decision { return nil })
		}
		return true
	})
}

// announce writes an agent's entry where it is news.
func (d *direct) announce(n int, boot bramleyfall.BootID) {
	if d.entries[n].Boot == boot {
		return
	}
	d.entries[n] = d.entry(n, boot)
	entry := *d.entries[n]
	for _, placer := range d.placers {
		if placer != nil {
			d.After(time.Duration(d.random.Int64N(int64(entryWithin))), func() { placer.EntryAdded(entry) })
		}
	}
}

// send carries a datagram between a balancer and an agent.
func (d *direct) send(balancer, agent int, f func()) {
	if !d.lost() {
		d.After(d.delay(balancer, agent), f)
	}
}

func (d *direct) fromCaller(balancer int, p bramleyfall.Packet) {
	if placer := d.placers[balancer]; placer != nil {
		d.decided(balancer, placer.FromCaller(&p, d.Now()), p.Raw)
	}
}

// decided carries out a balancer's decisions; raw is the packet at hand.
func (d *direct) decided(balancer int, decisions []placement.Decision, raw []byte) {
	for i := range decisions {
		decision := decisions[i]
		if decision.Raw == nil {
			decision.Raw = raw
		}
		switch decision.Kind {
		case bramleyfall.ActionRefuse:
			d.toCaller(bramleyfall.Packet{Flow: decision.Flow.Reverse(), Kind: bramleyfall.KindReset})
		case bramleyfall.ActionPass:
			for _, target := range decision.Targets {
				n := agentAt(target.Address)
				d.send(balancer, n, func() { d.atAgent(n, balancer, &decision) })
			}
		}
	}
}

// atAgent takes a balancer's message.
func (d *direct) atAgent(n, balancer int, decision *placement.Decision) {
	gate := d.gates[n]
	if gate == nil {
		return
	}
	now, from := d.Now(), agentAddress(n)
	if decision.Lookup {
		holding := gate.Ownership(decision.Flow, d.agents[n].service.Key(), decision.Ack, now)
		d.answer(n, balancer, func(placer *placement.Placer) []placement.Decision {
			switch holding {
			case admission.Owned:
				return placer.FlowOwned(decision.Flow, from, d.Now())
			case admission.MayBeOwned:
				return placer.FlowMayBeOwned(decision.Flow, from, d.Now())
			}
			return placer.FlowNotOwned(decision.Flow, from, d.Now())
		})
		return
	}
	p := d.packet(decision.Raw)
	action := gate.FromBalancer(&p, admission.ForwardMetadata{
		Service: d.agents[n].service.Key(), Version: 1, Priority: decision.Priority, Objective: decision.Objective,
		LastResort: decision.LastResort, Idempotent: decision.Idempotent, Tentative: decision.Tentative,
	}, now)
	if action.Kind == bramleyfall.ActionDeliver {
		if p.Kind == bramleyfall.KindOpening || !action.Opened {
			d.claims[p.Flow] = balancer
		}
		if d.deliver(n, p) {
			return
		}
		action = gate.ReturnedByUpstream(&p, now)
	}
	if action.Kind != bramleyfall.ActionPass {
		return
	}
	d.answer(n, balancer, func(placer *placement.Placer) []placement.Decision {
		if decision.Tentative {
			return placer.FlowNotOwned(p.Flow, from, d.Now())
		}
		return placer.ReturnedByAgent(&p, from, action.Code, d.Now())
	})
}

// answer sends a balancer the load of an upstream, and what then decides there.
func (d *direct) answer(n, balancer int, then func(*placement.Placer) []placement.Decision) {
	if d.gates[n] == nil {
		return
	}
	load := d.gates[n].Load(d.Now())
	d.send(balancer, n, func() {
		placer := d.placers[balancer]
		if placer == nil {
			return
		}
		placer.UpdateLoad(agentAddress(n), d.agents[n].service.Key(), load, d.Now())
		d.decided(balancer, then(placer), nil)
	})
}

func (d *direct) fromServer(n int, p bramleyfall.Packet) {
	gate := d.gates[n]
	if gate == nil {
		return
	}
	action := gate.FromUpstream(&p, d.Now())
	if balancer, ok := d.claims[action.Flow]; ok && action.Opened {
		delete(d.claims, action.Flow)
		d.answer(n, balancer, func(placer *placement.Placer) []placement.Decision {
			return placer.FlowOwned(action.Flow, agentAddress(n), d.Now())
		})
	}
	d.toCaller(p)
}

// directDay is the direct mode on a day.
type directDay struct{ *direct }

func newDirectDay(p *dayPlay, o policy) dayWay {
	return directDay{newDirect(p.Scheduler, p, p.setup(o), p.random)}
}

// fall implements dayWay.
func (d directDay) fall() {
	clear(d.placers)
	clear(d.gates)
	clear(d.claims)
}
