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
	// leaseTTL is the time after which the store removes the entry of an agent that
	// stopped renewing it. Balancers detect such an agent sooner because packets
	// that they send to it remain unanswered.
	leaseTTL = 8 * time.Second
	// renewInterval is the interval of lease renewals and thus the time within which
	// an agent detects that its entry is missing. It leaves time for further
	// attempts before the lease expires if a renewal fails.
	renewInterval = leaseTTL / 4
	// lateWriteWindow is the time for which a write of unknown outcome may still
	// take effect. The platform's documentation states a few seconds; delays of 6 s
	// have been observed.
	lateWriteWindow = 7 * time.Second
)

// Announcer registers an agent's entry in the store and renews its lease while
// Run is running.
type Announcer struct {
	store  bramleyfall.LongPollStore
	health HealthFunc
	wake   chan struct{}
	mu     sync.Mutex
	wanted *bramleyfall.Announcement

	// The fields below are used only by Run.

	// written is the entry that the store holds as far as Run knows, or nil.
	written *bramleyfall.Announcement
	lease   bramleyfall.LeaseID
	// key is the key of the entry that was written or removed last.
	key string
	// lateWindow is the time for which a write of unknown outcome may still take
	// effect. After such a write, the latest state is written once more at
	// rewriteAt, in case the late write has overwritten it; otherwise rewriteAt is
	// zero.
	lateWindow time.Duration
	rewriteAt  time.Time
}

// AnnouncerOption configures an Announcer.
type AnnouncerOption func(*Announcer)

// WithLateWriteWindow sets the time for which a write of unknown outcome may
// still take effect.
func WithLateWriteWindow(d time.Duration) AnnouncerOption {
	return func(a *Announcer) { a.lateWindow = d }
}

// NewAnnouncer returns an announcer without an entry.
func NewAnnouncer(store bramleyfall.LongPollStore, health HealthFunc, options ...AnnouncerOption) *Announcer {
	a := &Announcer{store: store, health: health, wake: make(chan struct{}, 1), lateWindow: lateWriteWindow}
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
		untilRewrite := a.untilRewrite()
		if wanted == nil && a.written == nil && untilRewrite > 0 {
			sleepUntil(ctx, untilRewrite, a.wake)
			continue
		}
		err := a.reconcile(ctx, wanted, untilRewrite <= 0)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, bramleyfall.ErrLeaseLost):
			a.lease, a.written = 0, nil
		case err != nil:
			if errors.Is(err, bramleyfall.ErrUnknownOutcome) {
				a.rewriteAt = time.Now().Add(a.lateWindow)
			}
			a.health(err)
			sleep(ctx, retry.NextBackOff())
		default:
			a.health(nil)
			retry.Reset()
			sleepUntil(ctx, min(renewInterval, max(0, a.untilRewrite())), a.wake)
		}
	}
}

// untilRewrite returns the time until the latest state has to be written once
// more, or leaseTTL if no rewrite is scheduled.
func (a *Announcer) untilRewrite() time.Duration {
	if a.rewriteAt.IsZero() {
		return leaseTTL
	}
	return time.Until(a.rewriteAt)
}

// reconcile renews the lease if the store holds the wanted entry; otherwise it
// writes the wanted entry or removes the old one. With rewrite set it writes even
// if nothing has changed. The writes are idempotent.
func (a *Announcer) reconcile(ctx context.Context, wanted *bramleyfall.Announcement, rewrite bool) error {
	if wanted != nil && a.written != nil && *a.written == *wanted && !rewrite {
		return a.store.KeepAlive(ctx, a.lease)
	}
	writes := withdrawalWrites(a.key)
	if wanted != nil {
		if err := a.ensureLease(ctx); err != nil {
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
	if rewrite {
		a.rewriteAt = time.Time{}
	}
	return nil
}

// withdrawalWrites returns the writes that remove an entry and record that its
// agent removed it; for an entry that expires there is no such record.
func withdrawalWrites(key string) []bramleyfall.Write {
	return []bramleyfall.Write{{Key: key, Delete: true}, {Key: withdrawnKey, Value: []byte(key)}}
}

func (a *Announcer) ensureLease(ctx context.Context) error {
	if a.lease != 0 {
		return nil
	}
	lease, err := a.store.Grant(ctx, leaseTTL)
	a.lease = lease
	return err
}
