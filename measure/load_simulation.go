package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/virtual"
)

// loadProfile describes the load on one service and the faults of its upstreams. The
// output calls it a wave.
type loadProfile struct {
	name string
	// relativeLoad is the arrival rate as a fraction of the capacity of all upstreams
	// without faults.
	relativeLoad float64
	// cold, slow and silent are the numbers of upstreams that have just started, that
	// need loadSlowFactor times the service time, and that discard all packets.
	cold, slow, silent int
	// outage is the time at the start of each loadBurstInterval in which no balancer is
	// reachable. The calls of that time arrive in a burst at its end, as after a restart
	// of all balancers.
	outage time.Duration
}

var loadProfiles = []loadProfile{
	{name: "AtCapacity", relativeLoad: 1.0},
	{name: "Above", relativeLoad: 1.3},
	{name: "Double", relativeLoad: 2.0},
	{name: "ThirdCold", relativeLoad: 0.6, cold: 3},
	{name: "OneSlow", relativeLoad: 0.7, slow: 1},
	{name: "OneSilent", relativeLoad: 0.7, silent: 1},
	{name: "Bursts", relativeLoad: 0.6, outage: 120 * time.Millisecond},
}

const (
	loadUpstreamCount    = 9
	loadSlotsPerUpstream = 2
	loadBalancerCount    = 3
	loadDuration         = 10 * time.Second
	loadBurstInterval    = 2 * time.Second
	// loadServiceTime is the mean service time. Service times are distributed uniformly
	// between 0.5 and 1.5 times the mean.
	loadServiceTime = 20 * time.Millisecond
	// loadSlowFactor multiplies the service time of slow upstreams.
	loadSlowFactor = 5
	// loadColdFactor multiplies the service time of cold upstreams, loadColdRate is the
	// number of requests per second that a cold upstream can process.
	loadColdFactor = 4
	loadColdRate   = 5.0
	// loadObjective is the latency objective of the callers, loadCallerTimeout the time
	// after which a caller abandons its call.
	loadObjective     = 150 * time.Millisecond
	loadCallerTimeout = 1400 * time.Millisecond
	// loadSameDomainDelay, loadInterDomainDelay and loadCallerDelay are one-way delays.
	loadSameDomainDelay  = 200 * time.Microsecond
	loadInterDomainDelay = 2 * time.Millisecond
	loadCallerDelay      = time.Millisecond
)

// loadCounts counts the outcomes of the calls of one priority.
type loadCounts struct{ issued, inTime, late, refused, unanswered, broken int }

func (c *loadCounts) inTimeShare() float64 { return float64(c.inTime) / float64(max(1, c.issued)) }

// loadSimulation simulates one load profile with one router.
type loadSimulation struct {
	*virtual.Scheduler
	profile    loadProfile
	routerName string
	random     *rand.Rand
	router     loadRouter

	upstreams []*loadUpstream
	calls     map[bramleyfall.Flow]*call
	packets   []bramleyfall.Packet

	orders, others loadCounts
	// refusalTimes holds the times from openings to their refusals.
	refusalTimes []time.Duration
	// falselyRefused counts refused calls whose request had been executed,
	// overColdRate the requests that exceeded loadColdRate at a cold upstream.
	falselyRefused, overColdRate int
}

// loadRouter forwards packets between balancers and upstreams.
type loadRouter interface {
	// receiveFromCaller handles a packet of a caller in a balancer.
	receiveFromCaller(balancer int, p bramleyfall.Packet)
	// receiveFromUpstream handles a packet of an upstream in its agent.
	receiveFromUpstream(index int, p bramleyfall.Packet)
}

// call is one request of a caller on a new flow.
type call struct {
	order       bool
	openedAt    time.Time
	established bool
	done        bool
	executed    bool
	sequence    uint32
	ack         uint32
}

func newLoadSimulation(profile loadProfile, routerName string, seed uint64) *loadSimulation {
	sim := &loadSimulation{
		Scheduler: virtual.NewScheduler(epoch), profile: profile, routerName: routerName, random: rand.New(rand.NewPCG(seed, 7)),
		calls: make(map[bramleyfall.Flow]*call),
	}
	for n := range loadUpstreamCount {
		u := &loadUpstream{sim: sim, index: n, serviceTime: loadServiceTime, flows: make(map[bramleyfall.Flow]uint32)}
		switch {
		case n < profile.cold:
			u.cold, u.serviceTime = true, loadColdFactor*loadServiceTime
		case n < profile.cold+profile.slow:
			u.serviceTime = loadSlowFactor * loadServiceTime
		case n < profile.cold+profile.slow+profile.silent:
			u.silent = true
		}
		sim.upstreams = append(sim.upstreams, u)
	}
	sim.router = newLoadRouterByName[routerName](sim)
	return sim
}

