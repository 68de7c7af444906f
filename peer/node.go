// Package peer implements the control protocol between balancers and agents.
// Balancers distribute membership and configuration by gossip with anti-entropy,
// detect failures by probes and monitor the heartbeats of agents.
//
// Node, the balancer's side, and Announcer, the agent's side, perform no I/O: they
// are given datagrams and the time and return the datagrams to send. The balancer
// and agent programs drive them and send and receive through a Socket.
package peer

import (
	"math/rand/v2"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// Outgoing is a datagram to send.
type Outgoing struct {
	To       bramleyfall.Endpoint
	Datagram *peerpb.Datagram
}

// Node is the balancer's side of the membership and configuration protocol. It
// is not safe for concurrent use.
type Node struct {
	config   Config
	self     bramleyfall.Member
	state    *configuration.State
	members  *memberSet
	updates  updateQueue
	probes   prober
	agents   agentSet
	queries  map[uint64]*propagationQuery
	random   *rand.Rand
	sequence uint64
	lastTick time.Time
	// lastReceived is the time of the last datagram from another instance.
	lastReceived time.Time
	// lastMembershipChange is lastTick as of the latest membership change.
	lastMembershipChange time.Time
	// contacts are the control addresses of the balancers to join through while
	// no other balancer is known.
	contacts []bramleyfall.Endpoint
	// inGracePeriod holds the failure domains that were taken out of service so
	// recently that requests in progress may still finish there.
	inGracePeriod map[bramleyfall.DomainName]bool
	// joined is set once the node has received the membership from a peer.
	joined bool
	// changedServices holds the services whose routing may have changed since
	// the last call of TakeChangedServices.
	changedServices map[bramleyfall.ServiceName]bool
	// allChanged is set when the routing of every service may have changed.
	allChanged bool
	schedule   schedule
	// lastSequences holds the position of each sender, for replay protection.
	lastSequences map[string]senderSequence
	outgoing      []Outgoing
}

// schedule holds the time of the next run of each periodic task.
type schedule struct{ gossip, probe, digest, evict time.Time }

// evictionInterval is the time between two evictions of departed instances.
const evictionInterval = time.Minute

// NewNode returns a node for the balancer self, of which ID, Boot, Domain,
// Packets and Control must be set.
func NewNode(self bramleyfall.Member, state *configuration.State, now time.Time, options ...Option) *Node {
	config := DefaultConfig()
	for _, o := range options {
		o(&config)
	}
	self.Role = bramleyfall.RoleBalancer
	self.State = bramleyfall.MemberServing
	self.Version = max(self.Version, 1)
	n := &Node{
		config:          config,
		self:            self,
		state:           state,
		members:         newMemberSet(),
		updates:         newUpdateQueue(),
		probes:          newProber(),
		agents:          newAgentSet(),
		queries:         make(map[uint64]*propagationQuery),
		random:          rand.New(rand.NewPCG(config.Seed, uint64(self.Key()))),
		lastTick:        now,
		lastReceived:    now,
		changedServices: make(map[bramleyfall.ServiceName]bool),
		lastSequences:   make(map[string]senderSequence),
		inGracePeriod:   make(map[bramleyfall.DomainName]bool),
	}
	n.mergeMember(self)
	return n
}

// SetContacts sets the balancers to join through while no other balancer is
// known. If some of them are not known as live balancers, the next pull gets
// the membership from the last of these.
func (n *Node) SetContacts(contacts []bramleyfall.Endpoint) {
	n.contacts = contacts
	for _, c := range contacts {
		if !n.members.hasBalancerAt(c) {
			n.probes.membershipPeer = c
		}
	}
}

// PreloadMembers adds records without gossiping them, for a node that starts
// with the state of a long-running deployment. The node shares the records and
// does not modify them.
func (n *Node) PreloadMembers(members []*bramleyfall.Member) {
	for _, m := range members {
		if existing := n.members.records[m.ID]; existing == nil {
			n.members.add(m)
			n.markChanged(m)
		}
	}
	n.joined = n.joined || len(members) > 0
}

// ApplyMember merges a record as if this node had received it from the instance
// itself.
func (n *Node) ApplyMember(m bramleyfall.Member) { n.mergeMember(m) }

// LiveBalancerCount returns the number of live balancers, including this one.
func (n *Node) LiveBalancerCount() int { return n.members.countBalancers() }

// NoLivePeers reports whether no other live balancer is known.
func (n *Node) NoLivePeers() bool { return len(n.otherBalancers()) == 0 }

// State returns the configuration of the node.
func (n *Node) State() *configuration.State { return n.state }

// Self returns the node's own record.
func (n *Node) Self() bramleyfall.Member { return n.self }

// Receive handles an authenticated datagram and returns the datagrams to send
// in response. It ignores the node's own datagrams and replays of old ones.
func (n *Node) Receive(d *peerpb.Datagram, now time.Time) []Outgoing {
	n.outgoing = nil
	from := toEndpoint(d.Control)
	if from == n.self.Control || !n.checkSequence(d) {
		return nil
	}
	n.lastReceived = now
	n.state.ObserveRevision(bramleyfall.Revision(d.Revision))
	n.notifyLostSender(from, d)
	switch body := d.Body.(type) {
	case *peerpb.Datagram_Heartbeat:
		n.handleHeartbeat(from, d, body.Heartbeat, now)
	case *peerpb.Datagram_Rumor:
		n.handleGossip(from, body.Rumor)
	case *peerpb.Datagram_Probe:
		n.handleProbe(from, body.Probe, now)
	case *peerpb.Datagram_ProbeAck:
		n.handleProbeAck(body.ProbeAck)
	case *peerpb.Datagram_StatusAsk:
		n.handleStatusAsk(from, body.StatusAsk)
	case *peerpb.Datagram_StatusReply:
		n.handleStatusReply(d.Sender, body.StatusReply)
	case *peerpb.Datagram_Digest:
		n.handleDigest(from, body.Digest)
	}
	return n.outgoing
}

// senderSequence is the newest boot and sequence number received from a sender.
type senderSequence struct {
	boot, sequence uint64
}

// reorderWindow is the number of sequence numbers by which a datagram may be
// behind the newest one of its sender.
const reorderWindow = 64

// checkSequence reports whether a datagram belongs to the sender's current run
// and is not behind the reorder window, and records its sequence number. Within
// the window it accepts replays, since all messages are idempotent.
func (n *Node) checkSequence(d *peerpb.Datagram) bool {
	last := n.lastSequences[d.Sender]
	switch {
	case d.Boot < last.boot:
		return false
	case d.Boot == last.boot && d.Sequence+reorderWindow < last.sequence:
		return false
	case d.Boot > last.boot || d.Sequence > last.sequence:
		n.lastSequences[d.Sender] = senderSequence{boot: d.Boot, sequence: d.Sequence}
	}
	return true
}

// Tick runs the periodic tasks and returns the datagrams to send at now.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.outgoing = nil
	if now.Sub(n.lastTick) > n.config.PauseThreshold {
		n.handlePause(now)
	}
	n.lastTick = now
	if due(&n.schedule.gossip, n.config.GossipInterval, now) {
		n.gossip()
	}
	if due(&n.schedule.probe, n.probeInterval(), now) {
		n.sendNextProbe(now)
		n.checkAgents(now)
	}
	n.checkProbeTimeouts(now)
	if n.members.updateOrphaned(now, n.config.OrphanGracePeriod) || n.updateGracePeriods(now) {
		n.allChanged = true
	}
	if due(&n.schedule.digest, n.config.DigestInterval, now) {
		n.sendDigest()
	}
	if due(&n.schedule.evict, evictionInterval, now) {
		n.evictDeparted(now)
	}
	return n.outgoing
}

