package virtual

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

const (
	// tickEvery is the time between two ticks of a node or an announcer.
	tickEvery = 100 * time.Millisecond
	// overhead is the number of bytes of a datagram beside its body: seal, UDP
	// and IPv4 headers.
	overhead = 17 + 28
	// pullOverhead is the number of bytes of a pull beside the bodies: HTTP
	// headers with seals, TCP and IPv4 headers of both ways.
	pullOverhead = 1400
	// pullEvery is the least time between two pulls of a node.
	pullEvery = 300 * time.Millisecond
)

// Balancer is a balancer's node in the fleet.
type Balancer struct {
	Node     *peer.Node
	Member   bramleyfall.Member
	Up       bool
	Frozen   bool
	lastPull time.Time
	notified bramleyfall.Revision
	// Bytes and Messages count what the node sent and received.
	Bytes, Messages uint64
	// Busy is the processor time that the node's decisions took.
	Busy time.Duration
	// OnAltered is called when routing may have changed.
	OnAltered func()
}

// Agent is an agent's announcer in the fleet.
type Agent struct {
	Announcer *peer.Announcer
	Member    bramleyfall.Member
	Up        bool
	Frozen    bool
	// Bytes and Messages count what the announcer sent and received.
	Bytes, Messages uint64
	// OnConfigured is called after each message that may carry configuration.
	OnConfigured func()
}

// Fleet joins nodes and announcers by a network in virtual time.
type Fleet struct {
	*Queue
	Balancers []*Balancer
	Agents    []*Agent
	// Delay is the time of a datagram on its way; false loses it.
	Delay func(from, to bramleyfall.DomainName) (time.Duration, bool)
	// Timed makes the fleet measure processor time, which is not repeatable.
	Timed bool

	random     *rand.Rand
	byControl  map[bramleyfall.Endpoint]any
	addressing uint32
}

// NewFleet returns an empty fleet.
func NewFleet(q *Queue, seed uint64) *Fleet {
	return &Fleet{
		Queue: q, random: rand.New(rand.NewPCG(seed, 7)), byControl: make(map[bramleyfall.Endpoint]any),
		Delay: func(_, _ bramleyfall.DomainName) (time.Duration, bool) { return time.Millisecond, true },
	}
}

// NewMember returns a record with addresses of its own.
func (f *Fleet) NewMember(id string, role bramleyfall.Role, domain bramleyfall.DomainName) bramleyfall.Member {
	f.addressing++
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24+f.addressing)
	return bramleyfall.Member{
		ID: bramleyfall.InstanceID(id), Role: role, Domain: domain, Boot: bramleyfall.BootID(f.Now().UnixNano()),
		Version: 1, State: bramleyfall.MemberServing,
		Packets: bramleyfall.Endpoint{IP: ip, Port: 6081}, Control: bramleyfall.Endpoint{IP: ip, Port: 7000},
	}
}

// AddBalancer starts a balancer that knows the given contacts and members.
func (f *Fleet) AddBalancer(m bramleyfall.Member, contacts []bramleyfall.Endpoint, known []*bramleyfall.Member, options ...peer.Option) *Balancer {
	options = append([]peer.Option{peer.WithSeed(f.random.Uint64())}, options...)
	b := &Balancer{Member: m, Up: true, Node: peer.NewNode(m, configuration.New(), f.Now(), options...)}
	b.Node.SetContacts(contacts)
	b.Node.PreloadMembers(known)
	f.Balancers = append(f.Balancers, b)
	f.byControl[m.Control] = b
	f.Every(f.offset(), tickEvery, func() bool {
		if b.Up && !b.Frozen {
			f.tickBalancer(b)
		}
		return b.Up
	})
	return b
}

// AddAgent starts an agent that announces itself to seeds.
func (f *Fleet) AddAgent(m bramleyfall.Member, seeds []bramleyfall.Endpoint) *Agent {
	a := &Agent{Member: m, Up: true, Announcer: peer.NewAnnouncer(m, seeds, f.random.Uint64())}
	f.Agents = append(f.Agents, a)
	f.byControl[m.Control] = a
	f.Every(f.offset(), tickEvery, func() bool {
		if a.Up && !a.Frozen {
			f.sendFromAgent(a, a.Announcer.Tick(f.Now()))
		}
		return a.Up
	})
	return a
}

// offset spreads the ticks of many instances over time.
func (f *Fleet) offset() time.Duration { return time.Duration(f.random.Int64N(int64(tickEvery))) }

