// Package directory keeps a process up to date with the store: the operators'
// configuration, the agents' entries, and an agent's own entry under a lease.
package directory

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

// A watch may go deaf: it hears nothing any more while its connection stays open
// and new calls work. Only the end of its wait shows it.
const (
	// BalancerWait is the longest wait of a balancer's watch of the configuration:
	// with the slack of the call less than the 4 s after which it counts as in
	// touch with the store again.
	BalancerWait = 3 * time.Second
	// AgentWait is that of an agent's. Balancers' messages show it that something has
	// changed, but an idle one gets none.
	AgentWait = 10 * time.Second
	// rosterWait is the longest wait of a watch of the agents' entries.
	rosterWait = 6 * time.Second
	// settleFor is the pause after a watch that brought changes, so that changes
	// in quick succession come by one call. It is a fraction of any bound.
	settleFor = 250 * time.Millisecond
	// behindFor is how long a watch may take to bring a change that a peer knows.
	behindFor = 200 * time.Millisecond
	// firstRetry and lastRetry bound the pauses between calls that failed. The
	// last one leaves a store that turned calls away two tries a second.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetry
	b.MaxInterval = lastRetry
	return b
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) { sleepUntil(ctx, d, nil) }

// sleepUntil waits for d, or until ctx ends or wake has something, which it reports.
func sleepUntil(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-wake:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// Dependency tells whether the store answers.
type Dependency func(err error)

// Fetch reads the configuration that a peer has.
type Fetch func(ctx context.Context, peer bramleyfall.Endpoint) (*bramleyfall.Snapshot, error)

// Follower keeps the operators' configuration up to date. While the store turns
// this process away, it takes newer configurations from peers.
type Follower struct {
	source  bramleyfall.ConfigurationSource
	fetch   Fetch
	changed func(*bramleyfall.Snapshot)
	health  Dependency
	wait    time.Duration
	// ahead holds a peer that knows a later change.
	ahead chan word
	// revision is that of the store up to which all changes are known.
	revision atomic.Uint64

	// What follows belongs to Run.
	known *bramleyfall.Snapshot
	newer word
}

// word is what a peer said: the revision of the last change that it knows.
type word struct {
	peer    bramleyfall.Endpoint
	changed bramleyfall.Revision
}

// NewFollower returns a follower that hands each configuration to changed. Wait
// is the longest wait of one watch.
func NewFollower(source bramleyfall.ConfigurationSource, fetch Fetch, changed func(*bramleyfall.Snapshot), health Dependency, wait time.Duration) *Follower {
	return &Follower{source: source, fetch: fetch, changed: changed, health: health, wait: wait, ahead: make(chan word, 1)}
}

// Heard notes the revision of the last change that a peer knows. The configuration
// is read again if the watch doesn't bring that change soon.
func (f *Follower) Heard(peer bramleyfall.Endpoint, changed bramleyfall.Revision) {
	if !f.behind(changed) {
		return
	}
	select {
	case f.ahead <- word{peer: peer, changed: changed}:
	default:
	}
}

// behind reports whether a change may be unknown.
func (f *Follower) behind(changed bramleyfall.Revision) bool {
	return uint64(changed) > f.revision.Load()
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := newRetry()
	for ctx.Err() == nil {
		err := f.follow(ctx, retry)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, bramleyfall.ErrHistoryLost) || errors.Is(err, errStale) {
			continue
		}
		f.health(err)
		f.askPeer(ctx)
		sleep(ctx, retry.NextBackOff())
	}
}

// askPeer takes the configuration of a peer that is known to be ahead.
// A peer that doesn't answer is left out until it shows again that it has.
func (f *Follower) askPeer(ctx context.Context) {
	select {
	case f.newer = <-f.ahead:
	default:
	}
	newer := f.newer
	f.newer = word{}
	if !f.behind(newer.changed) {
		return
	}
	s, err := f.fetch(ctx, newer.peer)
	if err == nil && f.behind(s.Changed) {
		f.take(s)
	}
}

// errStale ends a watch because something newer is known to be there.
var errStale = errors.New("something newer is known")

// follow reads the configuration and watches it until a call fails.
func (f *Follower) follow(ctx context.Context, retry *backoff.ExponentialBackOff) error {
	s, err := f.source.Read(ctx)
	if err != nil {
		return err
	}
	f.take(s)
	for {
		f.health(nil)
		retry.Reset()
		next, err := f.next(ctx, s)
		if err != nil {
			return err
		}
		f.revision.Store(uint64(next.Revision))
		if !same(next, s) {
			f.take(next)
			sleep(ctx, settleFor)
		}
		s = next
	}
}

// same reports whether two configurations say the same.
func same(a, b *bramleyfall.Snapshot) bool {
	return a.Version == b.Version && maps.Equal(a.Out, b.Out)
}

// next waits for a change, or until a peer is known to have a newer one.
func (f *Follower) next(ctx context.Context, s *bramleyfall.Snapshot) (*bramleyfall.Snapshot, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done, stopped := make(chan struct{}), make(chan struct{})
	defer func() {
		close(done)
		<-stopped
	}()
	go f.loopStale(done, stopped, cancel)
	next, err := f.source.Next(ctx, s, f.wait)
	if err != nil && errors.Is(context.Cause(ctx), errStale) {
		return nil, errStale
	}
	return next, err
}

func (f *Follower) loopStale(done <-chan struct{}, stopped chan<- struct{}, cancel context.CancelCauseFunc) {
	defer close(stopped)
	for {
		select {
		case <-done:
			return
		case f.newer = <-f.ahead:
		}
		timer := time.NewTimer(behindFor)
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		}
		if f.behind(f.newer.changed) {
			cancel(errStale)
			return
		}
	}
}

// take hands a configuration on. One that is older than what was in force is
// left out: neither versions nor the failure domains in service go back.
func (f *Follower) take(s *bramleyfall.Snapshot) {
	if f.known != nil && (s.Version < f.known.Version || s.Revision < f.known.Revision) {
		return
	}
	f.revision.Store(max(f.revision.Load(), uint64(s.Revision)))
	f.known = f.dated(s)
	f.changed(f.known)
}

// dated returns s with the revision of its last change. What was read in full
// doesn't show when something was removed: at its own revision at the latest.
func (f *Follower) dated(s *bramleyfall.Snapshot) *bramleyfall.Snapshot {
	if f.known == nil {
		return s
	}
	next := *s
	next.Changed = max(s.Changed, f.known.Changed)
	if !same(s, f.known) && s.Changed <= f.known.Revision {
		next.Changed = s.Revision
	}
	return &next
}
