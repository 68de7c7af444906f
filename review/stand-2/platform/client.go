package platform

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Router forwards each packet of a client to one of the entry nodes in rotation. The
// node is selected by a hash; if a node leaves, only its flows move.
type Router struct {
	record *Record

	mu    sync.Mutex
	nodes []*routedNode
}

type routedNode struct {
	name, ready string
	data        netip.AddrPort
	misses      int
}

// NewRouter starts a router.
func NewRouter(record *Record) *Router {
	r := &Router{record: record}
	go r.loopProbe()
	return r
}

// Add adds an entry node, which is out of rotation until it responds.
func (r *Router) Add(s Settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, &routedNode{
		name: s.Node, ready: fmt.Sprintf("http://%s:%d/ready", s.IP, s.Ports.Readiness),
		data: netip.MustParseAddrPort(fmt.Sprintf("%s:%d", s.IP, s.Ports.Data)), misses: 2,
	})
}

// Ready returns the number of nodes in rotation.
func (r *Router) Ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, node := range r.nodes {
		if node.misses < 2 {
			n++
		}
	}
	return n
}

func (r *Router) loopProbe() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mu.Lock()
		nodes := r.nodes
		r.mu.Unlock()
		for _, node := range nodes {
			go r.probe(client, node)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *Router) probe(client *http.Client, node *routedNode) {
	response, err := client.Get(node.ready)
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := node.misses
	switch {
	case ok:
		node.misses = 0
	default:
		node.misses++
	}
	if (before < 2) != (node.misses < 2) {
		r.record.Add("router: %s in rotation: %t", node.name, node.misses < 2)
	}
}

// pick returns the node of a flow. If fewer than half of the nodes are in rotation, all
// are used.
func (r *Router) pick(src, dst netip.AddrPort) (netip.AddrPort, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := 0
	for _, node := range r.nodes {
		if node.misses < 2 {
			ready++
		}
	}
	var best *routedNode
	var highest uint64
	for _, node := range r.nodes {
		if 2*ready >= len(r.nodes) && node.misses >= 2 {
			continue
		}
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s %s %s", src, dst, node.name)
		score := h.Sum64()
		score ^= score >> 33
		score *= 0xff51afd7ed558ccd
		score ^= score >> 33
		if best == nil || score > highest {
			best, highest = node, score
		}
	}
	return best.data, best.name
}

// Client opens flows from one address.
type Client struct {
	router *Router
	record *Record
	conn   *net.UDPConn
	addr   netip.Addr

	mu    sync.Mutex
	flows map[uint16]*Flow
	port  uint16
	count uint32
}

// NewClient starts a client that receives packets on the given address.
func NewClient(ip string, dataPort int, router *Router, record *Record) (*Client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, dataPort))))
	if err != nil {
		return nil, err
	}
	c := &Client{router: router, record: record, conn: conn, addr: netip.MustParseAddr(ip), flows: make(map[uint16]*Flow), port: 1024}
	go c.loopReceive()
	return c, nil
}

