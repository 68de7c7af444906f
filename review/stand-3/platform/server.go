package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	maxResends  = 8
)

// seal returns the seal of the answer to a request.
func seal(id string) string { return "seal-" + id }

// ServerConfig describes a server.
type ServerConfig struct {
	ID, Service, Zone string
	// App is where the server receives packets (UDP) and health checks (TCP), Outbound
	// where it sends its packets, Control where it sends heartbeats.
	App, Outbound, Control string
	Slots                  int
	Work                   time.Duration
	Heartbeat              time.Duration
	// Cold is the time after its start for which the server is cold.
	Cold time.Duration
	// Ahead is how far the time of day on the machine is ahead when the server starts.
	Ahead time.Duration
}

// Opening is the first copy of an opening packet that a server took.
type Opening struct {
	Client netip.AddrPort
	At     time.Time
}

// Server is a stand-in for a server beside an agent.
type Server struct {
	config   ServerConfig
	record   *Record
	conn     *net.UDPConn
	outbound *net.UDPAddr
	health   *http.Server
	born     int64
	draining atomic.Bool
	stopped  context.CancelFunc
	done     context.Context
	slots    chan struct{}

	mu       sync.Mutex
	sequence int
	flows    map[netip.AddrPort]map[netip.AddrPort]*serverFlow
	// Unasked counts packets whose sum is not that of their sender.
	Unasked atomic.Int64
	runs    map[string]int
	// openings holds the openings that were taken while the server was cold.
	openings []Opening
	// coldUntil is when the server stops being cold.
	coldUntil time.Time
	beaten    time.Time
}

type serverFlow struct {
	src, dst           netip.AddrPort
	clientISN, ownISN  uint32
	received, sent     uint32
	acked              uint32
	open, finSent, fin bool
	ended              bool
	pending            int
	resend             map[uint32]*time.Timer
}

// StartServer starts a server; its first heartbeat goes out at once.
func StartServer(config ServerConfig, record *Record) (*Server, error) {
	udp, err := net.ResolveUDPAddr("udp4", config.App)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, err
	}
	out, err := net.ResolveUDPAddr("udp4", config.Outbound)
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", config.App)
	if err != nil {
		return nil, err
	}
	s := &Server{
		config: config, record: record, conn: conn, outbound: out, born: time.Now().Add(config.Ahead).UnixMilli(),
		slots: make(chan struct{}, config.Slots), flows: make(map[netip.AddrPort]map[netip.AddrPort]*serverFlow), runs: make(map[string]int),
	}
	s.coldUntil = time.Now().Add(config.Cold)
	s.done, s.stopped = context.WithCancel(context.Background())
	s.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = s.health.Serve(tcp) }()
	go s.loopRead()
	go s.loopBeat()
	record.Printf("server %s of %s starts at %s", config.ID, config.Service, config.App)
	return s, nil
}

// cold returns how much longer the server is cold. It needs the lock.
func (s *Server) cold() time.Duration { return max(0, time.Until(s.coldUntil)) }

// TurnCold makes the server cold from now on. It says so in its next heartbeat.
func (s *Server) TurnCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
	s.record.Printf("server %s is cold for %v", s.config.ID, d)
}

// LastBeat returns when the last heartbeat was sent.
func (s *Server) LastBeat() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beaten
}

// ColdOpenings returns the openings that the server took while it was cold.
func (s *Server) ColdOpenings() []Opening {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Opening(nil), s.openings...)
}

// Holds reports whether a client's flow is open at the server.
func (s *Server) Holds(f *ClientFlow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.flows[f.src][f.route]
	return own != nil && own.open && !own.ended
}

// Drain makes the server report that it is draining.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.record.Printf("server %s is draining", s.config.ID)
	s.Beat()
}

// Beat sends one heartbeat and reports whether it was acknowledged.
func (s *Server) Beat() bool {
	s.mu.Lock()
	s.sequence++
	n, cold := s.sequence, s.cold()
	s.beaten = time.Now()
	s.mu.Unlock()
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": s.config.Service, "address": s.config.App, "zone": s.config.Zone, "version": "v1", "slots": s.config.Slots,
		"state": state, "cold_remaining_ms": cold.Milliseconds(), "sequence": n, "born": s.born,
	})
	ctx, cancel := context.WithTimeout(s.done, time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.config.Control+"/Instances.Heartbeat/"+s.config.ID, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	ok := err == nil && response.StatusCode/100 == 2
	if err == nil {
		_ = response.Body.Close()
	}
	s.record.Printf("server %s heartbeat sequence=%d state=%s cold_ms=%d acknowledged=%v", s.config.ID, n, state, cold.Milliseconds(), ok)
	return ok
}

func (s *Server) loopBeat() {
	for s.done.Err() == nil {
		s.Beat()
		select {
		case <-s.done.Done():
		case <-time.After(s.config.Heartbeat):
		}
	}
}