func (f *Fleet) tickBalancer(b *Balancer) {
	f.timed(b, func() {
		f.sendFromBalancer(b, b.Node.Tick(f.Now()))
		if b.Node.State().Revision() != b.notified {
			b.notified = b.Node.State().Revision()
			f.sendFromBalancer(b, b.Node.NotifyAgents())
		}
	})
	f.altered(b)
	f.pull(b)
}

func (f *Fleet) altered(b *Balancer) {
	if b.OnAltered != nil {
		b.OnAltered()
	}
}

func (f *Fleet) timed(b *Balancer, work func()) {
	if !f.Timed {
		work()
		return
	}
	start := time.Now()
	work()
	b.Busy += time.Since(start)
}

func (f *Fleet) sendFromBalancer(b *Balancer, out []peer.Outgoing) {
	for _, o := range out {
		size := uint64(proto.Size(o.Datagram) + overhead)
		b.Bytes += size
		b.Messages++
		f.carry(b.Member.Domain, o, size)
	}
}

func (f *Fleet) sendFromAgent(a *Agent, out []peer.Outgoing) {
	for _, o := range out {
		size := uint64(proto.Size(o.Datagram) + overhead)
		a.Bytes += size
		a.Messages++
		f.carry(a.Member.Domain, o, size)
	}
}

func (f *Fleet) carry(from bramleyfall.DomainName, o peer.Outgoing, size uint64) {
	switch to := f.byControl[o.To].(type) {
	case *Balancer:
		if d, ok := f.Delay(from, to.Member.Domain); ok {
			f.After(d, func() { f.toBalancer(to, o.Datagram, size) })
		}
	case *Agent:
		if d, ok := f.Delay(from, to.Member.Domain); ok {
			f.After(d, func() { f.toAgent(to, o.Datagram, size) })
		}
	}
}

func (f *Fleet) toBalancer(b *Balancer, d *peerpb.Datagram, size uint64) {
	if !b.Up || b.Frozen {
		return
	}
	b.Bytes += size
	b.Messages++
	f.timed(b, func() { f.sendFromBalancer(b, b.Node.Receive(d, f.Now())) })
	f.altered(b)
}

func (f *Fleet) toAgent(a *Agent, d *peerpb.Datagram, size uint64) {
	if !a.Up || a.Frozen {
		return
	}
	a.Bytes += size
	a.Messages++
	f.sendFromAgent(a, a.Announcer.Receive(d, f.Now()))
	if a.OnConfigured != nil {
		a.OnConfigured()
	}
}

// pull makes the pull that a node needs, as the balancer does over HTTP.
func (f *Fleet) pull(b *Balancer) {
	if f.Now().Sub(b.lastPull) < pullEvery {
		return
	}
	from, request, ok := b.Node.NextPull()
	if !ok {
		return
	}
	b.lastPull = f.Now()
	other, ok := f.byControl[from].(*Balancer)
	if !ok || !other.Up || other.Frozen {
		return
	}
	there, ok := f.Delay(b.Member.Domain, other.Member.Domain)
	if !ok {
		return
	}
	f.After(2*there, func() {
		if !b.Up || !other.Up {
			return
		}
		reply := other.Node.HandlePull(request)
		size := uint64(proto.Size(request) + proto.Size(reply) + pullOverhead)
		b.Bytes += size
		other.Bytes += size
		b.Messages++
		other.Messages++
		b.Node.HandlePullReply(reply)
		f.altered(b)
	})
}

// Accept gives an accepted change to a balancer, as a reader's watch does.
func (f *Fleet) Accept(b *Balancer, c bramleyfall.Change) error { return b.Node.ApplyChange(c) }

// Lagging returns the number of live instances that lack a change: balancers
// below its revision, and agents that it concerns.
func (f *Fleet) Lagging(c bramleyfall.Change) int {
	n := 0
	for _, b := range f.Balancers {
		if b.Up && b.Node.State().Revision() < c.Revision {
			n++
		}
	}
	for _, a := range f.Agents {
		item, _ := a.Announcer.State().LatestChange(c.Key)
		if a.Up && a.concerned(c.Key) && item.Revision < c.Revision {
			n++
		}
	}
	return n
}

// concerned reports whether a key configures the agent.
func (a *Agent) concerned(key string) bool {
	if key == configuration.DomainKey(a.Member.Domain) || key == configuration.UpstreamKey(bramleyfall.UpstreamID(a.Member.ID)) {
		return true
	}
	name, ok := configuration.ServiceNameFromKey(key)
	return ok && slices.Contains(a.Member.Services, name)
}

// DomainName returns the name of the n-th failure domain.
func DomainName(n int) bramleyfall.DomainName {
	return bramleyfall.DomainName(fmt.Sprintf("domain-%d", n))
}