// updateGracePeriods updates the set of failure domains in their grace period and
// reports whether the grace period of one has ended.
func (n *Node) updateGracePeriods(now time.Time) bool {
	ended := false
	for name := range n.state.Domains() {
		inGrace := n.state.DomainInGracePeriod(name, now)
		ended = ended || n.inGracePeriod[name] && !inGrace
		n.inGracePeriod[name] = inGrace
	}
	return ended
}

// due reports whether the time of a periodic task has come and, if so,
// schedules its next run.
func due(next *time.Time, interval time.Duration, now time.Time) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(interval)
	return true
}

// evictDeparted removes the state of instances that departed longer ago than
// the retention time.
func (n *Node) evictDeparted(now time.Time) {
	n.members.evictDeparted(now, n.config.DepartedRetention)
	for sender := range n.lastSequences {
		if n.members.records[bramleyfall.InstanceID(sender)] == nil {
			delete(n.lastSequences, sender)
		}
	}
}

// handlePause restarts all timeouts after a pause of the process. Otherwise the
// time of the pause would count against other instances.
func (n *Node) handlePause(now time.Time) {
	n.probes = newProber()
	n.agents.resetTimers(now)
	n.lastReceived = now
}

func (n *Node) send(to bramleyfall.Endpoint, d *peerpb.Datagram) {
	n.sequence++
	d.Sender = string(n.self.ID)
	d.Boot = uint64(n.self.Boot)
	d.Sequence = n.sequence
	d.Revision = uint64(n.state.Revision())
	d.Control = fromEndpoint(n.self.Control)
	n.outgoing = append(n.outgoing, Outgoing{To: to, Datagram: d})
}

