package bramleyfall

import (
	"context"
	"time"
)

// Priority ranks requests when capacity is short. Zero is the most important.
type Priority uint8

// ConfigVersion numbers the operators' configurations. Versions rise in uneven
// steps.
type ConfigVersion uint64

// Target is a service that a share of a route's new flows goes to.
type Target struct {
	Service ServiceName
	Weight  uint32
}

// Route sends the flows to one address to its targets.
type Route struct {
	Address  Endpoint
	Targets  []Target
	Priority Priority
	// Idempotent is set where callers may repeat a request that failed.
	Idempotent bool
	// Objective is the time within which callers want their answers.
	Objective time.Duration
}

// ServiceLimits is what each upstream of a service can bear.
type ServiceLimits struct {
	Name ServiceName
	// Connections is the number of flows that an upstream holds at once.
	Connections int
	// ColdFor is the time for which a started upstream is slow.
	ColdFor time.Duration
	// ColdRate is the number of requests a second that a cold upstream bears.
	ColdRate float64
}

// Snapshot is the whole configuration at one revision of the store. It is
// immutable once it is handed out.
type Snapshot struct {
	// Revision is the one of the store that a watch continues from.
	Revision Revision
	Version  ConfigVersion
	Routes   map[Endpoint]*Route
	Services map[ServiceName]ServiceLimits
	// Out holds the failure domains that operators have taken out of service.
	Out map[DomainName]bool
	// IdleTimeout is the time after which an idle flow may be forgotten.
	IdleTimeout time.Duration
}

// Allows reports whether new flows to an address may go to a service.
func (s *Snapshot) Allows(address Endpoint, service ServiceName) bool {
	route := s.Routes[address]
	if route == nil {
		return false
	}
	for _, t := range route.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// Heartbeat is what an upstream says of itself to the agent beside it.
type Heartbeat struct {
	Upstream UpstreamID
	// Boot is when this run of the upstream started, by its own clock.
	Boot     BootID
	Service  ServiceName
	Domain   DomainName
	Slots    int
	Draining bool
	// ColdFor is how much longer the upstream stays slow after its start.
	ColdFor time.Duration
	// Sequence rises with each heartbeat of a run.
	Sequence uint64
}

// UpstreamSink takes what the upstream beside an agent says of itself.
type UpstreamSink interface {
	// Heartbeat takes a heartbeat. Its acknowledgement follows.
	Heartbeat(h Heartbeat)
	// Deregister takes the word of an upstream that it ends.
	Deregister(id UpstreamID)
	// Malformed takes the fault of a heartbeat that can't be read.
	Malformed(err error)
}

// Announcement is an agent's entry in the store: where the upstream beside it
// is reached.
type Announcement struct {
	Instance InstanceID
	Upstream UpstreamID
	Boot     BootID
	Service  ServiceName
	Domain   DomainName
	Packets  Endpoint
	Slots    int
}

// Load is what an agent tells balancers of its upstream.
type Load struct {
	State UpstreamState
	// Slots is the number of requests that the upstream runs at once.
	Slots uint16
	// Busy is the number of requests under way, and openings whose request is
	// still to come.
	Busy uint16
	// Flows is the number of open flows.
	Flows uint16
	// Utilization is the mean of Busy over Slots in the last second, in 1/1000.
	Utilization uint16
}

// UpstreamState tells what an upstream takes.
type UpstreamState string

// The states of an upstream.
const (
	// UpstreamUnknown means that the agent has not heard from the upstream.
	UpstreamUnknown UpstreamState = "Unknown"
	// UpstreamCold takes new flows at a limited rate.
	UpstreamCold UpstreamState = "Cold"
	// UpstreamReady takes new flows.
	UpstreamReady UpstreamState = "Ready"
	// UpstreamFailing breaks requests off. It takes new flows only where nobody
	// else does.
	UpstreamFailing UpstreamState = "Failing"
	// UpstreamTrial was failing and takes single requests that may be repeated.
	UpstreamTrial UpstreamState = "Trial"
	// UpstreamDraining takes no new flows.
	UpstreamDraining UpstreamState = "Draining"
	// UpstreamSilent does not answer packets.
	UpstreamSilent UpstreamState = "Silent"
)

// Wire reads and writes the packets that callers and upstreams exchange.
// Payload and header belong to the two ends; only the tag may be written.
type Wire interface {
	// Decode reads the header of raw into p. P.Raw aliases raw.
	Decode(raw []byte, p *Packet) error
	// SetTag writes a tag that an upstream leaves on a packet that it returns,
	// and takes the mark of a returned packet away.
	SetTag(raw []byte, tag uint32)
	// AppendReset appends a reset for the caller of s to raw.
	AppendReset(raw []byte, s *Segment) []byte
}

// ConfigurationSource is where the operators' configuration comes from.
type ConfigurationSource interface {
	// Read returns the current configuration.
	Read(ctx context.Context) (*Snapshot, error)
	// Next waits until the configuration differs from the given one. It returns
	// the given one when wait passed without a change, and ErrHistoryLost when
	// it must be read again.
	Next(ctx context.Context, known *Snapshot, wait time.Duration) (*Snapshot, error)
}

// Store is a key-value store with leases and long polls.
type Store interface {
	// List returns all pairs under prefix and the revision that a watch
	// continues from.
	List(ctx context.Context, prefix string) ([]Pair, Revision, error)
	// Await returns the changes under prefix after a revision, and the revision
	// to continue from. It returns none when wait passed without a change, and
	// ErrHistoryLost when the changes are no longer kept.
	Await(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Pair, Revision, error)
	// Commit runs txn atomically and tells whether its conditions held. The
	// error ErrUnknownOutcome means that the write may still take effect, and
	// ErrLeaseLost that a lease of the transaction has ended.
	Commit(ctx context.Context, txn Txn) (bool, error)
	// Grant creates a lease that lapses unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease. It returns ErrLeaseLost when it has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
}
