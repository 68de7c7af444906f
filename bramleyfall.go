// Package bramleyfall is the root of a layer-4 load balancer whose balancers
// keep no flow state: the agent beside each upstream owns the flows.
//
// The package holds the data types that all programs share and the interfaces
// behind which behaviour varies. Implementations live in sibling packages that
// are named after the peer or protocol they speak to. Decision code takes
// events and times and returns actions; it opens no socket, starts no
// goroutine and reads no wall clock.
package bramleyfall

import (
	"context"
	"time"
)

// Clock tells the time. Programs pass the system clock, tests and replays a
// clock of their own.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// ClockFunc adapts a function to the Clock interface.
type ClockFunc func() time.Time

// Now returns the time that f returns.
func (f ClockFunc) Now() time.Time { return f() }

// SystemClock returns the clock of the machine.
func SystemClock() Clock { return ClockFunc(time.Now) }

// Router chooses the upstreams that a balancer offers a packet to.
type Router interface {
	// Route fills list with the hops for a packet of flow and returns OK, or
	// the reason why there is none. Opening tells whether the packet opens the
	// flow. Page selects the ranks that an earlier list did not hold.
	Route(flow Flow, opening bool, page uint8, list *HopList) ResultCode
}

// PacketFilter decides at an upstream what happens to a packet.
type PacketFilter interface {
	// FromCaller decides on a packet that a balancer or another agent sent.
	FromCaller(packet *Packet, list *HopList, now time.Time) Action
	// FromUpstream decides on a packet that the upstream sent.
	FromUpstream(packet *Packet, now time.Time) Action
	// Sweep returns the resets and probes that are due at now.
	Sweep(now time.Time) []Action
}

// KeyValueStore is the key-value service that keeps the configuration.
type KeyValueStore interface {
	// Range returns the pairs whose keys are in [from, to) and the revision of
	// the store at which they were read.
	Range(ctx context.Context, from, to string) ([]KeyValue, Revision, error)
	// Commit runs txn atomically and tells whether its conditions held. The
	// error ErrUnknownOutcome means that the write may have taken effect.
	Commit(ctx context.Context, txn Txn) (bool, error)
	// Grant creates a lease that lapses unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease and returns the time left on it. A zero
	// duration means that the lease has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Watch calls notify for each change under prefix until ctx ends or the
	// stream breaks.
	Watch(ctx context.Context, prefix string, notify func(KeyValue)) error
}

// TraceRecorder keeps a trace of inputs and decisions for a later replay.
type TraceRecorder interface {
	// Record appends one event. It never blocks the caller.
	Record(event TraceEvent)
}

// PacketCodec reads and writes the packets that callers and upstreams exchange.
// Payload and header belong to the two ends; only the tag may be written.
type PacketCodec interface {
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

// LongPollStore is a key-value store with leases and long polls.
type LongPollStore interface {
	// List returns all pairs under prefix and the revision that a watch
	// continues from.
	List(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// Await returns the changes under prefix after a revision, and the revision
	// to continue from. It returns none when wait passed without a change, and
	// ErrHistoryLost when the changes are no longer kept.
	Await(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]KeyValue, Revision, error)
	// Commit runs txn atomically and tells whether its conditions held. The
	// error ErrUnknownOutcome means that the write may still take effect, and
	// ErrLeaseLost that a lease of the transaction has ended.
	Commit(ctx context.Context, txn Txn) (bool, error)
	// Grant creates a lease that lapses unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease. It returns ErrLeaseLost when it has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
}
