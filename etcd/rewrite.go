package etcd

import (
	"context"

	"bramleyfall.example/bramleyfall"
)

// rewriteLostChanges commits the changes after latest, up to known, that the store has
// lost. The other instances may do the same at the same time. An accepted change must
// not revert, and its revision must not be assigned to another change.
func (r *Reader) rewriteLostChanges(ctx context.Context, latest, known bramleyfall.Revision) error {
	lost, ok := r.handler.ChangesAfter(latest - min(latest, 1))
	if !ok || len(lost) == 0 {
		return rolledBackError(latest, known)
	}
	if latest > 0 {
		if err := checkChangeID(ctx, r.store, latest, lost[0].ID, known); err != nil {
			return err
		}
		lost = lost[1:]
	}
	for _, c := range lost {
		if err := r.rewrite(ctx, c); err != nil {
			return err
		}
	}
	r.handler.ChangesRewritten(lost)
	return nil
}

// rewrite commits an accepted change under its own revision, unless the store already
// has a change at that revision.
func (r *Reader) rewrite(ctx context.Context, c bramleyfall.Change) error {
	for range maxCommitAttempts {
		latest, latestModRevision, err := readLatest(ctx, r.store)
		switch {
		case err != nil:
			return err
		case latest.Revision >= c.Revision:
			return checkChangeID(ctx, r.store, c.Revision, c.ID, c.Revision)
		case latest.Revision != c.Revision-1:
			return rolledBackError(latest.Revision, c.Revision)
		}
		_, modRevision, err := currentChange(ctx, r.store, c.Key)
		if err != nil {
			return err
		}
		txn, err := newTxn(ctx, r.store, c, modRevision, latestModRevision)
		if err != nil {
			return err
		}
		if committed, err := r.store.Commit(ctx, txn); committed || err != nil {
			return err
		}
	}
	return bramleyfall.Errorf(bramleyfall.PlatformAway, "change %s was not written again: other changes were committed first in each of %d attempts", c.ID, maxCommitAttempts)
}

// checkChangeID returns an error with code PlatformRolledBack if the store does not have
// the change with the given ID at a revision.
func checkChangeID(ctx context.Context, store bramleyfall.KeyValueStore, revision bramleyfall.Revision, id bramleyfall.ChangeID, known bramleyfall.Revision) error {
	changes, _, err := readChanges(ctx, store, changeKey(revision), "")
	if err != nil {
		return err
	}
	if len(changes) != 1 || changes[0].ID != id {
		return rolledBackError(revision, known)
	}
	return nil
}
