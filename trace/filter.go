package trace

import (
	"cmp"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
)

// RecordingFilter wraps a caller.FlowFilter and records its calls with the resulting
// actions. With a nil recorder it records nothing.
type RecordingFilter struct {
	*caller.FlowFilter
	recorder bramleyfall.TraceRecorder
	instance bramleyfall.InstanceID
}

var _ bramleyfall.PacketFilter = (*RecordingFilter)(nil)

// NewRecordingFilter returns a filter that records the calls of the given filter, and
// records a Start event with settings. They must be the settings that filter was
// created with, because a Replay creates its filter from them.
func NewRecordingFilter(filter *caller.FlowFilter, recorder bramleyfall.TraceRecorder, instance bramleyfall.InstanceID, settings bramleyfall.FilterTrace, now time.Time) *RecordingFilter {
	f := &RecordingFilter{FlowFilter: filter, recorder: recorder, instance: instance}
	f.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceStart, At: now, Gate: &settings})
	return f
}

func (f *RecordingFilter) record(e bramleyfall.TraceEvent) {
	if f.recorder == nil {
		return
	}
	e.Instance = f.instance
	f.recorder.Record(e)
}

// toActionTraces returns the trace form of actions, sorted by flow and kind, so that
// two lists can be compared.
func toActionTraces(actions ...bramleyfall.Action) []bramleyfall.ActionTrace {
	out := make([]bramleyfall.ActionTrace, len(actions))
	for i, a := range actions {
		out[i] = bramleyfall.ActionTrace{Kind: a.Kind, Code: a.Code, Flow: a.Flow}
	}
	slices.SortFunc(out, func(a, b bramleyfall.ActionTrace) int {
		return cmp.Or(cmp.Compare(a.Flow.Hash(), b.Flow.Hash()), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// FromCaller implements bramleyfall.PacketFilter.
func (f *RecordingFilter) FromCaller(p *bramleyfall.Packet, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	if f.recorder == nil {
		return f.FlowFilter.FromCaller(p, list, now)
	}
	packet, listBefore := *p, *list
	a := f.FlowFilter.FromCaller(p, list, now)
	f.record(bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallFromCaller, Packet: &packet, List: &listBefore, Actions: toActionTraces(a),
	})
	return a
}

// FromUpstream implements bramleyfall.PacketFilter.
func (f *RecordingFilter) FromUpstream(p *bramleyfall.Packet, now time.Time) bramleyfall.Action {
	if f.recorder == nil {
		return f.FlowFilter.FromUpstream(p, now)
	}
	packet := *p
	a := f.FlowFilter.FromUpstream(p, now)
	f.record(bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallFromUpstream, Packet: &packet, Actions: toActionTraces(a),
	})
	return a
}

// Sweep implements bramleyfall.PacketFilter.
func (f *RecordingFilter) Sweep(now time.Time) []bramleyfall.Action {
	actions := f.FlowFilter.Sweep(now)
	f.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallSweep, Actions: toActionTraces(actions...)})
	return actions
}

// Settle calls caller.FlowFilter.Settle and records the call if it returned actions.
func (f *RecordingFilter) Settle(now time.Time) []bramleyfall.Action {
	actions := f.FlowFilter.Settle(now)
	if len(actions) > 0 {
		f.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallSettle, Actions: toActionTraces(actions...)})
	}
	return actions
}

// SetServices calls caller.FlowFilter.SetServices and records the call.
func (f *RecordingFilter) SetServices(services []bramleyfall.Service) {
	f.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, Call: bramleyfall.CallSetServices, Services: services})
	f.FlowFilter.SetServices(services)
}

// SetDomain calls caller.FlowFilter.SetDomain and records the call.
func (f *RecordingFilter) SetDomain(state bramleyfall.DomainState, until, now time.Time) []bramleyfall.Action {
	actions := f.FlowFilter.SetDomain(state, until, now)
	f.record(bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallSetDomain, Domain: state, Until: until, Actions: toActionTraces(actions...),
	})
	return actions
}

// SetDraining calls caller.FlowFilter.SetDraining and records the call.
func (f *RecordingFilter) SetDraining(draining bool, now time.Time) {
	f.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallSetDraining, Draining: draining})
	f.FlowFilter.SetDraining(draining, now)
}

// UpstreamStarted calls caller.FlowFilter.UpstreamStarted and records the call.
func (f *RecordingFilter) UpstreamStarted(boot bramleyfall.BootID, started, now time.Time) []bramleyfall.Action {
	actions := f.FlowFilter.UpstreamStarted(boot, started, now)
	f.record(bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallUpstreamStarted, Boot: boot, Started: started, Actions: toActionTraces(actions...),
	})
	return actions
}

// UpstreamGone calls caller.FlowFilter.UpstreamGone and records the call.
func (f *RecordingFilter) UpstreamGone(dead bool, now time.Time) {
	f.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallUpstreamGone, Dead: dead})
	f.FlowFilter.UpstreamGone(dead, now)
}
