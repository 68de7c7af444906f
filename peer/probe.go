package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// probesPerLostProbe is the number of probes of which one goes to a lost
// balancer, so that the end of a network partition is detected.
const probesPerLostProbe = 8

// prober holds the state of the failure detector, which probes instances
// directly and then indirectly through other balancers.
type prober struct {
	// pending holds the unacknowledged probes of this node by nonce.
	pending map[uint64]*probe
	// relayed holds the probes relayed for other balancers by nonce.
	relayed map[uint64]relayedProbe
	// suspects holds the time at which each suspected balancer is declared
	// lost.
	suspects map[bramleyfall.InstanceID]time.Time
	// probeOrder holds the balancers left to probe in the current shuffled
	// pass.
	probeOrder []bramleyfall.InstanceID
	probeCount uint64
	// membershipPeer is the balancer to pull the membership from, or zero.
	membershipPeer bramleyfall.Endpoint
}

type relayedProbe struct {
	requester bramleyfall.Endpoint
	deadline  time.Time
}

type probe struct {
	target   bramleyfall.InstanceID
	deadline time.Time
	indirect bool
}

func newProber() prober {
	return prober{
		pending:  make(map[uint64]*probe),
		relayed:  make(map[uint64]relayedProbe),
		suspects: make(map[bramleyfall.InstanceID]time.Time),
	}
}

// probeInterval returns the time between two probes. In a small deployment, each
// balancer is probed by few others, so they probe more often.
func (n *Node) probeInterval() time.Duration {
	const (
		fullRateCount = 10
		minCount      = 3
	)
	others := min(max(n.members.countBalancers()-1, minCount), fullRateCount)
	return n.config.ProbeInterval * time.Duration(others) / fullRateCount
}

// sendNextProbe probes the next balancer and, while a failure domain is
// orphaned, also a lost one. If there is no balancer to probe, the node tries
// to join through a contact.
func (n *Node) sendNextProbe(now time.Time) {
	n.probes.probeCount++
	if len(n.members.orphaned) > 0 {
		if m := n.randomLostBalancer(); m != nil {
			n.startProbe(m, now)
		}
	}
	target := n.nextTarget()
	if target == nil {
		n.joinThroughContact()
		return
	}
	n.startProbe(target, now)
}

// nextTarget returns the next balancer to probe, or nil. It goes through all
// live balancers in shuffled order before any is probed again.
func (n *Node) nextTarget() *bramleyfall.Member {
	if n.probes.probeCount%probesPerLostProbe == 0 {
		if m := n.randomLostBalancer(); m != nil {
			return m
		}
	}
	for range 2 {
		for len(n.probes.probeOrder) > 0 {
			id := n.probes.probeOrder[0]
			n.probes.probeOrder = n.probes.probeOrder[1:]
			if m := n.members.records[id]; m != nil && live(m) && id != n.self.ID {
				return m
			}
		}
		for _, m := range n.otherBalancers() {
			n.probes.probeOrder = append(n.probes.probeOrder, m.ID)
		}
		order := n.probes.probeOrder
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

// sortedKeys returns the keys of m in order. The fixed order keeps a node
// deterministic for a given seed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// joinThroughContact queues the node's own record for gossip and schedules a
// pull of the membership from a random contact.
func (n *Node) joinThroughContact() {
	n.updates.addMember(n.self.ID)
	if len(n.contacts) == 0 {
		return
	}
	n.probes.membershipPeer = n.contacts[n.random.IntN(len(n.contacts))]
}

func (n *Node) startProbe(target *bramleyfall.Member, now time.Time) {
	nonce := n.random.Uint64()
	n.probes.pending[nonce] = &probe{target: target.ID, deadline: now.Add(n.config.ProbeTimeout)}
	n.send(target.Control, probeMessage(&peerpb.Probe{Nonce: nonce}))
}

func probeMessage(p *peerpb.Probe) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_Probe{Probe: p}}
}

