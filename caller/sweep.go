package caller

import (
	"cmp"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// openingTimeout is the time within which a caller must complete an opening.
	openingTimeout = 5 * time.Second
	// closedRetention is the time for which an idle closed flow is kept.
	closedRetention = 10 * time.Second
	// udpTimeout is the time after which an idle UDP flow is removed.
	udpTimeout = 2 * time.Minute
	// unansweredTimeout is the maximum time by which the last packet of the caller
	// may be later than that of the upstream while the upstream is absent. Beyond it
	// the caller's packets are considered unanswered.
	unansweredTimeout = 2 * time.Second
	// firstRequestTimeout is the time for which an accepted flow without a request
	// counts as awaiting a response.
	firstRequestTimeout = 2 * time.Second
)

// Sweep implements bramleyfall.PacketFilter. It ends openings that were not
// completed in time, probes silent ends, and resets flows whose ends stay silent.
func (ff *FlowFilter) Sweep(now time.Time) []bramleyfall.Action {
	ff.updateWarmUp(now)
	actions := ff.resetIdleFlows(now)
	at := ff.millis(now)
	for key, f := range ff.flows {
		if a, ok := ff.sweepFlow(key, f, at); ok {
			actions = append(actions, a)
		}
	}
	return sortByFlow(actions)
}

// sortByFlow sorts actions by flow hash, which keeps the output deterministic.
func sortByFlow(actions []bramleyfall.Action) []bramleyfall.Action {
	slices.SortStableFunc(actions, func(a, b bramleyfall.Action) int { return cmp.Compare(a.Flow.Hash(), b.Flow.Hash()) })
	return actions
}

// updateWarmUp ends the warm-up of the upstream after the longest warm-up time of
// its services.
func (ff *FlowFilter) updateWarmUp(now time.Time) {
	if ff.State() != UpstreamWarming {
		return
	}
	longest := ff.config.WarmUp
	if len(ff.services) > 0 {
		longest = 0
		for _, s := range ff.services {
			longest = max(longest, s.warmUp)
		}
	}
	if now.Sub(ff.upstream.started) >= longest {
		ff.upstream.fire(eventWarmedUp)
	}
}

func (ff *FlowFilter) sweepFlow(key bramleyfall.Flow, f *flow, at uint32) (bramleyfall.Action, bool) {
	callerIdle, upstreamIdle := at-f.lastFromCaller, at-f.lastFromUpstream
	switch {
	case f.state == ff.chart.Closed:
		if min(callerIdle, upstreamIdle) > millis(closedRetention) {
			delete(ff.flows, key)
		}
		return bramleyfall.Action{}, false
	case key.Protocol == bramleyfall.UDP:
		if min(callerIdle, upstreamIdle) > millis(udpTimeout) {
			ff.expire(key, f)
		}
		return bramleyfall.Action{}, false
	case f.state == ff.chart.Opening || f.state == ff.chart.HalfOpen:
		if callerIdle <= millis(openingTimeout) {
			return bramleyfall.Action{}, false
		}
		return ff.abandon(key, f), true
	}
	if f.pending && !f.requestSeen && callerIdle > millis(firstRequestTimeout) {
		ff.setPending(f, false)
	}
	return ff.sweepIdle(key, f, callerIdle, upstreamIdle)
}

// abandon resets, at the upstream only, an opening that the caller did not
// complete because the reply of another upstream arrived first.
func (ff *FlowFilter) abandon(key bramleyfall.Flow, f *flow) bramleyfall.Action {
	a := ff.resetFlow(key, f, bramleyfall.OpeningAbandoned, true)
	a.Kind = bramleyfall.ActionDrop
	a.ToCaller = nil
	ff.expire(key, f)
	return a
}

// expire removes the flow from the flow table.
func (ff *FlowFilter) expire(key bramleyfall.Flow, f *flow) {
	ff.fire(f, ff.chart.Expired)
	delete(ff.flows, key)
}

// sweepIdle probes an end that has sent nothing for half of the service's
// SilentAfter time and resets the flow after the whole time. While the upstream is
// absent, it also resets a flow whose packets go unanswered.
func (ff *FlowFilter) sweepIdle(key bramleyfall.Flow, f *flow, callerIdle, upstreamIdle uint32) (bramleyfall.Action, bool) {
	timeout := millis(f.service.silentAfter)
	idle := max(callerIdle, upstreamIdle)
	unanswered := ff.State() == UpstreamAbsent && upstreamIdle > callerIdle+millis(unansweredTimeout)
	if idle > timeout || unanswered {
		a := ff.resetFlow(key, f, bramleyfall.FlowSilent, true)
		ff.expire(key, f)
		return a, true
	}
	if idle <= timeout/2 {
		return bramleyfall.Action{}, false
	}
	return ff.probe(key, f, callerIdle, upstreamIdle, timeout/2), true
}

// probe returns keepalive probes (RFC 9293, section 3.8.4) for the ends that have
// been idle for more than limit milliseconds.
func (ff *FlowFilter) probe(key bramleyfall.Flow, f *flow, callerIdle, upstreamIdle, limit uint32) bramleyfall.Action {
	a := bramleyfall.Action{Kind: bramleyfall.ActionProbe, Flow: key}
	if callerIdle > limit {
		a.ToCaller = &bramleyfall.Segment{
			Flow: key.Reverse(), Sequence: f.upstreamNextSeq - 1, Ack: f.callerNextSeq, HasAck: true,
		}
	}
	if upstreamIdle > limit {
		a.ToUpstream = &bramleyfall.Segment{
			Flow: key, Sequence: f.callerNextSeq - 1, Ack: f.upstreamNextSeq, HasAck: true,
		}
	}
	return a
}

func millis(d time.Duration) uint32 { return uint32(d.Milliseconds()) }
