package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/chart"
)

const (
	// shedPause is the time after a shed in which a warming upstream gets half
	// of its limit.
	shedPause = 2 * time.Second
	// answerTime is the time for which a flow counts as being answered after a
	// packet of the upstream.
	answerTime = 300 * time.Millisecond
	// goneAfter is the time without a packet of the upstream after which a
	// failing health endpoint is believed.
	goneAfter = time.Second
)

// lifecycle is the state of the upstream beside the agent.
type lifecycle struct {
	chart      *chart.Chart
	state      chart.ID
	boot       bramleyfall.BootID
	started    time.Time
	adoptUntil time.Time
	lastShed   time.Time
	lastPacket time.Time
}

func newLifecycle(c *chart.Chart) lifecycle {
	return lifecycle{chart: c, state: c.State(string(UpstreamAbsent))}
}

func (l *lifecycle) name() UpstreamState { return UpstreamState(l.chart.StateName(l.state)) }

func (l *lifecycle) fire(event upstreamEvent) bool {
	next, ok := l.chart.Fire(l.state, l.chart.Event(string(event)))
	l.state = next
	return ok
}

// adopting reports whether flows of the running upstream may be unknown.
func (l *lifecycle) adopting(now time.Time) bool { return now.Before(l.adoptUntil) }

// shed notes that the upstream refused an opening.
func (l *lifecycle) shed(now time.Time) { l.lastShed = now }

// limit returns how many flows may wait for an answer while the upstream warms
// up: it rises from 1 to slots in the time warmUp and is halved after a shed.
func (l *lifecycle) limit(slots int, warmUp time.Duration, now time.Time) int {
	n := int(float64(slots) * float64(now.Sub(l.started)) / float64(warmUp))
	if now.Sub(l.lastShed) < shedPause {
		n /= 2
	}
	return max(1, min(n, slots))
}

// UpstreamStarted tells the gate that a run of the upstream takes flows: its
// boot id and when it started. A run that is older than the agent may hold
// flows that the agent does not know. The actions reset the flows of an earlier
// run.
func (g *FlowGate) UpstreamStarted(boot bramleyfall.BootID, started, now time.Time) []bramleyfall.Action {
	if boot == g.upstream.boot {
		if g.State() == UpstreamAbsent {
			g.upstream.fire(eventStarted)
		}
		return nil
	}
	var actions []bramleyfall.Action
	if g.upstream.boot != 0 {
		actions = g.resetAll(bramleyfall.UpstreamRestart, false)
	}
	g.upstream.boot = boot
	g.upstream.started = started
	if started.Before(g.epoch) {
		g.upstream.adoptUntil = now.Add(g.config.Adoption)
	}
	g.upstream.fire(eventStarted)
	return actions
}

// UpstreamGone tells the gate that the upstream's health endpoint does not
// answer. An endpoint can mislead: unless its process is known to be dead, an
// upstream that sends packets is not gone. Flows stay until they go unanswered
// or another run is there.
func (g *FlowGate) UpstreamGone(dead bool, now time.Time) {
	if dead || now.Sub(g.upstream.lastPacket) > goneAfter {
		g.upstream.fire(eventGone)
	}
}

// SetDraining starts or ends the draining of the upstream.
func (g *FlowGate) SetDraining(draining bool, now time.Time) {
	if draining {
		g.upstream.fire(eventDrained)
		return
	}
	if g.upstream.fire(eventReturned) {
		g.upstream.started = now
	}
}

// SetDomain tells the gate the state of its failure domain. When the domain is
// taken out, the actions reset all flows at both ends, but for those that wait
// for an answer: they have until the given time.
func (g *FlowGate) SetDomain(state bramleyfall.DomainState, until, now time.Time) []bramleyfall.Action {
	if state == g.domain {
		return nil
	}
	g.domain = state
	g.lingerUntil = time.Time{}
	if state == bramleyfall.DomainIn {
		return nil
	}
	if !now.Before(until) {
		return g.resetAll(bramleyfall.NotRunDomainOut, true)
	}
	g.lingerUntil = until
	return g.endLingering(now)
}

// endLingering gives up the flows of a failure domain out of service that wait
// for nothing, and all of them when the time is over.
func (g *FlowGate) endLingering(now time.Time) []bramleyfall.Action {
	if g.lingerUntil.IsZero() {
		return nil
	}
	if !now.Before(g.lingerUntil) {
		g.lingerUntil = time.Time{}
		return g.resetAll(bramleyfall.NotRunDomainOut, true)
	}
	var actions []bramleyfall.Action
	at := g.millis(now)
	for _, key := range g.sortedFlows() {
		f := g.flows[key]
		answering := f.waiting || f.asked && at-f.lastUpstream < millis(answerTime)
		if answering || f.state == g.chart.Closed || key.Protocol != bramleyfall.TCP {
			continue
		}
		actions = append(actions, g.giveUp(key, f, bramleyfall.NotRunDomainOut, true))
		g.forget(key, f)
	}
	return actions
}

// resetAll gives up all flows.
func (g *FlowGate) resetAll(code bramleyfall.ResultCode, upstreamToo bool) []bramleyfall.Action {
	var actions []bramleyfall.Action
	for _, key := range g.sortedFlows() {
		f := g.flows[key]
		if f.state != g.chart.Closed && key.Protocol == bramleyfall.TCP {
			actions = append(actions, g.giveUp(key, f, code, upstreamToo))
		}
		g.fire(f, g.chart.Reset)
		delete(g.flows, key)
	}
	return actions
}

// giveUp returns the resets for the ends of a flow.
func (g *FlowGate) giveUp(key bramleyfall.Flow, f *flow, code bramleyfall.ResultCode, upstreamToo bool) bramleyfall.Action {
	a := bramleyfall.Action{
		Kind: bramleyfall.ActionReset, Code: code, Flow: key,
		ToCaller: &bramleyfall.Segment{
			Flow: key.Reverse(), Sequence: f.nextUpstream, Ack: f.nextCaller, HasAck: true, Reset: true,
		},
	}
	if upstreamToo {
		a.ToUpstream = &bramleyfall.Segment{
			Flow: key, Sequence: f.nextCaller, Ack: f.nextUpstream, HasAck: true, Reset: true,
		}
	}
	return a
}
