package main

import (
	"encoding/binary"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/upstream"
)

const (
	// callerInitialSequence is the sequence number of the callers' openings.
	callerInitialSequence = 1000
	// initialRetransmitDelay is the time after which an unanswered packet is
	// retransmitted for the first time. It doubles with each retransmission.
	initialRetransmitDelay = 300 * time.Millisecond
	// requestDeadline is the time after which an unanswered request counts as lost.
	requestDeadline = 8 * time.Second
	// answerTimeLimit is the response time up to which an answer counts as in time. The
	// share of such answers is printed as ServiceKept.
	answerTimeLimit = 2 * time.Second
)

// outcome is the kind of an upstream's response to a request.
type outcome uint8

const (
	outcomeAnswered outcome = iota
	outcomeShed
	outcomeFailed
)

// message is a packet of a flow between a caller and an upstream.
type message struct {
	flow                    bramleyfall.Flow
	service                 string
	kind                    bramleyfall.PacketKind
	upstreamInitialSequence uint32
	requestID               int
	outcome                 outcome
	size                    uint32
	refused                 bool
	// upstreamRestarted is set on a reset that was sent because the upstream restarted.
	upstreamRestarted bool
	retryAfter        time.Duration
}

// sequence returns the sequence number of a packet of the caller.
func (m *message) sequence() uint32 {
	if m.kind == bramleyfall.KindOpening {
		return callerInitialSequence
	}
	return callerInitialSequence + 1
}

func hasCandidate(candidates []upstream.Candidate, key bramleyfall.InstanceKey) bool {
	for i := range candidates {
		if candidates[i].Upstream == key {
			return true
		}
	}
	return false
}

// clusterCaller simulates a caller with at most one flow.
type clusterCaller struct {
	sim                     *clusterSimulation
	spec                    *serviceSpec
	serviceIndex            int
	persistent              bool
	flow                    bramleyfall.Flow
	port                    uint16
	open                    bool
	upstreamInitialSequence uint32
	// requestID is the ID of the outstanding request, or zero.
	requestID int
	issuedAt  time.Time
	tries     int
	// generation is incremented to cancel the pending retransmissions.
	generation int
	closing    bool
}

// startCallers starts the callers of all services at random times within
// callerRampTime.
func (si *clusterSimulation) startCallers() {
	si.recorder.callers = make(map[[4]byte]*clusterCaller)
	for i := range si.deployment.services {
		s := &si.deployment.services[i]
		for n := range s.persistentCallers + s.shortCallers {
			c := &clusterCaller{sim: si, spec: s, serviceIndex: i, persistent: n < s.persistentCallers, port: 1024}
			var ip [4]byte
			binary.BigEndian.PutUint32(ip[:], 11<<24+uint32(i)<<16+uint32(n))
			c.flow = bramleyfall.Flow{Destination: serviceAddress(i).Endpoint, Protocol: bramleyfall.TCP}
			c.flow.Source.IP = ip
			si.recorder.callers[ip] = c
			si.After(time.Duration(si.random.Int64N(int64(callerRampTime))), c.openFlow)
		}
	}
}

// sendToBalancer sends a packet to a random balancer that the fabric routes to.
func (c *clusterCaller) sendToBalancer(m *message) {
	sim := c.sim
	m.flow, m.service, m.upstreamInitialSequence = c.flow, c.spec.name, c.upstreamInitialSequence
	if len(sim.routableBalancers) == 0 {
		return
	}
	b := sim.routableBalancers[sim.random.IntN(len(sim.routableBalancers))]
	sim.After(sim.deployment.callerDelay, func() {
		if b.Up && !b.Frozen {
			sim.router.forward(b, m)
		}
	})
}

// openFlow opens a new flow.
func (c *clusterCaller) openFlow() {
	c.port++
	c.flow.Source.Port = c.port
	c.open, c.closing, c.tries = false, false, 0
	c.generation++
	c.retransmit(&message{kind: bramleyfall.KindOpening}, c.generation, initialRetransmitDelay)
}

