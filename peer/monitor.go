package peer

import (
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

const (
	// heartbeatBytes is the size in bytes of a heartbeat and its
	// acknowledgement, including the headers of both.
	heartbeatBytes = 210
	// maxHeartbeatInterval is the maximum time between heartbeats to the
	// primary monitor. It limits the delay of a configuration change to an
	// agent when a message is lost.
	maxHeartbeatInterval = 3 * time.Second
	// standbyFactor is the factor by which heartbeats to the standby monitors
	// are less frequent than those to the primary.
	standbyFactor = 4
)

// agentSet holds the agents that this balancer monitors.
type agentSet struct {
	records map[bramleyfall.InstanceID]*monitoredAgent
	// recheck is set when the record of a balancer in this failure domain has
	// changed, for example when it was lost.
	recheck bool
}

// monitoredAgent is the state of an agent that sends heartbeats to this
// balancer.
type monitoredAgent struct {
	// lastSeen is the time of the last heartbeat or probe acknowledgement.
	lastSeen time.Time
	// probed is set while heartbeats are overdue and the agent has been probed.
	probed bool
	// revision is the revision up to which the agent has applied all changes
	// that affect it.
	revision bramleyfall.Revision
	control  bramleyfall.Endpoint
	// monitorsHash is the hash of the monitors and fallbacks that the agent
	// has.
	monitorsHash uint64
}

func newAgentSet() agentSet {
	return agentSet{records: make(map[bramleyfall.InstanceID]*monitoredAgent)}
}

func (s *agentSet) resetTimers(now time.Time) {
	for _, agent := range s.records {
		agent.lastSeen = now
		agent.probed = false
	}
}

func (s *agentSet) remove(id bramleyfall.InstanceID) { delete(s.records, id) }

func (s *agentSet) markResponsive(id bramleyfall.InstanceID, now time.Time) {
	if agent := s.records[id]; agent != nil {
		agent.lastSeen = now
		agent.probed = false
	}
}

// heartbeatInterval returns the time between heartbeats to the primary monitor
// that keeps the traffic of all monitored agents within the budget.
func (n *Node) heartbeatInterval() time.Duration {
	bytes := heartbeatBytes * len(n.agents.records)
	interval := time.Duration(float64(bytes) / float64(n.config.HeartbeatBudget) * float64(time.Second))
	return min(max(interval, n.config.MinHeartbeatInterval), max(maxHeartbeatInterval, n.config.MinHeartbeatInterval))
}

// handleHeartbeat processes an agent's heartbeat and sends an acknowledgement.
func (n *Node) handleHeartbeat(from bramleyfall.Endpoint, d *peerpb.Datagram, heartbeat *peerpb.Heartbeat, now time.Time) {
	id := bramleyfall.InstanceID(d.Sender)
	if heartbeat.Member != nil {
		m, ok := toMember(heartbeat.Member)
		if !ok || m.Role != bramleyfall.RoleAgent || m.ID != id {
			return
		}
		n.mergeMember(m)
	}
	agent := n.members.records[id]
	if agent == nil {
		// The empty acknowledgement tells the agent to send its record.
		n.send(from, &peerpb.Datagram{Body: &peerpb.Datagram_HeartbeatAck{HeartbeatAck: &peerpb.HeartbeatAck{}}})
		return
	}
	revision := bramleyfall.Revision(heartbeat.Revision)
	if uint64(agent.Boot) == d.Boot && agent.State != bramleyfall.MemberLeft {
		n.agents.records[id] = &monitoredAgent{lastSeen: now, revision: revision, control: from, monitorsHash: heartbeat.WatchersHash}
	} else {
		n.agents.remove(id)
	}
	n.sendAck(from, agent, revision, heartbeat.WatchersHash)
}

// sendAck acknowledges a heartbeat with the version of the agent's record that
// this node has, and with the monitors and configuration changes that the agent
// lacks.
func (n *Node) sendAck(to bramleyfall.Endpoint, agent *bramleyfall.Member, revision bramleyfall.Revision, monitorsHash uint64) {
	ack := &peerpb.HeartbeatAck{
		Revision:     uint64(n.state.Revision()),
		NextMillis:   uint32(n.heartbeatInterval().Milliseconds()),
		KnownVersion: agent.Version,
		KnownBoot:    uint64(agent.Boot),
	}
	n.addMonitors(ack, agent, monitorsHash)
	if revision < n.state.Revision() || revision < n.state.NewestRevision() {
		ack.Changes = fromChanges(n.changesFor(agent, revision))
	}
	n.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_HeartbeatAck{HeartbeatAck: ack}})
}