// mergeMember merges a record and, if it changed the membership, queues it for
// gossip.
func (n *Node) mergeMember(m bramleyfall.Member) {
	existing := n.members.records[m.ID]
	var previous bramleyfall.Member
	if existing != nil {
		previous = *existing
	}
	if !n.members.merge(m) {
		return
	}
	n.lastMembershipChange = n.lastTick
	n.markChanged(&previous)
	n.markChanged(&m)
	n.updates.addMember(m.ID)
}

// markChanged marks the services of an agent for a routing update. For a
// balancer of this failure domain, it requests a check of the monitored agents
// instead.
func (n *Node) markChanged(m *bramleyfall.Member) {
	if m.Role == bramleyfall.RoleBalancer {
		n.agents.recheck = n.agents.recheck || m.Domain == n.self.Domain
		return
	}
	for _, s := range m.Services {
		n.changedServices[s] = true
	}
}

// mergeReceivedAll merges the well-formed records that another instance sent.
func (n *Node) mergeReceivedAll(members []*peerpb.Member) {
	for _, p := range members {
		m, ok := toMember(p)
		if !ok {
			continue
		}
		n.mergeReceived(m)
	}
}

// mergeReceived merges a record that another instance sent, or refutes it if it
// is about this node.
func (n *Node) mergeReceived(m bramleyfall.Member) {
	if m.ID == n.self.ID {
		n.refute(m)
		return
	}
	n.mergeMember(m)
}

// refute supersedes a newer record of this run, such as one that declares the
// node lost, by raising the node's own version above it.
func (n *Node) refute(m bramleyfall.Member) {
	if !m.Replaces(&n.self) || m.Boot > n.self.Boot {
		return
	}
	n.self.Version = m.Version + 1
	n.mergeMember(n.self)
}

// Leave marks the node as left and returns gossip that announces it.
func (n *Node) Leave() []Outgoing {
	n.outgoing = nil
	n.self.State, _ = nextState(n.self.State, eventStopped)
	n.self.Version++
	n.mergeMember(n.self)
	n.gossip()
	return n.outgoing
}

// ApplyChange applies a configuration change from the platform or a peer. If it
// changed the configuration, it is queued for gossip.
func (n *Node) ApplyChange(c bramleyfall.Change) error {
	changed, err := n.state.Apply(c)
	if err != nil {
		return err
	}
	if changed {
		n.updates.addChange(c)
		n.markKeyChanged(c.Key)
	}
	return nil
}

// ApplySnapshot replaces the configuration by a snapshot at the given revision.
func (n *Node) ApplySnapshot(changes []bramleyfall.Change, revision bramleyfall.Revision) {
	for _, key := range n.state.ApplySnapshot(changes, revision) {
		n.markKeyChanged(key)
	}
}

func (n *Node) markKeyChanged(key string) {
	name, ok := configuration.ServiceNameFromKey(key)
	if !ok {
		n.allChanged = true
		return
	}
	n.changedServices[name] = true
}

// TakeChangedServices returns the services whose routing may have changed since
// the last call. If all is true, the routing of every service may have changed.
func (n *Node) TakeChangedServices() (services []bramleyfall.ServiceName, all bool) {
	all = n.allChanged
	for s := range n.changedServices {
		services = append(services, s)
	}
	clear(n.changedServices)
	n.allChanged = false
	return services, all
}

// Members returns the records of all instances in unspecified order.
func (n *Node) Members() []bramleyfall.Member {
	members := make([]bramleyfall.Member, 0, len(n.members.records))
	for _, m := range n.members.records {
		members = append(members, *m)
	}
	return members
}

// Serving returns the live agents of a service that may have a live monitor. If
// there is none, it returns all agents that have not left: a fault of this node
// is more likely than the failure of all agents at once.
func (n *Node) Serving(name bramleyfall.ServiceName) []bramleyfall.Member {
	var reachable, unreachable []bramleyfall.Member
	for id := range n.members.services[name] {
		m := n.members.records[id]
		switch {
		case m.State == bramleyfall.MemberLeft:
		case live(m) && n.members.mayBeMonitored(m):
			reachable = append(reachable, *m)
		default:
			unreachable = append(unreachable, *m)
		}
	}
	if len(reachable) == 0 {
		return unreachable
	}
	return reachable
}

// Isolated reports whether the node has received nothing for longer than the
// suspicion timeout. An isolated node cannot tell the failure of others from
// its own.
func (n *Node) Isolated(now time.Time) bool {
	return now.Sub(n.lastReceived) > n.config.SuspectTimeout
}

// ApplyNotice applies the value and revision of a key that an agent reported in
// a notice. The value takes effect at once, but the node's revision does not
// advance, so that the full change is still pulled.
func (n *Node) ApplyNotice(c bramleyfall.Change) {
	if n.state.ApplyValue(c) {
		n.markKeyChanged(c.Key)
	}
}
