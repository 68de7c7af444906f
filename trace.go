package bramleyfall

import "time"

// TraceKind is the kind of a trace event.
type TraceKind string

// Kinds of trace event.
const (
	// TraceTable is a new entry for a service in the routing table.
	TraceTable TraceKind = "Table"
	// TraceHint is an owner hint that a balancer accepted.
	TraceHint TraceKind = "Hint"
	// TraceRoute is a routing decision.
	TraceRoute TraceKind = "Route"
	// TraceStart is the start of an agent's packet filter.
	TraceStart TraceKind = "Start"
	// TraceGate is a call of a packet filter with the resulting decision.
	TraceGate TraceKind = "Gate"
	// TraceOutcome is an expected result of the replay.
	TraceOutcome TraceKind = "Outcome"
)

// FilterCall is the name of a recorded method of a packet filter.
type FilterCall string

// Recorded methods of a packet filter.
const (
	CallFromCaller      FilterCall = "FromCaller"
	CallFromUpstream    FilterCall = "FromUpstream"
	CallSweep           FilterCall = "Sweep"
	CallSettle          FilterCall = "Settle"
	CallSetServices     FilterCall = "SetServices"
	CallSetDomain       FilterCall = "SetDomain"
	CallSetDraining     FilterCall = "SetDraining"
	CallUpstreamStarted FilterCall = "UpstreamStarted"
	CallUpstreamGone    FilterCall = "UpstreamGone"
)

// TraceEvent is one line of a trace: an input of the decision code and the
// resulting decision.
type TraceEvent struct {
	Kind     TraceKind
	At       time.Time
	Instance InstanceID `json:",omitempty"`

	// Table events hold a service and its candidates.
	Service    ServiceName      `json:",omitempty"`
	Addresses  []ServiceAddress `json:",omitempty"`
	Candidates []CandidateTrace `json:",omitempty"`
	Revision   Revision         `json:",omitempty"`

	// Hint events hold the hash of the flow and its owner.
	Hash  uint64      `json:",omitempty"`
	Owner InstanceKey `json:",omitempty"`

	// Route events hold the input and the selected hops.
	Flow    *Flow         `json:",omitempty"`
	Opening bool          `json:",omitempty"`
	Page    uint8         `json:",omitempty"`
	Hops    []InstanceKey `json:",omitempty"`

	// Start events hold the settings of the packet filter, Gate events one of its
	// calls.
	Gate     *FilterTrace  `json:",omitempty"`
	Call     FilterCall    `json:",omitempty"`
	Packet   *Packet       `json:",omitempty"`
	List     *HopList      `json:",omitempty"`
	Services []Service     `json:",omitempty"`
	Domain   DomainState   `json:",omitempty"`
	Until    time.Time     `json:",omitzero"`
	Draining bool          `json:",omitempty"`
	Dead     bool          `json:",omitempty"`
	Boot     BootID        `json:",omitempty"`
	Started  time.Time     `json:",omitzero"`
	Actions  []ActionTrace `json:",omitempty"`

	// Code is the result of a routing decision.
	Code ResultCode `json:",omitempty"`

	// Outcome and Value are the name and expected value of a result of the
	// replay, such as Mismatches and 0.
	Outcome string `json:",omitempty"`
	Value   int64  `json:",omitempty"`
}

// CandidateTrace is the trace form of a candidate of a routing table entry.
type CandidateTrace struct {
	Name    InstanceID
	Boot    BootID
	Address Endpoint
	Open    bool
}

// FilterTrace is the trace form of the settings of a packet filter.
type FilterTrace struct {
	Upstream    InstanceKey
	Slots       int
	Connections int
	WarmUp      Duration
	SilentAfter Duration
}

// ActionTrace is the trace form of an Action.
type ActionTrace struct {
	Kind ActionKind
	Code ResultCode `json:",omitempty"`
	Flow Flow
}
