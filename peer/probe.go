package peer

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// lostProbeShare is the share of probes that go to lost balancers, so that a
// healed cut is found: one in this many.
const lostProbeShare = 8

// prober asks other instances whether they live, first directly, then through
// others.
type prober struct {
	pending  map[uint64]*probe
	suspects map[bramleyfall.InstanceID]time.Time
	order    []bramleyfall.InstanceID
	round    uint64
	// pullMembers is a peer whose membership differs.
	pullMembers bramleyfall.Endpoint
}

type probe struct {
	target   bramleyfall.InstanceID
	due      time.Time
	indirect bool
}

func newProber() prober {
	return prober{
		pending:  make(map[uint64]*probe),
		suspects: make(map[bramleyfall.InstanceID]time.Time),
	}
}

// probeNext probes the next balancer in a shuffled order.
func (n *Node) probeNext(now time.Time) {
	n.probes.round++
	target := n.nextTarget()
	if target == nil {
		n.joinContacts()
		return
	}
	n.startProbe(target, now)
}

func (n *Node) nextTarget() *bramleyfall.Member {
	if n.probes.round%lostProbeShare == 0 {
		if m := n.randomLostBalancer(); m != nil {
			return m
		}
	}
	for range 2 {
		for len(n.probes.order) > 0 {
			id := n.probes.order[0]
			n.probes.order = n.probes.order[1:]
			if m := n.members.records[id]; m != nil && live(m) && id != n.self.ID {
				return m
			}
		}
		for _, m := range n.otherBalancers() {
			n.probes.order = append(n.probes.order, m.ID)
		}
		order := n.probes.order
		n.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	return nil
}

func (n *Node) randomLostBalancer() *bramleyfall.Member {
	var found *bramleyfall.Member
	count := 0
	for _, m := range n.members.records {
		if m.Role != bramleyfall.RoleBalancer || m.State != bramleyfall.MemberLost {
			continue
		}
		count++
		if n.random.IntN(count) == 0 {
			found = m
		}
	}
	return found
}

// joinContacts asks the contact points while no other balancer is known.
func (n *Node) joinContacts() {
	n.rumors.addMember(n.self.ID)
	if len(n.contact) == 0 {
		return
	}
	n.probes.pullMembers = n.contact[n.random.IntN(len(n.contact))]
}

func (n *Node) startProbe(target *bramleyfall.Member, now time.Time) {
	nonce := n.random.Uint64()
	n.probes.pending[nonce] = &probe{target: target.ID, due: now.Add(n.config.ProbeTimeout)}
	n.send(target.Control, probeMessage(&peerpb.Probe{Nonce: nonce}))
}

func probeMessage(p *peerpb.Probe) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_Probe{Probe: p}}
}

// probeAsked answers a probe, or passes it on to the target it names.
func (n *Node) probeAsked(from bramleyfall.Endpoint, p *peerpb.Probe) {
	if p.RelayTo != nil {
		n.send(toEndpoint(p.RelayTo), probeMessage(&peerpb.Probe{Nonce: p.Nonce, AnswerTo: fromEndpoint(from)}))
		return
	}
	to := from
	if p.AnswerTo != nil {
		to = toEndpoint(p.AnswerTo)
	}
	n.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_ProbeAck{ProbeAck: &peerpb.ProbeAck{Nonce: p.Nonce}}})
}

func (n *Node) probeAnswered(a *peerpb.ProbeAck) {
	p := n.probes.pending[a.Nonce]
	if p == nil {
		return
	}
	delete(n.probes.pending, a.Nonce)
	n.watch.answered(p.target, n.lastNews)
	if m := n.members.records[p.target]; m != nil && m.State == bramleyfall.MemberLost {
		// The target lives but does not know that it is called lost.
		n.rumors.addMember(p.target)
		n.send(m.Control, &peerpb.Datagram{Body: &peerpb.Datagram_Rumor{Rumor: &peerpb.Rumor{
			Members: []*peerpb.Member{fromMember(m)},
		}}})
	}
	delete(n.probes.suspects, p.target)
}

// probeTimeouts asks through other balancers after a silent direct probe, and
// judges after a silent indirect one.
func (n *Node) probeTimeouts(now time.Time) {
	for nonce, p := range n.probes.pending {
		if now.Before(p.due) {
			continue
		}
		m := n.members.records[p.target]
		switch {
		case m == nil || !live(m):
			delete(n.probes.pending, nonce)
		case !p.indirect:
			p.indirect = true
			p.due = now.Add(2 * n.config.ProbeTimeout)
			for _, through := range n.randomPeers(2) {
				n.send(through, probeMessage(&peerpb.Probe{Nonce: nonce, RelayTo: fromEndpoint(m.Control)}))
			}
			n.send(m.Control, probeMessage(&peerpb.Probe{Nonce: nonce}))
		default:
			delete(n.probes.pending, nonce)
			n.silent(m, now)
		}
	}
	n.judgeSuspects(now)
}

// silent handles an instance that answered neither directly nor through others.
func (n *Node) silent(m *bramleyfall.Member, now time.Time) {
	if n.Isolated(now) {
		return
	}
	if m.Role == bramleyfall.RoleAgent {
		n.declareLost(m)
		return
	}
	if _, ok := n.probes.suspects[m.ID]; ok {
		return
	}
	n.probes.suspects[m.ID] = now.Add(n.config.SuspectTimeout)
	n.startProbe(m, now)
}

// judgeSuspects calls suspects lost that stayed silent.
func (n *Node) judgeSuspects(now time.Time) {
	for id, due := range n.probes.suspects {
		if now.Before(due) {
			continue
		}
		delete(n.probes.suspects, id)
		if m := n.members.records[id]; m != nil && live(m) && !n.Isolated(now) {
			n.declareLost(m)
		}
	}
}

// declareLost tells the fleet that an instance stays silent.
func (n *Node) declareLost(m *bramleyfall.Member) {
	state, ok := nextState(m.State, eventSilent)
	if !ok {
		return
	}
	next := *m
	next.State = state
	next.Version++
	n.learn(next)
	n.watch.forget(m.ID)
}