// retransmit sends a packet repeatedly until the generation changes because the
// packet was answered, the flow ended or the deadline passed.
func (c *clusterCaller) retransmit(m *message, generation int, wait time.Duration) {
	if c.generation != generation {
		return
	}
	c.tries++
	clone := *m
	c.sendToBalancer(&clone)
	c.sim.After(wait, func() { c.retransmit(m, generation, min(2*wait, 2*time.Second)) })
}

// sendToCaller sends a packet to the caller of its flow.
func (si *clusterSimulation) sendToCaller(m *message) {
	si.After(si.deployment.callerDelay, func() {
		if c := si.recorder.callers[m.flow.Source.IP]; c != nil && c.flow == m.flow {
			c.receive(m)
		}
	})
}

func (c *clusterCaller) receive(m *message) {
	switch {
	case m.kind == bramleyfall.KindReset:
		c.handleReset(m)
	case m.kind == bramleyfall.KindOpeningReply && !c.open:
		c.open, c.upstreamInitialSequence = true, m.upstreamInitialSequence
		c.generation++
		c.sendRequest()
	case m.kind == bramleyfall.KindFinish && c.closing:
		c.generation++
		c.open = false
		c.sim.After(c.nextRequestDelay(), c.openFlow)
	case m.requestID != 0 && m.requestID == c.requestID:
		c.receiveAnswer(m)
	}
}

// nextRequestDelay returns the time until the next request or flow: a random think time
// for persistent callers, and a short fixed time for all others.
func (c *clusterCaller) nextRequestDelay() time.Duration {
	if !c.persistent {
		return 5 * time.Millisecond
	}
	return time.Duration(float64(c.spec.thinkTime) * (0.5 + c.sim.random.Float64()))
}

// sendRequest issues a request unless one is outstanding, and sends it until it is
// answered.
func (c *clusterCaller) sendRequest() {
	sim := c.sim
	if c.requestID == 0 {
		sim.recorder.requestCount++
		c.requestID = sim.recorder.requestCount
		c.issuedAt = sim.Now()
		sim.recorder.recordRequest(c.issuedAt)
		requestID := c.requestID
		sim.After(requestDeadline, func() { c.expireRequest(requestID) })
	}
	c.generation++
	c.retransmit(&message{requestID: c.requestID, size: 100}, c.generation, initialRetransmitDelay)
}

// expireRequest ends a request that was not answered within requestDeadline.
func (c *clusterCaller) expireRequest(requestID int) {
	if c.requestID != requestID {
		return
	}
	c.sim.recorder.recordLostOrder()
	c.requestID = 0
	if c.open {
		c.sim.recorder.recordBrokenFlow()
	}
	c.openFlow()
}

func (c *clusterCaller) receiveAnswer(m *message) {
	sim := c.sim
	c.generation++
	if m.outcome != outcomeAnswered {
		// The upstream did not execute the request, so it is sent again on the same
		// flow.
		c.requestID = 0
		sim.After(c.nextRequestDelay(), c.sendRequest)
		return
	}
	sim.recorder.recordAnswer(c.issuedAt, sim.Now())
	c.requestID = 0
	if c.persistent {
		sim.After(c.nextRequestDelay(), func() {
			if c.open && c.requestID == 0 {
				c.sendRequest()
			}
		})
		return
	}
	c.closing = true
	c.generation++
	c.retransmit(&message{kind: bramleyfall.KindFinish}, c.generation, initialRetransmitDelay)
}

// handleReset handles a reset, which refuses an opening or ends an open flow.
func (c *clusterCaller) handleReset(m *message) {
	sim := c.sim
	c.generation++
	if !c.open {
		sim.recorder.refused++
		sim.After(max(m.retryAfter, 10*time.Millisecond), c.openFlow)
		return
	}
	c.open = false
	if c.closing {
		sim.After(c.nextRequestDelay(), c.openFlow)
		return
	}
	sim.recorder.recordBrokenFlow()
	if c.requestID != 0 {
		// The upstream may have executed the request. Orders are not idempotent, so it is
		// not sent again.
		sim.recorder.recordLostOrder()
		if m.upstreamRestarted {
			sim.recorder.recordLostToRestart()
		}
		c.requestID = 0
	}
	sim.After(10*time.Millisecond, c.openFlow)
}
