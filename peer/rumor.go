package peer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// maxRumorBytes is the payload of one datagram of rumors.
const maxRumorBytes = 1200

// rumorQueue holds news that is still to be sent on.
type rumorQueue struct {
	members map[bramleyfall.InstanceID]int
	changes map[bramleyfall.Revision]*changeRumor
}

type changeRumor struct {
	change bramleyfall.Change
	sent   int
}

func newRumorQueue() rumorQueue {
	return rumorQueue{
		members: make(map[bramleyfall.InstanceID]int),
		changes: make(map[bramleyfall.Revision]*changeRumor),
	}
}

func (q *rumorQueue) addMember(id bramleyfall.InstanceID) { q.members[id] = 0 }

func (q *rumorQueue) addChange(c bramleyfall.Change) {
	q.changes[c.Revision] = &changeRumor{change: c}
}

func (q *rumorQueue) empty() bool { return len(q.members) == 0 && len(q.changes) == 0 }

// take fills a rumor with the news that was sent least often, configuration
// first, and counts it as sent to copies peers. News sent often enough leaves
// the queue.
func (q *rumorQueue) take(records map[bramleyfall.InstanceID]*bramleyfall.Member, peers, limit int) *peerpb.Rumor {
	rumor := &peerpb.Rumor{}
	size := 0
	for _, revision := range q.changeOrder() {
		c := q.changes[revision]
		p := fromChange(c.change)
		if size += proto.Size(p); size > maxRumorBytes && len(rumor.Changes) > 0 {
			return rumor
		}
		rumor.Changes = append(rumor.Changes, p)
		if c.sent += peers; c.sent >= limit {
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
		if size += proto.Size(p); size > maxRumorBytes && (len(rumor.Members) > 0 || len(rumor.Changes) > 0) {
			return rumor
		}
		rumor.Members = append(rumor.Members, p)
		if q.members[id] += peers; q.members[id] >= limit {
			delete(q.members, id)
		}
	}
	return rumor
}

func (q *rumorQueue) changeOrder() []bramleyfall.Revision {
	order := make([]bramleyfall.Revision, 0, len(q.changes))
	for r := range q.changes {
		order = append(order, r)
	}
	slices.SortFunc(order, func(a, b bramleyfall.Revision) int {
		return cmp.Or(cmp.Compare(q.changes[a].sent, q.changes[b].sent), cmp.Compare(a, b))
	})
	return order
}

func (q *rumorQueue) memberOrder() []bramleyfall.InstanceID {
	order := make([]bramleyfall.InstanceID, 0, len(q.members))
	for id := range q.members {
		order = append(order, id)
	}
	slices.SortFunc(order, func(a, b bramleyfall.InstanceID) int {
		return cmp.Or(cmp.Compare(q.members[a], q.members[b]), cmp.Compare(a, b))
	})
	return order
}

// gossip sends the news to a few random peers.
func (n *Node) gossip() {
	if n.rumors.empty() {
		return
	}
	peers := n.randomPeers(n.config.Fanout)
	if len(peers) == 0 {
		return
	}
	rumor := n.rumors.take(n.members.records, len(peers), n.config.Copies)
	for _, p := range peers {
		n.send(p, &peerpb.Datagram{Body: &peerpb.Datagram_Rumor{Rumor: rumor}})
	}
}

// randomPeers returns the control addresses of up to count other balancers, or
// the contacts while no other balancer is known.
func (n *Node) randomPeers(count int) []bramleyfall.Endpoint {
	others := n.otherBalancers()
	if len(others) == 0 {
		return n.contact
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

// rumor takes news. A sender that calls this node lost gets the refutation at
// once, since it sends its own news to others only.
func (n *Node) rumor(from bramleyfall.Endpoint, r *peerpb.Rumor) {
	version := n.self.Version
	for _, c := range r.Changes {
		// A malformed change is refused by every instance alike.
		_ = n.ApplyChange(toChange(c))
	}
	n.learnAll(r.Members)
	if n.self.Version != version {
		n.sendRecord(from, &n.self)
	}
}

func (n *Node) sendRecord(to bramleyfall.Endpoint, m *bramleyfall.Member) {
	n.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_Rumor{Rumor: &peerpb.Rumor{Members: []*peerpb.Member{fromMember(m)}}}})
}

// answerLost tells a sender that is called lost what is said of it, so that it
// refutes. This is how the two sides of a cut find each other again.
func (n *Node) answerLost(from bramleyfall.Endpoint, d *peerpb.Datagram) {
	m := n.members.records[bramleyfall.InstanceID(d.Sender)]
	if m != nil && m.Role == bramleyfall.RoleBalancer && m.State == bramleyfall.MemberLost && uint64(m.Boot) == d.Boot {
		n.sendRecord(from, m)
	}
}

// quietTime is the time without news after which memberships are compared:
// rumors that are on their way are no difference worth a pull.
const quietTime = 3 * time.Second

func (n *Node) quiet() bool { return n.lastTick.Sub(n.lastLearned) > quietTime && n.rumors.empty() }

// sendDigest compares whole knowledge with one random peer. A difference makes
// the peer pull what differs.
func (n *Node) sendDigest() {
	if !n.quiet() {
		return
	}
	for _, p := range n.randomPeers(1) {
		n.send(p, &peerpb.Datagram{Body: &peerpb.Datagram_Digest{Digest: &peerpb.Digest{Members: n.members.digest()}}})
	}
}

func (n *Node) digestHeard(from bramleyfall.Endpoint, d *peerpb.Digest) {
	if n.quiet() && d.Members != n.members.digest() {
		n.probes.pullMembers = from
	}
}
