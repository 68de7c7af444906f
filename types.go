package bramleyfall

import (
	"encoding/json"
	"time"
)

// ServiceName names a service that operators created.
type ServiceName string

// UpstreamID names an upstream. It is unique in a deployment.
type UpstreamID string

// InstanceID names one process of the system.
type InstanceID string

// DomainName names a failure domain.
type DomainName string

// ChangeID identifies one change that an operator asked for. It makes the
// change idempotent.
type ChangeID string

// LeaseID identifies a lease of the platform.
type LeaseID int64

// Revision numbers the accepted configuration changes without gaps from 1.
type Revision uint64

// BootID tells one run of a process from the next. It is the start time in
// nanoseconds since the Unix epoch, so the newest run has the greatest value.
type BootID uint64

// InstanceKey is the 64-bit hash of an instance or upstream id that packets
// carry in place of the id.
type InstanceKey uint64

// ServiceKey is the 32-bit hash of a service name that packets carry.
type ServiceKey uint32

// TrafficClass ranks the traffic of an address when capacity is short.
type TrafficClass string

// The traffic classes, most important first.
const (
	ClassOrders TrafficClass = "orders"
	ClassFeed   TrafficClass = "feed"
	ClassFiles  TrafficClass = "files"
)

// Valid reports whether c is one of the traffic classes.
func (c TrafficClass) Valid() bool {
	switch c {
	case ClassOrders, ClassFeed, ClassFiles:
		return true
	}
	return false
}

// ServiceAddress is one address at which callers reach a service.
type ServiceAddress struct {
	Endpoint Endpoint
	Protocol Protocol
	Class    TrafficClass
}

// Service is what operators decided about one service.
type Service struct {
	Name      ServiceName
	Addresses []ServiceAddress
	// Allowed lists the upstream ids, or patterns in the form of path.Match,
	// that may serve the service.
	Allowed []string
	// WarmUp is the time in which a started upstream reaches its full share.
	WarmUp Duration `json:",omitempty"`
	// SilentAfter is the time without an answer after which an end of a flow
	// counts as silent.
	SilentAfter Duration `json:",omitempty"`
}

// Duration is a time.Duration that is written as text such as "30s".
type Duration time.Duration

// MarshalText writes d in the form of time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}

// DomainState tells whether operators have a failure domain in service.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "In"
	DomainOut DomainState = "Out"
)

// Domain is what operators decided about one failure domain.
type Domain struct {
	Name  DomainName
	State DomainState
}

// UpstreamSettings is what operators decided about one upstream.
type UpstreamSettings struct {
	ID UpstreamID
	// Drained is set when the upstream is to receive no new flows.
	Drained bool
}

// Change is one accepted change of the configuration. A nil Value deletes the
// key.
type Change struct {
	Revision Revision
	ID       ChangeID
	Key      string
	Value    json.RawMessage `json:",omitempty"`
	Actor    string          `json:",omitempty"`
	At       time.Time
}

// KeyValue is a key of the platform with its value. Deleted marks a removal seen
// by a watch.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
	Deleted     bool
}

// Condition holds when the key was last written at ModRevision; zero means
// that the key does not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// Write puts a value under a key, or deletes the key when Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// Txn is a set of writes that takes effect only if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}
