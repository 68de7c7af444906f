package platform

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// entry is a balancer that the routers know.
type entry struct {
	packets netip.AddrPort
	ready   string
	misses  int
	in      bool
}

// Router stands for the platform's routers of one zone, whose hash is steady.
type Router struct {
	mu      sync.Mutex
	entries []*entry
}

// Add adds a balancer, which is in rotation once it answers with 200.
func (r *Router) Add(packets netip.AddrPort, ready string) {
	e := &entry{packets: packets, ready: ready}
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
	go r.loopProbe(e)
}

func (r *Router) loopProbe(e *entry) {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for range time.Tick(500 * time.Millisecond) {
		response, err := client.Get("http://" + e.ready + "/ready")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mu.Lock()
		if ok {
			e.misses, e.in = 0, true
		} else if e.misses++; e.misses >= 2 {
			e.in = false
		}
		r.mu.Unlock()
	}
}

// InRotation returns the number of balancers in rotation.
func (r *Router) InRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if e.in {
			n++
		}
	}
	return n
}

// pick returns the balancer of a flow: the one with the highest score among those in
// rotation, or among all if fewer than half are.
func (r *Router) pick(p *packet) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := 0
	for _, e := range r.entries {
		if e.in {
			in++
		}
	}
	var best netip.AddrPort
	var highest uint64
	for _, e := range r.entries {
		if !e.in && 2*in >= len(r.entries) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(p.src.String() + "|" + p.dst.String() + "|" + e.packets.String()))
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		if !best.IsValid() || x > highest {
			best, highest = e.packets, x
		}
	}
	return best
}

func (r *Router) forward(conn *net.UDPConn, p *packet) {
	if to := r.pick(p); to.IsValid() {
		_, _ = conn.WriteToUDPAddrPort(p.encode(), to)
	}
}
