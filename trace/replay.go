package trace

import (
	"fmt"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/upstream"
)

// tableRace is the time for which a routing decision may still have been made
// by the entry before the newest: table and packets are the duties of two
// threads, which record independently.
const tableRace = 100 * time.Millisecond

// Summary counts what a replay found.
type Summary struct {
	Routes     int64
	Calls      int64
	Mismatches int64
	// WrongService counts hops to upstreams that are no candidates of the
	// service.
	WrongService int64
	// Unrouted counts packets without a hop.
	Unrouted  int64
	Delivered int64
	Passed    int64
	Refused   int64
	Reset     int64
	// FirstMismatch describes the first difference.
	FirstMismatch string
}

// Value returns a count by its name and whether there is one.
func (s *Summary) Value(name string) (int64, bool) {
	values := map[string]int64{
		"Routes": s.Routes, "Calls": s.Calls, "Mismatches": s.Mismatches, "WrongService": s.WrongService,
		"Unrouted": s.Unrouted, "Delivered": s.Delivered, "Passed": s.Passed, "Refused": s.Refused, "Reset": s.Reset,
	}
	v, ok := values[name]
	return v, ok
}

// String returns the counts as key=value pairs.
func (s *Summary) String() string {
	return fmt.Sprintf("Routes=%d Calls=%d Mismatches=%d WrongService=%d Unrouted=%d Delivered=%d Passed=%d Refused=%d Reset=%d",
		s.Routes, s.Calls, s.Mismatches, s.WrongService, s.Unrouted, s.Delivered, s.Passed, s.Refused, s.Reset)
}

// Replay feeds recorded events into the decision code and compares what it
// decides with what was recorded.
type Replay struct {
	Summary Summary
	// table holds the newest entries, before those before them.
	table, before *upstream.Table
	entries       map[bramleyfall.ServiceName]bramleyfall.TraceEvent
	gate          *caller.FlowFilter
}

// NewReplay returns a replay that has seen nothing.
func NewReplay() *Replay {
	return &Replay{
		table: newTable(), before: newTable(),
		entries: make(map[bramleyfall.ServiceName]bramleyfall.TraceEvent),
	}
}

func newTable() *upstream.Table {
	const hints = 65536
	return upstream.NewTable(upstream.WithHints(hints))
}

// Feed takes one event. The error names a line that states an outcome that did
// not come, or that makes no sense.
func (r *Replay) Feed(line int, e bramleyfall.TraceEvent) error {
	switch e.Kind {
	case bramleyfall.TraceTable:
		r.setTable(e)
	case bramleyfall.TraceHint:
		r.table.SetHint(e.Hash, e.Owner)
		r.before.SetHint(e.Hash, e.Owner)
	case bramleyfall.TraceRoute:
		if e.Flow == nil {
			return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: a Route without Flow", line)
		}
		r.route(line, e)
	case bramleyfall.TraceStart:
		return r.start(line, e)
	case bramleyfall.TraceGate:
		return r.call(line, e)
	case bramleyfall.TraceOutcome:
		return r.outcome(line, e)
	default:
		return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: unknown kind %q", line, e.Kind)
	}
	return nil
}

func (r *Replay) setTable(e bramleyfall.TraceEvent) {
	if old, ok := r.entries[e.Service]; ok {
		r.before.Set(entryOf(old), old.Addresses)
	} else {
		r.before.Set(entryOf(e), e.Addresses)
	}
	r.entries[e.Service] = e
	r.table.Set(entryOf(e), e.Addresses)
}

func entryOf(e bramleyfall.TraceEvent) *upstream.Entry {
	entry := &upstream.Entry{Name: e.Service, Revision: e.Revision}
	for _, c := range e.Candidates {
		entry.IDs = append(entry.IDs, c.Name)
		entry.Candidates = append(entry.Candidates, upstream.Candidate{
			Upstream: bramleyfall.InstanceKeyFor(string(c.Name)), Boot: c.Boot, Address: c.Address, AcceptsNewFlows: c.Open,
		})
	}
	return entry
}

func (r *Replay) route(line int, e bramleyfall.TraceEvent) {
	r.Summary.Routes++
	if e.Code != bramleyfall.OK {
		r.Summary.Unrouted++
	}
	if entry := r.table.Lookup(*e.Flow); entry != nil {
		for _, hop := range e.Hops {
			known := entry.IDOf(hop) != "" || r.before.Lookup(*e.Flow).IDOf(hop) != ""
			if !known {
				r.Summary.WrongService++
			}
		}
	}
	if r.routesAlike(r.table, e) {
		return
	}
	if newest := r.newestOf(*e.Flow); e.At.Sub(newest) < tableRace && r.routesAlike(r.before, e) {
		return
	}
	r.mismatch(line, fmt.Sprintf("flow %s was routed to %v", e.Flow, e.Hops))
}

