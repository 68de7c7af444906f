package peer

import (
	"cmp"
	"maps"
	"slices"
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
	pending map[uint64]*probe
	// relayed holds for whom a probe was sent on, by nonce.
	relayed  map[uint64]relayedProbe
	suspects map[bramleyfall.InstanceID]time.Time
	order    []bramleyfall.InstanceID
	round    uint64
	// pullMembers is a peer whose membership differs.
	pullMembers bramleyfall.Endpoint
}

type relayedProbe struct {
	asker bramleyfall.Endpoint
	due   time.Time
}

type probe struct {
	target   bramleyfall.InstanceID
	due      time.Time
	indirect bool
}

func newProber() prober {
	return prober{
		pending:  make(map[uint64]*probe),
		relayed:  make(map[uint64]relayedProbe),
		suspects: make(map[bramleyfall.InstanceID]time.Time),
	}
}

// probeEvery returns the time between two probes. In a small fleet each balancer
// is probed by few, so that they probe more often.
func (n *Node) probeEvery() time.Duration {
	const (
		full   = 10
		fewest = 3
	)
	others := min(max(n.members.countBalancers()-1, fewest), full)
	return n.config.ProbeEvery * time.Duration(others) / full
}

// probeNext probes the next balancer in a shuffled order.
func (n *Node) probeNext(now time.Time) {
	n.probes.round++
	if len(n.members.orphaned) > 0 {
		if m := n.randomLostBalancer(); m != nil {
			n.startProbe(m, now)
		}
	}
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
	var lost []*bramleyfall.Member
	for _, m := range n.members.records {
		if m.Role == bramleyfall.RoleBalancer && m.State == bramleyfall.MemberLost {
			lost = append(lost, m)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	slices.SortFunc(lost, compareIDs)
	return lost[n.random.IntN(len(lost))]
}

// sortedKeys returns the keys in order, so that a node does the same each time
// with the same seed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

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

// probeAsked answers a probe, or sends it on to the target that it names. The
// answer comes back the same way, since the asker may not reach the target.
func (n *Node) probeAsked(from bramleyfall.Endpoint, p *peerpb.Probe, now time.Time) {
	if p.RelayTo == nil {
		n.send(from, probeAck(p.Nonce))
		return
	}
	n.probes.relayed[p.Nonce] = relayedProbe{asker: from, due: now.Add(4 * n.config.ProbeTimeout)}
	n.send(toEndpoint(p.RelayTo), probeMessage(&peerpb.Probe{Nonce: p.Nonce}))
}

func probeAck(nonce uint64) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_ProbeAck{ProbeAck: &peerpb.ProbeAck{Nonce: nonce}}}
}

func (n *Node) probeAnswered(a *peerpb.ProbeAck) {
	if r, ok := n.probes.relayed[a.Nonce]; ok {
		delete(n.probes.relayed, a.Nonce)
		n.send(r.asker, probeAck(a.Nonce))
		return
	}
	p := n.probes.pending[a.Nonce]
	if p == nil {
		return
	}
	delete(n.probes.pending, a.Nonce)
	delete(n.probes.suspects, p.target)
	n.watch.answered(p.target, n.lastNews)
}

// probeTimeouts asks through other balancers after a silent direct probe, and
// judges after a silent indirect one.
func (n *Node) probeTimeouts(now time.Time) {
	for _, nonce := range sortedKeys(n.probes.pending) {
		p := n.probes.pending[nonce]
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
			for _, through := range n.helpers(m) {
				n.send(through, probeMessage(&peerpb.Probe{Nonce: nonce, RelayTo: fromEndpoint(m.Control)}))
			}
			n.send(m.Control, probeMessage(&peerpb.Probe{Nonce: nonce}))
		default:
			delete(n.probes.pending, nonce)
			n.silent(m, now)
		}
	}
	for nonce, r := range n.probes.relayed {
		if now.After(r.due) {
			delete(n.probes.relayed, nonce)
		}
	}
	n.judgeSuspects(now)
}

// helpers returns one random balancer of each failure domain, the target
// excepted: a path that failed for this node may be open from elsewhere.
func (n *Node) helpers(target *bramleyfall.Member) []bramleyfall.Endpoint {
	var out []bramleyfall.Endpoint
	for _, name := range n.members.domains() {
		list := n.members.balancers[name]
		if len(list) == 0 {
			continue
		}
		if m := list[n.random.IntN(len(list))]; m.ID != n.self.ID && m.ID != target.ID {
			out = append(out, m.Control)
		}
	}
	return out
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
	for _, id := range sortedKeys(n.probes.suspects) {
		if now.Before(n.probes.suspects[id]) {
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
