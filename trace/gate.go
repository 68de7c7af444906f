package trace

import (
	"cmp"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
)

// Gate is a caller.FlowFilter that records its calls. Without a recorder it only
// hands them on.
type Gate struct {
	*caller.FlowFilter
	recorder bramleyfall.TraceRecorder
	instance bramleyfall.InstanceID
}

var _ bramleyfall.PacketFilter = (*Gate)(nil)

// NewGate returns a gate that records the calls of gate.
func NewGate(gate *caller.FlowFilter, recorder bramleyfall.TraceRecorder, instance bramleyfall.InstanceID, settings bramleyfall.FilterTrace, now time.Time) *Gate {
	g := &Gate{FlowFilter: gate, recorder: recorder, instance: instance}
	g.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceStart, At: now, Gate: &settings})
	return g
}

func (g *Gate) record(e bramleyfall.TraceEvent) {
	if g.recorder == nil {
		return
	}
	e.Instance = g.instance
	g.recorder.Record(e)
}

// actionTraces returns actions as traces hold them, in a fixed order.
func actionTraces(actions ...bramleyfall.Action) []bramleyfall.ActionTrace {
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
func (g *Gate) FromCaller(p *bramleyfall.Packet, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	if g.recorder == nil {
		return g.FlowFilter.FromCaller(p, list, now)
	}
	packet, before := *p, *list
	a := g.FlowFilter.FromCaller(p, list, now)
	g.record(bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallFromCaller, Packet: &packet, List: &before, Actions: actionTraces(a),
	})
	return a
}

// FromUpstream implements bramleyfall.PacketFilter.
func (g *Gate) FromUpstream(p *bramleyfall.Packet, now time.Time) bramleyfall.Action {
	if g.recorder == nil {
		return g.FlowFilter.FromUpstream(p, now)
	}
	packet := *p
	a := g.FlowFilter.FromUpstream(p, now)
	g.record(bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallFromUpstream, Packet: &packet, Actions: actionTraces(a),
	})
	return a
}

// Sweep implements bramleyfall.PacketFilter.
func (g *Gate) Sweep(now time.Time) []bramleyfall.Action {
	actions := g.FlowFilter.Sweep(now)
	g.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallSweep, Actions: actionTraces(actions...)})
	return actions
}

// Settle is caller.FlowFilter.Settle, recorded when it did anything.
func (g *Gate) Settle(now time.Time) []bramleyfall.Action {
	actions := g.FlowFilter.Settle(now)
	if len(actions) > 0 {
		g.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallSettle, Actions: actionTraces(actions...)})
	}
	return actions
}

// SetServices is caller.FlowFilter.SetServices, recorded.
func (g *Gate) SetServices(services []bramleyfall.Service) {
	g.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, Call: bramleyfall.CallSetServices, Services: services})
	g.FlowFilter.SetServices(services)
}

// SetDomain is caller.FlowFilter.SetDomain, recorded.
func (g *Gate) SetDomain(state bramleyfall.DomainState, until, now time.Time) []bramleyfall.Action {
	actions := g.FlowFilter.SetDomain(state, until, now)
	g.record(bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallSetDomain, Domain: state, Until: until, Actions: actionTraces(actions...),
	})
	return actions
}

// SetDraining is caller.FlowFilter.SetDraining, recorded.
func (g *Gate) SetDraining(draining bool, now time.Time) {
	g.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallSetDraining, Draining: draining})
	g.FlowFilter.SetDraining(draining, now)
}

// UpstreamStarted is caller.FlowFilter.UpstreamStarted, recorded.
func (g *Gate) UpstreamStarted(boot bramleyfall.BootID, started, now time.Time) []bramleyfall.Action {
	actions := g.FlowFilter.UpstreamStarted(boot, started, now)
	g.record(bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallUpstreamStarted, Boot: boot, Started: started, Actions: actionTraces(actions...),
	})
	return actions
}

// UpstreamGone is caller.FlowFilter.UpstreamGone, recorded.
func (g *Gate) UpstreamGone(dead bool, now time.Time) {
	g.record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceGate, At: now, Call: bramleyfall.CallUpstreamGone, Dead: dead})
	g.FlowFilter.UpstreamGone(dead, now)
}
