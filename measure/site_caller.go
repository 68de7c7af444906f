package main

import (
	"encoding/binary"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// firstOpeningRetransmit and secondOpeningRetransmit are the times after which an
	// unanswered opening is retransmitted. After openingTimeout, the opening has failed.
	firstOpeningRetransmit  = 200 * time.Millisecond
	secondOpeningRetransmit = 600 * time.Millisecond
	openingTimeout          = 1400 * time.Millisecond
	// initialRequestRetransmit is the time after which an unanswered request is
	// retransmitted for the first time. It doubles with each retransmission, up to
	// maxRequestRetransmit.
	initialRequestRetransmit = 200 * time.Millisecond
	maxRequestRetransmit     = 1600 * time.Millisecond
	// maxRetries is the maximum number of retries of a failed request, retryDelay the time
	// between a failure and the retry.
	maxRetries = 2
	retryDelay = 500 * time.Microsecond
	// closeProbability is the probability that the caller closes a persistent flow after
	// an answer.
	closeProbability = 0.1
	// upstreamIdleTimeout is the time after which the upstream closes an idle flow.
	upstreamIdleTimeout = 12 * time.Second
	// requestLength is the payload length of a request in bytes.
	requestLength = 200
)

// siteCaller simulates an instance that issues requests. It keeps persistent flows
// open.
type siteCaller struct {
	sim    *siteSimulation
	index  int
	domain bramleyfall.DomainName
	// idleFlows holds the open flows without an outstanding request, by class index.
	idleFlows map[int][]*siteCallerFlow
	lastPort  uint16
}

// siteRequest is a request with all of its tries.
type siteRequest struct {
	caller     *siteCaller
	classIndex int
	issuedAt   time.Time
	tries      int
	executions int
	done       bool
	// firstSeen is the issue time that omniscientRouter infers from the first packet that
	// reached a balancer.
	firstSeen time.Time
}

// siteCallerFlow is the caller's end of a flow.
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
	// generation is incremented to cancel the pending retransmissions.
	generation int
}

// issueRequest issues a request of a random class at a random caller.
func (si *siteSimulation) issueRequest() {
	at := si.random.Float64()
	n := 0
	for n < len(si.site.Classes)-1 && at >= si.site.Classes[n].Share {
		at -= si.site.Classes[n].Share
		n++
	}
	request := &siteRequest{caller: si.callers[si.random.IntN(len(si.callers))], classIndex: n, issuedAt: si.Now()}
	si.recorder.recordRequest(request)
	si.After(millis(si.site.Classes[n].Deadline), func() { si.recorder.recordEnd(request, si.Now(), false) })
	request.try()
}

// try sends the request: at the first try on an idle flow if there is one, and otherwise
// on a new flow.
func (r *siteRequest) try() {
	c := r.caller
	r.tries++
	if f := c.takeIdle(r.classIndex); f != nil && r.tries == 1 {
		f.sendRequest(r)
		return
	}
	c.lastPort++
	f := &siteCallerFlow{caller: c, class: &c.sim.site.Classes[r.classIndex], classIndex: r.classIndex, request: r, sequence: c.sim.random.Uint32()}
	f.flow = bramleyfall.Flow{Destination: classAddress(r.classIndex), Protocol: bramleyfall.TCP}
	binary.BigEndian.PutUint32(f.flow.Source.IP[:], 100<<24+uint32(c.index))
	f.flow.Source.Port = c.lastPort
	c.sim.flows[f.flow] = f
	for n, after := range []time.Duration{0, firstOpeningRetransmit, secondOpeningRetransmit} {
		c.sim.After(after, func() {
			if !f.established && f.request == r {
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

// takeIdle removes the most recently used idle flow and returns it, or returns nil if
// there is none or the upstream has closed it.
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

// sendRequest sends a request and retransmits it until it is answered.
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

// receive handles a packet to the caller.
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

// receiveAnswer ends the request, or retries it if the upstream shed it.
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

// close closes the flow.
func (f *siteCallerFlow) close() {
	if f.established {
		f.send(bramleyfall.Packet{Kind: bramleyfall.KindReset, HasAck: true, Sequence: f.sequence + 1, Ack: f.ack})
	}
	delete(f.caller.sim.flows, f.flow)
}

// handleFailure handles the end of the flow after a reset or an unanswered opening.
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

// retryRequest retries a request if that is allowed and the request has retries left.
// Otherwise the request has failed.
func (si *siteSimulation) retryRequest(request *siteRequest, allowed bool) {
	if request.done {
		return
	}
	if !allowed || request.tries > maxRetries {
		si.recorder.recordEnd(request, si.Now(), false)
		return
	}
	si.After(retryDelay, func() {
		if !request.done {
			request.try()
		}
	})
}
