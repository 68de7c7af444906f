package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// dayServer is an upstream: slots, a queue that sheds, and a cold time.
type siteUpstream struct {
	sim        *siteSimulation
	index      int
	service    *service
	domain     bramleyfall.DomainName
	flows      map[bramleyfall.Flow]*siteUpstreamFlow
	boot       bramleyfall.BootID
	heartbeats uint64
	down       bool
	// coldUntil is the end of the cold time.
	coldUntil time.Time
	running   int
	queue     []func()
}

// serving is the upstream's end of a flow.
type siteUpstreamFlow struct {
	initialSequence, nextSequence uint32
	// next is the sequence number that follows the caller's requests.
	nextRequest uint32
	// opened is what it was after the opening.
	firstRequest uint32
	// answer is the last one, to be repeated.
	lastAnswer *bramleyfall.Packet
}

// beat returns the number of the next heartbeat.
func (u *siteUpstream) nextHeartbeat() uint64 {
	u.heartbeats++
	return u.heartbeats
}

// crash ends the run of the upstream.
func (u *siteUpstream) crash() {
	u.down = true
	u.boot++
	u.heartbeats = 0
	u.running, u.queue = 0, nil
	clear(u.flows)
}

// start begins a run, which is cold.
func (u *siteUpstream) start() {
	u.down = false
	u.coldUntil = u.sim.Now().Add(seconds(u.service.ColdFor))
}

// take handles a caller's packet. It reports whether the upstream holds its flow.
func (u *siteUpstream) receive(p bramleyfall.Packet) bool {
	if u.down {
		return true // it is lost
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

// request runs a request, keeps it waiting or turns it away.
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
	// shedLength is the length of an answer that turns a request away, and
	// answerLength that of a packet of another.
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

// reply sends a packet towards the caller, while the upstream knows the flow.
func (u *siteUpstream) sendToCaller(p bramleyfall.Packet) {
	if !u.down && u.flows[p.Flow.Reverse()] != nil {
		u.sim.router.receiveFromUpstream(u.index, p)
	}
}
