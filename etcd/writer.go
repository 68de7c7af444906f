package etcd

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

const (
	// maxCommitAttempts is the maximum number of transactions for a change. An
	// attempt fails if a concurrent change of another key was committed first.
	maxCommitAttempts = 20
	// maxRetainedChanges is the number of most recent changes that stay readable
	// one by one in the store. Older ones are deleted.
	maxRetainedChanges = 1000
)

// Proposal is a configuration change requested by an operator.
type Proposal struct {
	ID    bramleyfall.ChangeID
	Actor string
	// Key is the configuration key to change.
	Key string
	// Edit returns the new value of Key for its current value. A nil value means
	// that the key has no value.
	Edit func(current json.RawMessage) (json.RawMessage, error)
	// Known is the revision up to which the submitting instance knows all changes, and
	// KnownID the ID of the change at that revision, or "" if it is unknown. Newest is
	// the newest revision that the instance has heard of. A store that lacks these
	// changes does not accept the proposal.
	Known, Newest bramleyfall.Revision
	KnownID       bramleyfall.ChangeID
}

// Writer commits configuration changes with compare-and-swap transactions.
type Writer struct {
	store bramleyfall.KeyValueStore
	clock bramleyfall.Clock
}

// NewWriter returns a writer to store that takes the time of changes from clock.
func NewWriter(store bramleyfall.KeyValueStore, clock bramleyfall.Clock) *Writer {
	return &Writer{store: store, clock: clock}
}

// Submit commits a change and returns it as accepted. It retries while concurrent
// changes of other keys are committed first. If the error's code is NotAccepted,
// LostRace (the key itself was changed concurrently), PlatformAway or
// PlatformRolledBack, nothing was written; if it is Unknown, the write may have taken
// effect. Submit is idempotent: a repeated call with the same ID never applies a change
// twice.
func (w *Writer) Submit(ctx context.Context, p Proposal) (bramleyfall.Change, error) {
	first := true
	var previousModRevision int64
	for range maxCommitAttempts {
		if c, ok, err := w.Find(ctx, p.ID); err != nil || ok {
			return c, err
		}
		current, modRevision, err := currentChange(ctx, w.store, p.Key)
		if err != nil {
			return bramleyfall.Change{}, err
		}
		if !first && modRevision != previousModRevision {
			return bramleyfall.Change{}, conflictError(p, current)
		}
		first, previousModRevision = false, modRevision
		c, committed, err := w.tryCommit(ctx, p, current, modRevision)
		if committed || err != nil {
			return c, err
		}
	}
	return bramleyfall.Change{}, bramleyfall.Errorf(bramleyfall.NotAccepted,
		"change %s was not applied: concurrent changes of other keys were committed first in each of %d attempts", p.ID, maxCommitAttempts)
}

func conflictError(p Proposal, conflicting bramleyfall.Change) error {
	return bramleyfall.Errorf(bramleyfall.LostRace,
		"%s was changed concurrently by %s with change %s at revision %d; its value is now %s; change %s was not applied",
		p.Key, conflicting.Actor, conflicting.ID, conflicting.Revision, string(conflicting.Value), p.ID)
}

// Find returns the accepted change with the given ID and whether there is one. Only
// the last maxRetainedChanges changes are found.
func (w *Writer) Find(ctx context.Context, id bramleyfall.ChangeID) (bramleyfall.Change, bool, error) {
	pairs, _, err := w.store.Range(ctx, changeIDKey(id), "")
	if err != nil || len(pairs) == 0 {
		return bramleyfall.Change{}, false, err
	}
	var c bramleyfall.Change
	if err := json.Unmarshal(pairs[0].Value, &c); err != nil {
		return c, false, bramleyfall.Errorf(bramleyfall.PlatformAway, "change %s: %v", id, err)
	}
	return c, true, nil
}

// currentChange returns the latest change of a key and the store's modification revision
// of that key.
func currentChange(ctx context.Context, store bramleyfall.KeyValueStore, key string) (bramleyfall.Change, int64, error) {
	pairs, _, err := store.Range(ctx, itemKey(key), "")
	if err != nil || len(pairs) == 0 {
		return bramleyfall.Change{}, 0, err
	}
	var c bramleyfall.Change
	err = json.Unmarshal(pairs[0].Value, &c)
	return c, pairs[0].ModRevision, err
}

