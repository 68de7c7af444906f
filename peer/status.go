package peer

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

const (
	// maxNames bounds the names of lagging instances in one answer.
	maxNames = 10
	// askTimeout is the time for which answers to a question are collected.
	askTimeout = time.Minute
)

// statusAsk collects who has a revision in force.
type statusAsk struct {
	revision bramleyfall.Revision
	waiting  map[bramleyfall.InstanceID]bool
	replies  map[bramleyfall.InstanceID]*peerpb.StatusReply
	started  time.Time
}

// Propagation tells how far a revision is in force.
type Propagation struct {
	// Instances is the number of live instances that were asked for.
	Instances int
	// Lagging is the number that lack the revision or did not answer.
	Lagging int
	// Names holds some of those that lag.
	Names []bramleyfall.InstanceID
}

// QueryPropagation asks all live balancers which of their instances lack the revision.
func (n *Node) QueryPropagation(revision bramleyfall.Revision, now time.Time) (uint64, []Outgoing) {
	n.out = nil
	n.expireAsks(now)
	nonce := n.random.Uint64()
	ask := &statusAsk{
		revision: revision, started: now,
		waiting: make(map[bramleyfall.InstanceID]bool),
		replies: map[bramleyfall.InstanceID]*peerpb.StatusReply{n.self.ID: n.status(revision)},
	}
	n.asks[nonce] = ask
	for _, m := range n.otherBalancers() {
		ask.waiting[m.ID] = true
	}
	n.askAgain(nonce, ask)
	return nonce, n.out
}

// RepeatQuery repeats a question to those that have not answered or lagged.
func (n *Node) RepeatQuery(nonce uint64) []Outgoing {
	n.out = nil
	ask := n.asks[nonce]
	if ask == nil {
		return nil
	}
	ask.replies[n.self.ID] = n.status(ask.revision)
	for id, r := range ask.replies {
		if r.Lagging > 0 && id != n.self.ID {
			ask.waiting[id] = true
		}
	}
	n.askAgain(nonce, ask)
	return n.out
}

func (n *Node) askAgain(nonce uint64, ask *statusAsk) {
	for _, id := range sortedKeys(ask.waiting) {
		m := n.members.records[id]
		if m == nil || !live(m) {
			delete(ask.waiting, id)
			continue
		}
		n.send(m.Control, &peerpb.Datagram{Body: &peerpb.Datagram_StatusAsk{StatusAsk: &peerpb.StatusAsk{
			Nonce: nonce, Revision: uint64(ask.revision),
		}}})
	}
}

func (n *Node) expireAsks(now time.Time) {
	for nonce, a := range n.asks {
		if now.Sub(a.started) > askTimeout {
			delete(n.asks, nonce)
		}
	}
}

// status counts this node and the agents it watches first. Each agent is
// counted by the first of its watchers. An agent lags if it lacks a change that
// concerns it; one that no change concerns has nothing to put in force.
func (n *Node) status(revision bramleyfall.Revision) *peerpb.StatusReply {
	r := &peerpb.StatusReply{Instances: 1}
	lags := func(id bramleyfall.InstanceID) {
		r.Lagging++
		if len(r.Names) < maxNames {
			r.Names = append(r.Names, string(id))
		}
	}
	if n.state.Revision() < revision {
		lags(n.self.ID)
	}
	for _, id := range sortedKeys(n.watch.agents) {
		w := n.watch.agents[id]
		m := n.members.records[id]
		if m == nil || !live(m) {
			continue
		}
		first := n.members.watchers(m.ID, m.Domain, 1)
		if len(first) == 0 || first[0].ID != n.self.ID {
			continue
		}
		r.Instances++
		if n.lacksChange(m, w.revision, revision) {
			lags(id)
		}
	}
	return r
}

// lacksChange reports whether an agent at the given revision lacks a change up to
// another revision that concerns it.
func (n *Node) lacksChange(m *bramleyfall.Member, has, revision bramleyfall.Revision) bool {
	for _, c := range n.changesFor(m, has) {
		if c.Revision <= revision {
			return true
		}
	}
	return has < revision && n.state.Revision() < revision
}

func (n *Node) statusAsked(from bramleyfall.Endpoint, a *peerpb.StatusAsk) {
	r := n.status(bramleyfall.Revision(a.Revision))
	r.Nonce = a.Nonce
	n.send(from, &peerpb.Datagram{Body: &peerpb.Datagram_StatusReply{StatusReply: r}})
}

func (n *Node) statusReplied(sender string, r *peerpb.StatusReply) {
	ask := n.asks[r.Nonce]
	if ask == nil {
		return
	}
	id := bramleyfall.InstanceID(sender)
	delete(ask.waiting, id)
	ask.replies[id] = r
}

// QueryResult returns what the answers so far say.
func (n *Node) QueryResult(nonce uint64) Propagation {
	ask := n.asks[nonce]
	if ask == nil {
		return Propagation{}
	}
	s := Propagation{Instances: len(ask.waiting), Lagging: len(ask.waiting)}
	for id := range ask.waiting {
		s.addName(id)
	}
	for id, r := range ask.replies {
		if ask.waiting[id] {
			continue
		}
		s.Instances += int(r.Instances)
		s.Lagging += int(r.Lagging)
		for _, name := range r.Names {
			s.addName(bramleyfall.InstanceID(name))
		}
	}
	return s
}

func (s *Propagation) addName(id bramleyfall.InstanceID) {
	if len(s.Names) < maxNames {
		s.Names = append(s.Names, id)
	}
}
