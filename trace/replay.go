package trace

import (
	"fmt"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/upstream"
)

// maxTableDelay is the maximum time after a table event for which recorded routes may
// still be based on the previous entry. The goroutines that update the table and
// that route packets record their events independently, so the order of the events
// in the trace may differ from the order in which they happened.
const maxTableDelay = 100 * time.Millisecond

// Summary contains the counts of a replay.
type Summary struct {
	// Routes and Calls are the numbers of replayed routing decisions and packet
	// filter calls.
	Routes int64
	Calls  int64
	// Mismatches is the number of replayed decisions that differ from the recorded
	// ones.
	Mismatches int64
	// WrongService is the number of recorded hops to upstreams that are not
	// candidates of the flow's service.
	WrongService int64
	// Unrouted is the number of recorded packets without a route.
	Unrouted int64
	// Delivered, Passed, Refused and Reset are the numbers of actions of these kinds
	// that the replayed packet filter returned. Passed includes packets passed on to
	// the next page of hops.
	Delivered int64
	Passed    int64
	Refused   int64
	Reset     int64
	// FirstMismatch describes the first mismatch. It is empty if there is none.
	FirstMismatch string
}

// Value returns the count with the given name and whether it exists.
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

// Replay passes recorded events to the routing table and the packet filter and
// compares their decisions with the recorded ones.
type Replay struct {
	Summary Summary
	// current contains the newest entry of each service, previous the entry before
	// that. A service with a single entry has that entry in both.
	current, previous *upstream.Table
	// tableEvents contains the last table event of each service.
	tableEvents map[bramleyfall.ServiceName]bramleyfall.TraceEvent
	filter      *caller.FlowFilter
}

// NewReplay returns a Replay with empty tables and no packet filter. A Start event
// creates the filter.
func NewReplay() *Replay {
	return &Replay{
		current: newTable(), previous: newTable(),
		tableEvents: make(map[bramleyfall.ServiceName]bramleyfall.TraceEvent),
	}
}

func newTable() *upstream.Table {
	const maxHints = 65536
	return upstream.NewTable(upstream.WithHints(maxHints))
}

// Feed replays one event. It returns an error with code Mismatch if an Outcome event
// has another value than the replay, and with code BadTrace if the event is invalid.
// The messages of these errors contain the line number. Differing decisions are not
// errors but counted in Summary.Mismatches.
func (r *Replay) Feed(line int, e bramleyfall.TraceEvent) error {
	switch e.Kind {
	case bramleyfall.TraceTable:
		r.updateTables(e)
	case bramleyfall.TraceHint:
		r.current.SetHint(e.Hash, e.Owner)
		r.previous.SetHint(e.Hash, e.Owner)
	case bramleyfall.TraceRoute:
		if e.Flow == nil {
			return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: Route event without Flow", line)
		}
		r.checkRoute(line, e)
	case bramleyfall.TraceStart:
		return r.startFilter(line, e)
	case bramleyfall.TraceGate:
		return r.checkCall(line, e)
	case bramleyfall.TraceOutcome:
		return r.checkOutcome(line, e)
	default:
		return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: unknown event kind %q", line, e.Kind)
	}
	return nil
}

func (r *Replay) updateTables(e bramleyfall.TraceEvent) {
	if last, ok := r.tableEvents[e.Service]; ok {
		r.previous.Set(newEntry(last), last.Addresses)
	} else {
		r.previous.Set(newEntry(e), e.Addresses)
	}
	r.tableEvents[e.Service] = e
	r.current.Set(newEntry(e), e.Addresses)
}

func newEntry(e bramleyfall.TraceEvent) *upstream.Entry {
	entry := &upstream.Entry{Name: e.Service, Revision: e.Revision}
	for _, c := range e.Candidates {
		entry.IDs = append(entry.IDs, c.Name)
		entry.Candidates = append(entry.Candidates, upstream.Candidate{
			Upstream: bramleyfall.InstanceKeyFor(string(c.Name)), Boot: c.Boot, Address: c.Address, AcceptsNewFlows: c.Open,
		})
	}
	return entry
}

