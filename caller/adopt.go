package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// maxTrials bounds the flows that are tried on the upstream at once.
	maxTrials = 1024
	// maxForeign bounds the flows that are remembered as not the upstream's.
	maxForeign = 65536
	// maxKept bounds the packets that are kept for one trial.
	maxKept = 8
	// trialTimeout is the time for the upstream's answer.
	trialTimeout = 300 * time.Millisecond
)

// trials are the flows that an agent without a flow table asks its upstream
// about.
type trials struct {
	open map[bramleyfall.Flow]*trial
	// foreign holds the flows that the upstream denied.
	foreign map[bramleyfall.Flow]bool
}

type trial struct {
	kept []keptPacket
	due  time.Time
}

// keptPacket is a packet that waits for the upstream's answer.
type keptPacket struct {
	packet bramleyfall.Packet
	list   bramleyfall.HopList
}

func newTrials() trials {
	return trials{open: make(map[bramleyfall.Flow]*trial), foreign: make(map[bramleyfall.Flow]bool)}
}

func (t *trials) deny(key bramleyfall.Flow) {
	if len(t.foreign) >= maxForeign {
		clear(t.foreign)
	}
	t.foreign[key] = true
}

// try asks the upstream by a keepalive probe whether it has the flow, and
// keeps the packet until it answers. A flow that the upstream does not have is
// passed on; the upstream's reset never reaches the caller.
func (g *FlowFilter) try(p *bramleyfall.Packet, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	t := g.trials.open[p.Flow]
	if g.trials.foreign[p.Flow] || t == nil && len(g.trials.open) >= maxTrials {
		return g.passOn(p, list, bramleyfall.NoOwner)
	}
	hold := bramleyfall.Action{Kind: bramleyfall.ActionDrop, Flow: p.Flow}
	if t == nil {
		t = &trial{due: now.Add(trialTimeout)}
		g.trials.open[p.Flow] = t
		hold.ToUpstream = &bramleyfall.Segment{
			Flow: p.Flow, Sequence: p.Sequence - 1, Ack: p.Ack, HasAck: true,
		}
	}
	if len(t.kept) < maxKept {
		kept := keptPacket{packet: *p, list: *list}
		kept.packet.Raw = append([]byte(nil), p.Raw...)
		t.kept = append(t.kept, kept)
	}
	return hold
}

// answerTrial handles an upstream's packet of a flow on trial.
func (g *FlowFilter) answerTrial(p *bramleyfall.Packet, key bramleyfall.Flow, now time.Time) (bramleyfall.Action, bool) {
	t := g.trials.open[key]
	if t == nil {
		return bramleyfall.Action{}, false
	}
	t.due = now
	answer := bramleyfall.Action{Kind: bramleyfall.ActionDrop, Flow: key}
	s := g.service(key)
	if p.Kind == bramleyfall.KindReset || s == nil {
		g.trials.deny(key)
		return answer, true
	}
	g.adopt(key, s, p, now)
	answer.Opened = true
	return answer, true
}

// adopt takes a flow of the running upstream into the table. A reply to an
// opening may have reached the caller already, so that its flow is kept too.
func (g *FlowFilter) adopt(key bramleyfall.Flow, s *service, p *bramleyfall.Packet, now time.Time) {
	at := g.millis(now)
	f := &flow{
		service: s, state: g.chart.Established, lastCaller: at, lastUpstream: at,
		nextCaller: p.Ack, nextUpstream: p.End(),
	}
	switch p.Kind {
	case bramleyfall.KindOpeningReply:
		f.state = g.chart.HalfOpen
		f.upstreamStart = p.Sequence
	case bramleyfall.KindFinish:
		g.fire(f, g.chart.UpstreamFin)
	}
	g.flows[key] = f
	g.live++
}

// Settle returns what is to be done with the kept packets of trials that have
// ended: deliver them, or pass them on.
func (g *FlowFilter) Settle(now time.Time) []bramleyfall.Action {
	var actions []bramleyfall.Action
	for key, t := range g.trials.open {
		if now.Before(t.due) {
			continue
		}
		delete(g.trials.open, key)
		for i := range t.kept {
			actions = append(actions, g.settle(&t.kept[i], now))
		}
	}
	return inOrder(actions)
}

func (g *FlowFilter) settle(kept *keptPacket, now time.Time) bramleyfall.Action {
	var a bramleyfall.Action
	if f := g.flows[kept.packet.Flow]; f != nil {
		a = g.known(&kept.packet, f, &kept.list, now)
	} else {
		a = g.passOn(&kept.packet, &kept.list, bramleyfall.NoOwner)
	}
	a.HeldPacket = kept.packet.Raw
	a.HeldHopList = &kept.list
	return a
}
