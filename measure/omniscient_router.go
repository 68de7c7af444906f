package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// insight tells how old an omniscient router takes a request to be.
type ageSource string

const (
	// sinceAsked is the truth.
	ageSinceIssue ageSource = "SinceAsked"
	// sinceSeen is the time since one of its packets reached a balancer that was
	// there, and what the count of copies tells.
	ageSinceFirstPacket ageSource = "SinceSeen"
	// byCopies is only what the count of copies tells.
	ageFromRepeatCount ageSource = "ByCopies"
)

// omniscient is a bound: it knows all flows and the requests that each upstream has,
// and takes no time. It is away as long as the processes of the system are.
type omniscientRouter struct {
	*siteSimulation
	ageSource  ageSource
	owners     map[bramleyfall.Flow]int
	ownerBoots map[bramleyfall.Flow]bramleyfall.BootID
	agentUp    []bool
}

func newOmniscientRouter(sim *siteSimulation, source ageSource) siteRouter {
	r := &omniscientRouter{
		siteSimulation: sim, ageSource: source, owners: make(map[bramleyfall.Flow]int), ownerBoots: make(map[bramleyfall.Flow]bramleyfall.BootID),
		agentUp: make([]bool, len(sim.upstreams)),
	}
	for n := range r.agentUp {
		r.agentUp[n] = true
	}
	return r
}

func (r *omniscientRouter) stopAll() { clear(r.agentUp) }

func (r *omniscientRouter) startBalancer(int, time.Duration) {}

func (r *omniscientRouter) startAgent(agent int, _ time.Duration) { r.agentUp[agent] = true }

func (r *omniscientRouter) receiveFromUpstream(agent int, p bramleyfall.Packet) {
	if r.agentUp[agent] {
		r.sendToCaller(p)
	}
}

func (r *omniscientRouter) receiveFromCaller(balancer int, p bramleyfall.Packet) {
	r.recordFirstPacket(p)
	owner, known := r.owners[p.Flow]
	if p.Kind == bramleyfall.KindOpening && !known {
		if owner = r.selectUpstream(p); owner < 0 {
			r.sendToCaller(bramleyfall.Packet{Flow: p.Flow.Reverse(), Kind: bramleyfall.KindReset})
			return
		}
		r.owners[p.Flow], r.ownerBoots[p.Flow] = owner, r.upstreams[owner].boot
	}
	u := r.upstreams[owner]
	if p.Kind != bramleyfall.KindReset && r.ownerBoots[p.Flow] != u.boot {
		r.sendToCaller(bramleyfall.Packet{Flow: p.Flow.Reverse(), Kind: bramleyfall.KindReset})
		return
	}
	r.After(r.tunnelDelay(balancer, owner), func() {
		if r.agentUp[owner] {
			u.receive(p)
		}
	})
}

// choose returns the upstream that answers an opening soonest, or less than zero
// where that is too late. A request that is late already takes only a free slot.
func (r *omniscientRouter) selectUpstream(p bramleyfall.Packet) int {
	f := r.flows[p.Flow]
	if f == nil || f.request == nil {
		return -1
	}
	best, minResponseTime := -1, time.Duration(0)
	for n, u := range r.upstreams {
		if u.service.Name != f.class.Service || u.down || !r.agentUp[n] || u.domain == r.scenario.DomainOut {
			continue
		}
		if responseTime := r.expectedResponseTime(u, f.class); best < 0 || responseTime < minResponseTime {
			best, minResponseTime = n, responseTime
		}
	}
	if best < 0 {
		return -1
	}
	age := r.knownAge(f.request, p)
	objective := millis(f.class.Objective)
	switch overdue := age > objective; {
	case overdue && r.upstreams[best].outstandingRequests() >= r.upstreams[best].service.Slots, !overdue && age+minResponseTime > objective:
		return -1
	}
	return best
}

// copyAge is the least time for which the caller of a copy has waited, by its number.
var minAgeByRepeat = []time.Duration{0, firstOpeningRetransmit, secondOpeningRetransmit}

// see notes when a request was seen first.
func (r *omniscientRouter) recordFirstPacket(p bramleyfall.Packet) {
	if f := r.flows[p.Flow]; f != nil && f.request != nil && f.request.firstSeen.IsZero() {
		f.request.firstSeen = r.Now().Add(-minAgeByRepeat[p.Repeat])
	}
}

// age returns the time for which a request is known to have been asked for.
func (r *omniscientRouter) knownAge(request *siteRequest, p bramleyfall.Packet) time.Duration {
	switch r.ageSource {
	case ageSinceFirstPacket:
		return r.Now().Sub(request.firstSeen)
	case ageFromRepeatCount:
		return minAgeByRepeat[p.Repeat]
	}
	return r.Now().Sub(request.issuedAt)
}

// wait returns the expected time to an upstream's answer.
func (r *omniscientRouter) expectedResponseTime(u *siteUpstream, c *class) time.Duration {
	serviceTime := millis(c.ServiceTime)
	if r.Now().Before(u.coldUntil) {
		serviceTime = time.Duration(u.service.ColdFactor * float64(serviceTime))
	}
	queued := max(0, u.outstandingRequests()-u.service.Slots+1)
	return serviceTime + serviceTime*time.Duration(queued)/time.Duration(u.service.Slots)
}

// load returns the requests that an upstream has, with those that flows have been
// opened for.
func (u *siteUpstream) outstandingRequests() int {
	n := u.running + len(u.queue)
	for _, f := range u.flows {
		if f.nextSequence == f.initialSequence+1 && f.lastAnswer == nil && f.nextRequest == f.firstRequest {
			n++
		}
	}
	return n
}
