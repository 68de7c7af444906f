package peer

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

const (
	// maxLaggingNames is the maximum number of lagging instances that a reply
	// names.
	maxLaggingNames = 10
	// queryTimeout is the time for which replies to a query are collected.
	queryTimeout = time.Minute
)

// propagationQuery collects which instances have applied a revision.
type propagationQuery struct {
	revision bramleyfall.Revision
	// pending holds the balancers whose reply is outstanding.
	pending map[bramleyfall.InstanceID]bool
	replies map[bramleyfall.InstanceID]*peerpb.StatusReply
	started time.Time
}

// Propagation tells how far a revision of the configuration has propagated.
type Propagation struct {
	// Instances is the number of live instances. A balancer that has not
	// replied counts as one, without its agents.
	Instances int
	// Lagging is the number of instances that lack the revision or did not
	// reply.
	Lagging int
	// Names holds the ids of some lagging instances.
	Names []bramleyfall.InstanceID
}

// QueryPropagation starts a query to all live balancers for the instances that
// lack the revision. It returns the nonce of the query and the datagrams to
// send.
func (n *Node) QueryPropagation(revision bramleyfall.Revision, now time.Time) (uint64, []Outgoing) {
	n.outgoing = nil
	n.expireQueries(now)
	nonce := n.random.Uint64()
	query := &propagationQuery{
		revision: revision, started: now,
		pending: make(map[bramleyfall.InstanceID]bool),
		replies: map[bramleyfall.InstanceID]*peerpb.StatusReply{n.self.ID: n.status(revision)},
	}
	n.queries[nonce] = query
	for _, m := range n.otherBalancers() {
		query.pending[m.ID] = true
	}
	n.sendQuery(nonce, query)
	return nonce, n.outgoing
}

// RepeatQuery returns the datagrams that repeat a query to the balancers that
// have not replied or reported lagging instances.
func (n *Node) RepeatQuery(nonce uint64) []Outgoing {
	n.outgoing = nil
	query := n.queries[nonce]
	if query == nil {
		return nil
	}
	query.replies[n.self.ID] = n.status(query.revision)
	for id, reply := range query.replies {
		if reply.Lagging > 0 && id != n.self.ID {
			query.pending[id] = true
		}
	}
	n.sendQuery(nonce, query)
	return n.outgoing
}

func (n *Node) sendQuery(nonce uint64, query *propagationQuery) {
	for _, id := range sortedKeys(query.pending) {
		m := n.members.records[id]
		if m == nil || !live(m) {
			delete(query.pending, id)
			continue
		}
		n.send(m.Control, &peerpb.Datagram{Body: &peerpb.Datagram_StatusAsk{StatusAsk: &peerpb.StatusAsk{
			Nonce: nonce, Revision: uint64(query.revision),
		}}})
	}
}

func (n *Node) expireQueries(now time.Time) {
	for nonce, query := range n.queries {
		if now.Sub(query.started) > queryTimeout {
			delete(n.queries, nonce)
		}
	}
}

// status returns the status of this node and of the agents whose primary
// monitor it is, so that each agent is counted once. An agent lags if it lacks
// a change that affects it; an agent that no change affects has nothing to
// apply.
func (n *Node) status(revision bramleyfall.Revision) *peerpb.StatusReply {
	reply := &peerpb.StatusReply{Instances: 1}
	addLagging := func(id bramleyfall.InstanceID) {
		reply.Lagging++
		if len(reply.Names) < maxLaggingNames {
			reply.Names = append(reply.Names, string(id))
		}
	}
	if n.state.Revision() < revision {
		addLagging(n.self.ID)
	}
	for _, id := range sortedKeys(n.agents.records) {
		agent := n.agents.records[id]
		m := n.members.records[id]
		if m == nil || !live(m) {
			continue
		}
		first := n.members.monitors(m.ID, m.Domain, 1)
		if len(first) == 0 || first[0].ID != n.self.ID {
			continue
		}
		reply.Instances++
		if n.lacksChange(m, agent.revision, revision) {
			addLagging(id)
		}
	}
	return reply
}

// lacksChange reports whether an agent at agentRevision lacks a change up to
// revision that affects it. If this node lacks the revision itself, it assumes
// so.
func (n *Node) lacksChange(m *bramleyfall.Member, agentRevision, revision bramleyfall.Revision) bool {
	for _, c := range n.changesFor(m, agentRevision) {
		if c.Revision <= revision {
			return true
		}
	}
	return agentRevision < revision && n.state.Revision() < revision
}

func (n *Node) handleStatusAsk(from bramleyfall.Endpoint, query *peerpb.StatusAsk) {
	reply := n.status(bramleyfall.Revision(query.Revision))
	reply.Nonce = query.Nonce
	n.send(from, &peerpb.Datagram{Body: &peerpb.Datagram_StatusReply{StatusReply: reply}})
}

func (n *Node) handleStatusReply(sender string, reply *peerpb.StatusReply) {
	query := n.queries[reply.Nonce]
	if query == nil {
		return
	}
	id := bramleyfall.InstanceID(sender)
	delete(query.pending, id)
	query.replies[id] = reply
}

// QueryResult returns the result of a query according to the replies so far.
func (n *Node) QueryResult(nonce uint64) Propagation {
	query := n.queries[nonce]
	if query == nil {
		return Propagation{}
	}
	result := Propagation{Instances: len(query.pending), Lagging: len(query.pending)}
	for id := range query.pending {
		result.addName(id)
	}
	for id, reply := range query.replies {
		if query.pending[id] {
			continue
		}
		result.Instances += int(reply.Instances)
		result.Lagging += int(reply.Lagging)
		for _, name := range reply.Names {
			result.addName(bramleyfall.InstanceID(name))
		}
	}
	return result
}

func (p *Propagation) addName(id bramleyfall.InstanceID) {
	if len(p.Names) < maxLaggingNames {
		p.Names = append(p.Names, id)
	}
}
