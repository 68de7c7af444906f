package etcd

import (
	"context"
	"encoding/json"
	"strings"
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
	// RecordMalformed is called when a record that another process wrote cannot be used.
	RecordMalformed(err error)
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
	go func() { watchDone <- r.watchChanges(watchCtx, cancel) }()
	if err := r.CatchUp(ctx); err != nil {
		return err
	}
	r.handler.SetPlatformError(nil)
	return <-watchDone
}

// watchChanges passes on changes until the watch breaks. It ends the watch after a
// malformed change, so that the snapshot that is read next closes the gap.
func (r *Reader) watchChanges(ctx context.Context, cancel context.CancelFunc) error {
	var malformed error
	err := r.store.Watch(ctx, changePrefix, func(p bramleyfall.KeyValue) {
		if p.Deleted || malformed != nil {
			return
		}
		c, err := decodeChange(p)
		if err != nil {
			malformed = err
			r.handler.RecordMalformed(err)
			cancel()
			return
		}
		r.handler.HandleChanges([]bramleyfall.Change{c}, false, c.Revision)
	})
	if malformed != nil {
		return malformed
	}
	return err
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
	changes, malformed, err := readChanges(ctx, r.store, changeKey(max(known, 1)), PrefixEnd(changePrefix))
	if err != nil {
		return err
	}
	r.recordMalformed(malformed)
	if len(changes) > 0 && changes[0].Revision == known {
		if lastID != "" && changes[0].ID != lastID {
			return rolledBackError(latest.Revision, known)
		}
		changes = changes[1:]
	}
	if len(changes) == 0 && known == latest.Revision {
		return nil
	}
	if len(changes) > 0 && changes[0].Revision == known+1 && len(malformed) == 0 {
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
		items, malformed, err := readItems(ctx, r.store)
		if err != nil {
			return err
		}
		after, err := readLatestRevision(ctx, r.store)
		if err != nil {
			return err
		}
		if before.Revision != after.Revision {
			continue
		}
		r.recordMalformed(malformed)
		if len(malformed) == 0 && latestOf(items) != after.Revision {
			return bramleyfall.Errorf(bramleyfall.MalformedMessage, "the platform is at revision %d, but the latest change of an item is %d", after.Revision, latestOf(items))
		}
		r.handler.HandleChanges(items, true, after.Revision)
		return nil
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

func (r *Reader) recordMalformed(malformed []error) {
	for _, err := range malformed {
		r.handler.RecordMalformed(err)
	}
}

// latestOf returns the greatest revision of the given changes, or zero.
func latestOf(changes []bramleyfall.Change) bramleyfall.Revision {
	latest := bramleyfall.Revision(0)
	for i := range changes {
		latest = max(latest, changes[i].Revision)
	}
	return latest
}

// readChanges returns the changes stored under the keys of changes in [from, to), and an
// error for each that is malformed.
func readChanges(ctx context.Context, store bramleyfall.KeyValueStore, from, to string) (changes []bramleyfall.Change, malformed []error, err error) {
	pairs, _, err := store.Range(ctx, from, to)
	if err != nil {
		return nil, nil, err
	}
	changes = make([]bramleyfall.Change, 0, len(pairs))
	for _, pair := range pairs {
		c, err := decodeChange(pair)
		if err != nil {
			malformed = append(malformed, err)
			continue
		}
		changes = append(changes, c)
	}
	return changes, malformed, nil
}

// decodeChange decodes a change that is stored under the key of its revision.
func decodeChange(pair bramleyfall.KeyValue) (bramleyfall.Change, error) {
	var c bramleyfall.Change
	if err := json.Unmarshal(pair.Value, &c); err != nil {
		return c, bramleyfall.Errorf(bramleyfall.MalformedMessage, "key %s: %v", pair.Key, err)
	}
	if c.Revision == 0 || changeKey(c.Revision) != pair.Key {
		return c, bramleyfall.Errorf(bramleyfall.MalformedMessage, "key %s holds the change of revision %d", pair.Key, c.Revision)
	}
	return c, nil
}

// readItems returns the latest change of each item, and an error for each that is
// malformed. A malformed item has revision zero, so that the state known of it stays.
func readItems(ctx context.Context, store bramleyfall.KeyValueStore) (items []bramleyfall.Change, malformed []error, err error) {
	pairs, _, err := store.Range(ctx, itemPrefix, PrefixEnd(itemPrefix))
	if err != nil {
		return nil, nil, err
	}
	items = make([]bramleyfall.Change, 0, len(pairs))
	for _, pair := range pairs {
		var c bramleyfall.Change
		err := json.Unmarshal(pair.Value, &c)
		if err == nil && (c.Revision == 0 || itemKey(c.Key) != pair.Key) {
			err = bramleyfall.Errorf(bramleyfall.MalformedMessage, "holds a change of %q at revision %d", c.Key, c.Revision)
		}
		if err != nil {
			malformed = append(malformed, bramleyfall.Errorf(bramleyfall.MalformedMessage, "key %s: %v", pair.Key, err))
			c = bramleyfall.Change{Key: strings.TrimPrefix(pair.Key, itemPrefix)}
		}
		items = append(items, c)
	}
	return items, malformed, nil
}
