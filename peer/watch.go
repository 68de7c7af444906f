package peer

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

const (
	// heartbeatBytes is the size in bytes of a heartbeat with its answer and
	// the headers of both.
	heartbeatBytes = 330
	// maxHeartbeatEvery bounds the time between heartbeats, so that a change
	// reaches an agent in time even when a message is lost.
	maxHeartbeatEvery = 2 * time.Second
)

// watchList holds the agents that send this balancer their heartbeats.
type watchList struct {
	agents map[bramleyfall.InstanceID]*watched
}

type watched struct {
	heard    time.Time
	asked    bool
	revision bramleyfall.Revision
	control  bramleyfall.Endpoint
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

func (l *watchList) heardLately(id bramleyfall.InstanceID, now time.Time, c Config) bool {
	w := l.agents[id]
	return w != nil && now.Sub(w.heard) <= time.Duration(c.MissedHeartbeats)*maxHeartbeatEvery
}

// heartbeatEvery returns the time between heartbeats that keeps the cost of
// all watched agents within the budget.
func (n *Node) heartbeatEvery() time.Duration {
	bytes := heartbeatBytes * len(n.watch.agents)
	every := time.Duration(float64(bytes) / float64(n.config.HeartbeatBudget) * float64(time.Second))
	return min(max(every, n.config.HeartbeatEvery), max(maxHeartbeatEvery, n.config.HeartbeatEvery))
}

// heartbeat takes an agent's announcement and answers with what changed.
func (n *Node) heartbeat(from bramleyfall.Endpoint, h *peerpb.Heartbeat, now time.Time) {
	m, ok := toMember(h.Member)
	if !ok || m.Role != bramleyfall.RoleAgent {
		return
	}
	revision := bramleyfall.Revision(h.Revision)
	n.learn(m)
	if known := n.members.records[m.ID]; known.Boot == m.Boot && m.State != bramleyfall.MemberLeft {
		n.watch.agents[m.ID] = &watched{heard: now, revision: revision, control: from}
	} else {
		n.watch.forget(m.ID)
	}
	n.send(from, &peerpb.Datagram{Body: &peerpb.Datagram_HeartbeatAck{HeartbeatAck: n.ack(&m, revision)}})
}

func (n *Node) ack(m *bramleyfall.Member, revision bramleyfall.Revision) *peerpb.HeartbeatAck {
	known := n.members.records[m.ID]
	ack := &peerpb.HeartbeatAck{
		Revision:     uint64(n.state.Revision()),
		NextMillis:   uint32(n.heartbeatEvery().Milliseconds()),
		KnownVersion: known.Version,
		KnownBoot:    uint64(known.Boot),
		Domain:       string(n.self.Domain),
	}
	for _, w := range n.members.watchers(m.ID, m.Domain, n.config.Watchers) {
		ack.Watchers = append(ack.Watchers, &peerpb.Watcher{Domain: string(w.Domain), Control: fromEndpoint(w.Control)})
	}
	for _, w := range n.fallbacks(m) {
		ack.Fallbacks = append(ack.Fallbacks, &peerpb.Watcher{Domain: string(w.Domain), Control: fromEndpoint(w.Control)})
	}
	if revision < n.state.Revision() || revision < n.state.Newest() {
		ack.Changes = fromChanges(n.changesFor(m, revision))
	}
	return ack
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
		if c, ok := n.state.Item(key); ok && c.Revision > revision {
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
	for id, w := range n.watch.agents {
		m := n.members.records[id]
		if m == nil || w.revision >= n.state.Revision() || len(n.changesFor(m, w.revision)) == 0 {
			continue
		}
		n.send(w.control, &peerpb.Datagram{Body: &peerpb.Datagram_HeartbeatAck{HeartbeatAck: n.ack(m, w.revision)}})
	}
	return n.out
}

// watchAgents asks for agents whose heartbeats are missing.
func (n *Node) watchAgents(now time.Time) {
	if n.Isolated(now) {
		return
	}
	bound := time.Duration(n.config.MissedHeartbeats) * n.heartbeatEvery()
	for id, w := range n.watch.agents {
		m := n.members.records[id]
		if m == nil || !live(m) || !n.watches(m) {
			n.watch.forget(id)
			continue
		}
		if w.asked || now.Sub(w.heard) <= bound {
			continue
		}
		w.asked = true
		n.startProbe(m, now)
	}
}

// watches reports whether this node is among the watchers of an agent.
func (n *Node) watches(m *bramleyfall.Member) bool {
	for _, w := range n.members.watchers(m.ID, m.Domain, n.config.Watchers) {
		if w.ID == n.self.ID {
			return true
		}
	}
	return false
}
