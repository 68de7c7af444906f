package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Server is one incarnation of a server beside an agent.
type Server struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	Heartbeat         time.Duration
	settings          Settings
	record            *Record
	conn              *net.UDPConn
	outbound          netip.AddrPort
	born              int64
	slots             chan struct{}

	mu       sync.Mutex
	sequence int
	state    string
	flows    map[netip.AddrPort]*serverFlow
	ended    map[netip.AddrPort]bool
	opened   int
}

type serverFlow struct {
	callerISN, ownISN, next, sendNext, acked uint32
	open                                     bool
	busy                                     bool
}

// NewServer starts a server; its heartbeats go to the control address of its machine.
func NewServer(id string, s Settings, slots int, work time.Duration, record *Record) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", s.IP, s.Ports.App))))
	if err != nil {
		return nil, err
	}
	v := &Server{
		ID: id, Service: s.Service, Zone: s.Zone, Slots: slots, Work: work, Heartbeat: time.Duration(s.HeartbeatMS) * time.Millisecond,
		settings: s, record: record, conn: conn, outbound: netip.MustParseAddrPort(fmt.Sprintf("%s:%d", s.IP, s.Ports.Outbound)),
		born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), state: "ready",
		flows: make(map[netip.AddrPort]*serverFlow), ended: make(map[netip.AddrPort]bool),
	}
	record.Add("server %s starts on %s", id, s.Node)
	go v.loopReceive()
	go v.loopHeartbeats()
	return v, nil
}

// Holds reports whether the server holds the open flow of a client.
func (v *Server) Holds(client netip.AddrPort) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.flows[client]
	return f != nil && f.open
}

func (v *Server) loopHeartbeats() {
	for {
		v.beat()
		time.Sleep(v.Heartbeat)
	}
}

// beat sends a heartbeat. If it is not acknowledged within a second, there is no other
// node to call.
func (v *Server) beat() {
	v.mu.Lock()
	v.sequence++
	n := v.sequence
	body, _ := json.Marshal(map[string]any{
		"service": v.Service, "address": v.conn.LocalAddr().String(), "zone": v.Zone, "version": "v1", "slots": v.Slots,
		"state": v.state, "cold_remaining_ms": 0, "sequence": v.sequence, "born": v.born,
	})
	v.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d/Instances.Heartbeat/%s", v.settings.IP, v.settings.Ports.Control, v.ID)
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		v.record.Add("server %s: heartbeat %d is not acknowledged", v.ID, n)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	v.record.Add("server %s: heartbeat %d is answered with %d", v.ID, n, response.StatusCode)
}

func (v *Server) loopReceive() {
	b := make([]byte, maxDatagram)
	for {
		n, err := v.conn.Read(b)
		if err != nil {
			continue // ICMP error of an earlier datagram; the process ends with the run
		}
		v.handle(b[:n])
	}
}

func (v *Server) send(p *packet) { _, _ = v.conn.WriteToUDPAddrPort(p.encode(), v.outbound) }

func (v *Server) bounce(b []byte) {
	b[offsetFlags] |= flagBounced
	_, _ = v.conn.WriteToUDPAddrPort(b, v.outbound)
}

func (v *Server) handle(b []byte) {
	p, sound := decode(b)
	if !sound {
		v.record.Add("server %s: UNSOUND packet from %s", v.ID, p.src)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.flows[p.src]
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK == 0:
		if f == nil || f.callerISN != p.seq {
			v.opened++
			f = &serverFlow{callerISN: p.seq, ownISN: uint32(v.born) + uint32(v.opened)*100003, next: p.seq + 1}
			f.sendNext, f.acked = f.ownISN+1, f.ownISN+1
			v.flows[p.src] = f
			delete(v.ended, p.src)
		}
		v.send(&packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.ownISN, ack: f.callerISN + 1})
		return
	case f == nil && v.ended[p.src] && p.flags&flagFIN != 0:
		v.send(&packet{src: p.dst, dst: p.src, flags: flagACK, seq: p.ack, ack: p.seq + 1})
		return
	case f == nil && v.ended[p.src] && p.data != "":
		v.send(&packet{src: p.dst, dst: p.src, flags: flagRST, seq: p.ack})
		return
	case f == nil && v.ended[p.src]:
		return // the last acknowledgement of an ended flow
	case f == nil, !f.open && p.ack != f.ownISN+1:
		v.bounce(b)
		return
	}
	f.open = true
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	switch {
	case p.flags&flagRST != 0:
		delete(v.flows, p.src)
		v.ended[p.src] = true
	case p.data != "" && p.seq == f.next:
		f.next += uint32(len(p.data))
		f.busy = true
		go v.run(p, f)
	case p.data != "" && !f.busy:
		v.send(&packet{src: p.dst, dst: p.src, flags: flagACK, seq: f.sendNext, ack: f.next})
	case p.flags&flagFIN != 0 && p.seq == f.next:
		delete(v.flows, p.src)
		v.ended[p.src] = true
		v.send(&packet{src: p.dst, dst: p.src, flags: flagFIN | flagACK, seq: f.sendNext, ack: f.next + 1})
	}
}

// run runs a request and sends the answer until it is acknowledged.
func (v *Server) run(p packet, f *serverFlow) {
	v.slots <- struct{}{}
	id := attemptID(p.data)
	v.record.Add("server %s: runs %s", v.ID, id)
	time.Sleep(v.Work)
	<-v.slots
	body := "done " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Bramleyfall-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", v.ID, len(body), body)
	v.mu.Lock()
	reply := packet{src: p.dst, dst: p.src, flags: flagACK, seq: f.sendNext, ack: f.next, data: text}
	f.sendNext += uint32(len(text))
	f.busy = false
	end := f.sendNext
	v.mu.Unlock()
	wait := 200 * time.Millisecond
	for range 9 {
		v.mu.Lock()
		acked := int32(f.acked-end) >= 0 || v.flows[p.src] != f
		v.mu.Unlock()
		if acked {
			return
		}
		v.send(&reply)
		time.Sleep(wait)
		wait = min(2*wait, 1600*time.Millisecond)
	}
}

func attemptID(text string) string {
	_, rest, _ := strings.Cut(text, "X-Bramleyfall-Attempt-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
