package fabric

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"

	"bramleyfall.example/bramleyfall"
)

// Relay forwards datagrams and connections from an advertised address to the
// instance behind it, so that paths between failure domains can be cut.
type Relay struct {
	Listen bramleyfall.Endpoint
	Target bramleyfall.Endpoint
	// Name is the name of the instance and the kind of traffic, such as
	// "balancer-ife-1/control".
	Name   string
	Domain string
}

// Relays is a set of relays with the cut paths between domains and instances.
type Relays struct {
	relays []Relay
	mu     sync.Mutex
	// instancesByIP maps the IP address of an instance to its name and failure domain.
	instancesByIP map[netip.Addr]Relay
	cuts          map[[2]string]bool
	loss          float64
}

// NewRelays returns relays that drop the given fraction of datagrams and new
// connections between failure domains. They forward nothing until Run is called.
func NewRelays(relays []Relay, loss float64) *Relays {
	r := &Relays{relays: relays, instancesByIP: make(map[netip.Addr]Relay), cuts: make(map[[2]string]bool), loss: loss}
	for _, relay := range relays {
		r.instancesByIP[relay.Target.AddrPort().Addr()] = relay
	}
	return r
}

// Cut blocks the traffic between two failure domains, or instances of different failure
// domains, in both directions. An instance is given as in Relay.Name; "*" stands for
// all others, those in the same failure domain included.
func (r *Relays) Cut(a, b string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[[2]string{a, b}] = true
	r.cuts[[2]string{b, a}] = true
}

// Heal removes all cuts.
func (r *Relays) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
}

// allows reports whether a datagram or connection from an address may pass to a relay.
// Senders that are not instances, and an instance's own traffic, always pass.
func (r *Relays) allows(from netip.Addr, to Relay) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sender, known := r.instancesByIP[from.Unmap()]
	if !known || sender.Target.IP == to.Target.IP {
		return true
	}
	_, kind, _ := strings.Cut(to.Name, "/")
	instance, _, _ := strings.Cut(sender.Name, "/")
	for _, a := range []string{sender.Domain, instance + "/" + kind} {
		for _, b := range []string{to.Domain, to.Name} {
			if r.cuts[[2]string{a, b}] && sender.Domain != to.Domain {
				return false
			}
		}
	}
	if r.cutFromAll(sender.Domain, to.Domain, instance+"/"+kind, to.Name) {
		return false
	}
	return sender.Domain == to.Domain || r.loss == 0 || rand.Float64() >= r.loss
}

// cutFromAll reports whether either side is cut off from all others.
func (r *Relays) cutFromAll(fromDomain, toDomain, from, to string) bool {
	cutFromOthers := func(name string) bool { return r.cuts[[2]string{name, "*"}] }
	return cutFromOthers(from) || cutFromOthers(to) || fromDomain != toDomain && (cutFromOthers(fromDomain) || cutFromOthers(toDomain))
}

// Run opens the sockets of all relays and forwards traffic until ctx ends.
func (r *Relays) Run(ctx context.Context) error {
	for _, relay := range r.relays {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(relay.Listen.AddrPort()))
		if err != nil {
			return err
		}
		listener, err := net.Listen("tcp4", relay.Listen.String())
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close(); _ = listener.Close() })
		go r.loopDatagrams(conn, relay)
		go r.loopConnections(listener, relay)
	}
	return nil
}

func (r *Relays) loopDatagrams(conn *net.UDPConn, relay Relay) {
	buffer := make([]byte, 65536)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if r.allows(from.Addr(), relay) {
			_, _ = conn.WriteToUDPAddrPort(buffer[:n], relay.Target.AddrPort())
		}
	}
}

func (r *Relays) loopConnections(listener net.Listener, relay Relay) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		from, ok := in.RemoteAddr().(*net.TCPAddr)
		if !ok || !r.allows(from.AddrPort().Addr(), relay) {
			_ = in.Close()
			continue
		}
		go relayConnection(in, relay.Target)
	}
}

func relayConnection(in net.Conn, to bramleyfall.Endpoint) {
	defer in.Close()
	out, err := net.Dial("tcp4", to.String())
	if err != nil {
		return
	}
	defer out.Close()
	go loopCopy(out, in)
	_, _ = io.Copy(in, out)
}

// loopCopy copies one direction of a connection until it ends, and then closes to,
// which also ends the other direction.
func loopCopy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
}