// tryCommit makes one attempt to commit a change. The returned bool is false if
// another change was committed first.
func (w *Writer) tryCommit(ctx context.Context, p Proposal, current bramleyfall.Change, modRevision int64) (bramleyfall.Change, bool, error) {
	latest, latestModRevision, err := readLatest(ctx, w.store)
	if err != nil {
		return bramleyfall.Change{}, false, err
	}
	if err := w.checkHistory(ctx, &p, latest.Revision); err != nil {
		return bramleyfall.Change{}, false, err
	}
	value, err := p.Edit(current.Value)
	if err != nil {
		return bramleyfall.Change{}, false, err
	}
	c := bramleyfall.Change{
		Revision: latest.Revision + 1, ID: p.ID, Key: p.Key, Value: value, Actor: p.Actor, At: w.clock.Now().UTC(),
	}
	txn, err := newTxn(ctx, w.store, c, modRevision, latestModRevision)
	if err != nil {
		return bramleyfall.Change{}, false, err
	}
	accepted, err := w.store.Commit(ctx, txn)
	if err == nil {
		return c, accepted, nil
	}
	if errors.Is(err, bramleyfall.ErrUnknownOutcome) {
		return w.resolveOutcome(ctx, c, txn)
	}
	return bramleyfall.Change{}, false, err
}

// checkHistory returns an error with code PlatformRolledBack if the store, which is at
// revision latest, lacks changes that the submitting instance knows. It would assign
// their revisions to other changes.
func (w *Writer) checkHistory(ctx context.Context, p *Proposal, latest bramleyfall.Revision) error {
	if known := max(p.Known, p.Newest); latest < known {
		return rolledBackError(latest, known)
	}
	if p.Known == 0 || p.KnownID == "" || latest-p.Known >= maxRetainedChanges {
		return nil
	}
	return checkChangeID(ctx, w.store, p.Known, p.KnownID, p.Known)
}

// resolveOutcome determines whether a write whose response was lost took effect.
// Sending the same transaction again is safe: if the first one took effect, its
// conditions are no longer met.
func (w *Writer) resolveOutcome(ctx context.Context, c bramleyfall.Change, txn bramleyfall.Txn) (bramleyfall.Change, bool, error) {
	const maxAttempts = 3
	retry := newBackoff()
	for range maxAttempts {
		found, ok, err := w.Find(ctx, c.ID)
		switch {
		case err != nil:
			sleep(ctx, retry.NextBackOff())
			continue
		case ok:
			return found, true, nil
		}
		accepted, err := w.store.Commit(ctx, txn)
		if err == nil && accepted {
			return c, true, nil
		}
		if err == nil {
			found, ok, err = w.Find(ctx, c.ID)
			if err == nil {
				return found, ok, nil
			}
		}
	}
	return c, false, bramleyfall.Errorf(bramleyfall.Unknown,
		"unknown whether change %s took effect: the platform did not respond; check with: show change %s", c.ID, c.ID)
}

// newTxn returns a transaction that commits c if neither the key of c, at
// modRevision, nor the latest revision, at latestModRevision, has been changed and
// no change with the ID of c exists. A modification revision of 0 means that the
// key must not exist.
func newTxn(ctx context.Context, store bramleyfall.KeyValueStore, c bramleyfall.Change, modRevision, latestModRevision int64) (bramleyfall.Txn, error) {
	record, err := json.Marshal(c)
	if err != nil {
		return bramleyfall.Txn{}, err
	}
	latestValue, err := json.Marshal(latestRevision{Revision: c.Revision})
	if err != nil {
		return bramleyfall.Txn{}, err
	}
	txn := bramleyfall.Txn{
		Conditions: []bramleyfall.Condition{
			{Key: latestRevisionKey, ModRevision: latestModRevision},
			{Key: itemKey(c.Key), ModRevision: modRevision},
			{Key: changeIDKey(c.ID)},
		},
		Writes: []bramleyfall.Write{
			{Key: latestRevisionKey, Value: latestValue},
			{Key: itemKey(c.Key), Value: record},
			{Key: changeKey(c.Revision), Value: record},
			{Key: changeIDKey(c.ID), Value: record},
		},
	}
	if c.Revision > maxRetainedChanges {
		deletes, err := pruneChange(ctx, store, c.Revision-maxRetainedChanges)
		if err != nil {
			return bramleyfall.Txn{}, err
		}
		txn.Writes = append(txn.Writes, deletes...)
	}
	return txn, nil
}

// pruneChange returns the writes that delete the change at revision r and the entry
// for its ID.
func pruneChange(ctx context.Context, store bramleyfall.KeyValueStore, r bramleyfall.Revision) ([]bramleyfall.Write, error) {
	pairs, _, err := store.Range(ctx, changeKey(r), "")
	if err != nil || len(pairs) == 0 {
		return nil, err
	}
	var c bramleyfall.Change
	if err := json.Unmarshal(pairs[0].Value, &c); err != nil {
		return nil, err
	}
	return []bramleyfall.Write{
		{Key: changeKey(r), Delete: true},
		{Key: changeIDKey(c.ID), Delete: true},
	}, nil
}
