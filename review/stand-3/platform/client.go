package platform

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Outcome is how an attempt of a client ended.
type Outcome string

// Outcomes.
const (
	Served Outcome = "served"
	// Reset: a reset of the system arrived, on an open flow or instead of one.
	Reset Outcome = "reset by the system"
	// Ended: the server ended the flow.
	Ended   Outcome = "ended by the server"
	Silence Outcome = "no answer"
	// Foreign: the answer belongs to another request, or is not the server's.
	Foreign Outcome = "foreign answer"
)

// maxResetDistance is the distance from the client's last ack within which the
// sequence number of a reset counts.
const maxResetDistance = 76800

// Client is a client machine with one address.
type Client struct {
	ip     netip.Addr
	conn   *net.UDPConn
	router *Router
	record *Record

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*ClientFlow
	// opened holds when each flow's first opening packet was sent, by port.
	opened map[uint16]time.Time
}

// NewClient opens a client machine that receives packets at ip and port.
func NewClient(ip netip.Addr, port uint16, router *Router, record *Record) (*Client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, err
	}
	c := &Client{ip: ip, conn: conn, router: router, record: record, port: 1024, flows: make(map[uint16]*ClientFlow), opened: make(map[uint16]time.Time)}
	go c.loopRead()
	return c, nil
}

func (c *Client) loopRead() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f != nil && p.src == f.route {
			select {
			case f.inbox <- p:
			default:
			}
		}
	}
}

// ClientFlow is the client's end of a flow.
type ClientFlow struct {
	client         *Client
	src, route     netip.AddrPort
	seq, ack       uint32
	open, finished bool
	inbox          chan packet
}

// Open opens a flow to a route from a new port.
func (c *Client) Open(route netip.AddrPort) (*ClientFlow, Outcome) {
	c.mu.Lock()
	c.port++
	f := &ClientFlow{client: c, src: netip.AddrPortFrom(c.ip, c.port), route: route, seq: rand.Uint32(), inbox: make(chan packet, 64)}
	c.flows[c.port] = f
	started := time.Now()
	c.opened[c.port] = started
	c.mu.Unlock()
	sends := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for n, at := range sends {
		for {
			select {
			case p := <-f.inbox:
				switch {
				case p.flags&flagRST != 0 && p.sum == 0, p.flags&flagRST != 0 && p.genuine:
					f.Close()
					return nil, Reset
				case p.flags&flagSYN != 0 && p.flags&flagACK != 0 && p.genuine && p.ack == f.seq+1:
					f.seq++
					f.ack, f.open = p.seq+1, true
					f.send(flagACK, f.seq, nil)
					return f, Served
				}
				continue
			case <-time.After(time.Until(started.Add(at))):
			}
			break
		}
		if n < len(sends)-1 {
			p := packet{src: f.src, dst: route, flags: flagSYN, seq: f.seq, ack: uint32(n)}
			c.router.forward(c.conn, &p)
		}
	}
	f.Close()
	return nil, Silence
}

// OpenedAt returns when the first opening packet of the flow from a port was sent.
func (c *Client) OpenedAt(port uint16) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened[port]
}

// Close forgets the flow.
func (f *ClientFlow) Close() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.src.Port())
}

func (f *ClientFlow) send(flags byte, seq uint32, data []byte) {
	p := packet{src: f.src, dst: f.route, flags: flags, seq: seq, ack: f.ack, data: data}
	f.client.router.forward(f.client.conn, &p)
}

// Request sends a request on the flow and waits for its answer until the deadline.
func (f *ClientFlow) Request(id, method string, deadline time.Duration) Outcome {
	request := []byte(fmt.Sprintf("%s /w HTTP/1.1\r\nHost: w\r\nX-Bramleyfall-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", method, id))
	end := time.Now().Add(deadline)
	pause := firstResend
	f.send(flagACK, f.seq, request)
	next := time.Now().Add(pause)
	acked := false
	for {
		until := end
		if !acked && next.Before(end) {
			until = next
		}
		select {
		case p := <-f.inbox:
			if p.flags&flagRST != 0 {
				if p.genuine {
					return Ended
				}
				if d := int64(p.seq) - int64(f.ack); p.sum == 0 && d <= maxResetDistance && d >= -maxResetDistance {
					return Reset
				}
				continue
			}
			if !p.genuine {
				return Foreign
			}
			if p.flags&flagSYN != 0 {
				f.send(flagACK, f.seq, nil)
				continue
			}
			acked = acked || int32(p.ack-f.seq) >= int32(len(request))
			if len(p.data) > 0 && p.seq == f.ack {
				f.ack += uint32(len(p.data))
				f.seq += uint32(len(request))
				if p.flags&flagFIN != 0 {
					f.ack++
				}
				f.send(flagACK, f.seq, nil)
				if !strings.Contains(string(p.data), "X-Bramleyfall-Response-Seal: "+seal(id)+"\r\n") {
					return Foreign
				}
				return Served
			}
			if len(p.data) > 0 || p.flags&flagFIN != 0 {
				if p.flags&flagFIN != 0 && p.seq == f.ack {
					return Ended
				}
				f.send(flagACK, f.seq, nil)
			}
		case <-time.After(time.Until(until)):
			if !time.Now().Before(end) {
				return Silence
			}
			f.send(flagACK, f.seq, request)
			pause = min(2*pause, lastResend)
			next = time.Now().Add(pause)
		}
	}
}

// Finish closes the flow with a FIN, which it repeats until the server has closed the
// flow too.
func (f *ClientFlow) Finish() {
	defer f.Close()
	pause := firstResend
	for n := 0; n < 4; n++ {
		f.send(flagFIN|flagACK, f.seq, nil)
		timer := time.After(pause)
		for waiting := true; waiting; {
			select {
			case p := <-f.inbox:
				if p.flags&flagRST != 0 {
					return
				}
				if p.flags&flagFIN != 0 {
					f.ack = p.seq + uint32(len(p.data)) + 1
					f.send(flagACK, f.seq+1, nil)
					return
				}
			case <-timer:
				waiting = false
			}
		}
		pause = min(2*pause, lastResend)
	}
}
