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

// wave is a load on one service, and what is wrong with its upstreams.
type wave struct {
	name string
	// load is the arrivals in parts of what all upstreams could serve, were they
	// well.
	load float64
	// cold, slow and silent are the numbers of upstreams that have just started,
	// that need five times the time, and that swallow everything.
	cold, slow, silent int
	// gap is the time for which nobody is reached, every burstEvery: what is asked
	// meanwhile comes at its end, as after a restart of all balancers.
	gap time.Duration
}

var waves = []wave{
	{name: "AtCapacity", load: 1.0},
	{name: "Above", load: 1.3},
	{name: "Double", load: 2.0},
	{name: "ThirdCold", load: 0.6, cold: 3},
	{name: "OneSlow", load: 0.7, slow: 1},
	{name: "OneSilent", load: 0.7, silent: 1},
	{name: "Bursts", load: 0.6, gap: 120 * time.Millisecond},
}

const (
	loadUpstreams = 9
	loadSlots     = 2
	loadBalancers = 3
	loadTime      = 10 * time.Second
	burstEvery    = 2 * time.Second
	// loadWork is the mean time of a request; each needs between half of it and
	// one and a half times as much.
	loadWork = 20 * time.Millisecond
	slowWork = 5
	// coldWork is the factor of the time of a request at a cold upstream, and
	// coldRate the requests a second that it bears.
	coldWork = 4
	coldRate = 5.0
	// loadObjective is the time within which callers want their answers, and
	// loadGiveUp that after which they go away.
	loadObjective = 150 * time.Millisecond
	loadGiveUp    = 1400 * time.Millisecond
	// sameDomain, otherDomain and toCaller are delays one way.
	sameDomain  = 200 * time.Microsecond
	otherDomain = 2 * time.Millisecond
	toCaller    = time.Millisecond
)

// loadCounts is what callers of one kind got.
type loadCounts struct{ asked, inTime, late, refused, unanswered, broken int }

func (c *loadCounts) share() float64 { return float64(c.inTime) / float64(max(1, c.asked)) }

// loadPlay is one run of a wave under a router.
type loadPlay struct {
	*virtual.Scheduler
	wave   wave
	router string
	random *rand.Rand
	way    loadWay

	servers []*loadServer
	calls   map[bramleyfall.Flow]*call
	packets []bramleyfall.Packet

	orders, others loadCounts
	// refusedAfter holds the times from an opening to its refusal.
	refusedAfter []time.Duration
	// falselyRefused counts refusals of what had run, overCold the requests above
	// the rate of a cold upstream.
	falselyRefused, overCold int
}

// loadWay brings packets from balancers to upstreams and back.
type loadWay interface {
	// fromCaller takes a caller's packet at a balancer.
	fromCaller(balancer int, p bramleyfall.Packet)
	// fromServer takes an upstream's packet at its agent.
	fromServer(server int, p bramleyfall.Packet)
}

// call is a caller's request on a flow of its own.
type call struct {
	order    bool
	opened   time.Time
	open     bool
	done     bool
	ran      bool
	sequence uint32
	ack      uint32
}

func newLoadPlay(w wave, router string, seed uint64) *loadPlay {
	p := &loadPlay{
		Scheduler: virtual.NewScheduler(epoch), wave: w, router: router, random: rand.New(rand.NewPCG(seed, 7)),
		calls: make(map[bramleyfall.Flow]*call),
	}
	for n := range loadUpstreams {
		s := &loadServer{play: p, index: n, work: loadWork, flows: make(map[bramleyfall.Flow]uint32)}
		switch {
		case n < w.cold:
			s.cold, s.work = true, coldWork*loadWork
		case n < w.cold+w.slow:
			s.work = slowWork * loadWork
		case n < w.cold+w.slow+w.silent:
			s.silent = true
		}
		p.servers = append(p.servers, s)
	}
	p.way = loadWays[router](p)
	return p
}

// run plays the wave and lets what is under way end.
func (p *loadPlay) run() {
	const warmUp = time.Second // agents and balancers hear of each other
	p.Run(warmUp)
	rate := p.wave.load * loadUpstreams * loadSlots / loadWork.Seconds()
	for at := time.Duration(0); at < loadTime; {
		at += time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
		p.After(max(at, at.Truncate(burstEvery)+p.wave.gap), p.arrive)
	}
	p.Run(loadTime + 2*loadGiveUp)
}

// raw remembers a packet by the bytes that stand for it.
func (p *loadPlay) raw(packet bramleyfall.Packet) []byte {
	p.packets = append(p.packets, packet)
	return binary.BigEndian.AppendUint32(nil, uint32(len(p.packets)-1))
}

func (p *loadPlay) packet(raw []byte) bramleyfall.Packet {
	packet := p.packets[binary.BigEndian.Uint32(raw)]
	packet.Raw = raw
	return packet
}

// arrive starts a call.
func (p *loadPlay) arrive() {
	n := len(p.calls)
	flow := bramleyfall.Flow{Destination: loadAddress(n%2 == 0), Protocol: bramleyfall.TCP}
	binary.BigEndian.PutUint32(flow.Source.IP[:], 11<<24+uint32(n>>10))
	flow.Source.Port = uint16(1024 + n&1023)
	c := &call{order: n%2 == 0, opened: p.Now(), sequence: p.random.Uint32()}
	p.calls[flow] = c
	p.counts(c).asked++
	p.send(bramleyfall.Packet{Flow: flow, Kind: bramleyfall.KindOpening, Sequence: c.sequence})
	p.After(loadGiveUp, func() {
		if !c.done {
			c.done = true
			p.counts(c).unanswered++
		}
	})
}