func (c *Client) loopReceive() {
	b := make([]byte, maxDatagram)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			continue // ICMP error of an earlier datagram; the process ends with the run
		}
		p, sound := decode(b[:n])
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || p.src != f.dst {
			continue
		}
		if !sound && !(p.flags&flagRST != 0 && p.sum == 0 && p.data == "") {
			c.record.Add("client: UNSOUND packet on %s", f.src)
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// Flow is a flow of a client.
type Flow struct {
	client   *Client
	src, dst netip.AddrPort
	in       chan packet
	seq, ack uint32
	open     bool
	// opened is when the flow was opened, answered when its last answer arrived.
	opened, answered time.Time
}

// Source returns the client's end of the flow.
func (f *Flow) Source() netip.AddrPort { return f.src }

func (f *Flow) send(p *packet) string {
	to, name := f.client.router.pick(f.src, f.dst)
	_, _ = f.client.conn.WriteToUDPAddrPort(p.encode(), to)
	return name
}

// resets reports whether a packet resets the flow.
func (f *Flow) resets(p *packet) bool {
	if p.flags&flagRST == 0 {
		return false
	}
	return !f.open || p.sum != 0 || (p.seq-(f.ack-76800)) <= 2*76800
}

// Open opens a flow. It returns nil if the attempt ended without one.
func (c *Client) Open(dst netip.AddrPort) (*Flow, string) {
	c.mu.Lock()
	c.port++
	c.count++
	f := &Flow{client: c, src: netip.AddrPortFrom(c.addr, c.port), dst: dst, in: make(chan packet, 64), seq: 1000003 * c.count}
	c.flows[c.port] = f
	c.mu.Unlock()
	started := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	const limit = 1400 * time.Millisecond
	for sent := uint32(0); time.Since(started) < limit; {
		if int(sent) < len(copies) && time.Since(started) >= copies[sent] {
			f.send(&packet{src: f.src, dst: dst, flags: flagSYN, seq: f.seq, ack: sent})
			sent++
		}
		next := limit
		if int(sent) < len(copies) {
			next = copies[sent]
		}
		select {
		case p := <-f.in:
			switch {
			case f.resets(&p):
				return nil, "reset"
			case p.flags&flagSYN != 0 && p.flags&flagACK != 0 && p.ack == f.seq+1:
				f.seq, f.ack, f.open = f.seq+1, p.seq+1, true
				f.opened, f.answered = time.Now(), time.Now()
				f.send(&packet{src: f.src, dst: dst, flags: flagACK, seq: f.seq, ack: f.ack})
				return f, "open"
			}
		case <-time.After(max(0, next-time.Since(started))):
		}
	}
	return nil, "silence"
}

// Age returns the time since the flow was opened.
func (f *Flow) Age() time.Duration { return time.Since(f.opened) }

// Idle returns the time since the last answer on the flow.
func (f *Flow) Idle() time.Duration { return time.Since(f.answered) }

// Request sends a request and returns how it ended: "200", "reset" by the system,
// "server reset", "foreign" or "deadline".
func (f *Flow) Request(id, method string, deadline time.Duration) string {
	text := fmt.Sprintf("%s /order HTTP/1.1\r\nHost: %s\r\nX-Bramleyfall-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", method, f.dst, id)
	p := &packet{src: f.src, dst: f.dst, flags: flagACK, seq: f.seq, ack: f.ack, data: text}
	node := f.send(p)
	f.client.record.Add("client: sends %s on %s through %s", id, f.src, node)
	wait, end := 200*time.Millisecond, time.After(deadline)
	again := time.After(wait)
	for {
		select {
		case <-end:
			f.client.record.Add("client: %s has no answer at its deadline", id)
			return "deadline"
		case <-again:
			f.send(p)
			wait = min(2*wait, 1600*time.Millisecond)
			again = time.After(wait)
		case r := <-f.in:
			switch {
			case f.resets(&r):
				f.open = false
				if r.sum != 0 {
					f.client.record.Add("client: %s is reset by the server", id)
					return "server reset"
				}
				f.client.record.Add("client: %s is reset by the system", id)
				return "reset"
			case r.data != "" && r.seq == f.ack:
				f.seq += uint32(len(text))
				f.ack += uint32(len(r.data))
				f.send(&packet{src: f.src, dst: f.dst, flags: flagACK, seq: f.seq, ack: f.ack})
				if want := "done " + id; len(r.data) < len(want) || r.data[len(r.data)-len(want):] != want {
					f.client.record.Add("client: %s gets a FOREIGN answer", id)
					return "foreign"
				}
				f.answered = time.Now()
				f.client.record.Add("client: %s is answered", id)
				return "200"
			}
		}
	}
}

// Close ends the flow.
func (f *Flow) Close() {
	p := &packet{src: f.src, dst: f.dst, flags: flagFIN | flagACK, seq: f.seq, ack: f.ack}
	wait := 200 * time.Millisecond
	for range 4 {
		f.send(p)
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case r := <-f.in:
				if r.flags&flagFIN != 0 {
					f.send(&packet{src: f.src, dst: f.dst, flags: flagACK, seq: f.seq + 1, ack: r.seq + 1})
				}
				if r.flags&(flagFIN|flagRST) != 0 || r.ack == f.seq+1 {
					f.client.drop(f)
					return
				}
			case <-timer:
				waiting = false
			}
		}
		wait *= 2
	}
	f.client.drop(f)
}

func (c *Client) drop(f *Flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.src.Port())
}
