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

// Relay carries datagrams and connections from an advertised address to the
// instance behind it, so that paths between failure domains can be cut.
type Relay struct {
	Listen bramleyfall.Endpoint
	Target bramleyfall.Endpoint
	// Name is the instance's name with a suffix for the kind of traffic, such
	// as "balancer-ife-1/control".
	Name   string
	Domain string
}

// Relays is a set of relays with the cuts between domains.
type Relays struct {
	relays []Relay
	mu     sync.Mutex
	// senders maps the IP of an instance to its name and failure domain.
	senders map[netip.Addr]Relay
	cuts    map[[2]string]bool
	loss    float64
}

// NewRelays returns relays that lose the given share of datagrams between
// domains. Run must be called.
func NewRelays(relays []Relay, loss float64) *Relays {
	r := &Relays{relays: relays, senders: make(map[netip.Addr]Relay), cuts: make(map[[2]string]bool), loss: loss}
	for _, x := range relays {
		r.senders[x.Target.AddrPort().Addr()] = x
	}
	return r
}

// Cut ends the traffic between two failure domains or instances. An instance is
// named with the kind of traffic; "*" stands for all others.
func (r *Relays) Cut(a, b string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[[2]string{a, b}] = true
	r.cuts[[2]string{b, a}] = true
}

// Heal ends all cuts.
func (r *Relays) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
}

// open reports whether a datagram may pass to the relay.
func (r *Relays) open(from netip.Addr, to Relay) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sender, known := r.senders[from.Unmap()]
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
	if r.cutOffFromAll(sender.Domain, to.Domain, instance+"/"+kind, to.Name) {
		return false
	}
	return sender.Domain == to.Domain || r.loss == 0 || rand.Float64() >= r.loss
}

// cutOffFromAll reports whether either side is cut off from all others.
func (r *Relays) cutOffFromAll(senderDomain, toDomain, sender, to string) bool {
	all := func(name string) bool { return r.cuts[[2]string{name, "*"}] }
	return all(sender) || all(to) || senderDomain != toDomain && (all(senderDomain) || all(toDomain))
}

// Run opens all relays and carries traffic until ctx ends.
func (r *Relays) Run(ctx context.Context) error {
	for _, x := range r.relays {
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(x.Listen.AddrPort()))
		if err != nil {
			return err
		}
		tcp, err := net.Listen("tcp4", x.Listen.String())
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = udp.Close(); _ = tcp.Close() })
		go r.loopDatagrams(udp, x)
		go r.loopConnections(tcp, x)
	}
	return nil
}

func (r *Relays) loopDatagrams(udp *net.UDPConn, x Relay) {
	buffer := make([]byte, 65536)
	for {
		n, from, err := udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if r.open(from.Addr(), x) {
			_, _ = udp.WriteToUDPAddrPort(buffer[:n], x.Target.AddrPort())
		}
	}
}

func (r *Relays) loopConnections(tcp net.Listener, x Relay) {
	for {
		in, err := tcp.Accept()
		if err != nil {
			return
		}
		from, ok := in.RemoteAddr().(*net.TCPAddr)
		if !ok || !r.open(from.AddrPort().Addr(), x) {
			_ = in.Close()
			continue
		}
		go relayConnection(in, x.Target)
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

// loopCopy copies one direction of a connection and ends the other.
func loopCopy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
}
