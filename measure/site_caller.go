package main

import (
	"encoding/binary"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// firstCopy and secondCopy are the times after which an opening is sent again,
	// and openFor that after which its caller gives up.
	firstOpeningRetransmit  = 200 * time.Millisecond
	secondOpeningRetransmit = 600 * time.Millisecond
	openingTimeout          = 1400 * time.Millisecond
	// firstRepeat is the time after which a request is sent again; it doubles up to
	// lastRepeat.
	initialRequestRetransmit = 200 * time.Millisecond
	maxRequestRetransmit     = 1600 * time.Millisecond
	// triesAgain is how often a caller repeats a request, at once.
	maxRetries = 2
	retryDelay = 500 * time.Microsecond
	// closeShare is the share of answers after which a lasting flow is closed.
	closeProbability = 0.1
	// idleClose is the time after which an idle flow is closed by its upstream.
	upstreamIdleTimeout = 12 * time.Second
	// requestLength is the length of a request.
	requestLength = 200
)

// dayCaller is an instance with callers. It keeps lasting flows open.
type siteCaller struct {
	sim    *siteSimulation
	index  int
	domain bramleyfall.DomainName
	// idle holds the open flows without a request, by class.
	idleFlows map[int][]*siteCallerFlow
	lastPort  uint16
}

// dayRequest is a request through all of its tries.
type siteRequest struct {
	caller     *siteCaller
	classIndex int
	issuedAt   time.Time
	tries      int
	executions int
	done       bool
	// seen is when a balancer saw it first, for a bound that knows it.
	firstSeen time.Time
}

// dayFlow is the caller's end of a flow.
type siteCallerFlow struct {
	caller      *siteCaller
	class       *class
	classIndex  int
	flow        bramleyfall.Flow
	sequence    uint32
	ack         uint32
	established bool
	request     *siteRequest
	lastUsed    time.Time
	// attempt tells copies of a packet that is out of date.
	generation int
}

// arrive starts a request of a random class and caller.
func (sim *siteSimulation) startRequest() {
	at := sim.random.Float64()
	n := 0
	for n < len(sim.site.Classes)-1 && at >= sim.site.Classes[n].Share {
		at -= sim.site.Classes[n].Share
		n++
	}
	request := &siteRequest{caller: sim.callers[sim.random.IntN(len(sim.callers))], classIndex: n, issuedAt: sim.Now()}
	sim.recorder.recordRequest(request)
	sim.After(millis(sim.site.Classes[n].Deadline), func() { sim.recorder.recordEnd(request, sim.Now(), false) })
	request.try()
}

// try sends the request on an idle flow, or on a new one.
func (request *siteRequest) try() {
	c := request.caller
	request.tries++
	if f := c.takeIdle(request.classIndex); f != nil && request.tries == 1 {
		f.sendRequest(request)
		return
	}
	c.lastPort++
	f := &siteCallerFlow{caller: c, class: &c.sim.site.Classes[request.classIndex], classIndex: request.classIndex, request: request, sequence: c.sim.random.Uint32()}
	f.flow = bramleyfall.Flow{Destination: classAddress(request.classIndex), Protocol: bramleyfall.TCP}
	binary.BigEndian.PutUint32(f.flow.Source.IP[:], 100<<24+uint32(c.index))
	f.flow.Source.Port = c.lastPort
	c.sim.flows[f.flow] = f
	for n, after := range []time.Duration{0, firstOpeningRetransmit, secondOpeningRetransmit} {
		c.sim.After(after, func() {
			if !f.established && f.request == request {
				f.send(bramleyfall.Packet{Kind: bramleyfall.KindOpening, Sequence: f.sequence, Repeat: uint32(n)})
			}
		})
	}
	c.sim.After(openingTimeout, func() {
		if !f.established {
			f.handleFailure()
		}
	})
}

