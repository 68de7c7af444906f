package peer

import (
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

const (
	// heartbeatBytes is the size in bytes of a heartbeat with its answer and
	// the headers of both.
	heartbeatBytes = 210
	// maxHeartbeatEvery bounds the time between heartbeats to the first watcher,
	// so that a change reaches an agent in time even when a message is lost.
	maxHeartbeatEvery = 3 * time.Second
	// standbyFactor is the ratio of the time between heartbeats to the other
	// watchers to that of the first.
	standbyFactor = 4
)

// watchList holds the agents that send this balancer their heartbeats.
type watchList struct {
	agents map[bramleyfall.InstanceID]*watched
	// recheck is set when a balancer of the failure domain was lost.
	recheck bool
}

type watched struct {
	heard    time.Time
	asked    bool
	revision bramleyfall.Revision
	control  bramleyfall.Endpoint
	watchers uint64
}

func newWatchList() watchList {
	return watchList{agents: make(map[bramleyfall.InstanceID]*watched)}
}

func (l *watchList) restart(now time.Time) {
	for _, w := range l.agents {
		w.heard = now
		w.asked = false
	}
}

func (l *watchList) forget(id bramleyfall.InstanceID) { delete(l.agents, id) }

func (l *watchList) answered(id bramleyfall.InstanceID, now time.Time) {
	if w := l.agents[id]; w != nil {
		w.heard = now
		w.asked = false
	}
}

// heartbeatEvery returns the time between heartbeats to the first watcher that
// keeps the cost of all watched agents within the budget.
func (n *Node) heartbeatEvery() time.Duration {
	bytes := heartbeatBytes * len(n.watch.agents)
	every := time.Duration(float64(bytes) / float64(n.config.HeartbeatBudget) * float64(time.Second))
	return min(max(every, n.config.HeartbeatEvery), max(maxHeartbeatEvery, n.config.HeartbeatEvery))
}

// heartbeat takes an agent's announcement and answers with what changed.
func (n *Node) heartbeat(from bramleyfall.Endpoint, d *peerpb.Datagram, h *peerpb.Heartbeat, now time.Time) {
	id := bramleyfall.InstanceID(d.Sender)
	if h.Member != nil {
		m, ok := toMember(h.Member)
		if !ok || m.Role != bramleyfall.RoleAgent || m.ID != id {
			return
		}
		n.learn(m)
	}
	known := n.members.records[id]
	if known == nil {
		// The agent sends its record when it sees that it is not known.
		n.send(from, &peerpb.Datagram{Body: &peerpb.Datagram_HeartbeatAck{HeartbeatAck: &peerpb.HeartbeatAck{}}})
		return
	}
	revision := bramleyfall.Revision(h.Revision)
	if uint64(known.Boot) == d.Boot && known.State != bramleyfall.MemberLeft {
		n.watch.agents[id] = &watched{heard: now, revision: revision, control: from, watchers: h.WatchersHash}
	} else {
		n.watch.forget(id)
	}
	n.sendAck(from, known, revision, h.WatchersHash)
}

// sendAck tells an agent what is known of it and what it lacks.
func (n *Node) sendAck(to bramleyfall.Endpoint, known *bramleyfall.Member, revision bramleyfall.Revision, watchers uint64) {
	ack := &peerpb.HeartbeatAck{
		Revision:     uint64(n.state.Revision()),
		NextMillis:   uint32(n.heartbeatEvery().Milliseconds()),
		KnownVersion: known.Version,
		KnownBoot:    uint64(known.Boot),
	}
	n.addWatchers(ack, known, watchers)
	if revision < n.state.Revision() || revision < n.state.NewestRevision() {
		ack.Changes = fromChanges(n.changesFor(known, revision))
	}
	n.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_HeartbeatAck{HeartbeatAck: ack}})
}

