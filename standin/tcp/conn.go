package tcp

import (
	"io"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
)

// state is the state of a connection. A connection stays established until
// both directions have ended.
type state string

const (
	synSent     state = "SynSent"
	synReceived state = "SynReceived"
	established state = "Established"
	closed      state = "Closed"
)

// Conn is a connection. Its methods may be called from any goroutine.
type Conn struct {
	stack   *Stack
	flow    bramleyfall.Flow
	state   state
	err     error
	changed *sync.Cond

	// acked is the oldest unacknowledged sequence number, sent the next to
	// send, received the next expected.
	acked, sent, received uint32
	// pending holds the bytes from acked on.
	pending    []byte
	incoming   []byte
	outOfOrder map[uint32][]byte
	finAsked   bool
	finSent    bool
	finAcked   bool
	finHeard   bool

	timeout  time.Duration
	due      time.Time
	tries    int
	closedAt time.Time
}

// Flow returns the flow from this end to the other.
func (c *Conn) Flow() bramleyfall.Flow { return c.flow }

// Read reads what has arrived, and waits for it. It returns io.EOF after the
// other end's FIN.
func (c *Conn) Read(b []byte) (int, error) {
	c.stack.mu.Lock()
	defer c.stack.mu.Unlock()
	for len(c.incoming) == 0 {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.finHeard:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
	n := copy(b, c.incoming)
	c.incoming = c.incoming[n:]
	return n, nil
}

// Write queues b for sending.
func (c *Conn) Write(b []byte) (int, error) {
	c.stack.mu.Lock()
	defer c.stack.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	if c.finAsked {
		return 0, ErrClosed
	}
	c.pending = append(c.pending, b...)
	c.push()
	return len(b), nil
}

// Close ends the sending direction after what was written.
func (c *Conn) Close() error {
	c.stack.mu.Lock()
	defer c.stack.mu.Unlock()
	if c.state == established || c.state == synReceived {
		c.finAsked = true
		c.push()
	}
	return nil
}

// Abort resets the connection.
func (c *Conn) Abort() {
	c.stack.mu.Lock()
	defer c.stack.mu.Unlock()
	if c.state == closed {
		return
	}
	c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.sent, Ack: c.received, ACK: true, Reset: true})
	c.fail(ErrClosed)
}

func (c *Conn) fail(err error) {
	if c.state == closed && c.err != nil {
		return
	}
	c.state = closed
	c.err = err
	c.closedAt = time.Now()
	c.changed.Broadcast()
}

func (c *Conn) sendSYN(withAck bool) {
	c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.acked, Ack: c.received, SYN: true, ACK: withAck})
	c.sent = c.acked + 1
	c.arm()
}

func (c *Conn) sendAck() {
	c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.sent, Ack: c.received, ACK: true})
}

func (c *Conn) arm() { c.due = time.Now().Add(c.timeout) }

// push sends what the window allows, then the FIN.
func (c *Conn) push() {
	if c.state != established {
		return
	}
	for {
		offset := int(c.sent - c.acked)
		if c.finSent || offset >= len(c.pending) || offset >= sendWindow {
			break
		}
		end := min(offset+segmentSize, len(c.pending))
		c.sendSegment(offset, end)
		c.sent += uint32(end - offset)
	}
	if c.finAsked && !c.finSent && int(c.sent-c.acked) == len(c.pending) {
		c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.sent, Ack: c.received, ACK: true, FIN: true})
		c.sent++
		c.finSent = true
		c.arm()
	}
}

func (c *Conn) sendSegment(from, to int) {
	if c.due.IsZero() {
		c.arm()
	}
	c.stack.emit(geneve.TCPFields{
		Flow: c.flow, Sequence: c.acked + uint32(from), Ack: c.received, ACK: true, Payload: c.pending[from:to],
	})
}

// timers retransmits the oldest segment when its answer is overdue.
func (c *Conn) timers(now time.Time) {
	if c.state == closed {
		if now.Sub(c.closedAt) > lingerTime && c.stack.conns[c.flow] == c {
			delete(c.stack.conns, c.flow)
		}
		return
	}
	if c.due.IsZero() || now.Before(c.due) {
		return
	}
	if c.tries++; c.tries >= maxTries {
		c.fail(ErrTimeout)
		return
	}
	c.timeout = min(2*c.timeout, maxTimeout)
	c.retransmit()
	c.arm()
}

