package tcp

import (
	"io"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
)

// state is the state of a connection. There are no half-closed states: a
// connection is established until both directions have ended.
type state string

const (
	synSent     state = "SynSent"
	synReceived state = "SynReceived"
	established state = "Established"
	closed      state = "Closed"
)

// Conn is a TCP connection. It is safe for concurrent use.
type Conn struct {
	stack   *Stack
	flow    bramleyfall.Flow
	state   state
	err     error
	changed *sync.Cond

	// SND.UNA, SND.NXT and RCV.NXT of RFC 9293: the oldest unacknowledged, the
	// next to send and the next expected sequence number.
	sendUnacked, sendNext, receiveNext uint32
	// sendBuffer holds the bytes from sendUnacked on.
	sendBuffer    []byte
	receiveBuffer []byte
	outOfOrder    map[uint32][]byte
	finQueued     bool
	finSent       bool
	finAcked      bool
	finReceived   bool

	retransmitTimeout time.Duration
	// retransmitAt is zero if nothing is unacknowledged.
	retransmitAt time.Time
	// transmissions counts the transmissions of the oldest segment that timed out.
	transmissions int
	closedAt      time.Time
}

// Flow returns the flow from the local to the remote end.
func (c *Conn) Flow() bramleyfall.Flow { return c.flow }

// Read implements io.Reader. It blocks until data arrives, and returns io.EOF after
// the peer's FIN.
func (c *Conn) Read(b []byte) (int, error) {
	c.stack.mu.Lock()
	defer c.stack.mu.Unlock()
	for len(c.receiveBuffer) == 0 {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.finReceived:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
	n := copy(b, c.receiveBuffer)
	c.receiveBuffer = c.receiveBuffer[n:]
	return n, nil
}

// Write implements io.Writer. It queues b for sending and does not block.
func (c *Conn) Write(b []byte) (int, error) {
	c.stack.mu.Lock()
	defer c.stack.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	if c.finQueued {
		return 0, ErrClosed
	}
	c.sendBuffer = append(c.sendBuffer, b...)
	c.sendQueued()
	return len(b), nil
}

// Close sends a FIN after all written data. The peer can still send.
func (c *Conn) Close() error {
	c.stack.mu.Lock()
	defer c.stack.mu.Unlock()
	if c.state == established || c.state == synReceived {
		c.finQueued = true
		c.sendQueued()
	}
	return nil
}

// Abort sends an RST and closes the connection.
func (c *Conn) Abort() {
	c.stack.mu.Lock()
	defer c.stack.mu.Unlock()
	if c.state == closed {
		return
	}
	c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.sendNext, Ack: c.receiveNext, ACK: true, Reset: true})
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
	c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.sendUnacked, Ack: c.receiveNext, SYN: true, ACK: withAck})
	c.sendNext = c.sendUnacked + 1
	c.armRetransmitTimer()
}

func (c *Conn) sendAck() {
	c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.sendNext, Ack: c.receiveNext, ACK: true})
}

func (c *Conn) armRetransmitTimer() { c.retransmitAt = time.Now().Add(c.retransmitTimeout) }

// sendQueued sends the buffered data that fits the send window, then a queued FIN.
func (c *Conn) sendQueued() {
	if c.state != established {
		return
	}
	for {
		offset := int(c.sendNext - c.sendUnacked)
		if c.finSent || offset >= len(c.sendBuffer) || offset >= sendWindow {
			break
		}
		end := min(offset+maxSegmentSize, len(c.sendBuffer))
		c.sendSegment(offset, end)
		c.sendNext += uint32(end - offset)
	}
	if c.finQueued && !c.finSent && int(c.sendNext-c.sendUnacked) == len(c.sendBuffer) {
		c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.sendNext, Ack: c.receiveNext, ACK: true, FIN: true})
		c.sendNext++
		c.finSent = true
		c.armRetransmitTimer()
	}
}

func (c *Conn) sendSegment(from, to int) {
	if c.retransmitAt.IsZero() {
		c.armRetransmitTimer()
	}
	c.stack.emit(geneve.TCPFields{
		Flow: c.flow, Sequence: c.sendUnacked + uint32(from), Ack: c.receiveNext, ACK: true, Payload: c.sendBuffer[from:to],
	})
}

// checkTimers retransmits the oldest segment when its acknowledgement is overdue,
// and removes a connection that has been closed for longer than timeWait.
func (c *Conn) checkTimers(now time.Time) {
	if c.state == closed {
		if now.Sub(c.closedAt) > timeWait && c.stack.conns[c.flow] == c {
			delete(c.stack.conns, c.flow)
		}
		return
	}
	if c.retransmitAt.IsZero() || now.Before(c.retransmitAt) {
		return
	}
	if c.transmissions++; c.transmissions >= maxTransmissions {
		c.fail(ErrTimeout)
		return
	}
	c.retransmitTimeout = min(2*c.retransmitTimeout, maxRetransmitTimeout)
	c.retransmit()
	c.armRetransmitTimer()
}

