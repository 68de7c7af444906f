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
	// tickInterval is the interval between two ticks of a node or an announcer.
	tickInterval = 100 * time.Millisecond
	// datagramOverhead is the size in bytes of a datagram's seal, UDP header and
	// IPv4 header.
	datagramOverhead = 17 + 28
	// pullOverhead is the size in bytes of a pull beyond the request and reply
	// bodies: HTTP headers with seals, TCP and IPv4 headers in both directions.
	pullOverhead = 1400
	// minPullInterval is the minimum time between two pulls of a node.
	minPullInterval = 300 * time.Millisecond
)

// Balancer is a simulated balancer: a peer.Node and its counters.
type Balancer struct {
	Node   *peer.Node
	Member bramleyfall.Member
	// Up is false once the balancer has stopped. It is never restarted.
	Up bool
	// Frozen is true while the process is suspended: it neither ticks nor receives.
	Frozen   bool
	lastPull time.Time
	// notifiedRevision is the configuration revision of which the agents were last
	// notified.
	notifiedRevision bramleyfall.Revision
	// Bytes and Messages count what the node sent and received.
	Bytes, Messages uint64
	// CPUTime is the processor time of the node's calls. It is measured only if
	// Cluster.MeasureCPU is set.
	CPUTime time.Duration
	// OnRoutingChange is called after each event that may have changed the routing.
	OnRoutingChange func()
}

// Agent is a simulated agent: a peer.Announcer and its counters.
type Agent struct {
	Announcer *peer.Announcer
	Member    bramleyfall.Member
	// Up is false once the agent has stopped. It is never restarted.
	Up bool
	// Frozen is true while the process is suspended: it neither ticks nor receives.
	Frozen bool
	// Bytes and Messages count what the announcer sent and received.
	Bytes, Messages uint64
	// OnConfigured is called after each received datagram, because any datagram may
	// carry configuration.
	OnConfigured func()
}

// Cluster simulates balancers and agents that are connected by a network.
type Cluster struct {
	*Scheduler
	Balancers []*Balancer
	Agents    []*Agent
	// Delay returns the one-way delay of a datagram between two failure domains,
	// and false if the datagram is lost.
	Delay func(from, to bramleyfall.DomainName) (time.Duration, bool)
	// MeasureCPU enables the measurement of Balancer.CPUTime, which differs from run
	// to run.
	MeasureCPU bool

	random *rand.Rand
	// byControlAddress holds each *Balancer and *Agent by its control address.
	byControlAddress map[bramleyfall.Endpoint]any
	// lastAddress is the host number of the IP address that NewMember assigned last.
	lastAddress uint32
}

// NewCluster returns an empty cluster whose network loses nothing and delays each
// datagram by 1 ms.
func NewCluster(s *Scheduler, seed uint64) *Cluster {
	return &Cluster{
		Scheduler: s, random: rand.New(rand.NewPCG(seed, 7)), byControlAddress: make(map[bramleyfall.Endpoint]any),
		Delay: func(_, _ bramleyfall.DomainName) (time.Duration, bool) { return time.Millisecond, true },
	}
}

// NewMember returns the member record of a new instance with an unused IP address.
func (c *Cluster) NewMember(id string, role bramleyfall.Role, domain bramleyfall.DomainName) bramleyfall.Member {
	c.lastAddress++
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24+c.lastAddress)
	return bramleyfall.Member{
		ID: bramleyfall.InstanceID(id), Role: role, Domain: domain, Boot: bramleyfall.BootID(c.Now().UnixNano()),
		Version: 1, State: bramleyfall.MemberServing,
		Packets: bramleyfall.Endpoint{IP: ip, Port: 6081}, Control: bramleyfall.Endpoint{IP: ip, Port: 7000},
	}
}

// AddBalancer starts a balancer that joins through contacts and initially knows the
// members in known.
func (c *Cluster) AddBalancer(m bramleyfall.Member, contacts []bramleyfall.Endpoint, known []*bramleyfall.Member, options ...peer.Option) *Balancer {
	options = append([]peer.Option{peer.WithSeed(c.random.Uint64())}, options...)
	b := &Balancer{Member: m, Up: true, Node: peer.NewNode(m, configuration.New(), c.Now(), options...)}
	b.Node.SetContacts(contacts)
	b.Node.PreloadMembers(known)
	c.Balancers = append(c.Balancers, b)
	c.byControlAddress[m.Control] = b
	c.Every(c.tickOffset(), tickInterval, func() bool {
		if b.Up && !b.Frozen {
			c.tickBalancer(b)
		}
		return b.Up
	})
	return b
}

// AddAgent starts an agent that sends its first heartbeats to contacts.
func (c *Cluster) AddAgent(m bramleyfall.Member, contacts []bramleyfall.Endpoint) *Agent {
	a := &Agent{Member: m, Up: true, Announcer: peer.NewAnnouncer(m, contacts, c.random.Uint64())}
	c.Agents = append(c.Agents, a)
	c.byControlAddress[m.Control] = a
	c.Every(c.tickOffset(), tickInterval, func() bool {
		if a.Up && !a.Frozen {
			c.sendFromAgent(a, a.Announcer.Tick(c.Now()))
		}
		return a.Up
	})
	return a
}

