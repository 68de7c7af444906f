// Package directory synchronizes a process with the store: it watches the
// operators' configuration and the agents' entries, and keeps an agent's own
// entry registered under a lease.
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

// A watch can stop delivering changes while its connection stays open and new
// calls succeed. Only its timeout reveals this.
const (
	// BalancerWatchTimeout bounds one watch of the configuration by a balancer.
	// With the slack of the call it stays below the 4 s after which a balancer
	// counts as connected to the store again.
	BalancerWatchTimeout = 3 * time.Second
	// AgentWatchTimeout bounds one watch of the configuration by an agent. It may
	// be longer because balancers' messages carry the revision of the last change;
	// only an idle agent receives none.
	AgentWatchTimeout = 10 * time.Second
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

// HealthFunc receives the outcome of the calls to the store: nil while they
// succeed, the error of a call that failed.
type HealthFunc func(err error)

// FetchFunc fetches the configuration that a peer holds.
type FetchFunc func(ctx context.Context, peer bramleyfall.Endpoint) (*bramleyfall.Snapshot, error)

// ConfigurationWatcher watches the operators' configuration. While the store
// rejects the calls of this process, it fetches newer configurations from peers.
type ConfigurationWatcher struct {
	source  bramleyfall.ConfigurationSource
	fetch   FetchFunc
	changed func(*bramleyfall.Snapshot)
	health  HealthFunc
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

// NewConfigurationWatcher returns a watcher that passes each new configuration
// to changed. One watch takes at most wait.
func NewConfigurationWatcher(source bramleyfall.ConfigurationSource, fetch FetchFunc, changed func(*bramleyfall.Snapshot), health HealthFunc, wait time.Duration) *ConfigurationWatcher {
	return &ConfigurationWatcher{source: source, fetch: fetch, changed: changed, health: health, wait: wait, ahead: make(chan word, 1)}
}

// ObservePeerRevision records the revision of the last change that a peer knows.
// The configuration is read again if the watch doesn't deliver that change soon.
func (f *ConfigurationWatcher) ObservePeerRevision(peer bramleyfall.Endpoint, changed bramleyfall.Revision) {
	if !f.behind(changed) {
		return
	}
	select {
	case f.ahead <- word{peer: peer, changed: changed}:
	default:
	}
}

// behind reports whether a change may be unknown.
func (f *ConfigurationWatcher) behind(changed bramleyfall.Revision) bool {
	return uint64(changed) > f.revision.Load()
}

// Run watches the configuration until ctx is done.
func (f *ConfigurationWatcher) Run(ctx context.Context) {
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
func (f *ConfigurationWatcher) askPeer(ctx context.Context) {
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
func (f *ConfigurationWatcher) follow(ctx context.Context, retry *backoff.ExponentialBackOff) error {
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
func (f *ConfigurationWatcher) next(ctx context.Context, s *bramleyfall.Snapshot) (*bramleyfall.Snapshot, error) {
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

func (f *ConfigurationWatcher) loopStale(done <-chan struct{}, stopped chan<- struct{}, cancel context.CancelCauseFunc) {
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
func (f *ConfigurationWatcher) take(s *bramleyfall.Snapshot) {
	if f.known != nil && (s.Version < f.known.Version || s.Revision < f.known.Revision) {
		return
	}
	f.revision.Store(max(f.revision.Load(), uint64(s.Revision)))
	f.known = f.dated(s)
	f.changed(f.known)
}

// dated returns s with the revision of its last change. What was read in full
// doesn't show when something was removed: at its own revision at the latest.
func (f *ConfigurationWatcher) dated(s *bramleyfall.Snapshot) *bramleyfall.Snapshot {
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