func (r *Replay) newestOf(f bramleyfall.Flow) time.Time {
	if entry := r.table.Lookup(f); entry != nil {
		return r.entries[entry.Name].At
	}
	return time.Time{}
}

func (r *Replay) routesAlike(t *upstream.Table, e bramleyfall.TraceEvent) bool {
	var list bramleyfall.HopList
	if code := t.Route(*e.Flow, e.Opening, e.Page, &list); code != bramleyfall.OK || e.Code != bramleyfall.OK {
		return code == e.Code
	}
	hops := make([]bramleyfall.InstanceKey, list.Count)
	for i := range hops {
		hops[i] = list.Hops[i].Upstream
	}
	return slices.Equal(hops, e.Hops)
}

func (r *Replay) start(line int, e bramleyfall.TraceEvent) error {
	if e.Gate == nil {
		return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: a Start without Gate", line)
	}
	var err error
	r.gate, err = caller.NewFlowFilter(e.At,
		caller.WithUpstream(e.Gate.Upstream), caller.WithCapacity(e.Gate.Slots, e.Gate.Connections),
		caller.WithWarmUp(time.Duration(e.Gate.WarmUp)), caller.WithSilentAfter(time.Duration(e.Gate.SilentAfter)))
	return err
}

func (r *Replay) call(line int, e bramleyfall.TraceEvent) error {
	if r.gate == nil {
		return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: a Gate event before Start", line)
	}
	r.Summary.Calls++
	actions, err := r.perform(line, e)
	if err != nil {
		return err
	}
	got := actionTraces(actions...)
	for _, a := range got {
		r.count(a.Kind)
	}
	if !slices.Equal(got, e.Actions) && len(got)+len(e.Actions) > 0 {
		r.mismatch(line, fmt.Sprintf("%s gave %v, recorded was %v", e.Call, got, e.Actions))
	}
	return nil
}

// perform repeats a call.
func (r *Replay) perform(line int, e bramleyfall.TraceEvent) ([]bramleyfall.Action, error) {
	switch e.Call {
	case bramleyfall.CallFromCaller:
		if e.Packet == nil || e.List == nil || e.List.Index >= bramleyfall.MaxHops || e.List.Count > bramleyfall.MaxHops {
			return nil, bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: FromCaller without a valid Packet and List", line)
		}
		return []bramleyfall.Action{r.gate.FromCaller(e.Packet, e.List, e.At)}, nil
	case bramleyfall.CallFromUpstream:
		if e.Packet == nil {
			return nil, bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: FromUpstream without Packet", line)
		}
		return []bramleyfall.Action{r.gate.FromUpstream(e.Packet, e.At)}, nil
	case bramleyfall.CallSweep:
		return r.gate.Sweep(e.At), nil
	case bramleyfall.CallSettle:
		return r.gate.Settle(e.At), nil
	case bramleyfall.CallSetServices:
		r.gate.SetServices(e.Services)
	case bramleyfall.CallSetDomain:
		return r.gate.SetDomain(e.Domain, e.Until, e.At), nil
	case bramleyfall.CallSetDraining:
		r.gate.SetDraining(e.Draining, e.At)
	case bramleyfall.CallUpstreamStarted:
		return r.gate.UpstreamStarted(e.Boot, e.Started, e.At), nil
	case bramleyfall.CallUpstreamGone:
		r.gate.UpstreamGone(e.Dead, e.At)
	default:
		return nil, bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: unknown call %q", line, e.Call)
	}
	return nil, nil
}

func (r *Replay) count(kind bramleyfall.ActionKind) {
	switch kind {
	case bramleyfall.ActionDeliver:
		r.Summary.Delivered++
	case bramleyfall.ActionPass, bramleyfall.ActionNextPage:
		r.Summary.Passed++
	case bramleyfall.ActionRefuse:
		r.Summary.Refused++
	case bramleyfall.ActionReset:
		r.Summary.Reset++
	}
}

func (r *Replay) mismatch(line int, what string) {
	r.Summary.Mismatches++
	if r.Summary.FirstMismatch == "" {
		r.Summary.FirstMismatch = fmt.Sprintf("line %d: %s", line, what)
	}
}

func (r *Replay) outcome(line int, e bramleyfall.TraceEvent) error {
	got, ok := r.Summary.Value(e.Outcome)
	if !ok {
		return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: unknown outcome %q", line, e.Outcome)
	}
	if got != e.Value {
		return bramleyfall.Errorf(bramleyfall.Mismatch, "line %d: %s is %d, stated is %d (%s)", line, e.Outcome, got, e.Value, r.Summary.FirstMismatch)
	}
	return nil
}
