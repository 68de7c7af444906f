// Package directory synchronizes a process with the store: it watches the
// operators' configuration and the agents' entries, and keeps an agent's own
// entry registered under a lease. Balancers and agents run its watchers and
// announcers; how they react to a reported change is left to them.
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
// calls succeed. This ends only with the timeout of the watch.
const (
	// BalancerWatchTimeout bounds one watch of the configuration by a balancer.
	// Including the additional time allowed for the call, it stays below the 4 s
	// after which a balancer counts as connected to the store again.
	BalancerWatchTimeout = 3 * time.Second
	// AgentWatchTimeout bounds one watch of the configuration by an agent. It may
	// be longer because the balancers' messages carry the revision of the last
	// change; only an idle agent receives no messages.
	AgentWatchTimeout = 10 * time.Second
	// entryWatchTimeout bounds one watch of the agents' entries.
	entryWatchTimeout = 6 * time.Second
	// minBatchPause is the shortest pause after a watch that delivered changes, so
	// that changes in quick succession are read by one call. It is a fraction of
	// every time within which a change must be known.
	minBatchPause = 250 * time.Millisecond
	// watchGracePeriod is the time that a watch has to deliver a change that a peer
	// already knows.
	watchGracePeriod = 200 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound the pauses after failed calls.
	// With the longest pause, a store that rejects calls receives two attempts per
	// second.
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
)

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryInterval
	b.MaxInterval = maxRetryInterval
	return b
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) { sleepUntil(ctx, d, nil) }

// sleepUntil waits for d, or until ctx is done or wake receives. It reports
// whether wake received.
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

// HealthFunc receives the result of calls to the store: nil if they succeeded, or
// the error of a failed call.
type HealthFunc func(err error)

// FetchFunc fetches the configuration that a peer holds.
type FetchFunc func(ctx context.Context, peer bramleyfall.Endpoint) (*bramleyfall.Snapshot, error)

// ConfigurationWatcher watches the operators' configuration. While the store
// rejects the calls of this process, it fetches newer configurations from peers.
type ConfigurationWatcher struct {
	source       bramleyfall.ConfigurationSource
	fetch        FetchFunc
	onChange     func(*bramleyfall.Snapshot)
	health       HealthFunc
	watchTimeout time.Duration
	onRejection  RejectionFunc
	clock        bramleyfall.Clock
	// observed holds the state of a peer that knows a later change.
	observed chan peerState
	// revision is the store revision up to which all changes are known, and version
	// the version of the configuration in force.
	revision, version atomic.Uint64

	// The fields below are used only by Run and the goroutine of its watch.

	// known is the configuration in force, or nil.
	known *bramleyfall.Snapshot
	// ahead is the last value received from observed, or zero.
	ahead peerState
	// retained holds the evacuations that a restore of the store may have undone.
	retained retainedEvacuations
}

// peerState is what a peer knows: the revision of the last change and the version of
// the configuration.
type peerState struct {
	peer    bramleyfall.Endpoint
	changed bramleyfall.Revision
	version bramleyfall.ConfigVersion
}

// RejectionFunc receives a configuration that was read but not applied because it
// is older than the one in force.
type RejectionFunc func(read, inForce *bramleyfall.Snapshot)

// ConfigurationOption configures a ConfigurationWatcher.
type ConfigurationOption func(*ConfigurationWatcher)

// WithRejectionObserver sets a function that is called for each configuration that
// is not applied because it is older than the one in force.
func WithRejectionObserver(observe RejectionFunc) ConfigurationOption {
	return func(w *ConfigurationWatcher) { w.onRejection = observe }
}

// WithClock sets the clock by which evacuations are retained after a restore of the
// store. The default is the system's clock.
func WithClock(clock bramleyfall.Clock) ConfigurationOption {
	return func(w *ConfigurationWatcher) { w.clock = clock }
}

