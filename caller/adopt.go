package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// maxTrials bounds the flows that are tried on the upstream at once.
	maxTrials = 1024
	// maxKept bounds the packets that are kept for one trial.
	maxKept = 8
	// trialTimeout is the time for the upstream's answer.
	trialTimeout = 300 * time.Millisecond
)

// trial is a flow that an agent without a flow table asks its upstream about.
type trial struct {
	list bramleyfall.HopList
	kept [][]byte
	due  time.Time
	// next is the sequence number that follows the caller's last packet.
	next uint32
}

type trials map[bramleyfall.Flow]*trial

func newTrials() trials { return make(trials) }

// try asks the upstream by a keepalive probe whether it has the flow, and
// keeps the packet until it answers. A flow that the upstream does not have is
// passed on; the upstream's reset never reaches the caller.
func (g *FlowGate) try(p *bramleyfall.Packet, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	hold := bramleyfall.Action{Kind: bramleyfall.ActionDrop, Flow: p.Flow}
	t := g.trials[p.Flow]
	if t != nil {
		if len(t.kept) < maxKept {
			t.kept = append(t.kept, append([]byte(nil), p.Raw...))
		}
		return hold
	}
	if len(g.trials) >= maxTrials {
		return g.passOn(p, list, bramleyfall.NoOwner)
	}
	g.trials[p.Flow] = &trial{
		list: *list,
		kept: [][]byte{append([]byte(nil), p.Raw...)},
		due:  now.Add(trialTimeout),
		next: p.End(),
	}
	hold.ToUpstream = &bramleyfall.Segment{
		Flow: p.Flow, Sequence: p.Sequence - 1, Ack: p.Ack, HasAck: true,
	}
	return hold
}

// answerTrial handles an upstream's packet of a flow on trial.
func (g *FlowGate) answerTrial(p *bramleyfall.Packet, key bramleyfall.Flow, now time.Time) (bramleyfall.Action, bool) {
	t := g.trials[key]
	if t == nil {
		return bramleyfall.Action{}, false
	}
	if p.Kind != bramleyfall.KindReset {
		if s := g.service(key); s != nil {
			g.adopt(key, s, p, now)
			g.flows[key].nextCaller = t.next
		}
	}
	t.due = now
	return bramleyfall.Action{Kind: bramleyfall.ActionDrop, Flow: key, Opened: p.Kind != bramleyfall.KindReset}, true
}

// adopt takes a flow of the running upstream into the table.
func (g *FlowGate) adopt(key bramleyfall.Flow, s *service, p *bramleyfall.Packet, now time.Time) {
	at := g.millis(now)
	g.flows[key] = &flow{
		service: s, state: g.chart.established, lastCaller: at, lastUpstream: at,
		nextCaller: p.Ack, nextUpstream: p.End(),
	}
	g.live++
}

// Settle returns what is to be done with the kept packets of trials that have
// ended: deliver them, or pass them on.
func (g *FlowGate) Settle(now time.Time) []bramleyfall.Action {
	var actions []bramleyfall.Action
	for key, t := range g.trials {
		if now.Before(t.due) {
			continue
		}
		delete(g.trials, key)
		kind := bramleyfall.ActionDeliver
		if g.flows[key] == nil {
			kind = bramleyfall.ActionPass
		}
		for _, raw := range t.kept {
			list := t.list
			actions = append(actions, bramleyfall.Action{Kind: kind, Flow: key, Replay: raw, ReplayList: &list})
		}
	}
	return actions
}
