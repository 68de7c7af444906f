// Package bramleyfall declares the data types and interfaces that all programs
// of a layer-4 load balancer share. The agent next to each upstream owns its
// flows; balancers keep no flow state that they cannot recover from the agents.
// Implementations of the interfaces are in subpackages named after the peer or
// protocol that they communicate with.
//
// Decision code is deterministic: it takes events and timestamps and returns
// actions. It opens no sockets, starts no goroutines and never reads the wall
// clock.
package bramleyfall

import (
	"context"
	"time"
)

// Clock is a source of the current time. Programs use SystemClock; tests and
// replays use a simulated clock.
type Clock interface {
	Now() time.Time
}

// ClockFunc adapts a function to the Clock interface.
type ClockFunc func() time.Time

// Now calls f.
func (f ClockFunc) Now() time.Time { return f() }

// SystemClock returns a Clock that reads the system time.
func SystemClock() Clock { return ClockFunc(time.Now) }

// Router selects the upstreams to which a balancer forwards a packet.
type Router interface {
	// Route fills list with the hops for a packet of flow and returns OK, or
	// the reason why there are none. The parameter opening reports whether the
	// packet opens the flow. The parameter page selects a page of the ranked
	// upstreams; each page continues the ranking where the previous one ends.
	Route(flow Flow, opening bool, page uint8, list *HopList) ResultCode
}

// PacketFilter decides, in the agent of an upstream, what happens to each
// packet to and from that upstream.
type PacketFilter interface {
	// FromCaller decides on a caller's packet that a balancer or another agent
	// forwarded.
	FromCaller(packet *Packet, list *HopList, now time.Time) Action
	// FromUpstream decides on a packet that the upstream sent.
	FromUpstream(packet *Packet, now time.Time) Action
	// Sweep returns the timer-driven actions, such as resets and keepalive
	// probes, that are due at now.
	Sweep(now time.Time) []Action
}

// KeyValueStore is a key-value store with leases and streaming watches, such
// as etcd, that holds the configuration. See LongPollStore for a store that is
// watched by long polling.
type KeyValueStore interface {
	// Range returns the key-value pairs with keys in [from, to) and the store
	// revision at which they were read.
	Range(ctx context.Context, from, to string) ([]KeyValue, Revision, error)
	// Commit executes txn atomically and reports whether its conditions held.
	// The error ErrUnknownOutcome means that the write may have taken effect.
	Commit(ctx context.Context, txn Txn) (bool, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time to live, which is
	// zero if the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Watch calls notify for each change under prefix until ctx is done or the
	// stream breaks.
	Watch(ctx context.Context, prefix string, notify func(KeyValue)) error
}

// TraceRecorder records inputs and decisions for later replay.
type TraceRecorder interface {
	// Record appends one event. It never blocks the caller.
	Record(event TraceEvent)
}

// PacketCodec decodes and modifies the packets exchanged between callers and
// upstreams. It may write only the tag; the rest of the header and the payload
// are passed through unchanged.
type PacketCodec interface {
	// Decode parses the header of raw into p. The Raw field of p aliases raw.
	Decode(raw []byte, p *Packet) error
	// SetTag writes tag into raw and clears the returned flag. An upstream that
	// returns a packet leaves the tag unchanged.
	SetTag(raw []byte, tag uint32)
	// AppendReset appends to raw a reset that is addressed to the caller of s.
	AppendReset(raw []byte, s *Segment) []byte
}

// ConfigurationSource provides the configuration set by the operators.
type ConfigurationSource interface {
	// Read returns the current configuration.
	Read(ctx context.Context) (*Snapshot, error)
	// Next blocks until the configuration differs from known and returns the
	// new one. It returns known if there is no change within wait, and
	// ErrHistoryLost if the configuration must be read again with Read.
	Next(ctx context.Context, known *Snapshot, wait time.Duration) (*Snapshot, error)
}

// LongPollStore is a key-value store with leases that is watched by long
// polling. See KeyValueStore for a store with streaming watches.
type LongPollStore interface {
	// List returns all key-value pairs under prefix and the revision from which
	// to watch for later changes.
	List(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// Await blocks until there are changes under prefix after the given revision
	// and returns them with the revision from which to continue. It returns no
	// changes if there are none within wait, and ErrHistoryLost if the store no
	// longer retains the changes after that revision or has been restored since.
	Await(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]KeyValue, Revision, error)
	// Commit executes txn atomically if its conditions hold. The error
	// ErrUnknownOutcome means that the write may still take effect while the conditions
	// hold, ErrLeaseLost that a lease used by the transaction has ended, and
	// ErrHistoryLost that the store was restored since the revision of a condition.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns ErrLeaseLost if the lease has ended or the
	// store has been restored since it was granted.
	KeepAlive(ctx context.Context, lease LeaseID) error
}