// tickOffset returns a random offset, so that the instances don't all tick at the
// same time.
func (c *Cluster) tickOffset() time.Duration {
	return time.Duration(c.random.Int64N(int64(tickInterval)))
}

func (c *Cluster) tickBalancer(b *Balancer) {
	c.measureCPU(b, func() {
		c.sendFromBalancer(b, b.Node.Tick(c.Now()))
		if b.Node.State().Revision() != b.notifiedRevision {
			b.notifiedRevision = b.Node.State().Revision()
			c.sendFromBalancer(b, b.Node.NotifyAgents())
		}
	})
	c.notifyRoutingChange(b)
	c.pull(b)
}

func (c *Cluster) notifyRoutingChange(b *Balancer) {
	if b.OnRoutingChange != nil {
		b.OnRoutingChange()
	}
}

// measureCPU runs work and adds its duration to the CPU time of b, if MeasureCPU is
// set.
func (c *Cluster) measureCPU(b *Balancer, work func()) {
	if !c.MeasureCPU {
		work()
		return
	}
	start := time.Now()
	work()
	b.CPUTime += time.Since(start)
}

func (c *Cluster) sendFromBalancer(b *Balancer, out []peer.Outgoing) {
	for _, o := range out {
		size := uint64(proto.Size(o.Datagram) + datagramOverhead)
		b.Bytes += size
		b.Messages++
		c.send(b.Member.Domain, o, size)
	}
}

func (c *Cluster) sendFromAgent(a *Agent, out []peer.Outgoing) {
	for _, o := range out {
		size := uint64(proto.Size(o.Datagram) + datagramOverhead)
		a.Bytes += size
		a.Messages++
		c.send(a.Member.Domain, o, size)
	}
}

// send schedules the delivery of a datagram, unless the network loses it or nothing
// listens at the destination.
func (c *Cluster) send(from bramleyfall.DomainName, o peer.Outgoing, size uint64) {
	switch to := c.byControlAddress[o.To].(type) {
	case *Balancer:
		if d, ok := c.Delay(from, to.Member.Domain); ok {
			c.After(d, func() { c.deliverToBalancer(to, o.Datagram, size) })
		}
	case *Agent:
		if d, ok := c.Delay(from, to.Member.Domain); ok {
			c.After(d, func() { c.deliverToAgent(to, o.Datagram, size) })
		}
	}
}

func (c *Cluster) deliverToBalancer(b *Balancer, d *peerpb.Datagram, size uint64) {
	if !b.Up || b.Frozen {
		return
	}
	b.Bytes += size
	b.Messages++
	c.measureCPU(b, func() { c.sendFromBalancer(b, b.Node.Receive(d, c.Now())) })
	c.notifyRoutingChange(b)
}

func (c *Cluster) deliverToAgent(a *Agent, d *peerpb.Datagram, size uint64) {
	if !a.Up || a.Frozen {
		return
	}
	a.Bytes += size
	a.Messages++
	c.sendFromAgent(a, a.Announcer.Receive(d, c.Now()))
	if a.OnConfigured != nil {
		a.OnConfigured()
	}
}

// pull performs the next pull of a node, which a balancer program does over HTTP.
// The reply arrives after a round trip.
func (c *Cluster) pull(b *Balancer) {
	if c.Now().Sub(b.lastPull) < minPullInterval {
		return
	}
	from, request, ok := b.Node.NextPull()
	if !ok {
		return
	}
	b.lastPull = c.Now()
	other, ok := c.byControlAddress[from].(*Balancer)
	if !ok || !other.Up || other.Frozen {
		return
	}
	delay, ok := c.Delay(b.Member.Domain, other.Member.Domain)
	if !ok {
		return
	}
	c.After(2*delay, func() {
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
		c.notifyRoutingChange(b)
	})
}

// ApplyChange applies an accepted configuration change at a balancer, as if the
// balancer had read it from the platform.
func (c *Cluster) ApplyChange(b *Balancer, change bramleyfall.Change) error {
	return b.Node.ApplyChange(change)
}

// CountLagging returns the number of running instances that lack a change: the
// balancers at an older revision, and the agents that the change affects and that
// have not received it.
func (c *Cluster) CountLagging(change bramleyfall.Change) int {
	n := 0
	for _, b := range c.Balancers {
		if b.Up && b.Node.State().Revision() < change.Revision {
			n++
		}
	}
	for _, a := range c.Agents {
		item, _ := a.Announcer.State().LatestChange(change.Key)
		if a.Up && a.usesKey(change.Key) && item.Revision < change.Revision {
			n++
		}
	}
	return n
}

// usesKey reports whether a configuration key affects the agent: the key of its
// failure domain, of its upstream or of one of its services.
func (a *Agent) usesKey(key string) bool {
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
