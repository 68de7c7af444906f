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
)

// Announcer keeps an agent's entry in the store for as long as it runs.
type Announcer struct {
	store  bramleyfall.Store
	health Dependency
	wake   chan struct{}
	mu     sync.Mutex
	wanted *bramleyfall.Announcement

	// What follows belongs to run.
	written *bramleyfall.Announcement
	lease   bramleyfall.LeaseID
}

// NewAnnouncer returns an announcer without an entry.
func NewAnnouncer(store bramleyfall.Store, health Dependency) *Announcer {
	return &Announcer{store: store, health: health, wake: make(chan struct{}, 1)}
}

// Announce asks for an entry; nil asks for its removal.
func (a *Announcer) Announce(entry *bramleyfall.Announcement) {
	a.mu.Lock()
	a.wanted = entry
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run keeps the entry until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	retry := newRetry()
	for ctx.Err() == nil {
		a.mu.Lock()
		wanted := a.wanted
		a.mu.Unlock()
		if wanted == nil && a.written == nil {
			sleepUntil(ctx, leaseTTL, a.wake)
			continue
		}
		err := a.step(ctx, wanted)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, bramleyfall.ErrLeaseLost):
			a.lease, a.written = 0, nil
		case err != nil:
			a.health(err)
			sleep(ctx, retry.NextBackOff())
		default:
			a.health(nil)
			retry.Reset()
			sleepUntil(ctx, renewEvery, a.wake)
		}
	}
}

// step brings the store one call closer to what is wanted. Each of its writes
// may be repeated: it says the same again.
func (a *Announcer) step(ctx context.Context, wanted *bramleyfall.Announcement) error {
	switch {
	case wanted == nil:
		key := agentKey(a.written)
		if _, err := a.store.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{{Key: key, Delete: true}}}); err != nil {
			return err
		}
		a.written = nil
		return nil
	case a.written != nil && *a.written == *wanted:
		return a.store.KeepAlive(ctx, a.lease)
	}
	if a.lease == 0 {
		lease, err := a.store.Grant(ctx, leaseTTL)
		if err != nil {
			return err
		}
		a.lease = lease
	}
	value, err := json.Marshal(wanted)
	if err != nil {
		return err
	}
	write := bramleyfall.Write{Key: agentKey(wanted), Value: value, Lease: a.lease}
	if _, err := a.store.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{write}}); err != nil {
		return err
	}
	a.written = wanted
	return nil
}