// NewConfigurationWatcher returns a watcher that passes each new configuration
// to onChange. One watch takes at most watchTimeout.
func NewConfigurationWatcher(source bramleyfall.ConfigurationSource, fetch FetchFunc, onChange func(*bramleyfall.Snapshot), health HealthFunc, watchTimeout time.Duration, options ...ConfigurationOption) *ConfigurationWatcher {
	w := &ConfigurationWatcher{
		source: source, fetch: fetch, onChange: onChange, health: health, watchTimeout: watchTimeout,
		onRejection: func(*bramleyfall.Snapshot, *bramleyfall.Snapshot) {}, clock: bramleyfall.SystemClock(),
		observed: make(chan peerState, 1),
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// ObservePeer records what a peer knows. If the watch doesn't deliver it soon, the
// configuration is read again and, if the store lacks it, fetched from the peer.
func (w *ConfigurationWatcher) ObservePeer(peer bramleyfall.Endpoint, changed bramleyfall.Revision, version bramleyfall.ConfigVersion) {
	state := peerState{peer: peer, changed: changed, version: version}
	if !w.isBehind(state) {
		return
	}
	select {
	case w.observed <- state:
	default:
	}
}

// isBehind reports whether a peer may know a change that is unknown here.
func (w *ConfigurationWatcher) isBehind(p peerState) bool {
	return uint64(p.changed) > w.revision.Load() || uint64(p.version) > w.version.Load()
}

// Run watches the configuration until ctx is done.
func (w *ConfigurationWatcher) Run(ctx context.Context) {
	retry := newRetry()
	for ctx.Err() == nil {
		err := w.readAndWatch(ctx, retry)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, bramleyfall.ErrHistoryLost) || errors.Is(err, errStale) {
			continue
		}
		w.health(err)
		w.fetchFromPeer(ctx)
		sleep(ctx, retry.NextBackOff())
	}
}

// fetchFromPeer applies the configuration of a peer that is known to have a later
// change. After a failed fetch the peer is not asked again until
// ObservePeer reports it again.
func (w *ConfigurationWatcher) fetchFromPeer(ctx context.Context) {
	select {
	case w.ahead = <-w.observed:
	default:
	}
	ahead := w.ahead
	w.ahead = peerState{}
	if !w.isBehind(ahead) {
		return
	}
	s, err := w.fetch(ctx, ahead.peer)
	if err == nil && w.isBehind(peerState{changed: s.Changed, version: s.Version}) {
		w.apply(s)
	}
}

// errStale ends a watch that has not delivered a change that a peer knows.
var errStale = errors.New("the watch has not delivered a change that a peer knows")

// readAndWatch reads the configuration and watches it until a call fails.
func (w *ConfigurationWatcher) readAndWatch(ctx context.Context, retry *backoff.ExponentialBackOff) error {
	s, err := w.source.Read(ctx)
	if err != nil {
		return err
	}
	w.apply(s)
	if w.isBehind(w.ahead) {
		w.fetchFromPeer(ctx)
	}
	for {
		w.health(nil)
		retry.Reset()
		next, err := w.next(ctx, s)
		if err != nil {
			return err
		}
		w.revision.Store(uint64(next.Revision))
		changed := !sameConfiguration(next, s)
		if changed || w.retained.due(w.clock.Now()) {
			w.apply(next)
		}
		if changed {
			sleep(ctx, minBatchPause)
		}
		s = next
	}
}

// sameConfiguration reports whether two snapshots have the same version and the
// same failure domains out of service. Taking a domain out changes no version.
func sameConfiguration(a, b *bramleyfall.Snapshot) bool {
	return a.Version == b.Version && maps.Equal(a.Out, b.Out)
}

// next waits for a change. It returns errStale if the watch does not deliver a
// change that a peer knows.
func (w *ConfigurationWatcher) next(ctx context.Context, s *bramleyfall.Snapshot) (*bramleyfall.Snapshot, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done, stopped := make(chan struct{}), make(chan struct{})
	defer func() {
		close(done)
		<-stopped
	}()
	go w.cancelWhenStale(done, stopped, cancel)
	next, err := w.source.Next(ctx, s, w.retained.limitWait(w.watchTimeout, w.clock.Now()))
	if err != nil && errors.Is(context.Cause(ctx), errStale) {
		return nil, errStale
	}
	return next, err
}

// cancelWhenStale cancels a watch that does not deliver a change within
// watchGracePeriod after a peer was observed to know it. It returns when done is
// closed, and closes stopped.
func (w *ConfigurationWatcher) cancelWhenStale(done <-chan struct{}, stopped chan<- struct{}, cancel context.CancelCauseFunc) {
	defer close(stopped)
	for {
		select {
		case <-done:
			return
		case w.ahead = <-w.observed:
		}
		timer := time.NewTimer(watchGracePeriod)
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		}
		if w.isBehind(w.ahead) {
			cancel(errStale)
			return
		}
	}
}

// apply passes a configuration to onChange, except for its parts that are older than
// those in force.
func (w *ConfigurationWatcher) apply(s *bramleyfall.Snapshot) {
	rejected := w.known != nil && (s.Version < w.known.Version || s.Revision < w.known.Revision)
	next := s
	if w.known != nil {
		next = w.withLastChange(w.merge(s))
	}
	w.revision.Store(max(w.revision.Load(), uint64(s.Revision)))
	w.version.Store(uint64(next.Version))
	if rejected {
		w.onRejection(s, w.known)
		if sameConfiguration(next, w.known) && next.Changed == w.known.Changed {
			return
		}
	}
	w.known = next
	w.onChange(next)
}

// withLastChange returns s with Changed set to the revision of its last change.
// A full read does not show when something was removed; the revision of the read
// is the latest possible one.
func (w *ConfigurationWatcher) withLastChange(s *bramleyfall.Snapshot) *bramleyfall.Snapshot {
	next := *s
	next.Changed = max(s.Changed, w.known.Changed)
	if !sameConfiguration(s, w.known) && s.Changed <= w.known.Revision {
		next.Changed = s.Revision
	}
	return &next
}