// loadAddress is that of the route for orders, or of the other one.
func loadAddress(orders bool) bramleyfall.Endpoint {
	e := bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	if !orders {
		e.Port = 80
	}
	return e
}

func (p *loadPlay) counts(c *call) *loadCounts {
	if c.order {
		return &p.orders
	}
	return &p.others
}

// send gives a caller's packet to some balancer.
func (p *loadPlay) send(packet bramleyfall.Packet) {
	packet.Raw = p.raw(packet)
	balancer := p.random.IntN(loadBalancers)
	p.After(toCaller, func() { p.way.fromCaller(balancer, packet) })
}

// toCaller carries a packet to its caller.
func (p *loadPlay) toCaller(packet bramleyfall.Packet) {
	p.After(toCaller, func() {
		if c := p.calls[packet.Flow.Reverse()]; c != nil && !c.done {
			p.take(c, packet)
		}
	})
}

func (p *loadPlay) take(c *call, packet bramleyfall.Packet) {
	flow := packet.Flow.Reverse()
	switch {
	case packet.Kind == bramleyfall.KindReset && !c.open:
		c.done = true
		p.counts(c).refused++
		p.refusedAfter = append(p.refusedAfter, p.Now().Sub(c.opened))
		if c.ran {
			p.falselyRefused++
		}
	case packet.Kind == bramleyfall.KindReset:
		c.done = true
		p.counts(c).broken++
	case packet.Kind == bramleyfall.KindOpeningReply && !c.open:
		c.open, c.ack = true, packet.Sequence+1
		p.send(bramleyfall.Packet{
			Flow: flow, Kind: bramleyfall.KindData, HasAck: true, Sequence: c.sequence + 1, Ack: c.ack, Length: 200,
		})
	case packet.Length > 0:
		c.done = true
		if p.Now().Sub(c.opened) <= loadObjective {
			p.counts(c).inTime++
		} else {
			p.counts(c).late++
		}
		p.send(bramleyfall.Packet{
			Flow: flow, Kind: bramleyfall.KindReset, HasAck: true, Sequence: c.sequence + 201, Ack: packet.End(),
		})
	}
}

// refusalTime returns the time within which all but one of a hundred refusals
// came.
func (p *loadPlay) refusalTime() time.Duration {
	if len(p.refusedAfter) == 0 {
		return 0
	}
	slices.Sort(p.refusedAfter)
	return p.refusedAfter[len(p.refusedAfter)*99/100]
}

func (p *loadPlay) String() string {
	o, r := &p.orders, &p.others
	return fmt.Sprintf("Load Wave=%s Router=%s OrdersInTime=%.3f OthersInTime=%.3f Late=%d Refused=%d RefusedWithinMillis=%d FalselyRefused=%d Unanswered=%d Broken=%d OverCold=%d Asked=%d",
		p.wave.name, p.router, o.share(), r.share(), o.late+r.late, o.refused+r.refused, p.refusalTime().Milliseconds(), p.falselyRefused,
		o.unanswered+r.unanswered, o.broken+r.broken, p.overCold, o.asked+r.asked)
}

// loadServer is an upstream: slots and a queue.
type loadServer struct {
	play    *loadPlay
	index   int
	work    time.Duration
	cold    bool
	silent  bool
	flows   map[bramleyfall.Flow]uint32
	running int
	waiting []bramleyfall.Packet
	// asked holds the times of the requests of the last second, while cold.
	asked []time.Time
}

// take handles a caller's packet. It reports whether the upstream holds its flow.
func (s *loadServer) take(p bramleyfall.Packet) bool {
	if s.silent {
		return true
	}
	reply := bramleyfall.Packet{Flow: p.Flow.Reverse(), HasAck: true, Ack: p.End()}
	_, known := s.flows[p.Flow]
	switch {
	case p.Kind == bramleyfall.KindOpening:
		s.flows[p.Flow] = s.play.random.Uint32()
		reply.Kind, reply.Sequence = bramleyfall.KindOpeningReply, s.flows[p.Flow]
		s.play.way.fromServer(s.index, reply)
	case !known:
		return false
	case p.Kind == bramleyfall.KindReset:
		delete(s.flows, p.Flow)
	case p.Length > 0:
		s.request(p)
	}
	return true
}

func (s *loadServer) request(p bramleyfall.Packet) {
	if s.cold {
		now := s.play.Now()
		s.asked = slices.DeleteFunc(s.asked, func(t time.Time) bool { return now.Sub(t) >= time.Second })
		s.asked = append(s.asked, now)
		if float64(len(s.asked)) > coldRate {
			s.play.overCold++
		}
	}
	if s.running == loadSlots {
		s.waiting = append(s.waiting, p)
		return
	}
	s.start(p)
}

func (s *loadServer) start(p bramleyfall.Packet) {
	w := s.play
	s.running++
	if c := w.calls[p.Flow]; c != nil {
		c.ran = true
	}
	w.After(time.Duration((0.5+w.random.Float64())*float64(s.work)), func() { s.end(p) })
}

func (s *loadServer) end(p bramleyfall.Packet) {
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(next)
	}
	start, known := s.flows[p.Flow]
	if !known {
		return
	}
	s.play.way.fromServer(s.index, bramleyfall.Packet{
		Flow: p.Flow.Reverse(), Kind: bramleyfall.KindData, HasAck: true, Sequence: start + 1, Ack: p.End(), Length: 1000,
	})
}
