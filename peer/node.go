// Package peer speaks between the processes of a deployment: it spreads the
// configuration and the membership among balancers and keeps the agents
// announced. Node and Announcer are decision code: they take datagrams and
// times and return datagrams.
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

// Node is a balancer's part in membership and configuration. It is not safe
// for concurrent use.
type Node struct {
	config   Config
	self     bramleyfall.Member
	state    *configuration.State
	members  *memberSet
	rumors   rumorQueue
	probes   prober
	watch    watchList
	asks     map[uint64]*statusAsk
	random   *rand.Rand
	sequence uint64
	lastTick time.Time
	lastNews time.Time
	// lastLearned is the time of the last change of the membership.
	lastLearned time.Time
	// contact are balancers to ask when no member is known.
	contact []bramleyfall.Endpoint
	// lingering holds the failure domains that were taken out a moment ago.
	lingering map[bramleyfall.DomainName]bool
	// joined is set once the membership of a peer was taken.
	joined bool
	// altered collects the services whose routing may have changed.
	altered   map[bramleyfall.ServiceName]bool
	allMoved  bool
	nextDue   dueTimes
	sequences map[string]senderSequence
	out       []Outgoing
}

type dueTimes struct{ gossip, probe, digest, forget time.Time }

// forgetEvery is the time between two looks for what can be forgotten.
const forgetEvery = time.Minute

// NewNode returns the node of a balancer. Self needs id, boot, domain and both
// addresses.
func NewNode(self bramleyfall.Member, state *configuration.State, now time.Time, options ...Option) *Node {
	config := DefaultConfig()
	for _, o := range options {
		o(&config)
	}
	self.Role = bramleyfall.RoleBalancer
	self.State = bramleyfall.MemberServing
	self.Version = max(self.Version, 1)
	n := &Node{
		config:    config,
		self:      self,
		state:     state,
		members:   newMemberSet(),
		rumors:    newRumorQueue(),
		probes:    newProber(),
		watch:     newWatchList(),
		asks:      make(map[uint64]*statusAsk),
		random:    rand.New(rand.NewPCG(config.Seed, uint64(self.Key()))),
		lastTick:  now,
		lastNews:  now,
		altered:   make(map[bramleyfall.ServiceName]bool),
		sequences: make(map[string]senderSequence),
		lingering: make(map[bramleyfall.DomainName]bool),
	}
	n.learn(self)
	return n
}

// SetContacts sets the balancers to ask while no other member is known. Those
// that are no member yet are asked at once.
func (n *Node) SetContacts(contacts []bramleyfall.Endpoint) {
	n.contact = contacts
	for _, c := range contacts {
		if !n.members.knowsControl(c) {
			n.probes.pullMembers = c
		}
	}
}

// Know takes records that are no news, such as those of a fleet that has run for
// long. The node shares them and never changes them.
func (n *Node) Know(members []*bramleyfall.Member) {
	for _, m := range members {
		if old := n.members.records[m.ID]; old == nil {
			n.members.add(m)
			n.markAltered(m)
		}
	}
	n.joined = n.joined || len(members) > 0
}

// Hear takes a record as if its instance had announced it here.
func (n *Node) Hear(m bramleyfall.Member) { n.learn(m) }

// LiveBalancers returns the number of balancers that are not lost, this one
// included.
func (n *Node) LiveBalancers() int { return n.members.countBalancers() }

// Alone reports whether no other live balancer is known.
func (n *Node) Alone() bool { return len(n.otherBalancers()) == 0 }

// State returns the configuration of the node.
func (n *Node) State() *configuration.State { return n.state }

// Self returns the node's own record.
func (n *Node) Self() bramleyfall.Member { return n.self }

