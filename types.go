package bramleyfall

import (
	"encoding/json"
	"time"
)

// ServiceName is the name of a service.
type ServiceName string

// UpstreamID identifies an upstream. It is unique within a deployment.
type UpstreamID string

// InstanceID identifies a process of the load balancer.
type InstanceID string

// DomainName is the name of a failure domain.
type DomainName string

// ChangeID identifies a change requested by an operator. It makes the request
// idempotent.
type ChangeID string

// LeaseID identifies a lease of the key-value store.
type LeaseID int64

// Era counts how often the key-value store was restored from an older copy. A
// restore undoes all writes since the copy, and their revisions are assigned again.
type Era uint64

// Revision is a configuration revision or a revision of the key-value store.
// Configuration revisions number the accepted changes from 1 without gaps. A
// revision of the store holds the store's era in its upper bits: a number alone
// does not identify a state of a store that was restored, and every revision of a
// later era is greater than those of earlier eras.
type Revision uint64

// RevisionNumberBits is the number of bits of a Revision below its era, and EraBits that of
// the era, so that a Revision also fits into an int64.
const (
	RevisionNumberBits = 48
	EraBits            = 15
)

// NewRevision returns the revision with the given number in an era.
func NewRevision(era Era, number uint64) Revision {
	return Revision(uint64(era)<<RevisionNumberBits | number)
}

// Era returns the era of a revision of the store.
func (r Revision) Era() Era { return Era(r >> RevisionNumberBits) }

// Number returns the number that the store assigned to the revision in its era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<RevisionNumberBits - 1) }

// BootID identifies one run of a process. It is the start time in nanoseconds
// since the Unix epoch, so later runs have greater values.
type BootID uint64

// InstanceKey is the 64-bit hash of an instance or upstream ID that is used
// instead of the ID in packets.
type InstanceKey uint64

// ServiceKey is the 32-bit hash of a service name that is used instead of the
// name in packets.
type ServiceKey uint32

// TrafficClass ranks the traffic of a service address when capacity is scarce.
type TrafficClass string

// Traffic classes, in descending order of priority.
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

// ServiceAddress is an address at which callers reach a service.
type ServiceAddress struct {
	Endpoint Endpoint
	Protocol Protocol
	Class    TrafficClass
}

// Service is the operators' configuration of a service.
type Service struct {
	Name      ServiceName
	Addresses []ServiceAddress
	// Allowed lists the IDs of the upstreams that may serve the service, or
	// patterns for them in the syntax of path.Match.
	Allowed []string
	// WarmUp is the time after its start until an upstream receives its full
	// share of new flows.
	WarmUp Duration `json:",omitempty"`
	// SilentAfter is the time without a response after which an end of a flow is
	// considered silent.
	SilentAfter Duration `json:",omitempty"`
}

// Duration is a time.Duration that is encoded as text such as "30s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler in the format of
// time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler in the format of
// time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}

// DomainState is whether a failure domain is in service.
type DomainState string

// States of a failure domain.
const (
	DomainIn  DomainState = "In"
	DomainOut DomainState = "Out"
)

// Domain is the operators' configuration of a failure domain.
type Domain struct {
	Name  DomainName
	State DomainState
}

// UpstreamSettings is the operators' configuration of an upstream.
type UpstreamSettings struct {
	ID UpstreamID
	// Drained is set if the upstream must receive no new flows.
	Drained bool
}

// Change is an accepted change of the configuration. A nil Value deletes the
// key.
type Change struct {
	Revision Revision
	ID       ChangeID
	Key      string
	Value    json.RawMessage `json:",omitempty"`
	Actor    string          `json:",omitempty"`
	At       time.Time
}

// KeyValue is a key of the key-value store and its value. Deleted is set if a
// watch reported the removal of the key.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
	// Lease is the lease to which the key is attached, or zero.
	Lease   LeaseID
	Deleted bool
}

// Condition is true if the key was last written at ModRevision. A ModRevision of
// zero means that the key does not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// Write sets the value of a key, or deletes the key if Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// Txn is a set of writes that take effect only if all conditions are true.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Committed reports whether the conditions held, so that the writes took effect.
	Committed bool
	// Revision is the revision of the writes, if they took effect.
	Revision Revision
	// Current holds the present state of those keys in the conditions that exist, if
	// the conditions did not hold.
	Current []KeyValue
}
