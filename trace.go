package bramleyfall

import "time"

// TraceKind names the kind of a trace event.
type TraceKind string

// The kinds of trace event.
const (
	TraceStart   TraceKind = "Start"
	TraceChange  TraceKind = "Change"
	TraceMember  TraceKind = "Member"
	TraceRoute   TraceKind = "Route"
	TraceGate    TraceKind = "Gate"
	TraceOutcome TraceKind = "Outcome"
)

// TraceEvent is one line of a trace: an input of the decision code together
// with the decision that was made.
type TraceEvent struct {
	Kind     TraceKind
	At       time.Time
	Instance InstanceID `json:",omitempty"`

	Change *Change `json:",omitempty"`
	Member *Member `json:",omitempty"`

	Flow    *Flow      `json:",omitempty"`
	Opening bool       `json:",omitempty"`
	Page    uint8      `json:",omitempty"`
	Hops    []HopTrace `json:",omitempty"`
	Code    ResultCode `json:",omitempty"`
	Action  ActionKind `json:",omitempty"`

	// Outcome and Value state what a replay must find, such as WrongService=0.
	Outcome string `json:",omitempty"`
	Value   int64  `json:",omitempty"`
}

// HopTrace is a hop as a trace names it.
type HopTrace struct {
	Upstream InstanceKey
	Boot     BootID
}