// addMonitors adds an agent's monitors, primary first, and its fallbacks to ack
// unless knownHash shows that the agent has them.
func (n *Node) addMonitors(ack *peerpb.HeartbeatAck, m *bramleyfall.Member, knownHash uint64) {
	monitors := n.members.monitors(m.ID, m.Domain, n.config.Monitors)
	fallbacks := n.fallbacks(m)
	hash := uint64(1)
	for _, balancer := range append(slices.Clone(monitors), fallbacks...) {
		hash = balancer.Key().Score(hash)
	}
	if hash == knownHash {
		return
	}
	ack.WatchersHash = hash
	for _, balancer := range monitors {
		ack.Watchers = append(ack.Watchers, &peerpb.Watcher{Domain: string(balancer.Domain), Control: fromEndpoint(balancer.Control)})
	}
	for _, balancer := range fallbacks {
		ack.Fallbacks = append(ack.Fallbacks, &peerpb.Watcher{Domain: string(balancer.Domain), Control: fromEndpoint(balancer.Control)})
	}
}

// fallbacks returns one balancer from each of up to three failure domains other
// than the agent's.
func (n *Node) fallbacks(m *bramleyfall.Member) []*bramleyfall.Member {
	const maxFallbacks = 3
	var balancers []*bramleyfall.Member
	for _, name := range n.members.domains() {
		if name != m.Domain && len(balancers) < maxFallbacks {
			balancers = append(balancers, topBalancers(n.members.balancers[name], uint64(m.Key()), 1)...)
		}
	}
	return balancers
}

// changesFor returns the changes after revision that affect an agent: those of
// its failure domain, its upstream and its services.
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

// NotifyAgents returns acknowledgements for the monitored agents that lack a
// configuration change that affects them, so that the change does not wait for
// their next heartbeat.
func (n *Node) NotifyAgents() []Outgoing {
	n.outgoing = nil
	for _, id := range sortedKeys(n.agents.records) {
		agent := n.agents.records[id]
		m := n.members.records[id]
		if m == nil || agent.revision >= n.state.Revision() || len(n.changesFor(m, agent.revision)) == 0 {
			continue
		}
		n.sendAck(agent.control, m, agent.revision, agent.monitorsHash)
	}
	return n.outgoing
}

// checkAgents probes the agents whose heartbeats are overdue. Standby monitors
// receive heartbeats less often and so wait longer. When a balancer was lost,
// another has become the primary monitor of its agents; since they may have
// failed together with it, primary monitors then probe after a single heartbeat
// interval.
func (n *Node) checkAgents(now time.Time) {
	if n.Isolated(now) {
		return
	}
	recheck := n.agents.recheck
	n.agents.recheck = false
	timeout := time.Duration(n.config.MissedHeartbeats) * n.heartbeatInterval()
	for _, id := range sortedKeys(n.agents.records) {
		agent := n.agents.records[id]
		m := n.members.records[id]
		if m == nil || !live(m) {
			n.agents.remove(id)
			continue
		}
		rank, ok := n.monitorRank(m)
		if !ok {
			n.agents.remove(id)
			continue
		}
		limit := timeout
		switch {
		case rank > 0:
			limit = timeout * standbyFactor
		case recheck:
			limit = n.heartbeatInterval()
		}
		if agent.probed || now.Sub(agent.lastSeen) <= limit {
			continue
		}
		agent.probed = true
		n.startProbe(m, now)
	}
}

// monitorRank returns this node's rank among the monitors of an agent, 0 for
// the primary, and false if it is not one of them.
func (n *Node) monitorRank(m *bramleyfall.Member) (int, bool) {
	for i, monitor := range n.members.monitors(m.ID, m.Domain, n.config.Monitors) {
		if monitor.ID == n.self.ID {
			return i, true
		}
	}
	return 0, false
}
