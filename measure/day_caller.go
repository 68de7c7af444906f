package main

import (
	"encoding/binary"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// firstCopy and secondCopy are the times after which an opening is sent again,
	// and openFor that after which its caller gives up.
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openFor    = 1400 * time.Millisecond
	// firstRepeat is the time after which a request is sent again; it doubles up to
	// lastRepeat.
	firstRepeat = 200 * time.Millisecond
	lastRepeat  = 1600 * time.Millisecond
	// triesAgain is how often a caller repeats a request, at once.
	triesAgain = 2
	againAfter = 500 * time.Microsecond
	// closeShare is the share of answers after which a lasting flow is closed.
	closeShare = 0.1
	// idleClose is the time after which an idle flow is closed by its upstream.
	idleClose = 12 * time.Second
	// requestLength is the length of a request.
	requestLength = 200
)

// dayCaller is an instance with callers. It keeps lasting flows open.
type dayCaller struct {
	play   *dayPlay
	index  int
	domain bramleyfall.DomainName
	// idle holds the open flows without a request, by class.
	idle map[int][]*dayFlow
	port uint16
}

// dayRequest is a request through all of its tries.
type dayRequest struct {
	caller *dayCaller
	class  int
	asked  time.Time
	tries  int
	runs   int
	done   bool
	// seen is when a balancer saw it first, for a bound that knows it.
	seen time.Time
}

// dayFlow is the caller's end of a flow.
type dayFlow struct {
	caller   *dayCaller
	class    *class
	index    int
	flow     bramleyfall.Flow
	sequence uint32
	ack      uint32
	open     bool
	request  *dayRequest
	lastUse  time.Time
	// attempt tells copies of a packet that is out of date.
	attempt int
}

// arrive starts a request of a random class and caller.
func (p *dayPlay) arrive() {
	at := p.random.Float64()
	n := 0
	for n < len(p.site.Classes)-1 && at >= p.site.Classes[n].Share {
		at -= p.site.Classes[n].Share
		n++
	}
	r := &dayRequest{caller: p.callers[p.random.IntN(len(p.callers))], class: n, asked: p.Now()}
	p.tally.asked(r)
	p.After(millis(p.site.Classes[n].Deadline), func() { p.tally.end(r, p.Now(), false) })
	r.try()
}

// try sends the request on an idle flow, or on a new one.
func (r *dayRequest) try() {
	c := r.caller
	r.tries++
	if f := c.takeIdle(r.class); f != nil && r.tries == 1 {
		f.ask(r)
		return
	}
	c.port++
	f := &dayFlow{caller: c, class: &c.play.site.Classes[r.class], index: r.class, request: r, sequence: c.play.random.Uint32()}
	f.flow = bramleyfall.Flow{Destination: classAddress(r.class), Protocol: bramleyfall.TCP}
	binary.BigEndian.PutUint32(f.flow.Source.IP[:], 100<<24+uint32(c.index))
	f.flow.Source.Port = c.port
	c.play.flows[f.flow] = f
	for n, after := range []time.Duration{0, firstCopy, secondCopy} {
		c.play.After(after, func() {
			if !f.open && f.request == r {
				f.send(bramleyfall.Packet{Kind: bramleyfall.KindOpening, Sequence: f.sequence, Repeat: uint32(n)})
			}
		})
	}
	c.play.After(openFor, func() {
		if !f.open {
			f.fail()
		}
	})
}

// takeIdle returns the idle flow that was used last, if its upstream hasn't closed
// it.
func (c *dayCaller) takeIdle(class int) *dayFlow {
	idle := c.idle[class]
	if len(idle) == 0 {
		return nil
	}
	f := idle[len(idle)-1]
	c.idle[class] = idle[:len(idle)-1]
	if c.play.Now().Sub(f.lastUse) > idleClose {
		f.leave()
		return nil
	}
	return f
}

func (f *dayFlow) send(p bramleyfall.Packet) {
	p.Flow = f.flow
	f.caller.play.send(f.caller.domain, p)
}

// ask sends a request, and again until it is answered.
func (f *dayFlow) ask(r *dayRequest) {
	f.request = r
	f.attempt++
	f.repeat(f.attempt, firstRepeat)
}

func (f *dayFlow) repeat(attempt int, wait time.Duration) {
	if f.attempt != attempt || f.request == nil || f.request.done {
		return
	}
	f.send(bramleyfall.Packet{
		Kind: bramleyfall.KindData, HasAck: true, Sequence: f.sequence + 1, Ack: f.ack, Length: requestLength,
	})
	f.caller.play.After(wait, func() { f.repeat(attempt, min(2*wait, lastRepeat)) })
}

// take handles a packet for the caller.
func (f *dayFlow) take(p bramleyfall.Packet) {
	switch {
	case p.Kind == bramleyfall.KindReset:
		f.fail()
	case p.Kind == bramleyfall.KindOpeningReply && !f.open:
		f.open, f.ack = true, p.Sequence+1
		if f.request == nil || f.request.done {
			f.leave()
			return
		}
		f.ask(f.request)
	case p.Length > 0 && p.Sequence == f.ack && f.request != nil:
		f.ack = p.End()
		f.answered(p.Length)
	}
}

// answered ends the request, or places it again if it was turned away.
func (f *dayFlow) answered(length uint32) {
	r := f.request
	f.request, f.lastUse = nil, f.caller.play.Now()
	f.attempt++
	f.sequence += requestLength
	if length == shedLength {
		f.leave()
		f.caller.play.again(r, true)
		return
	}
	f.caller.play.tally.end(r, f.lastUse, true)
	if f.class.Lasting && f.caller.play.random.Float64() >= closeShare {
		f.caller.idle[f.index] = append(f.caller.idle[f.index], f)
		return
	}
	f.leave()
}

// leave ends the flow.
func (f *dayFlow) leave() {
	if f.open {
		f.send(bramleyfall.Packet{Kind: bramleyfall.KindReset, HasAck: true, Sequence: f.sequence + 1, Ack: f.ack})
	}
	delete(f.caller.play.flows, f.flow)
}

// fail handles the end of the flow by a reset or for want of an answer.
func (f *dayFlow) fail() {
	c := f.caller
	delete(c.play.flows, f.flow)
	for n, idle := range c.idle[f.index] {
		if idle == f {
			c.idle[f.index] = append(c.idle[f.index][:n:n], c.idle[f.index][n+1:]...)
			break
		}
	}
	if r := f.request; r != nil {
		f.request = nil
		c.play.again(r, !f.open || f.class.Idempotent)
	}
}

// again repeats a request, if its caller may and has tries left.
func (p *dayPlay) again(r *dayRequest, may bool) {
	if r.done {
		return
	}
	if !may || r.tries > triesAgain {
		p.tally.end(r, p.Now(), false)
		return
	}
	p.After(againAfter, func() {
		if !r.done {
			r.try()
		}
	})
}
