package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// maxOwnershipChecks limits the number of concurrent ownership checks.
	maxOwnershipChecks = 1024
	// maxNotOwned limits the number of flows remembered as not owned by the
	// upstream.
	maxNotOwned = 65536
	// maxHeldPackets limits the number of packets held during one check.
	maxHeldPackets = 8
	// ownershipCheckTimeout is the time within which the upstream must respond to
	// the probe of an ownership check.
	ownershipCheckTimeout = 300 * time.Millisecond
)

// ownershipChecks are used by a restarted agent, whose flow table is empty, to
// find out which flows its upstream has.
type ownershipChecks struct {
	pending map[bramleyfall.Flow]*ownershipCheck
	// notOwned holds the flows for which the upstream responded with a reset or
	// whose service it does not serve.
	notOwned map[bramleyfall.Flow]bool
}

// ownershipCheck is the check of one flow.
type ownershipCheck struct {
	held     []heldPacket
	deadline time.Time
}

// heldPacket is a caller's packet held until an ownership check ends.
type heldPacket struct {
	packet bramleyfall.Packet
	list   bramleyfall.HopList
}

func newOwnershipChecks() ownershipChecks {
	return ownershipChecks{pending: make(map[bramleyfall.Flow]*ownershipCheck), notOwned: make(map[bramleyfall.Flow]bool)}
}

func (c *ownershipChecks) markNotOwned(key bramleyfall.Flow) {
	if len(c.notOwned) >= maxNotOwned {
		clear(c.notOwned)
	}
	c.notOwned[key] = true
}

// checkOwnership sends a keepalive probe to the upstream to find out whether it
// has the flow, and holds the packet until the upstream responds. If the upstream
// does not have the flow, the packet is forwarded and the upstream's reset is not
// sent to the caller.
func (ff *FlowFilter) checkOwnership(p *bramleyfall.Packet, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	check := ff.checks.pending[p.Flow]
	if ff.checks.notOwned[p.Flow] || check == nil && len(ff.checks.pending) >= maxOwnershipChecks {
		return ff.forward(p, list, bramleyfall.NoOwner)
	}
	hold := bramleyfall.Action{Kind: bramleyfall.ActionDrop, Flow: p.Flow}
	if check == nil {
		check = &ownershipCheck{deadline: now.Add(ownershipCheckTimeout)}
		ff.checks.pending[p.Flow] = check
		hold.ToUpstream = &bramleyfall.Segment{
			Flow: p.Flow, Sequence: p.Sequence - 1, Ack: p.Ack, HasAck: true,
		}
	}
	if len(check.held) < maxHeldPackets {
		held := heldPacket{packet: *p, list: *list}
		held.packet.Raw = append([]byte(nil), p.Raw...)
		check.held = append(check.held, held)
	}
	return hold
}

// completeCheck handles an upstream's packet of a flow with a pending ownership
// check. It reports whether there was one.
func (ff *FlowFilter) completeCheck(p *bramleyfall.Packet, key bramleyfall.Flow, now time.Time) (bramleyfall.Action, bool) {
	check := ff.checks.pending[key]
	if check == nil {
		return bramleyfall.Action{}, false
	}
	check.deadline = now
	action := bramleyfall.Action{Kind: bramleyfall.ActionDrop, Flow: key}
	s := ff.service(key)
	if p.Kind == bramleyfall.KindReset || s == nil {
		ff.checks.markNotOwned(key)
		return action, true
	}
	ff.recoverFlow(key, s, p, now)
	action.Opened = true
	return action, true
}

// recoverFlow adds a flow of the running upstream to the flow table. An opening
// reply recovers a half-open flow, because the caller may already have received a
// copy of the reply.
func (ff *FlowFilter) recoverFlow(key bramleyfall.Flow, s *service, p *bramleyfall.Packet, now time.Time) {
	at := ff.millis(now)
	f := &flow{
		service: s, state: ff.chart.Established, lastFromCaller: at, lastFromUpstream: at,
		callerNextSeq: p.Ack, upstreamNextSeq: p.End(),
	}
	switch p.Kind {
	case bramleyfall.KindOpeningReply:
		f.state = ff.chart.HalfOpen
		f.upstreamISN = p.Sequence
	case bramleyfall.KindFinish:
		ff.fire(f, ff.chart.UpstreamFin)
	}
	ff.flows[key] = f
	ff.openFlows++
}

// Settle returns the actions for the held packets of ownership checks that were
// answered or have timed out: they are delivered or forwarded.
func (ff *FlowFilter) Settle(now time.Time) []bramleyfall.Action {
	var actions []bramleyfall.Action
	for key, check := range ff.checks.pending {
		if now.Before(check.deadline) {
			continue
		}
		delete(ff.checks.pending, key)
		for i := range check.held {
			actions = append(actions, ff.releaseHeld(&check.held[i], now))
		}
	}
	return sortByFlow(actions)
}

func (ff *FlowFilter) releaseHeld(held *heldPacket, now time.Time) bramleyfall.Action {
	var a bramleyfall.Action
	if f := ff.flows[held.packet.Flow]; f != nil {
		a = ff.handleKnownFlow(&held.packet, f, &held.list, now)
	} else {
		a = ff.forward(&held.packet, &held.list, bramleyfall.NoOwner)
	}
	a.HeldPacket = held.packet.Raw
	a.HeldHopList = &held.list
	return a
}