func (r *Replay) checkRoute(line int, e bramleyfall.TraceEvent) {
	r.Summary.Routes++
	if e.Code != bramleyfall.OK {
		r.Summary.Unrouted++
	}
	if entry := r.current.Lookup(*e.Flow); entry != nil {
		for _, hop := range e.Hops {
			known := entry.IDOf(hop) != "" || r.previous.Lookup(*e.Flow).IDOf(hop) != ""
			if !known {
				r.Summary.WrongService++
			}
		}
	}
	if r.matchesRoute(r.current, e) {
		return
	}
	if updated := r.lastUpdate(*e.Flow); e.At.Sub(updated) < maxTableDelay && r.matchesRoute(r.previous, e) {
		return
	}
	r.addMismatch(line, fmt.Sprintf("flow %s: the recorded hops %v differ from the replayed route", e.Flow, e.Hops))
}

func (r *Replay) lastUpdate(f bramleyfall.Flow) time.Time {
	if entry := r.current.Lookup(f); entry != nil {
		return r.tableEvents[entry.Name].At
	}
	return time.Time{}
}

func (r *Replay) matchesRoute(t *upstream.Table, e bramleyfall.TraceEvent) bool {
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

func (r *Replay) startFilter(line int, e bramleyfall.TraceEvent) error {
	if e.Gate == nil {
		return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: Start event without Gate", line)
	}
	var err error
	r.filter, err = caller.NewFlowFilter(e.At,
		caller.WithUpstream(e.Gate.Upstream), caller.WithCapacity(e.Gate.Slots, e.Gate.Connections),
		caller.WithWarmUp(time.Duration(e.Gate.WarmUp)), caller.WithSilentAfter(time.Duration(e.Gate.SilentAfter)))
	return err
}

func (r *Replay) checkCall(line int, e bramleyfall.TraceEvent) error {
	if r.filter == nil {
		return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: Gate event before Start event", line)
	}
	r.Summary.Calls++
	actions, err := r.replayCall(line, e)
	if err != nil {
		return err
	}
	got := toActionTraces(actions...)
	for _, a := range got {
		r.countAction(a.Kind)
	}
	if !slices.Equal(got, e.Actions) && len(got)+len(e.Actions) > 0 {
		r.addMismatch(line, fmt.Sprintf("%s returned %v, recorded was %v", e.Call, got, e.Actions))
	}
	return nil
}

// replayCall makes the recorded call to the replay's filter and returns the actions.
func (r *Replay) replayCall(line int, e bramleyfall.TraceEvent) ([]bramleyfall.Action, error) {
	switch e.Call {
	case bramleyfall.CallFromCaller:
		if e.Packet == nil || e.List == nil || e.List.Index >= bramleyfall.MaxHops || e.List.Count > bramleyfall.MaxHops {
			return nil, bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: FromCaller call without Packet or without a valid List", line)
		}
		return []bramleyfall.Action{r.filter.FromCaller(e.Packet, e.List, e.At)}, nil
	case bramleyfall.CallFromUpstream:
		if e.Packet == nil {
			return nil, bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: FromUpstream call without Packet", line)
		}
		return []bramleyfall.Action{r.filter.FromUpstream(e.Packet, e.At)}, nil
	case bramleyfall.CallSweep:
		return r.filter.Sweep(e.At), nil
	case bramleyfall.CallSettle:
		return r.filter.Settle(e.At), nil
	case bramleyfall.CallSetServices:
		r.filter.SetServices(e.Services)
	case bramleyfall.CallSetDomain:
		return r.filter.SetDomain(e.Domain, e.Until, e.At), nil
	case bramleyfall.CallSetDraining:
		r.filter.SetDraining(e.Draining, e.At)
	case bramleyfall.CallUpstreamStarted:
		return r.filter.UpstreamStarted(e.Boot, e.Started, e.At), nil
	case bramleyfall.CallUpstreamGone:
		r.filter.UpstreamGone(e.Dead, e.At)
	default:
		return nil, bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: unknown call %q", line, e.Call)
	}
	return nil, nil
}

func (r *Replay) countAction(kind bramleyfall.ActionKind) {
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

func (r *Replay) addMismatch(line int, description string) {
	r.Summary.Mismatches++
	if r.Summary.FirstMismatch == "" {
		r.Summary.FirstMismatch = fmt.Sprintf("line %d: %s", line, description)
	}
}

func (r *Replay) checkOutcome(line int, e bramleyfall.TraceEvent) error {
	got, ok := r.Summary.Value(e.Outcome)
	if !ok {
		return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: unknown outcome %q", line, e.Outcome)
	}
	if got != e.Value {
		return bramleyfall.Errorf(bramleyfall.Mismatch, "line %d: %s is %d, expected %d; first mismatch: %q", line, e.Outcome, got, e.Value, r.Summary.FirstMismatch)
	}
	return nil
}
