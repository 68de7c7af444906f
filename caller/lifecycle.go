package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/chart"
)

const (
	// shedBackoff is the time for which the limit of a warming upstream is halved
	// after it refused an opening.
	shedBackoff = 2 * time.Second
	// responseQuietPeriod is the time without a packet of the upstream after which
	// its response is considered complete.
	responseQuietPeriod = 300 * time.Millisecond
	// aliveAfterPacket is the time for which an upstream that sent a packet is
	// considered alive even though its health endpoint does not respond.
	aliveAfterPacket = time.Second
)

// lifecycle is the state of the agent's upstream.
type lifecycle struct {
	chart        *chart.Chart
	state        chart.ID
	boot         bramleyfall.BootID
	started      time.Time
	recoverUntil time.Time
	lastShed     time.Time
	lastPacket   time.Time
}

func newLifecycle(c *chart.Chart) lifecycle {
	return lifecycle{chart: c, state: c.State(string(UpstreamAbsent))}
}

func (l *lifecycle) current() UpstreamState { return UpstreamState(l.chart.StateName(l.state)) }

func (l *lifecycle) fire(event upstreamEvent) bool {
	next, ok := l.chart.Fire(l.state, l.chart.Event(string(event)))
	l.state = next
	return ok
}

// recovering reports whether the upstream may have flows that are not in the flow
// table because they are older than the agent.
func (l *lifecycle) recovering(now time.Time) bool { return now.Before(l.recoverUntil) }

// recordShed records that the upstream refused an opening.
func (l *lifecycle) recordShed(now time.Time) { l.lastShed = now }

// warmUpLimit returns the maximum number of flows awaiting a response while the
// upstream warms up. It rises linearly from 1 to slots over the duration warmUp
// and is halved for shedBackoff after the upstream refused an opening.
func (l *lifecycle) warmUpLimit(slots int, warmUp time.Duration, now time.Time) int {
	n := int(float64(slots) * float64(now.Sub(l.started)) / float64(warmUp))
	if now.Sub(l.lastShed) < shedBackoff {
		n /= 2
	}
	return max(1, min(n, slots))
}

// UpstreamStarted tells the filter that the upstream with the given boot id and
// start time accepts flows. An upstream that is older than the agent may have
// flows that are not in the flow table. If the upstream was restarted, the
// returned actions reset the flows of its previous process.
func (ff *FlowFilter) UpstreamStarted(boot bramleyfall.BootID, started, now time.Time) []bramleyfall.Action {
	if boot == ff.upstream.boot {
		if ff.State() == UpstreamAbsent {
			ff.upstream.fire(eventStarted)
		}
		return nil
	}
	var actions []bramleyfall.Action
	if ff.upstream.boot != 0 {
		actions = ff.resetAllFlows(bramleyfall.UpstreamRestart, false)
	}
	ff.upstream.boot = boot
	ff.upstream.started = started
	if started.Before(ff.epoch) {
		ff.upstream.recoverUntil = now.Add(ff.config.RecoveryPeriod)
	}
	ff.upstream.fire(eventStarted)
	return actions
}

// UpstreamGone tells the filter that the upstream's health endpoint does not
// respond. A health check can be wrong: unless the process is known to be dead, an
// upstream that still sends packets is not considered absent. Flows are kept until
// their packets go unanswered or the upstream is restarted.
func (ff *FlowFilter) UpstreamGone(dead bool, now time.Time) {
	if dead || now.Sub(ff.upstream.lastPacket) > aliveAfterPacket {
		ff.upstream.fire(eventGone)
	}
}

// SetDraining starts or stops draining the upstream.
func (ff *FlowFilter) SetDraining(draining bool, now time.Time) {
	if draining {
		ff.upstream.fire(eventDrained)
		return
	}
	if ff.upstream.fire(eventReturned) {
		ff.upstream.started = now
	}
}

// SetDomain sets the state of the failure domain. If the domain goes out of
// service, the returned actions reset all flows at both ends, except for flows
// awaiting a response: these are reset by Sweep once the response is complete, or
// at the time until.
func (ff *FlowFilter) SetDomain(state bramleyfall.DomainState, until, now time.Time) []bramleyfall.Action {
	if state == ff.domain {
		return nil
	}
	ff.domain = state
	ff.graceUntil = time.Time{}
	if state == bramleyfall.DomainIn {
		return nil
	}
	if !now.Before(until) {
		return ff.resetAllFlows(bramleyfall.NotRunDomainOut, true)
	}
	ff.graceUntil = until
	return ff.resetIdleFlows(now)
}

// resetIdleFlows resets the flows of a failure domain out of service that do not
// await a response, and all remaining flows after graceUntil.
func (ff *FlowFilter) resetIdleFlows(now time.Time) []bramleyfall.Action {
	if ff.graceUntil.IsZero() {
		return nil
	}
	if !now.Before(ff.graceUntil) {
		ff.graceUntil = time.Time{}
		return ff.resetAllFlows(bramleyfall.NotRunDomainOut, true)
	}
	var actions []bramleyfall.Action
	at := ff.millis(now)
	for _, key := range ff.sortedFlows() {
		f := ff.flows[key]
		responding := f.pending || f.requestSeen && at-f.lastFromUpstream < millis(responseQuietPeriod)
		if responding || f.state == ff.chart.Closed || key.Protocol != bramleyfall.TCP {
			continue
		}
		actions = append(actions, ff.resetFlow(key, f, bramleyfall.NotRunDomainOut, true))
		ff.expire(key, f)
	}
	return actions
}

// resetAllFlows removes all flows and returns the resets for open TCP flows.
func (ff *FlowFilter) resetAllFlows(code bramleyfall.ResultCode, resetUpstream bool) []bramleyfall.Action {
	var actions []bramleyfall.Action
	for _, key := range ff.sortedFlows() {
		f := ff.flows[key]
		if f.state != ff.chart.Closed && key.Protocol == bramleyfall.TCP {
			actions = append(actions, ff.resetFlow(key, f, code, resetUpstream))
		}
		ff.fire(f, ff.chart.Reset)
		delete(ff.flows, key)
	}
	return actions
}

// resetFlow returns the resets for the caller and, with resetUpstream, for the
// upstream of a flow.
func (ff *FlowFilter) resetFlow(key bramleyfall.Flow, f *flow, code bramleyfall.ResultCode, resetUpstream bool) bramleyfall.Action {
	a := bramleyfall.Action{
		Kind: bramleyfall.ActionReset, Code: code, Flow: key,
		ToCaller: &bramleyfall.Segment{
			Flow: key.Reverse(), Sequence: f.upstreamNextSeq, Ack: f.callerNextSeq, HasAck: true, Reset: true,
		},
	}
	if resetUpstream {
		a.ToUpstream = &bramleyfall.Segment{
			Flow: key, Sequence: f.callerNextSeq, Ack: f.upstreamNextSeq, HasAck: true, Reset: true,
		}
	}
	return a
}
