package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bramleyfall.example/review/stand/platform"
)

// server is a stand-in for an application server beside an agent. It keeps flows,
// runs one request after the other on each flow, returns packets of flows that it
// does not hold, and sends heartbeats.
type server struct {
	w       *world
	m       *machine
	id      string
	born    time.Time
	conn    *net.UDPConn
	cancel  context.CancelFunc
	work    time.Duration
	slots   chan struct{}
	service string

	mu       sync.Mutex
	seq      uint64
	state    string
	coldTill time.Time
	flows    map[flowKey]*serverFlow
	// taken holds the openings that the server took.
	taken []opening
	dead  bool
}

// opening is when a client sent an opening and when a server took it.
type opening struct{ sent, taken time.Time }

// busiestSecond returns the largest number of openings that were sent to the server and
// taken within one second while it was cold.
func (s *server) busiestSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, first := range s.taken {
		n := 0
		for _, o := range s.taken {
			if !o.sent.Before(first.sent) && o.taken.Sub(first.sent) < time.Second && o.taken.Before(s.coldTill) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

type flowKey struct{ client, route addr }

type serverFlow struct {
	callerISN, ownISN, recvNext, sendNext uint32
	acked                                 uint32
	open, closed                          bool
}

// startServer starts a server beside the agent of m.
func (w *world) startServer(m *machine, id string, work, cold time.Duration) (*server, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: m.netIP(), Port: w.ports.app})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{w: w, m: m, id: id, born: time.Now(), conn: conn, cancel: cancel, work: work, service: m.service,
		state: "ready", coldTill: time.Now().Add(cold), slots: make(chan struct{}, slots), flows: map[flowKey]*serverFlow{}}
	m.server = s
	w.rec("server %s starts on %s", id, m.name)
	go s.read()
	go s.beat(ctx)
	return s, nil
}

// crash ends the server without a word.
func (s *server) crash() {
	s.mu.Lock()
	s.dead = true
	s.mu.Unlock()
	s.cancel()
	s.conn.Close()
	s.w.rec("server %s ends", s.id)
}

func (s *server) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		s.mu.Lock()
		s.seq++
		cold := max(0, time.Until(s.coldTill))
		h := platform.Heartbeat{Service: s.service, Address: fmt.Sprintf("%s:%d", s.m.ip, s.w.ports.app), Zone: s.m.zone, Slots: slots,
			State: s.state, Cold: cold, Sequence: s.seq, Born: s.born}
		seq, state := s.seq, s.state
		s.mu.Unlock()
		r, err := client.Post(platform.HeartbeatURL(s.m.ip, s.w.ports.control, s.id), "application/json", bytes.NewReader(h.Body()))
		status := "no answer"
		if err == nil {
			io.Copy(io.Discard, r.Body)
			r.Body.Close()
			status = r.Status
		}
		s.w.rec("server %s heartbeat %d (%s, cold %d ms): %s", s.id, seq, state, cold.Milliseconds(), status)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) send(p *packet) {
	p.sum = checksum(p)
	s.out(p)
}

func (s *server) out(p *packet) {
	_, _ = s.conn.WriteToUDP(p.encode(), &net.UDPAddr{IP: s.m.netIP(), Port: s.w.ports.outbound})
}

func (s *server) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDP(buf)
		if err != nil {
			if s.ended() {
				return
			}
			continue
		}
		p, ok := decode(buf[:n])
		if !ok || p.sum != checksum(&p) || p.has(flagBounced) {
			s.w.violation("UNASKED: server %s got a packet that its sender did not write so", s.id)
			continue
		}
		s.handle(&p)
	}
}

func (s *server) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

func (s *server) bounce(p *packet) {
	p.flags |= flagBounced
	s.out(p)
}

func (s *server) handle(p *packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := s.flows[key]
	if p.has(flagSYN) && !p.has(flagACK) {
		if f == nil || f.callerISN != p.seq {
			f = &serverFlow{callerISN: p.seq, ownISN: s.w.random(), recvNext: p.seq + 1}
			f.sendNext, f.acked = f.ownISN+1, f.ownISN+1
			s.flows[key] = f
			s.taken = append(s.taken, opening{s.w.sentAt(key), time.Now()})
			s.w.rec("server %s takes the opening %s", s.id, key)
		}
		s.send(&packet{seq: f.ownISN, ack: f.recvNext, flags: flagSYN | flagACK, src: p.dst, dst: p.src})
		return
	}
	if f == nil || !f.open && p.ack != f.ownISN+1 {
		if p.has(flagRST) {
			return
		}
		s.bounce(p)
		return
	}
	if f.closed {
		s.handleClosed(f, p)
		return
	}
	if p.has(flagRST) {
		s.w.rec("server %s: client resets %s", s.id, key)
		delete(s.flows, key)
		return
	}
	if !f.open {
		f.open = true
		s.w.rec("server %s holds the open flow %s", s.id, key)
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if len(p.data) > 0 {
		s.receive(key, f, p)
	}
	if p.has(flagFIN) && p.seq == f.recvNext {
		f.recvNext++
		s.send(&packet{seq: f.sendNext, ack: f.recvNext, flags: flagFIN | flagACK, src: p.dst, dst: p.src})
		f.closed = true
		s.w.rec("server %s: flow %s is closed", s.id, key)
	}
}

// handleClosed answers a packet of a flow that has ended here.
func (s *server) handleClosed(f *serverFlow, p *packet) {
	switch {
	case p.has(flagFIN):
		s.send(&packet{seq: f.sendNext, ack: f.recvNext, flags: flagFIN | flagACK, src: p.dst, dst: p.src})
	case len(p.data) > 0:
		s.send(&packet{seq: f.sendNext, ack: f.recvNext, flags: flagRST | flagACK, src: p.dst, dst: p.src})
	}
}

func (s *server) receive(key flowKey, f *serverFlow, p *packet) {
	if p.seq != f.recvNext {
		s.send(&packet{seq: f.sendNext, ack: f.recvNext, flags: flagACK, src: p.dst, dst: p.src})
		return
	}
	f.recvNext += uint32(len(p.data))
	id := attemptID(string(p.data))
	s.w.ran(id, s)
	go s.run(key, f, id)
}

func attemptID(text string) string {
	_, rest, _ := strings.Cut(text, "X-Bramleyfall-Attempt-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// run works on a request, answers it, and repeats the answer until it is acknowledged.
func (s *server) run(key flowKey, f *serverFlow, id string) {
	s.slots <- struct{}{}
	work := s.work
	if time.Now().Before(s.coldTill) {
		work = work * 8 / 5
	}
	time.Sleep(work)
	<-s.slots
	body := "done " + id
	data := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Bramleyfall-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	s.mu.Lock()
	p := packet{seq: f.sendNext, ack: f.recvNext, flags: flagACK, src: key.route, dst: key.client, data: []byte(data)}
	f.sendNext += uint32(len(data))
	end := f.sendNext
	s.mu.Unlock()
	wait := 200 * time.Millisecond
	for range 9 {
		s.mu.Lock()
		done := s.dead || s.flows[key] != f || f.closed || int32(f.acked-end) >= 0
		if !done {
			p.ack = f.recvNext
			s.send(&p)
		}
		s.mu.Unlock()
		if done {
			return
		}
		time.Sleep(wait)
		wait = min(2*wait, 1600*time.Millisecond)
	}
}

func (k flowKey) String() string { return k.client.String() + " to " + k.route.String() }
