package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// siteUpstream simulates an upstream with a fixed number of slots, a limited queue and a
// cold time after its start.
type siteUpstream struct {
	sim        *siteSimulation
	index      int
	service    *service
	domain     bramleyfall.DomainName
	flows      map[bramleyfall.Flow]*siteUpstreamFlow
	boot       bramleyfall.BootID
	heartbeats uint64
	down       bool
	// coldUntil is the time at which the upstream stops being cold.
	coldUntil time.Time
	running   int
	queue     []func()
}

// siteUpstreamFlow is the upstream's end of a flow.
type siteUpstreamFlow struct {
	initialSequence, nextSequence uint32
	// nextRequest is the sequence number of the caller's next request.
	nextRequest uint32
	// firstRequest is the sequence number of the caller's first request.
	firstRequest uint32
	// lastAnswer is the last answer, which is sent again if the request is retransmitted.
	lastAnswer *bramleyfall.Packet
}

// nextHeartbeat returns the sequence number of the next heartbeat.
func (u *siteUpstream) nextHeartbeat() uint64 {
	u.heartbeats++
	return u.heartbeats
}

// crash ends the upstream process. All flows and requests are lost.
func (u *siteUpstream) crash() {
	u.down = true
	u.boot++
	u.heartbeats = 0
	u.running, u.queue = 0, nil
	clear(u.flows)
}

// start starts the upstream process, which is cold at first.
func (u *siteUpstream) start() {
	u.down = false
	u.coldUntil = u.sim.Now().Add(seconds(u.service.ColdFor))
}

// receive handles a packet of a caller. It reports whether the upstream holds the
// packet's flow.
func (u *siteUpstream) receive(p bramleyfall.Packet) bool {
	if u.down {
		return true // the packet is lost
	}
	f := u.flows[p.Flow]
	switch {
	case p.Kind == bramleyfall.KindOpening:
		if f == nil {
			f = &siteUpstreamFlow{initialSequence: u.sim.random.Uint32(), nextRequest: p.End(), firstRequest: p.End()}
			f.nextSequence = f.initialSequence + 1
			u.flows[p.Flow] = f
		}
		u.sendToCaller(bramleyfall.Packet{
			Flow: p.Flow.Reverse(), Kind: bramleyfall.KindOpeningReply, HasAck: true, Sequence: f.initialSequence, Ack: p.End(),
		})
	case f == nil:
		return false
	case p.Kind == bramleyfall.KindReset:
		delete(u.flows, p.Flow)
	case p.Length > 0 && int32(p.End()-f.nextRequest) > 0:
		f.nextRequest, f.lastAnswer = p.End(), nil
		u.handleRequest(p, f)
	case p.Length > 0 && f.lastAnswer != nil:
		u.sendToCaller(*f.lastAnswer)
	}
	return true
}

// handleRequest executes, queues or sheds a request.
func (u *siteUpstream) handleRequest(p bramleyfall.Packet, f *siteUpstreamFlow) {
	switch {
	case u.running < u.service.Slots:
		u.startRequest(p, f)
	case len(u.queue) < u.service.QueueLimit:
		u.queue = append(u.queue, func() { u.startRequest(p, f) })
	default:
		u.sendAnswer(p, f, shedLength)
	}
}

const (
	// shedLength is the length of an answer that sheds the request, answerLength that of
	// all other answers.
	shedLength   = 100
	answerLength = 1200
)

func (u *siteUpstream) startRequest(p bramleyfall.Packet, f *siteUpstreamFlow) {
	u.running++
	u.sim.recorder.recordExecution(u.sim.flows[p.Flow])
	serviceTime := u.sim.drawServiceTime(&u.sim.site.Classes[classIndex(p.Flow.Destination)])
	if u.sim.Now().Before(u.coldUntil) {
		serviceTime = time.Duration(u.service.ColdFactor * float64(serviceTime))
	}
	boot := u.boot
	u.sim.After(serviceTime, func() {
		if u.boot != boot {
			return
		}
		u.running--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			next()
		}
		u.sendAnswer(p, f, answerLength)
	})
}

func (u *siteUpstream) sendAnswer(p bramleyfall.Packet, f *siteUpstreamFlow, length uint32) {
	f.lastAnswer = &bramleyfall.Packet{
		Flow: p.Flow.Reverse(), Kind: bramleyfall.KindData, HasAck: true, Sequence: f.nextSequence, Ack: p.End(), Length: length,
	}
	f.nextSequence += length
	u.sendToCaller(*f.lastAnswer)
}

// sendToCaller sends a packet to the caller if the upstream is running and holds the
// flow.
func (u *siteUpstream) sendToCaller(p bramleyfall.Packet) {
	if !u.down && u.flows[p.Flow.Reverse()] != nil {
		u.sim.router.receiveFromUpstream(u.index, p)
	}
}