func (s *Server) loopRead() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:n]...)
		p, ok := decode(raw)
		if !ok || !p.genuine {
			s.Unasked.Add(1)
			s.record.Printf("server %s got a packet that its sender didn't write so", s.config.ID)
			continue
		}
		s.handle(&p, raw)
	}
}

func (s *Server) flow(p *packet) *serverFlow { return s.flows[p.src][p.dst] }

func (s *Server) handle(p *packet, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flow(p)
	if p.flags&flagSYN != 0 {
		if f == nil || f.clientISN != p.seq {
			f = &serverFlow{src: p.src, dst: p.dst, clientISN: p.seq, ownISN: rand.Uint32(), received: p.seq + 1, resend: make(map[uint32]*time.Timer)}
			f.sent, f.acked = f.ownISN+1, f.ownISN+1
			if s.flows[p.src] == nil {
				s.flows[p.src] = make(map[netip.AddrPort]*serverFlow)
			}
			s.flows[p.src][p.dst] = f
			if s.cold() > 0 {
				s.openings = append(s.openings, Opening{p.src, time.Now()})
				s.record.Printf("server %s takes the opening of %s, cold", s.config.ID, p.src)
			}
		}
		s.send(f, flagSYN|flagACK, f.ownISN, nil)
		return
	}
	if f == nil || !f.open && p.ack != f.ownISN+1 {
		raw[14] |= flagBounced
		_, _ = s.conn.WriteToUDP(raw, s.outbound)
		return
	}
	if !f.open {
		f.open = true
		s.record.Printf("server %s: flow %s to %s is open", s.config.ID, f.src, f.dst)
	}
	if p.flags&flagRST != 0 {
		s.endFlow(f)
		return
	}
	if f.ended && len(p.data) > 0 {
		s.send(f, flagRST, f.sent, nil)
		return
	}
	for seq, t := range f.resend {
		if int32(p.ack-seq) > 0 {
			t.Stop()
			delete(f.resend, seq)
		}
	}
	s.take(f, p)
}

// take processes the data and the FIN of a packet in order.
func (s *Server) take(f *serverFlow, p *packet) {
	if p.seq != f.received {
		if len(p.data) > 0 || p.flags&flagFIN != 0 {
			s.send(f, flagACK, f.sent, nil)
		}
		return
	}
	if len(p.data) > 0 {
		f.received += uint32(len(p.data))
		f.pending++
		go s.work(f, string(p.data))
		s.send(f, flagACK, f.sent, nil)
	}
	if p.flags&flagFIN != 0 {
		f.received++
		f.fin = true
		s.send(f, flagACK, f.sent, nil)
		s.finish(f)
	}
}

func (s *Server) finish(f *serverFlow) {
	if f.finSent || f.pending > 0 {
		return
	}
	f.finSent = true
	s.sendReliably(f, flagFIN|flagACK, nil)
	f.sent++
	f.ended = true
}

func (s *Server) endFlow(f *serverFlow) {
	f.ended = true
	for seq, t := range f.resend {
		t.Stop()
		delete(f.resend, seq)
	}
}

func (s *Server) work(f *serverFlow, request string) {
	id := ""
	for _, line := range strings.Split(request, "\r\n") {
		if v, ok := strings.CutPrefix(line, "X-Bramleyfall-Attempt-Id: "); ok {
			id = v
		}
	}
	select {
	case s.slots <- struct{}{}:
	case <-s.done.Done():
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.record.Printf("server %s runs request %s (%d)", s.config.ID, id, s.runs[id])
	s.mu.Unlock()
	time.Sleep(s.config.Work)
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	f.pending--
	if s.done.Err() != nil || f.ended {
		return
	}
	body := "done " + id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Bramleyfall-Response-Seal: %s\r\n\r\n%s", len(body), seal(id), body)
	s.sendReliably(f, flagACK, []byte(answer))
	f.sent += uint32(len(answer))
	if f.fin || s.draining.Load() {
		s.finish(f)
	}
}

// send sends a packet of a flow once.
func (s *Server) send(f *serverFlow, flags byte, seq uint32, data []byte) {
	p := packet{src: f.dst, dst: f.src, flags: flags, seq: seq, ack: f.received, data: data}
	_, _ = s.conn.WriteToUDP(p.encode(), s.outbound)
}

// sendReliably sends a packet and repeats it until it is acknowledged.
func (s *Server) sendReliably(f *serverFlow, flags byte, data []byte) {
	seq := f.sent
	s.send(f, flags, seq, data)
	s.repeat(f, flags, seq, data, firstResend, 0)
}

func (s *Server) repeat(f *serverFlow, flags byte, seq uint32, data []byte, pause time.Duration, n int) {
	f.resend[seq] = time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, due := f.resend[seq]; !due || s.done.Err() != nil || n >= maxResends {
			return
		}
		s.send(f, flags, seq, data)
		s.repeat(f, flags, seq, data, min(2*pause, lastResend), n+1)
	})
}