// run simulates the load profile until all calls have ended.
func (si *loadSimulation) run() {
	const discoveryTime = time.Second // agents and balancers discover each other
	si.Run(discoveryTime)
	rate := si.profile.relativeLoad * loadUpstreamCount * loadSlotsPerUpstream / loadServiceTime.Seconds()
	for at := time.Duration(0); at < loadDuration; {
		at += time.Duration(si.random.ExpFloat64() / rate * float64(time.Second))
		si.After(max(at, at.Truncate(loadBurstInterval)+si.profile.outage), si.startCall)
	}
	si.Run(loadDuration + 2*loadCallerTimeout)
}

// encodePacket stores a packet and returns an encoded reference to it.
func (si *loadSimulation) encodePacket(packet bramleyfall.Packet) []byte {
	si.packets = append(si.packets, packet)
	return binary.BigEndian.AppendUint32(nil, uint32(len(si.packets)-1))
}

// decodePacket implements environment.
func (si *loadSimulation) decodePacket(raw []byte) bramleyfall.Packet {
	packet := si.packets[binary.BigEndian.Uint32(raw)]
	packet.Raw = raw
	return packet
}

// startCall starts a call. Orders and other calls alternate.
func (si *loadSimulation) startCall() {
	n := len(si.calls)
	flow := bramleyfall.Flow{Destination: loadAddress(n%2 == 0), Protocol: bramleyfall.TCP}
	binary.BigEndian.PutUint32(flow.Source.IP[:], 11<<24+uint32(n>>10))
	flow.Source.Port = uint16(1024 + n&1023)
	c := &call{order: n%2 == 0, openedAt: si.Now(), sequence: si.random.Uint32()}
	si.calls[flow] = c
	si.countsOf(c).issued++
	si.sendToBalancer(bramleyfall.Packet{Flow: flow, Kind: bramleyfall.KindOpening, Sequence: c.sequence})
	si.After(loadCallerTimeout, func() {
		if !c.done {
			c.done = true
			si.countsOf(c).unanswered++
		}
	})
}

// loadAddress returns the address of the route for orders or of the route for other
// requests.
func loadAddress(orders bool) bramleyfall.Endpoint {
	e := bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	if !orders {
		e.Port = 80
	}
	return e
}

func (si *loadSimulation) countsOf(c *call) *loadCounts {
	if c.order {
		return &si.orders
	}
	return &si.others
}

// sendToBalancer sends a packet of a caller to a random balancer.
func (si *loadSimulation) sendToBalancer(packet bramleyfall.Packet) {
	packet.Raw = si.encodePacket(packet)
	balancer := si.random.IntN(loadBalancerCount)
	si.After(loadCallerDelay, func() { si.router.receiveFromCaller(balancer, packet) })
}

// sendToCaller implements environment.
func (si *loadSimulation) sendToCaller(packet bramleyfall.Packet) {
	si.After(loadCallerDelay, func() {
		if c := si.calls[packet.Flow.Reverse()]; c != nil && !c.done {
			si.receiveAtCaller(c, packet)
		}
	})
}

func (si *loadSimulation) receiveAtCaller(c *call, packet bramleyfall.Packet) {
	flow := packet.Flow.Reverse()
	switch {
	case packet.Kind == bramleyfall.KindReset && !c.established:
		c.done = true
		si.countsOf(c).refused++
		si.refusalTimes = append(si.refusalTimes, si.Now().Sub(c.openedAt))
		if c.executed {
			si.falselyRefused++
		}
	case packet.Kind == bramleyfall.KindReset:
		c.done = true
		si.countsOf(c).broken++
	case packet.Kind == bramleyfall.KindOpeningReply && !c.established:
		c.established, c.ack = true, packet.Sequence+1
		si.sendToBalancer(bramleyfall.Packet{
			Flow: flow, Kind: bramleyfall.KindData, HasAck: true, Sequence: c.sequence + 1, Ack: c.ack, Length: 200,
		})
	case packet.Length > 0:
		c.done = true
		if si.Now().Sub(c.openedAt) <= loadObjective {
			si.countsOf(c).inTime++
		} else {
			si.countsOf(c).late++
		}
		si.sendToBalancer(bramleyfall.Packet{
			Flow: flow, Kind: bramleyfall.KindReset, HasAck: true, Sequence: c.sequence + 201, Ack: packet.End(),
		})
	}
}

