// Package tcp is a small TCP for the stand-ins: sequence numbers, ordering,
// retransmission, FIN, RST and keepalive answers over packets that someone else
// carries. It follows RFC 9293 without options and congestion control.
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
	// segmentSize is the greatest payload of a segment in bytes.
	segmentSize = 1200
	// sendWindow is the greatest number of bytes under way.
	sendWindow = 48 * 1024
	// maxReceive bounds the segments kept out of order.
	maxReceive = 256
	// firstTimeout and maxTimeout bound the retransmission timeout.
	firstTimeout = 250 * time.Millisecond
	maxTimeout   = 2 * time.Second
	// maxTries is the number of transmissions before a connection is given up.
	maxTries = 9
	// tickEvery is the time between two looks at the timers.
	tickEvery = 10 * time.Millisecond
	// lingerTime is the time for which a closed connection answers.
	lingerTime = time.Second
)

// The errors of connections.
var (
	// ErrReset tells that the other end, or someone between, reset the
	// connection.
	ErrReset = errors.New("connection reset")
	// ErrTimeout tells that no answer came to many transmissions.
	ErrTimeout = errors.New("connection timed out")
	// ErrClosed tells that the connection was closed on this side.
	ErrClosed = errors.New("connection closed")
)

// Refused is the error of an opening that was answered with a reset.
type Refused struct {
	Code       bramleyfall.ResultCode
	RetryAfter time.Duration
}

// Error returns the reason of the refusal.
func (r *Refused) Error() string { return "connection refused: " + r.Code.String() }

// Stack holds the connections of one host.
type Stack struct {
	mu     sync.Mutex
	conns  map[bramleyfall.Flow]*Conn
	accept func(*Conn)
	admit  func(bramleyfall.Flow) bool
	output func(raw []byte)
	random *rand.Rand
	done   chan struct{}
}

// Option sets an option of a Stack.
type Option func(*Stack)

// WithListener makes the stack accept connections. Admit tells whether an
// opening is answered with a SYN or with a reset.
func WithListener(admit func(bramleyfall.Flow) bool, accept func(*Conn)) Option {
	return func(s *Stack) { s.admit, s.accept = admit, accept }
}

// WithSeed makes initial sequence numbers repeatable.
func WithSeed(seed uint64) Option {
	return func(s *Stack) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// NewStack returns a stack that sends packets by output. Run must be called.
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
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for _, c := range s.conns {
				c.timers(now)
			}
			s.mu.Unlock()
		}
	}
}

// Dial opens a connection. The error is a *Refused if the opening was answered
// with a reset, which means that nothing was run.
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
	c := &Conn{stack: s, flow: flow, outOfOrder: make(map[uint32][]byte), timeout: firstTimeout}
	c.changed = sync.NewCond(&s.mu)
	c.sent = s.random.Uint32()
	c.acked = c.sent
	s.conns[flow] = c
	return c
}

// Input takes a packet. Refusal and retryAfter come from the tunnel of a reset.
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
	case p.Kind == bramleyfall.KindOpening && s.accept != nil && s.admit(flow):
		c = s.newConn(flow)
		c.state = synReceived
		c.received = p.Sequence + 1
		c.sendSYN(true)
	default:
		s.sendReset(p)
	}
}

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

// CountLocked returns the number of connections that are open, for the admit
// function of WithListener.
func (s *Stack) CountLocked() int {
	n := 0
	for _, c := range s.conns {
		if c.state == established {
			n++
		}
	}
	return n
}

// Forget drops all connections without a word, as a restart does.
func (s *Stack) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.fail(ErrClosed)
	}
	clear(s.conns)
}
