package bramleyfall

import "time"

// TraceKind names the kind of a trace event.
type TraceKind string

// The kinds of trace event.
const (
	// TraceTable is a new routing entry of a service.
	TraceTable TraceKind = "Table"
	// TraceHint is an owner hint that a balancer took.
	TraceHint TraceKind = "Hint"
	// TraceRoute is a routing decision.
	TraceRoute TraceKind = "Route"
	// TraceStart is the start of an agent's gate.
	TraceStart TraceKind = "Start"
	// TraceGate is a call of a gate with its decision.
	TraceGate TraceKind = "Gate"
	// TraceOutcome states what a replay must find.
	TraceOutcome TraceKind = "Outcome"
)

// FilterCall names a method of a gate.
type FilterCall string

// The calls of a gate.
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

// TraceEvent is one line of a trace: an input of the decision code together
// with the decision that was made.
type TraceEvent struct {
	Kind     TraceKind
	At       time.Time
	Instance InstanceID `json:",omitempty"`

	// Table events hold the service with its candidates.
	Service    ServiceName      `json:",omitempty"`
	Addresses  []ServiceAddress `json:",omitempty"`
	Candidates []CandidateTrace `json:",omitempty"`
	Revision   Revision         `json:",omitempty"`

	// Hint events hold the hash of the flow and its owner.
	Hash  uint64      `json:",omitempty"`
	Owner InstanceKey `json:",omitempty"`

	// Route events hold the input and the hops.
	Flow    *Flow         `json:",omitempty"`
	Opening bool          `json:",omitempty"`
	Page    uint8         `json:",omitempty"`
	Hops    []InstanceKey `json:",omitempty"`

	// Start events hold the gate's settings, Gate events a call.
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

	// Outcome and Value state what a replay must find, such as Mismatches and 0.
	Outcome string `json:",omitempty"`
	Value   int64  `json:",omitempty"`
}

// CandidateTrace is a candidate of a routing entry as a trace holds it.
type CandidateTrace struct {
	Name    InstanceID
	Boot    BootID
	Address Endpoint
	Open    bool
}

// FilterTrace holds the settings of a gate.
type FilterTrace struct {
	Upstream    InstanceKey
	Slots       int
	Connections int
	WarmUp      Duration
	SilentAfter Duration
}

// ActionTrace is an action as a trace holds it.
type ActionTrace struct {
	Kind ActionKind
	Code ResultCode `json:",omitempty"`
	Flow Flow
}