// refusalTimeP99 returns the 99th percentile of the refusal times, or zero if no call
// was refused.
func (si *loadSimulation) refusalTimeP99() time.Duration {
	if len(si.refusalTimes) == 0 {
		return 0
	}
	slices.Sort(si.refusalTimes)
	return si.refusalTimes[len(si.refusalTimes)*99/100]
}

func (si *loadSimulation) String() string {
	orders, others := &si.orders, &si.others
	return fmt.Sprintf("Load Wave=%s Router=%s OrdersInTime=%.3f OthersInTime=%.3f Late=%d Refused=%d RefusedWithinMillis=%d FalselyRefused=%d Unanswered=%d Broken=%d OverCold=%d Asked=%d",
		si.profile.name, si.routerName, orders.inTimeShare(), others.inTimeShare(), orders.late+others.late, orders.refused+others.refused, si.refusalTimeP99().Milliseconds(), si.falselyRefused,
		orders.unanswered+others.unanswered, orders.broken+others.broken, si.overColdRate, orders.issued+others.issued)
}

// loadUpstream simulates an upstream with a fixed number of slots and an unbounded
// queue.
type loadUpstream struct {
	sim         *loadSimulation
	index       int
	serviceTime time.Duration
	cold        bool
	silent      bool
	flows       map[bramleyfall.Flow]uint32
	running     int
	queue       []bramleyfall.Packet
	// recentRequests holds the arrival times of the last second if the upstream is cold.
	recentRequests []time.Time
}

// receive handles a packet of a caller. It reports whether the upstream holds the
// packet's flow; a silent upstream, which discards the packet, reports true.
func (u *loadUpstream) receive(p bramleyfall.Packet) bool {
	if u.silent {
		return true
	}
	reply := bramleyfall.Packet{Flow: p.Flow.Reverse(), HasAck: true, Ack: p.End()}
	_, known := u.flows[p.Flow]
	switch {
	case p.Kind == bramleyfall.KindOpening:
		u.flows[p.Flow] = u.sim.random.Uint32()
		reply.Kind, reply.Sequence = bramleyfall.KindOpeningReply, u.flows[p.Flow]
		u.sim.router.receiveFromUpstream(u.index, reply)
	case !known:
		return false
	case p.Kind == bramleyfall.KindReset:
		delete(u.flows, p.Flow)
	case p.Length > 0:
		u.handleRequest(p)
	}
	return true
}

func (u *loadUpstream) handleRequest(p bramleyfall.Packet) {
	if u.cold {
		now := u.sim.Now()
		u.recentRequests = slices.DeleteFunc(u.recentRequests, func(t time.Time) bool { return now.Sub(t) >= time.Second })
		u.recentRequests = append(u.recentRequests, now)
		if float64(len(u.recentRequests)) > loadColdRate {
			u.sim.overColdRate++
		}
	}
	if u.running == loadSlotsPerUpstream {
		u.queue = append(u.queue, p)
		return
	}
	u.startRequest(p)
}

func (u *loadUpstream) startRequest(p bramleyfall.Packet) {
	sim := u.sim
	u.running++
	if c := sim.calls[p.Flow]; c != nil {
		c.executed = true
	}
	sim.After(time.Duration((0.5+sim.random.Float64())*float64(u.serviceTime)), func() { u.finishRequest(p) })
}

func (u *loadUpstream) finishRequest(p bramleyfall.Packet) {
	u.running--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.startRequest(next)
	}
	start, known := u.flows[p.Flow]
	if !known {
		return
	}
	u.sim.router.receiveFromUpstream(u.index, bramleyfall.Packet{
		Flow: p.Flow.Reverse(), Kind: bramleyfall.KindData, HasAck: true, Sequence: start + 1, Ack: p.End(), Length: 1000,
	})
}