// addWatchers adds the watchers, first one first, and the fallbacks of an agent
// that does not know them.
func (n *Node) addWatchers(ack *peerpb.HeartbeatAck, m *bramleyfall.Member, knownHash uint64) {
	watchers := n.members.watchers(m.ID, m.Domain, n.config.Watchers)
	fallbacks := n.fallbacks(m)
	hash := uint64(1)
	for _, w := range append(slices.Clone(watchers), fallbacks...) {
		hash = w.Key().Score(hash)
	}
	if hash == knownHash {
		return
	}
	ack.WatchersHash = hash
	for _, w := range watchers {
		ack.Watchers = append(ack.Watchers, &peerpb.Watcher{Domain: string(w.Domain), Control: fromEndpoint(w.Control)})
	}
	for _, w := range fallbacks {
		ack.Fallbacks = append(ack.Fallbacks, &peerpb.Watcher{Domain: string(w.Domain), Control: fromEndpoint(w.Control)})
	}
}

// fallbacks returns one balancer of each other failure domain.
func (n *Node) fallbacks(m *bramleyfall.Member) []*bramleyfall.Member {
	const most = 3
	var out []*bramleyfall.Member
	for _, name := range n.members.domains() {
		if name != m.Domain && len(out) < most {
			out = append(out, topBalancers(n.members.balancers[name], uint64(m.Key()), 1)...)
		}
	}
	return out
}

// changesFor returns the changes after revision that concern an agent.
func (n *Node) changesFor(m *bramleyfall.Member, revision bramleyfall.Revision) []bramleyfall.Change {
	var changes []bramleyfall.Change
	add := func(key string) {
		if c, ok := n.state.LatestChange(key); ok && c.Revision > revision {
			changes = append(changes, c)
		}
	}
	add(configuration.DomainKey(m.Domain))
	add(configuration.UpstreamKey(bramleyfall.UpstreamID(m.ID)))
	for _, s := range m.Services {
		add(configuration.ServiceKey(s))
	}
	return changes
}

// NotifyAgents returns heartbeat answers for the watched agents that a change
// of the key concerns, so that they need not wait for their next heartbeat.
func (n *Node) NotifyAgents() []Outgoing {
	n.out = nil
	for _, id := range sortedKeys(n.watch.agents) {
		w := n.watch.agents[id]
		m := n.members.records[id]
		if m == nil || w.revision >= n.state.Revision() || len(n.changesFor(m, w.revision)) == 0 {
			continue
		}
		n.sendAck(w.control, m, w.revision, w.watchers)
	}
	return n.out
}

// watchAgents asks for agents whose heartbeats are missing. Those to watchers
// other than the first come more seldom. When a balancer was lost, its place as
// first watcher has passed on: its agents may have died with it.
func (n *Node) watchAgents(now time.Time) {
	if n.Isolated(now) {
		return
	}
	recheck := n.watch.recheck
	n.watch.recheck = false
	bound := time.Duration(n.config.MissedHeartbeats) * n.heartbeatEvery()
	for _, id := range sortedKeys(n.watch.agents) {
		w := n.watch.agents[id]
		m := n.members.records[id]
		if m == nil || !live(m) {
			n.watch.forget(id)
			continue
		}
		rank, ok := n.watchRank(m)
		if !ok {
			n.watch.forget(id)
			continue
		}
		limit := bound
		switch {
		case rank > 0:
			limit = bound * standbyFactor
		case recheck:
			limit = n.heartbeatEvery()
		}
		if w.asked || now.Sub(w.heard) <= limit {
			continue
		}
		w.asked = true
		n.startProbe(m, now)
	}
}

// watchRank returns this node's place among the watchers of an agent.
func (n *Node) watchRank(m *bramleyfall.Member) (int, bool) {
	for i, w := range n.members.watchers(m.ID, m.Domain, n.config.Watchers) {
		if w.ID == n.self.ID {
			return i, true
		}
	}
	return 0, false
}