// Receive handles a datagram whose seal was good and returns the answers.
// Messages of an earlier boot or sequence change nothing.
func (n *Node) Receive(d *peerpb.Datagram, now time.Time) []Outgoing {
	n.out = nil
	from := toEndpoint(d.Control)
	if from == n.self.Control || !n.fresh(d) {
		return nil
	}
	n.lastNews = now
	n.state.ObserveRevision(bramleyfall.Revision(d.Revision))
	n.answerLost(from, d)
	switch body := d.Body.(type) {
	case *peerpb.Datagram_Heartbeat:
		n.heartbeat(from, d, body.Heartbeat, now)
	case *peerpb.Datagram_Rumor:
		n.rumor(from, body.Rumor)
	case *peerpb.Datagram_Probe:
		n.probeAsked(from, body.Probe, now)
	case *peerpb.Datagram_ProbeAck:
		n.probeAnswered(body.ProbeAck)
	case *peerpb.Datagram_StatusAsk:
		n.statusAsked(from, body.StatusAsk)
	case *peerpb.Datagram_StatusReply:
		n.statusReplied(d.Sender, body.StatusReply)
	case *peerpb.Datagram_Digest:
		n.digestHeard(from, body.Digest)
	}
	return n.out
}

// senderSequence is the newest message of a sender.
type senderSequence struct {
	boot, sequence uint64
}

// sequenceWindow is the number of messages by which one may be overtaken.
const sequenceWindow = 64

// fresh reports whether the message is not a replay of an old one. Messages
// within the window may repeat; all of them are idempotent.
func (n *Node) fresh(d *peerpb.Datagram) bool {
	last := n.sequences[d.Sender]
	switch {
	case d.Boot < last.boot:
		return false
	case d.Boot == last.boot && d.Sequence+sequenceWindow < last.sequence:
		return false
	case d.Boot > last.boot || d.Sequence > last.sequence:
		n.sequences[d.Sender] = senderSequence{boot: d.Boot, sequence: d.Sequence}
	}
	return true
}

// Tick returns the datagrams that are due at now.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.out = nil
	if now.Sub(n.lastTick) > n.config.PauseAfter {
		n.paused(now)
	}
	n.lastTick = now
	if due(&n.nextDue.gossip, n.config.GossipEvery, now) {
		n.gossip()
	}
	if due(&n.nextDue.probe, n.probeEvery(), now) {
		n.probeNext(now)
		n.watchAgents(now)
	}
	n.probeTimeouts(now)
	if n.members.checkOrphans(now, n.config.OrphanGrace) || n.lingersEnded(now) {
		n.allMoved = true
	}
	if due(&n.nextDue.digest, n.config.DigestEvery, now) {
		n.sendDigest()
	}
	if due(&n.nextDue.forget, forgetEvery, now) {
		n.forget(now)
	}
	return n.out
}

// lingersEnded reports whether the last requests of a failure domain that was
// taken out are no longer waited for.
func (n *Node) lingersEnded(now time.Time) bool {
	ended := false
	for name := range n.state.Domains() {
		lingers := n.state.DomainLingers(name, now)
		ended = ended || n.lingering[name] && !lingers
		n.lingering[name] = lingers
	}
	return ended
}

func due(next *time.Time, every time.Duration, now time.Time) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(every)
	return true
}

// forget drops what is known of instances that departed long ago.
func (n *Node) forget(now time.Time) {
	n.members.forget(now, n.config.KeepDeparted)
	for sender := range n.sequences {
		if n.members.records[bramleyfall.InstanceID(sender)] == nil {
			delete(n.sequences, sender)
		}
	}
}

// paused forgets all timers after the process stood still, so that the time
// of the pause is not held against others.
func (n *Node) paused(now time.Time) {
	n.probes = newProber()
	n.watch.restart(now)
	n.lastNews = now
}

func (n *Node) send(to bramleyfall.Endpoint, d *peerpb.Datagram) {
	n.sequence++
	d.Sender = string(n.self.ID)
	d.Boot = uint64(n.self.Boot)
	d.Sequence = n.sequence
	d.Revision = uint64(n.state.Revision())
	d.Control = fromEndpoint(n.self.Control)
	n.out = append(n.out, Outgoing{To: to, Datagram: d})
}

// learn merges a record and spreads it if it is news.
func (n *Node) learn(m bramleyfall.Member) {
	old := n.members.records[m.ID]
	var before bramleyfall.Member
	if old != nil {
		before = *old
	}
	if !n.members.merge(m) {
		return
	}
	n.lastLearned = n.lastTick
	n.markAltered(&before)
	n.markAltered(&m)
	n.rumors.addMember(m.ID)
}

