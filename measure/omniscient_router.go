package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// ageSource selects how an omniscientRouter determines the age of a request.
type ageSource string

const (
	// ageSinceIssue is the true age: the time since the caller issued the request.
	ageSinceIssue ageSource = "SinceAsked"
	// ageSinceFirstPacket is the time since the first packet of the request reached a
	// running balancer, plus the minimum age implied by the repeat count of that packet.
	ageSinceFirstPacket ageSource = "SinceSeen"
	// ageFromRepeatCount is the minimum age implied by the repeat count of the opening.
	ageFromRepeatCount ageSource = "ByCopies"
)

// omniscientRouter is a bound for the direct mode: it knows all flows and the outstanding
// requests of all upstreams, and decides without delay. It is unavailable for as long as
// the processes of the direct mode would be.
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

// selectUpstream returns the upstream with the shortest expected response time, or -1
// if the opening must be refused because the answer would miss the objective. A
// request that has already missed its objective is accepted only if a slot is free.
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

// minAgeByRepeat is the minimum age of a request by the repeat count of its opening.
var minAgeByRepeat = []time.Duration{0, firstOpeningRetransmit, secondOpeningRetransmit}

// recordFirstPacket records when the first packet of a request reached a balancer,
// corrected by the minimum age of the request at that time.
func (r *omniscientRouter) recordFirstPacket(p bramleyfall.Packet) {
	if f := r.flows[p.Flow]; f != nil && f.request != nil && f.request.firstSeen.IsZero() {
		f.request.firstSeen = r.Now().Add(-minAgeByRepeat[p.Repeat])
	}
}

// knownAge returns the age of a request according to ageSource.
func (r *omniscientRouter) knownAge(request *siteRequest, p bramleyfall.Packet) time.Duration {
	switch r.ageSource {
	case ageSinceFirstPacket:
		return r.Now().Sub(request.firstSeen)
	case ageFromRepeatCount:
		return minAgeByRepeat[p.Repeat]
	}
	return r.Now().Sub(request.issuedAt)
}

// expectedResponseTime returns the expected response time of an upstream for a new
// request of a class.
func (r *omniscientRouter) expectedResponseTime(u *siteUpstream, c *class) time.Duration {
	serviceTime := millis(c.ServiceTime)
	if r.Now().Before(u.coldUntil) {
		serviceTime = time.Duration(u.service.ColdFactor * float64(serviceTime))
	}
	queued := max(0, u.outstandingRequests()-u.service.Slots+1)
	return serviceTime + serviceTime*time.Duration(queued)/time.Duration(u.service.Slots)
}

// outstandingRequests returns the number of running and queued requests, plus the
// open flows whose first request has not arrived yet.
func (u *siteUpstream) outstandingRequests() int {
	n := u.running + len(u.queue)
	for _, f := range u.flows {
		if f.nextSequence == f.initialSequence+1 && f.lastAnswer == nil && f.nextRequest == f.firstRequest {
			n++
		}
	}
	return n
}