// takeIdle returns the idle flow that was used last, if its upstream hasn't closed
// it.
func (c *siteCaller) takeIdle(classIndex int) *siteCallerFlow {
	idle := c.idleFlows[classIndex]
	if len(idle) == 0 {
		return nil
	}
	f := idle[len(idle)-1]
	c.idleFlows[classIndex] = idle[:len(idle)-1]
	if c.sim.Now().Sub(f.lastUsed) > upstreamIdleTimeout {
		f.close()
		return nil
	}
	return f
}

func (f *siteCallerFlow) send(p bramleyfall.Packet) {
	p.Flow = f.flow
	f.caller.sim.sendToBalancer(f.caller.domain, p)
}

// ask sends a request, and again until it is answered.
func (f *siteCallerFlow) sendRequest(request *siteRequest) {
	f.request = request
	f.generation++
	f.retransmit(f.generation, initialRequestRetransmit)
}

func (f *siteCallerFlow) retransmit(generation int, wait time.Duration) {
	if f.generation != generation || f.request == nil || f.request.done {
		return
	}
	f.send(bramleyfall.Packet{
		Kind: bramleyfall.KindData, HasAck: true, Sequence: f.sequence + 1, Ack: f.ack, Length: requestLength,
	})
	f.caller.sim.After(wait, func() { f.retransmit(generation, min(2*wait, maxRequestRetransmit)) })
}

// take handles a packet for the caller.
func (f *siteCallerFlow) receive(p bramleyfall.Packet) {
	switch {
	case p.Kind == bramleyfall.KindReset:
		f.handleFailure()
	case p.Kind == bramleyfall.KindOpeningReply && !f.established:
		f.established, f.ack = true, p.Sequence+1
		if f.request == nil || f.request.done {
			f.close()
			return
		}
		f.sendRequest(f.request)
	case p.Length > 0 && p.Sequence == f.ack && f.request != nil:
		f.ack = p.End()
		f.receiveAnswer(p.Length)
	}
}

// answered ends the request, or places it again if it was turned away.
func (f *siteCallerFlow) receiveAnswer(length uint32) {
	request := f.request
	f.request, f.lastUsed = nil, f.caller.sim.Now()
	f.generation++
	f.sequence += requestLength
	if length == shedLength {
		f.close()
		f.caller.sim.retryRequest(request, true)
		return
	}
	f.caller.sim.recorder.recordEnd(request, f.lastUsed, true)
	if f.class.Persistent && f.caller.sim.random.Float64() >= closeProbability {
		f.caller.idleFlows[f.classIndex] = append(f.caller.idleFlows[f.classIndex], f)
		return
	}
	f.close()
}

// leave ends the flow.
func (f *siteCallerFlow) close() {
	if f.established {
		f.send(bramleyfall.Packet{Kind: bramleyfall.KindReset, HasAck: true, Sequence: f.sequence + 1, Ack: f.ack})
	}
	delete(f.caller.sim.flows, f.flow)
}

// fail handles the end of the flow by a reset or for want of an answer.
func (f *siteCallerFlow) handleFailure() {
	c := f.caller
	delete(c.sim.flows, f.flow)
	for n, idle := range c.idleFlows[f.classIndex] {
		if idle == f {
			c.idleFlows[f.classIndex] = append(c.idleFlows[f.classIndex][:n:n], c.idleFlows[f.classIndex][n+1:]...)
			break
		}
	}
	if request := f.request; request != nil {
		f.request = nil
		c.sim.retryRequest(request, !f.established || f.class.Idempotent)
	}
}

// again repeats a request, if its caller may and has tries left.
func (sim *siteSimulation) retryRequest(request *siteRequest, allowed bool) {
	if request.done {
		return
	}
	if !allowed || request.tries > maxRetries {
		sim.recorder.recordEnd(request, sim.Now(), false)
		return
	}
	sim.After(retryDelay, func() {
		if !request.done {
			request.try()
		}
	})
}
