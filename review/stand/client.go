package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// client is a stand-in for a client machine. Packets for it arrive at its address, at
// the port on which edge nodes receive packets.
type client struct {
	w    *world
	ip   [4]byte
	zone string
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow
}

type clientFlow struct {
	c         *client
	key       flowKey
	in        chan packet
	isn, next uint32
	ack       uint32
	open      bool
	// reset is set once a reset of the system ended the flow.
	reset bool
}

func (w *world) newClient(n int, zone string) (*client, error) {
	ip := [4]byte{127, w.net, 3, byte(n)}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip[:], Port: w.ports.data})
	if err != nil {
		return nil, err
	}
	c := &client{w: w, ip: ip, zone: zone, conn: conn, port: 1024, flows: map[uint16]*clientFlow{}}
	go c.read()
	return c, nil
}

func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		ownReset := p.has(flagRST) && p.sum == 0 && len(p.data) == 0
		if !ownReset && p.sum != checksum(&p) {
			c.w.violation("MIXED: client got a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.port]
		c.mu.Unlock()
		if f == nil || f.key.route != p.src {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// send passes a packet to the node that the routers select for the flow.
func (f *clientFlow) send(flags byte, seq uint32, ack uint32, data []byte) {
	p := packet{seq: seq, ack: ack, flags: flags, src: f.key.client, dst: f.key.route, data: data}
	p.sum = checksum(&p)
	f.c.w.route(f.key, f.c.zone, p.encode(), f.c.conn)
}

type outcome string

const (
	answered outcome = "200"
	wasReset outcome = "reset"
	timedOut outcome = "no answer"
)

// dial opens a flow. It returns the flow, or how the attempt ended.
func (c *client) dial(route addr) (*clientFlow, outcome) {
	c.mu.Lock()
	c.port++
	f := &clientFlow{c: c, key: flowKey{addr{c.ip, c.port}, route}, in: make(chan packet, 64), isn: c.w.random()}
	c.flows[c.port] = f
	c.mu.Unlock()
	f.next = f.isn + 1
	c.w.noteOpening(f.key)
	c.w.rec("client opens %s", f.key)
	start := time.Now()
	for n, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		for {
			left := at - time.Since(start)
			if left <= 0 {
				break
			}
			select {
			case p := <-f.in:
				switch {
				case p.has(flagRST):
					f.forget()
					return nil, wasReset
				case p.has(flagSYN) && p.has(flagACK) && p.ack == f.isn+1:
					f.ack, f.open = p.seq+1, true
					f.send(flagACK, f.next, f.ack, nil)
					return f, answered
				}
			case <-time.After(left):
			}
		}
		if n < 3 {
			f.send(flagSYN, f.isn, uint32(n), nil)
		}
	}
	f.forget()
	return nil, timedOut
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key.client.port)
}

// request sends a request on the flow and waits for its answer.
func (f *clientFlow) request(id string, deadline time.Duration) outcome {
	data := []byte(fmt.Sprintf("POST /work HTTP/1.1\r\nX-Bramleyfall-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	seq := f.next
	f.next += uint32(len(data))
	end := time.After(deadline)
	wait := 200 * time.Millisecond
	f.c.w.rec("client sends request %s on %s", id, f.key)
	f.send(flagACK, seq, f.ack, data)
	again := time.NewTimer(wait)
	defer again.Stop()
	for {
		select {
		case <-end:
			return timedOut
		case <-again.C:
			f.send(flagACK, seq, f.ack, data)
			wait = min(2*wait, 1600*time.Millisecond)
			again.Reset(wait)
		case p := <-f.in:
			if p.has(flagRST) {
				if distance := int32(p.seq - f.ack); p.sum == 0 && (distance > 76800 || distance < -76800) {
					continue // not in the window of an open flow
				}
				f.reset = p.sum == 0
				f.forget()
				return wasReset
			}
			if len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			f.ack = p.seq + uint32(len(p.data))
			f.send(flagACK, f.next, f.ack, nil)
			if got := string(p.data); !strings.HasSuffix(got, "done "+id) {
				f.c.w.violation("MIXED: the answer to %s is %q", id, got)
			}
			return answered
		}
	}
}

// close closes the flow.
func (f *clientFlow) close() {
	for range 3 {
		f.send(flagFIN|flagACK, f.next, f.ack, nil)
		select {
		case p := <-f.in:
			if p.has(flagFIN) {
				f.send(flagACK, f.next+1, p.seq+1, nil)
				f.forget()
				return
			}
		case <-time.After(200 * time.Millisecond):
		}
	}
	f.forget()
}
