package directory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

const (
	// leaseTTL is the time after which the entry of an agent that stopped is
	// removed. Balancers notice sooner by the packets that it leaves unanswered.
	leaseTTL = 8 * time.Second
	// renewEvery is the time in which an agent notices that its entry is gone, and
	// leaves room for renewals that fail.
	renewEvery = leaseTTL / 4
	// lateWrites is the time for which a write of unknown outcome may still take
	// effect: the platform's page speaks of some seconds, 6 s were seen.
	lateWrites = 7 * time.Second
)

// Announcer registers an agent's entry in the store and keeps its lease alive
// while Run is running.
type Announcer struct {
	store  bramleyfall.LongPollStore
	health HealthFunc
	wake   chan struct{}
	mu     sync.Mutex
	wanted *bramleyfall.Announcement

	// What follows belongs to run.
	written *bramleyfall.Announcement
	lease   bramleyfall.LeaseID
	// key is that of the entry which was written or removed last.
	key string
	// late is the time for which a write may still take effect, and settleAt when
	// what was written last is written once more for that reason, or zero.
	late     time.Duration
	settleAt time.Time
}

// AnnouncerOption configures an Announcer.
type AnnouncerOption func(*Announcer)

// WithLateWriteWindow sets how long a write of unknown outcome may still take
// effect.
func WithLateWriteWindow(d time.Duration) AnnouncerOption { return func(a *Announcer) { a.late = d } }

// NewAnnouncer returns an announcer without an entry.
func NewAnnouncer(store bramleyfall.LongPollStore, health HealthFunc, options ...AnnouncerOption) *Announcer {
	a := &Announcer{store: store, health: health, wake: make(chan struct{}, 1), late: lateWrites}
	for _, o := range options {
		o(a)
	}
	return a
}

// SetEntry sets the entry that Run keeps in the store; nil withdraws it.
func (a *Announcer) SetEntry(entry *bramleyfall.Announcement) {
	a.mu.Lock()
	a.wanted = entry
	a.mu.Unlock()
	a.RenewNow()
}

// RenewNow makes Run renew the entry's lease at once, for instance because a
// balancer reported the entry missing. If the lease has expired, the entry is
// written again.
func (a *Announcer) RenewNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run keeps the entry in the store until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	retry := newRetry()
	for ctx.Err() == nil {
		a.mu.Lock()
		wanted := a.wanted
		a.mu.Unlock()
		settle := a.settleIn()
		if wanted == nil && a.written == nil && settle > 0 {
			sleepUntil(ctx, settle, a.wake)
			continue
		}
		err := a.step(ctx, wanted, settle <= 0)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, bramleyfall.ErrLeaseLost):
			a.lease, a.written = 0, nil
		case err != nil:
			if errors.Is(err, bramleyfall.ErrUnknownOutcome) {
				a.settleAt = time.Now().Add(a.late)
			}
			a.health(err)
			sleep(ctx, retry.NextBackOff())
		default:
			a.health(nil)
			retry.Reset()
			sleepUntil(ctx, min(renewEvery, max(0, a.settleIn())), a.wake)
		}
	}
}

// settleIn returns the time until what was written last is written once more.
func (a *Announcer) settleIn() time.Duration {
	if a.settleAt.IsZero() {
		return leaseTTL
	}
	return time.Until(a.settleAt)
}

// step brings the store one call closer to what is wanted. Each of its writes
// may be repeated: it says the same again. Settle asks for one where nothing has
// changed.
func (a *Announcer) step(ctx context.Context, wanted *bramleyfall.Announcement, settle bool) error {
	if wanted != nil && a.written != nil && *a.written == *wanted && !settle {
		return a.store.KeepAlive(ctx, a.lease)
	}
	writes := withdrawal(a.key)
	if wanted != nil {
		if err := a.takeLease(ctx); err != nil {
			return err
		}
		value, err := json.Marshal(wanted)
		if err != nil {
			return err
		}
		a.key = agentKey(wanted)
		writes = []bramleyfall.Write{{Key: a.key, Value: value, Lease: a.lease}}
	}
	if _, err := a.store.Commit(ctx, bramleyfall.Txn{Writes: writes}); err != nil {
		return err
	}
	a.written = wanted
	if settle {
		a.settleAt = time.Time{}
	}
	return nil
}

// withdrawal removes an entry and says that it was removed on purpose.
func withdrawal(key string) []bramleyfall.Write {
	return []bramleyfall.Write{{Key: key, Delete: true}, {Key: withdrawnKey, Value: []byte(key)}}
}

func (a *Announcer) takeLease(ctx context.Context) error {
	if a.lease != 0 {
		return nil
	}
	lease, err := a.store.Grant(ctx, leaseTTL)
	a.lease = lease
	return err
}
