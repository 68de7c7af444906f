package caller

import (
	"cmp"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// openingTimeout is the time in which a caller completes an opening.
	openingTimeout = 5 * time.Second
	// closedLinger is the time for which a closed flow is kept.
	closedLinger = 10 * time.Second
	// udpTimeout is the time after which an idle UDP flow is forgotten.
	udpTimeout = 2 * time.Minute
	// absentAfter is the time for which a packet of a caller may go unanswered
	// while the upstream is absent.
	absentAfter = 2 * time.Second
	// firstRequest is the time in which an accepted flow that sends nothing
	// counts as waiting for the upstream.
	firstRequest = 2 * time.Second
)

// Sweep implements bramleyfall.PacketFilter. It ends openings that were not completed,
// probes ends that are silent and gives up flows whose ends stay so.
func (g *FlowFilter) Sweep(now time.Time) []bramleyfall.Action {
	g.warmedUp(now)
	actions := g.endLingering(now)
	at := g.millis(now)
	for key, f := range g.flows {
		if a, ok := g.sweepFlow(key, f, at); ok {
			actions = append(actions, a)
		}
	}
	return inOrder(actions)
}

// inOrder sorts actions by their flows, so that a gate does the same each time.
func inOrder(actions []bramleyfall.Action) []bramleyfall.Action {
	slices.SortStableFunc(actions, func(a, b bramleyfall.Action) int { return cmp.Compare(a.Flow.Hash(), b.Flow.Hash()) })
	return actions
}

func (g *FlowFilter) warmedUp(now time.Time) {
	if g.State() != UpstreamWarming {
		return
	}
	longest := g.config.WarmUp
	if len(g.services) > 0 {
		longest = 0
		for _, s := range g.services {
			longest = max(longest, s.warmUp)
		}
	}
	if now.Sub(g.upstream.started) >= longest {
		g.upstream.fire(eventWarmedUp)
	}
}

func (g *FlowFilter) sweepFlow(key bramleyfall.Flow, f *flow, at uint32) (bramleyfall.Action, bool) {
	caller, upstream := at-f.lastCaller, at-f.lastUpstream
	switch {
	case f.state == g.chart.Closed:
		if min(caller, upstream) > millis(closedLinger) {
			delete(g.flows, key)
		}
		return bramleyfall.Action{}, false
	case key.Protocol == bramleyfall.UDP:
		if min(caller, upstream) > millis(udpTimeout) {
			g.forget(key, f)
		}
		return bramleyfall.Action{}, false
	case f.state == g.chart.Opening || f.state == g.chart.HalfOpen:
		if caller <= millis(openingTimeout) {
			return bramleyfall.Action{}, false
		}
		return g.abandon(key, f), true
	}
	if f.waiting && !f.asked && caller > millis(firstRequest) {
		g.setWaiting(f, false)
	}
	return g.sweepSilent(key, f, caller, upstream)
}

// abandon frees the upstream of an opening that the caller did not complete,
// because another upstream's reply came first.
func (g *FlowFilter) abandon(key bramleyfall.Flow, f *flow) bramleyfall.Action {
	a := g.giveUp(key, f, bramleyfall.OpeningAbandoned, true)
	a.Kind = bramleyfall.ActionDrop
	a.ToCaller = nil
	g.forget(key, f)
	return a
}

func (g *FlowFilter) forget(key bramleyfall.Flow, f *flow) {
	g.fire(f, g.chart.Expired)
	delete(g.flows, key)
}

// sweepSilent probes an end that has sent nothing for half of the service's
// bound and gives the flow up at the bound.
func (g *FlowFilter) sweepSilent(key bramleyfall.Flow, f *flow, caller, upstream uint32) (bramleyfall.Action, bool) {
	bound := millis(f.service.silentAfter)
	silence := max(caller, upstream)
	unanswered := g.State() == UpstreamAbsent && upstream > caller+millis(absentAfter)
	if silence > bound || unanswered {
		a := g.giveUp(key, f, bramleyfall.FlowSilent, true)
		g.forget(key, f)
		return a, true
	}
	if silence <= bound/2 {
		return bramleyfall.Action{}, false
	}
	return g.probe(key, f, caller, upstream, bound/2), true
}

// probe returns keepalive probes (RFC 9293, section 3.8.4) for silent ends.
func (g *FlowFilter) probe(key bramleyfall.Flow, f *flow, caller, upstream, limit uint32) bramleyfall.Action {
	a := bramleyfall.Action{Kind: bramleyfall.ActionProbe, Flow: key}
	if caller > limit {
		a.ToCaller = &bramleyfall.Segment{
			Flow: key.Reverse(), Sequence: f.nextUpstream - 1, Ack: f.nextCaller, HasAck: true,
		}
	}
	if upstream > limit {
		a.ToUpstream = &bramleyfall.Segment{
			Flow: key, Sequence: f.nextCaller - 1, Ack: f.nextUpstream, HasAck: true,
		}
	}
	return a
}

func millis(d time.Duration) uint32 { return uint32(d.Milliseconds()) }