func (c *Conn) retransmit() {
	switch {
	case c.state == synSent:
		c.sendSYN(false)
	case c.state == synReceived:
		c.sendSYN(true)
	case len(c.sendBuffer) > 0:
		c.sendSegment(0, min(maxSegmentSize, len(c.sendBuffer), int(c.sendNext-c.sendUnacked)))
	case c.finSent && !c.finAcked:
		c.stack.emit(geneve.TCPFields{Flow: c.flow, Sequence: c.sendNext - 1, Ack: c.receiveNext, ACK: true, FIN: true})
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
		c.inputReset(p, refusal, retryAfter)
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
		// A SYN-ACK on an established connection may come from another upstream
		// that received a retransmitted SYN: reply with this connection's
		// sequence numbers.
		c.sendAck()
		return
	}
	if c.state == synReceived {
		if !p.HasAck || p.Ack != c.sendUnacked+1 {
			c.stack.sendReset(p)
			return
		}
		c.sendUnacked++
		c.establish()
		c.stack.onAccept(c)
	}
	c.processAck(p)
	c.processPayload(p)
	c.closeIfFinished()
}

// inputReset handles an RST as in RFC 5961: it closes the connection if the sequence
// number is the next expected one, and sends a challenge ACK if the sequence number
// is elsewhere in the window. In synSent, an RST must acknowledge the SYN.
func (c *Conn) inputReset(p *bramleyfall.Packet, refusal bramleyfall.ResultCode, retryAfter time.Duration) {
	if c.state == synSent {
		if p.HasAck && p.Ack == c.sendNext {
			c.fail(&RefusedError{Code: refusal, RetryAfter: retryAfter})
		}
		return
	}
	if p.Sequence != c.receiveNext {
		if p.Sequence-c.receiveNext < sendWindow {
			c.sendAck()
		}
		return
	}
	c.fail(ErrReset)
}

func (c *Conn) inputSynSent(p *bramleyfall.Packet) {
	if p.Kind != bramleyfall.KindOpeningReply || p.Ack != c.sendNext {
		return
	}
	c.sendUnacked = p.Ack
	c.receiveNext = p.Sequence + 1
	c.establish()
	c.sendAck()
}

func (c *Conn) establish() {
	c.state = established
	c.retransmitAt = time.Time{}
	c.transmissions = 0
	c.retransmitTimeout = minRetransmitTimeout
	c.changed.Broadcast()
	c.sendQueued()
}

func (c *Conn) processAck(p *bramleyfall.Packet) {
	newlyAcked := p.Ack - c.sendUnacked
	if !p.HasAck || newlyAcked == 0 || newlyAcked > c.sendNext-c.sendUnacked {
		return
	}
	ackedBytes := min(int(newlyAcked), len(c.sendBuffer))
	c.sendBuffer = c.sendBuffer[ackedBytes:]
	c.sendUnacked = p.Ack
	c.finAcked = c.finSent && c.sendUnacked == c.sendNext
	c.transmissions = 0
	c.retransmitTimeout = minRetransmitTimeout
	c.retransmitAt = time.Time{}
	if c.sendUnacked != c.sendNext {
		c.armRetransmitTimer()
	}
	c.sendQueued()
}

// processPayload reassembles payload and FIN in order and acknowledges them. It
// also acknowledges keepalive probes.
func (c *Conn) processPayload(p *bramleyfall.Packet) {
	keepaliveProbe := p.Length == 0 && p.Sequence == c.receiveNext-1
	if p.Length == 0 && p.Kind != bramleyfall.KindFinish && !keepaliveProbe {
		return
	}
	if p.Length > 0 && len(c.outOfOrder) < maxOutOfOrder && int32(p.End()-c.receiveNext) > 0 {
		c.outOfOrder[p.Sequence] = append([]byte(nil), geneve.Payload(p)...)
	}
	for {
		data, ok := c.outOfOrder[c.receiveNext]
		if !ok {
			break
		}
		delete(c.outOfOrder, c.receiveNext)
		c.receiveBuffer = append(c.receiveBuffer, data...)
		c.receiveNext += uint32(len(data))
	}
	if p.Kind == bramleyfall.KindFinish && p.Sequence+p.Length == c.receiveNext && !c.finReceived {
		c.receiveNext++
		c.finReceived = true
	}
	c.changed.Broadcast()
	c.sendAck()
}

// closeIfFinished closes the connection when both directions have ended.
func (c *Conn) closeIfFinished() {
	if c.finReceived && c.finAcked && c.state == established {
		c.state = closed
		c.err = io.EOF
		c.closedAt = time.Now()
		c.changed.Broadcast()
	}
}
