package peer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// maxGossipBytes is the maximum size in bytes of the updates in one gossip
// datagram. A larger update is sent alone.
const maxGossipBytes = 1200

// updateQueue holds the updates to gossip: member records and configuration
// changes.
type updateQueue struct {
	// members holds the number of transmissions of each queued record.
	members map[bramleyfall.InstanceID]int
	changes map[bramleyfall.Revision]*queuedChange
}

type queuedChange struct {
	change        bramleyfall.Change
	transmissions int
}

func newUpdateQueue() updateQueue {
	return updateQueue{
		members: make(map[bramleyfall.InstanceID]int),
		changes: make(map[bramleyfall.Revision]*queuedChange),
	}
}

func (q *updateQueue) addMember(id bramleyfall.InstanceID) { q.members[id] = 0 }

func (q *updateQueue) addChange(c bramleyfall.Change) {
	q.changes[c.Revision] = &queuedChange{change: c}
}

func (q *updateQueue) empty() bool { return len(q.members) == 0 && len(q.changes) == 0 }

// nextMessage returns a gossip message (a Rumor) with the updates that have been
// transmitted least often, configuration changes first. It adds transmissions
// to the count of each and removes updates whose count reaches transmitLimit.
func (q *updateQueue) nextMessage(records map[bramleyfall.InstanceID]*bramleyfall.Member, transmissions, transmitLimit int) *peerpb.Rumor {
	message := &peerpb.Rumor{}
	size := 0
	for _, revision := range q.changeOrder() {
		c := q.changes[revision]
		p := fromChange(c.change)
		if size += proto.Size(p); size > maxGossipBytes && len(message.Changes) > 0 {
			return message
		}
		message.Changes = append(message.Changes, p)
		if c.transmissions += transmissions; c.transmissions >= transmitLimit {
			delete(q.changes, revision)
		}
	}
	for _, id := range q.memberOrder() {
		m := records[id]
		if m == nil {
			delete(q.members, id)
			continue
		}
		p := fromMember(m)
		if size += proto.Size(p); size > maxGossipBytes && (len(message.Members) > 0 || len(message.Changes) > 0) {
			return message
		}
		message.Members = append(message.Members, p)
		if q.members[id] += transmissions; q.members[id] >= transmitLimit {
			delete(q.members, id)
		}
	}
	return message
}

func (q *updateQueue) changeOrder() []bramleyfall.Revision {
	order := make([]bramleyfall.Revision, 0, len(q.changes))
	for r := range q.changes {
		order = append(order, r)
	}
	slices.SortFunc(order, func(a, b bramleyfall.Revision) int {
		return cmp.Or(cmp.Compare(q.changes[a].transmissions, q.changes[b].transmissions), cmp.Compare(a, b))
	})
	return order
}

func (q *updateQueue) memberOrder() []bramleyfall.InstanceID {
	order := make([]bramleyfall.InstanceID, 0, len(q.members))
	for id := range q.members {
		order = append(order, id)
	}
	slices.SortFunc(order, func(a, b bramleyfall.InstanceID) int {
		return cmp.Or(cmp.Compare(q.members[a], q.members[b]), cmp.Compare(a, b))
	})
	return order
}

// gossip sends queued updates to a few random peers.
func (n *Node) gossip() {
	if n.updates.empty() {
		return
	}
	peers := n.randomPeers(n.config.Fanout)
	if len(peers) == 0 {
		return
	}
	message := n.updates.nextMessage(n.members.records, len(peers), n.config.TransmitLimit)
	for _, p := range peers {
		n.send(p, &peerpb.Datagram{Body: &peerpb.Datagram_Rumor{Rumor: message}})
	}
}

// randomPeers returns the control addresses of up to count random live
// balancers, or all contacts if no other balancer is known.
func (n *Node) randomPeers(count int) []bramleyfall.Endpoint {
	others := n.otherBalancers()
	if len(others) == 0 {
		return n.contacts
	}
	n.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	peers := make([]bramleyfall.Endpoint, 0, count)
	for _, m := range others[:min(count, len(others))] {
		peers = append(peers, m.Control)
	}
	return peers
}

func (n *Node) otherBalancers() []*bramleyfall.Member {
	all := n.members.liveBalancers()
	return slices.DeleteFunc(all, func(m *bramleyfall.Member) bool { return m.ID == n.self.ID })
}

// handleGossip applies the updates of a gossip message. If the message made the
// node refute a record of itself, it sends the refutation to the sender at
// once, since a sender that considers this node lost gossips only with others.
func (n *Node) handleGossip(from bramleyfall.Endpoint, message *peerpb.Rumor) {
	version := n.self.Version
	for _, c := range message.Changes {
		// Every instance rejects a malformed change in the same way.
		_ = n.ApplyChange(toChange(c))
	}
	n.mergeReceivedAll(message.Members)
	if n.self.Version != version {
		n.sendRecord(from, &n.self)
	}
}

func (n *Node) sendRecord(to bramleyfall.Endpoint, m *bramleyfall.Member) {
	n.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_Rumor{Rumor: &peerpb.Rumor{Members: []*peerpb.Member{fromMember(m)}}}})
}

// notifyLostSender sends a balancer that this node considers lost the record
// that says so, so that the balancer refutes the record. This is how the two
// sides of a network partition rediscover each other.
func (n *Node) notifyLostSender(from bramleyfall.Endpoint, d *peerpb.Datagram) {
	m := n.members.records[bramleyfall.InstanceID(d.Sender)]
	if m != nil && m.Role == bramleyfall.RoleBalancer && m.State == bramleyfall.MemberLost && uint64(m.Boot) == d.Boot {
		n.sendRecord(from, m)
	}
}

// settleTime is the time without membership changes after which memberships are
// compared. Records that are still being gossiped would show up as differences
// and cause needless pulls.
const settleTime = 3 * time.Second

// settled reports whether no membership change is recent and no update is left
// to gossip.
func (n *Node) settled() bool {
	return n.lastTick.Sub(n.lastMembershipChange) > settleTime && n.updates.empty()
}

// sendDigest sends the digest of the membership to a random peer, which pulls
// the differing records if its own digest differs.
func (n *Node) sendDigest() {
	if !n.settled() {
		return
	}
	for _, p := range n.randomPeers(1) {
		n.send(p, &peerpb.Datagram{Body: &peerpb.Datagram_Digest{Digest: &peerpb.Digest{Members: n.members.digest()}}})
	}
}

func (n *Node) handleDigest(from bramleyfall.Endpoint, d *peerpb.Digest) {
	if n.settled() && d.Members != n.members.digest() {
		n.probes.membershipPeer = from
	}
}