// handleProbe acknowledges a probe, or relays it if it names another target.
// The acknowledgement of a relayed probe returns through this node, since the
// requester may not be able to reach the target.
func (n *Node) handleProbe(from bramleyfall.Endpoint, p *peerpb.Probe, now time.Time) {
	if p.RelayTo == nil {
		n.send(from, probeAck(p.Nonce))
		return
	}
	n.probes.relayed[p.Nonce] = relayedProbe{requester: from, deadline: now.Add(4 * n.config.ProbeTimeout)}
	n.send(toEndpoint(p.RelayTo), probeMessage(&peerpb.Probe{Nonce: p.Nonce}))
}

func probeAck(nonce uint64) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_ProbeAck{ProbeAck: &peerpb.ProbeAck{Nonce: nonce}}}
}

// handleProbeAck passes the acknowledgement of a relayed probe on to its
// requester, or else marks the target of the probe as responsive.
func (n *Node) handleProbeAck(ack *peerpb.ProbeAck) {
	if r, ok := n.probes.relayed[ack.Nonce]; ok {
		delete(n.probes.relayed, ack.Nonce)
		n.send(r.requester, probeAck(ack.Nonce))
		return
	}
	p := n.probes.pending[ack.Nonce]
	if p == nil {
		return
	}
	delete(n.probes.pending, ack.Nonce)
	delete(n.probes.suspects, p.target)
	n.agents.markResponsive(p.target, n.lastReceived)
}

// checkProbeTimeouts sends indirect probes for direct probes that timed out,
// and treats the target as unresponsive when those time out too.
func (n *Node) checkProbeTimeouts(now time.Time) {
	for _, nonce := range sortedKeys(n.probes.pending) {
		p := n.probes.pending[nonce]
		if now.Before(p.deadline) {
			continue
		}
		m := n.members.records[p.target]
		switch {
		case m == nil || !live(m):
			delete(n.probes.pending, nonce)
		case !p.indirect:
			p.indirect = true
			p.deadline = now.Add(2 * n.config.ProbeTimeout)
			for _, relay := range n.relays(m) {
				n.send(relay, probeMessage(&peerpb.Probe{Nonce: nonce, RelayTo: fromEndpoint(m.Control)}))
			}
			n.send(m.Control, probeMessage(&peerpb.Probe{Nonce: nonce}))
		default:
			delete(n.probes.pending, nonce)
			n.handleUnresponsive(m, now)
		}
	}
	for nonce, r := range n.probes.relayed {
		if now.After(r.deadline) {
			delete(n.probes.relayed, nonce)
		}
	}
	n.expireSuspicions(now)
}

// relays returns a random balancer of each failure domain, without the target
// and this node. The network path from another domain to the target may work
// when the one from this node does not.
func (n *Node) relays(target *bramleyfall.Member) []bramleyfall.Endpoint {
	var endpoints []bramleyfall.Endpoint
	for _, name := range n.members.domains() {
		list := n.members.balancers[name]
		if len(list) == 0 {
			continue
		}
		if m := list[n.random.IntN(len(list))]; m.ID != n.self.ID && m.ID != target.ID {
			endpoints = append(endpoints, m.Control)
		}
	}
	return endpoints
}

// handleUnresponsive handles an instance that acknowledged neither direct nor
// indirect probes. An agent is declared lost at once, a balancer is suspected
// and probed once more. An isolated node does neither.
func (n *Node) handleUnresponsive(m *bramleyfall.Member, now time.Time) {
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

// expireSuspicions declares balancers lost whose suspicion has timed out.
func (n *Node) expireSuspicions(now time.Time) {
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

// declareLost marks an instance as lost and queues its record for gossip.
func (n *Node) declareLost(m *bramleyfall.Member) {
	state, ok := nextState(m.State, eventSilent)
	if !ok {
		return
	}
	lost := *m
	lost.State = state
	lost.Version++
	n.mergeMember(lost)
	n.agents.remove(m.ID)
}
