package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// insight tells how old an omniscient router takes a request to be.
type insight string

const (
	// sinceAsked is the truth.
	sinceAsked insight = "SinceAsked"
	// sinceSeen is the time since one of its packets reached a balancer that was
	// there, and what the count of copies tells.
	sinceSeen insight = "SinceSeen"
	// byCopies is only what the count of copies tells.
	byCopies insight = "ByCopies"
)

// omniscient is a bound: it knows all flows and the requests that each upstream has,
// and takes no time. It is away as long as the processes of the system are.
type omniscient struct {
	*dayPlay
	insight insight
	owners  map[bramleyfall.Flow]int
	boots   map[bramleyfall.Flow]bramleyfall.BootID
	agents  []bool
}

func newOmniscient(p *dayPlay, i insight) dayWay {
	o := &omniscient{
		dayPlay: p, insight: i, owners: make(map[bramleyfall.Flow]int), boots: make(map[bramleyfall.Flow]bramleyfall.BootID),
		agents: make([]bool, len(p.servers)),
	}
	for n := range o.agents {
		o.agents[n] = true
	}
	return o
}

func (o *omniscient) fall() { clear(o.agents) }

func (o *omniscient) startBalancer(int, time.Duration) {}

func (o *omniscient) startAgent(n int, _ time.Duration) { o.agents[n] = true }

func (o *omniscient) fromServer(n int, p bramleyfall.Packet) {
	if o.agents[n] {
		o.toCaller(p)
	}
}

func (o *omniscient) fromCaller(balancer int, p bramleyfall.Packet) {
	o.see(p)
	n, known := o.owners[p.Flow]
	if p.Kind == bramleyfall.KindOpening && !known {
		if n = o.choose(p); n < 0 {
			o.toCaller(bramleyfall.Packet{Flow: p.Flow.Reverse(), Kind: bramleyfall.KindReset})
			return
		}
		o.owners[p.Flow], o.boots[p.Flow] = n, o.servers[n].boot
	}
	s := o.servers[n]
	if p.Kind != bramleyfall.KindReset && o.boots[p.Flow] != s.boot {
		o.toCaller(bramleyfall.Packet{Flow: p.Flow.Reverse(), Kind: bramleyfall.KindReset})
		return
	}
	o.After(o.tunnelDelay(balancer, n), func() {
		if o.agents[n] {
			s.take(p)
		}
	})
}

// choose returns the upstream that answers an opening soonest, or less than zero
// where that is too late. A request that is late already takes only a free slot.
func (o *omniscient) choose(p bramleyfall.Packet) int {
	f := o.flows[p.Flow]
	if f == nil || f.request == nil {
		return -1
	}
	best, least := -1, time.Duration(0)
	for n, s := range o.servers {
		if s.service.Name != f.class.Service || s.down || !o.agents[n] || s.domain == o.day.Out {
			continue
		}
		if wait := o.wait(s, f.class); best < 0 || wait < least {
			best, least = n, wait
		}
	}
	if best < 0 {
		return -1
	}
	age := o.age(f.request, p)
	objective := millis(f.class.Objective)
	switch late := age > objective; {
	case late && o.servers[best].load() >= o.servers[best].service.Slots, !late && age+least > objective:
		return -1
	}
	return best
}

// copyAge is the least time for which the caller of a copy has waited, by its number.
var copyAge = []time.Duration{0, firstCopy, secondCopy}

// see notes when a request was seen first.
func (o *omniscient) see(p bramleyfall.Packet) {
	if f := o.flows[p.Flow]; f != nil && f.request != nil && f.request.seen.IsZero() {
		f.request.seen = o.Now().Add(-copyAge[p.Repeat])
	}
}

// age returns the time for which a request is known to have been asked for.
func (o *omniscient) age(r *dayRequest, p bramleyfall.Packet) time.Duration {
	switch o.insight {
	case sinceSeen:
		return o.Now().Sub(r.seen)
	case byCopies:
		return copyAge[p.Repeat]
	}
	return o.Now().Sub(r.asked)
}

// wait returns the expected time to an upstream's answer.
func (o *omniscient) wait(s *dayServer, c *class) time.Duration {
	work := millis(c.Work)
	if o.Now().Before(s.coldUntil) {
		work = time.Duration(s.service.ColdFactor * float64(work))
	}
	waiting := max(0, s.load()-s.service.Slots+1)
	return work + work*time.Duration(waiting)/time.Duration(s.service.Slots)
}

// load returns the requests that an upstream has, with those that flows have been
// opened for.
func (s *dayServer) load() int {
	n := s.running + len(s.waiting)
	for _, f := range s.flows {
		if f.sent == f.start+1 && f.answer == nil && f.next == f.opened {
			n++
		}
	}
	return n
}