func (n *Node) markAltered(m *bramleyfall.Member) {
	if m.Role == bramleyfall.RoleBalancer {
		n.watch.recheck = n.watch.recheck || m.Domain == n.self.Domain
		return
	}
	for _, s := range m.Services {
		n.altered[s] = true
	}
}

// learnAll takes the records that another instance sent.
func (n *Node) learnAll(members []*peerpb.Member) {
	for _, p := range members {
		m, ok := toMember(p)
		if !ok {
			continue
		}
		n.heardOf(m)
	}
}

// heardOf merges a record that another instance sent. The node refutes a
// record that calls itself lost.
func (n *Node) heardOf(m bramleyfall.Member) {
	if m.ID == n.self.ID {
		n.heardOfSelf(m)
		return
	}
	n.learn(m)
}

func (n *Node) heardOfSelf(m bramleyfall.Member) {
	if !m.Replaces(&n.self) || m.Boot > n.self.Boot {
		return
	}
	n.self.Version = m.Version + 1
	n.learn(n.self)
}

// Leave marks the node as leaving and returns the datagrams that say so.
func (n *Node) Leave() []Outgoing {
	n.out = nil
	n.self.State, _ = nextState(n.self.State, eventStopped)
	n.self.Version++
	n.learn(n.self)
	n.gossip()
	return n.out
}

// ApplyChange takes a change from the platform or a peer and spreads it if it
// was news.
func (n *Node) ApplyChange(c bramleyfall.Change) error {
	altered, err := n.state.Apply(c)
	if err != nil {
		return err
	}
	if altered {
		n.rumors.addChange(c)
		n.keyAltered(c.Key)
	}
	return nil
}

// ApplyFull takes a snapshot of the configuration.
func (n *Node) ApplyFull(changes []bramleyfall.Change, revision bramleyfall.Revision) {
	for _, key := range n.state.ApplySnapshot(changes, revision) {
		n.keyAltered(key)
	}
}

func (n *Node) keyAltered(key string) {
	name, ok := configuration.ServiceNameFromKey(key)
	if !ok {
		n.allMoved = true
		return
	}
	n.altered[name] = true
}

// TakeAltered returns the services whose routing may have changed since the
// last call. All is set when every service may have.
func (n *Node) TakeAltered() (services []bramleyfall.ServiceName, all bool) {
	all = n.allMoved
	for s := range n.altered {
		services = append(services, s)
	}
	clear(n.altered)
	n.allMoved = false
	return services, all
}

// Members returns the records of all instances, in no order.
func (n *Node) Members() []bramleyfall.Member {
	out := make([]bramleyfall.Member, 0, len(n.members.records))
	for _, m := range n.members.records {
		out = append(out, *m)
	}
	return out
}

// Serving returns the live and reachable agents that serve a service. When all
// of them seem lost, which is more likely a fault of this node than the death
// of all, it returns them all.
func (n *Node) Serving(name bramleyfall.ServiceName) []bramleyfall.Member {
	var alive, lost []bramleyfall.Member
	for id := range n.members.services[name] {
		m := n.members.records[id]
		switch {
		case m.State == bramleyfall.MemberLeft:
		case live(m) && n.members.reachable(m):
			alive = append(alive, *m)
		default:
			lost = append(lost, *m)
		}
	}
	if len(alive) == 0 {
		return lost
	}
	return alive
}

// Isolated reports whether the node has heard nothing for the time in which it
// would call others lost.
func (n *Node) Isolated(now time.Time) bool {
	return now.Sub(n.lastNews) > n.config.SuspectTimeout
}

// ApplyNotice takes a change of which only the key's value and revision are
// known, as an agent told it. It takes effect but leaves the revision as it
// is, so that the change itself is still pulled.
func (n *Node) ApplyNotice(c bramleyfall.Change) {
	if n.state.ApplyValue(c) {
		n.keyAltered(c.Key)
	}
}
