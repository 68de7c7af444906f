package etcd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bramleyfall.example/bramleyfall"
)

// Reader reads and watches the configuration in the store and passes changes to a
// ChangeHandler. If the store has lost accepted changes, for instance by a restore
// from an older backup, it writes them again. It rejects a store with other changes in
// their place.
type Reader struct {
	store   bramleyfall.KeyValueStore
	handler ChangeHandler
}

// ChangeHandler receives the configuration changes that a Reader reads.
type ChangeHandler interface {
	// KnownRevision returns the configuration revision up to which all changes are
	// known, and the ID of the change at that revision, or "" if the ID is unknown.
	KnownRevision() (bramleyfall.Revision, bramleyfall.ChangeID)
	// ChangesAfter returns the changes after a configuration revision in ascending
	// order, or false if not all of them are known.
	ChangesAfter(revision bramleyfall.Revision) ([]bramleyfall.Change, bool)
	// ChangesRewritten is called after changes that the store had lost were written
	// again.
	ChangesRewritten(changes []bramleyfall.Change)
	// HandleChanges receives changes up to a configuration revision. If full is set,
	// changes is a snapshot of the whole configuration at that revision.
	HandleChanges(changes []bramleyfall.Change, full bool, revision bramleyfall.Revision)
	// SetPlatformError receives the error of the last read or watch, or nil after
	// a successful read.
	SetPlatformError(err error)
}

// NewReader returns a reader that passes changes to handler.
func NewReader(store bramleyfall.KeyValueStore, handler ChangeHandler) *Reader {
	return &Reader{store: store, handler: handler}
}

// Run reads and watches the configuration until ctx is done. It retries with
// jittered exponential backoff.
func (r *Reader) Run(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		started := time.Now()
		err := r.syncAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		r.handler.SetPlatformError(err)
		if time.Since(started) > retry.MaxInterval {
			retry.Reset()
		}
		sleep(ctx, retry.NextBackOff())
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	const (
		initialInterval = 200 * time.Millisecond
		maxInterval     = 2 * time.Second
	)
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialInterval
	b.MaxInterval = maxInterval
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// syncAndWatch reads the missing changes and then watches for new ones. The watch
// is started before the read, so that no change between the two is missed.
func (r *Reader) syncAndWatch(ctx context.Context) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchDone := make(chan error, 1)
	go r.watchChanges(watchCtx, watchDone)
	if err := r.CatchUp(ctx); err != nil {
		return err
	}
	r.handler.SetPlatformError(nil)
	return <-watchDone
}

func (r *Reader) watchChanges(ctx context.Context, done chan<- error) {
	done <- r.store.Watch(ctx, changePrefix, func(p bramleyfall.KeyValue) {
		if p.Deleted {
			return
		}
		var c bramleyfall.Change
		if json.Unmarshal(p.Value, &c) == nil {
			r.handler.HandleChanges([]bramleyfall.Change{c}, false, c.Revision)
		}
	})
}

// CatchUp reads the changes after the known revision, or a full snapshot if the
// store no longer has all of them. If the store is behind the known revision, CatchUp
// writes the missing changes again. It returns an error with code PlatformRolledBack
// if not all of these are known, or if the store has another change at a known
// revision.
func (r *Reader) CatchUp(ctx context.Context) error {
	latest, err := readLatestRevision(ctx, r.store)
	if err != nil {
		return err
	}
	known, lastID := r.handler.KnownRevision()
	if latest.Revision < known {
		return r.rewriteLostChanges(ctx, latest.Revision, known)
	}
	changes, err := readChanges(ctx, r.store, changeKey(max(known, 1)), PrefixEnd(changePrefix))
	if err != nil {
		return err
	}
	if len(changes) > 0 && changes[0].Revision == known {
		if lastID != "" && changes[0].ID != lastID {
			return rolledBackError(latest.Revision, known)
		}
		changes = changes[1:]
	}
	if len(changes) == 0 && known == latest.Revision {
		return nil
	}
	if len(changes) > 0 && changes[0].Revision == known+1 {
		r.handler.HandleChanges(changes, false, changes[len(changes)-1].Revision)
		return nil
	}
	return r.readSnapshot(ctx)
}

func rolledBackError(latest, known bramleyfall.Revision) error {
	return bramleyfall.Errorf(bramleyfall.PlatformRolledBack,
		"the platform has lost accepted changes: it is at revision %d; revision %d of this instance is not in its history", latest, known)
}

// readSnapshot reads the whole configuration. It reads the latest revision before
// and after the items and retries if they differ, so that the snapshot is
// consistent.
func (r *Reader) readSnapshot(ctx context.Context) error {
	const maxAttempts = 5
	for range maxAttempts {
		before, err := readLatestRevision(ctx, r.store)
		if err != nil {
			return err
		}
		items, err := readChanges(ctx, r.store, itemPrefix, PrefixEnd(itemPrefix))
		if err != nil {
			return err
		}
		after, err := readLatestRevision(ctx, r.store)
		if err != nil {
			return err
		}
		if before.Revision == after.Revision {
			r.handler.HandleChanges(items, true, after.Revision)
			return nil
		}
	}
	return bramleyfall.Errorf(bramleyfall.PlatformAway, "no consistent snapshot: the configuration changed during each of %d reads", maxAttempts)
}

func readLatestRevision(ctx context.Context, store bramleyfall.KeyValueStore) (latestRevision, error) {
	latest, _, err := readLatest(ctx, store)
	return latest, err
}

// readLatest returns the latest configuration revision and the store's modification
// revision of the key that holds it.
func readLatest(ctx context.Context, store bramleyfall.KeyValueStore) (latestRevision, int64, error) {
	pairs, _, err := store.Range(ctx, latestRevisionKey, "")
	if err != nil || len(pairs) == 0 {
		return latestRevision{}, 0, err
	}
	var latest latestRevision
	err = json.Unmarshal(pairs[0].Value, &latest)
	return latest, pairs[0].ModRevision, err
}

// readChanges returns the changes stored under the keys in [from, to).
func readChanges(ctx context.Context, store bramleyfall.KeyValueStore, from, to string) ([]bramleyfall.Change, error) {
	pairs, _, err := store.Range(ctx, from, to)
	if err != nil {
		return nil, err
	}
	changes := make([]bramleyfall.Change, 0, len(pairs))
	for _, pair := range pairs {
		var c bramleyfall.Change
		if err := json.Unmarshal(pair.Value, &c); err != nil {
			return nil, bramleyfall.Errorf(bramleyfall.NotAccepted, "key %s: %v", pair.Key, err)
		}
		changes = append(changes, c)
	}
	return changes, nil
}
