// Package tcp is a small user-space TCP for the simulated callers and upstreams:
// ordered delivery, retransmission, FIN, RST and replies to keepalive probes. Users
// of the package transport the packets. It follows RFC 9293 without options and
// congestion control.
package tcp

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
)

const (
	// maxSegmentSize is the maximum payload of a segment in bytes.
	maxSegmentSize = 1200
	// sendWindow is the maximum number of unacknowledged bytes.
	sendWindow = 48 * 1024
	// maxOutOfOrder is the maximum number of buffered out-of-order segments.
	maxOutOfOrder = 256
	// The retransmission timeout doubles from minRetransmitTimeout up to
	// maxRetransmitTimeout.
	minRetransmitTimeout = 250 * time.Millisecond
	maxRetransmitTimeout = 2 * time.Second
	// maxTransmissions is the number of unacknowledged transmissions of a segment
	// after which a connection fails with ErrTimeout.
	maxTransmissions = 9
	// timerInterval is the time between two checks of the timers.
	timerInterval = 10 * time.Millisecond
	// timeWait is the time for which a closed connection still acknowledges FINs.
	timeWait = time.Second
)

// Errors of connections.
var (
	// ErrReset means that the peer, or a balancer or agent between, reset the
	// connection.
	ErrReset = errors.New("connection reset")
	// ErrTimeout means that maxTransmissions transmissions of a segment were not
	// acknowledged.
	ErrTimeout = errors.New("connection timed out")
	// ErrClosed means that the connection was closed locally.
	ErrClosed = errors.New("connection closed")
)

// RefusedError means that a SYN was answered with an RST. Code is the reason and
// RetryAfter the time to wait before the next attempt; both are zero if the tunnel
// header of the RST has no refusal option.
type RefusedError struct {
	Code       bramleyfall.ResultCode
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusedError) Error() string { return "connection refused: " + r.Code.String() }

// Stack holds the connections of a host. It is safe for concurrent use.
type Stack struct {
	mu           sync.Mutex
	conns        map[bramleyfall.Flow]*Conn
	onAccept     func(*Conn)
	shouldAccept func(bramleyfall.Flow) bool
	output       func(raw []byte)
	random       *rand.Rand
	done         chan struct{}
}

// Option sets an option of a Stack.
type Option func(*Stack)

// WithListener makes the stack accept connections. shouldAccept decides whether a
// SYN is answered with a SYN-ACK or an RST; onAccept is called with each established
// connection. Both are called with the stack's lock held.
func WithListener(shouldAccept func(bramleyfall.Flow) bool, onAccept func(*Conn)) Option {
	return func(s *Stack) { s.shouldAccept, s.onAccept = shouldAccept, onAccept }
}

// WithSeed makes the initial sequence numbers reproducible.
func WithSeed(seed uint64) Option {
	return func(s *Stack) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// NewStack returns a stack that passes outgoing packets to output. The timers work
// only while Run is active.
func NewStack(output func(raw []byte), options ...Option) *Stack {
	s := &Stack{
		conns:  make(map[bramleyfall.Flow]*Conn),
		output: output,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		done:   make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Run drives the timers until ctx ends.
func (s *Stack) Run(ctx context.Context) {
	ticker := time.NewTicker(timerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for _, c := range s.conns {
				c.checkTimers(now)
			}
			s.mu.Unlock()
		}
	}
}

// Dial opens a connection. The error is a *RefusedError if the SYN was answered with
// an RST, which means that no request was executed.
func (s *Stack) Dial(ctx context.Context, flow bramleyfall.Flow) (*Conn, error) {
	s.mu.Lock()
	c := s.newConn(flow)
	c.state = synSent
	c.sendSYN(false)
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if c.state == synSent {
			c.fail(ctx.Err())
		}
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c.state == synSent {
		c.changed.Wait()
	}
	if c.err != nil {
		return nil, c.err
	}
	return c, nil
}

func (s *Stack) newConn(flow bramleyfall.Flow) *Conn {
	c := &Conn{stack: s, flow: flow, outOfOrder: make(map[uint32][]byte), retransmitTimeout: minRetransmitTimeout}
	c.changed = sync.NewCond(&s.mu)
	c.sendNext = s.random.Uint32()
	c.sendUnacked = c.sendNext
	s.conns[flow] = c
	return c
}

// Input processes a received packet. refusal and retryAfter come from the tunnel
// header of an RST.
func (s *Stack) Input(p *bramleyfall.Packet, refusal bramleyfall.ResultCode, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	flow := p.Flow.Reverse()
	c := s.conns[flow]
	if c != nil && c.state == closed && p.Kind == bramleyfall.KindOpening {
		delete(s.conns, flow)
		c = nil
	}
	switch {
	case c != nil:
		c.input(p, refusal, retryAfter)
	case p.Kind == bramleyfall.KindReset:
	case p.Kind == bramleyfall.KindOpening && s.onAccept != nil && s.shouldAccept(flow):
		c = s.newConn(flow)
		c.state = synReceived
		c.receiveNext = p.Sequence + 1
		c.sendSYN(true)
	default:
		s.sendReset(p)
	}
}

// sendReset replies to p with an RST (RFC 9293, section 3.5.2).
func (s *Stack) sendReset(p *bramleyfall.Packet) {
	f := geneve.TCPFields{Flow: p.Flow.Reverse(), Reset: true, Sequence: p.Ack}
	if !p.HasAck {
		f.Sequence, f.ACK, f.Ack = 0, true, p.End()
	}
	s.emit(f)
}

func (s *Stack) emit(f geneve.TCPFields) {
	if raw, err := geneve.EncodeTCP(f); err == nil {
		s.output(raw)
	}
}

// CountEstablishedLocked returns the number of established connections. It is for the
// shouldAccept function of WithListener, which runs with the lock held.
func (s *Stack) CountEstablishedLocked() int {
	n := 0
	for _, c := range s.conns {
		if c.state == established {
			n++
		}
	}
	return n
}

// DropConnections discards all connections without sending FIN or RST, as a restart
// of the host does.
func (s *Stack) DropConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.fail(ErrClosed)
	}
	clear(s.conns)
}