func (c *Conn) retransmit() {
	switch {
	case c.state == synSent:
		c.sendSYN(false)
	case c.state == synReceived:
		c.sendSYN(true)
	case len(c.pending) > 0:
		c.sendSegment(0, min(segmentSize, len(c.pending), int(c.sent-c.acked)))
	case c.finSent && !c.finAcked:
		c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.sent - 1, Ack: c.received, ACK: true, FIN: true})
	}
}

func (c *Conn) input(p *bramleyfall.Packet, refusal bramleyfall.ResultCode, retryAfter time.Duration) {
	switch {
	case c.state == closed:
		if p.Kind == bramleyfall.KindFinish {
			c.sendAck()
		}
		return
	case p.Kind == bramleyfall.KindReset:
		c.reset(p, refusal, retryAfter)
		return
	case c.state == synSent:
		c.inputSynSent(p)
		return
	case p.Kind == bramleyfall.KindOpening:
		if c.state == synReceived {
			c.sendSYN(true)
		}
		return
	case p.Kind == bramleyfall.KindOpeningReply:
		// A reply of another upstream to a repeated opening: answer with
		// what this connection expects.
		c.sendAck()
		return
	}
	if c.state == synReceived {
		if !p.HasAck || p.Ack != c.acked+1 {
			c.stack.sendReset(p)
			return
		}
		c.acked++
		c.establish()
		c.stack.accept(c)
	}
	c.takeAck(p)
	c.takePayload(p)
	c.finish()
}

// reset ends the connection if the reset is within the window (RFC 5961).
func (c *Conn) reset(p *bramleyfall.Packet, refusal bramleyfall.ResultCode, retryAfter time.Duration) {
	if c.state == synSent {
		if p.HasAck && p.Ack == c.sent {
			c.fail(&Refused{Code: refusal, RetryAfter: retryAfter})
		}
		return
	}
	if p.Sequence != c.received {
		if p.Sequence-c.received < sendWindow {
			c.sendAck()
		}
		return
	}
	c.fail(ErrReset)
}

func (c *Conn) inputSynSent(p *bramleyfall.Packet) {
	if p.Kind != bramleyfall.KindOpeningReply || p.Ack != c.sent {
		return
	}
	c.acked = p.Ack
	c.received = p.Sequence + 1
	c.establish()
	c.sendAck()
}

func (c *Conn) establish() {
	c.state = established
	c.due = time.Time{}
	c.tries = 0
	c.timeout = firstTimeout
	c.changed.Broadcast()
	c.push()
}

func (c *Conn) takeAck(p *bramleyfall.Packet) {
	advance := p.Ack - c.acked
	if !p.HasAck || advance == 0 || advance > c.sent-c.acked {
		return
	}
	data := min(int(advance), len(c.pending))
	c.pending = c.pending[data:]
	c.acked = p.Ack
	c.finAcked = c.finSent && c.acked == c.sent
	c.tries = 0
	c.timeout = firstTimeout
	c.due = time.Time{}
	if c.acked != c.sent {
		c.arm()
	}
	c.push()
}

// takePayload orders payload and FIN and acknowledges them. A keepalive probe
// is answered too.
func (c *Conn) takePayload(p *bramleyfall.Packet) {
	probe := p.Length == 0 && p.Sequence == c.received-1
	if p.Length == 0 && p.Kind != bramleyfall.KindFinish && !probe {
		return
	}
	if p.Length > 0 && len(c.outOfOrder) < maxReceive && int32(p.End()-c.received) > 0 {
		c.outOfOrder[p.Sequence] = append([]byte(nil), geneve.Payload(p)...)
	}
	for {
		data, ok := c.outOfOrder[c.received]
		if !ok {
			break
		}
		delete(c.outOfOrder, c.received)
		c.incoming = append(c.incoming, data...)
		c.received += uint32(len(data))
	}
	if p.Kind == bramleyfall.KindFinish && p.Sequence+p.Length == c.received && !c.finHeard {
		c.received++
		c.finHeard = true
	}
	c.changed.Broadcast()
	c.sendAck()
}

// finish closes the connection when both directions have ended.
func (c *Conn) finish() {
	if c.finHeard && c.finAcked && c.state == established {
		c.state = closed
		c.err = io.EOF
		c.closedAt = time.Now()
		c.changed.Broadcast()
	}
}
