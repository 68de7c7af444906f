package etcd

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

const (
	// maxTries bounds how often a change is offered while others win the race
	// for the head with changes of other keys.
	maxTries = 20
	// keptChanges is the number of changes that the platform keeps one by one.
	keptChanges = 1000
)

// Proposal is a change that an operator asked for.
type Proposal struct {
	ID    bramleyfall.ChangeID
	Actor string
	// Key is the key to change.
	Key string
	// Edit returns the new value for the current one; nil stands for no value.
	Edit func(current json.RawMessage) (json.RawMessage, error)
}

// Writer has changes accepted by the platform's compare-and-swap.
type Writer struct {
	platform bramleyfall.KeyValueStore
	clock    bramleyfall.Clock
}

// NewWriter returns a writer to p that dates changes by clock.
func NewWriter(p bramleyfall.KeyValueStore, clock bramleyfall.Clock) *Writer {
	return &Writer{platform: p, clock: clock}
}

// Submit offers a change until it is accepted or refused. The returned change
// is the accepted one. The error's code is NotAccepted, LostRace, PlatformAway
// (nothing was written) or Unknown (the write may have taken effect). Asking
// again with the same id never applies a change twice.
func (w *Writer) Submit(ctx context.Context, p Proposal) (bramleyfall.Change, error) {
	first := true
	var seen int64
	for range maxTries {
		if c, ok, err := w.Find(ctx, p.ID); err != nil || ok {
			return c, err
		}
		current, modified, err := w.current(ctx, p.Key)
		if err != nil {
			return bramleyfall.Change{}, err
		}
		if !first && modified != seen {
			return bramleyfall.Change{}, lostRace(p, current)
		}
		first, seen = false, modified
		c, done, err := w.try(ctx, p, current, modified)
		if done || err != nil {
			return c, err
		}
	}
	return bramleyfall.Change{}, bramleyfall.Errorf(bramleyfall.NotAccepted,
		"change %s lost %d races for the head of the configuration; nothing was changed", p.ID, maxTries)
}

func lostRace(p Proposal, winner bramleyfall.Change) error {
	return bramleyfall.Errorf(bramleyfall.LostRace,
		"%s was changed first by %s with change %s at revision %d; it holds %s now; nothing was changed by %s",
		p.Key, winner.Actor, winner.ID, winner.Revision, string(winner.Value), p.ID)
}

// Find returns the accepted change with the given id.
func (w *Writer) Find(ctx context.Context, id bramleyfall.ChangeID) (bramleyfall.Change, bool, error) {
	pairs, _, err := w.platform.Range(ctx, changeIDKey(id), "")
	if err != nil || len(pairs) == 0 {
		return bramleyfall.Change{}, false, err
	}
	var c bramleyfall.Change
	if err := json.Unmarshal(pairs[0].Value, &c); err != nil {
		return c, false, bramleyfall.Errorf(bramleyfall.PlatformAway, "change %s: %v", id, err)
	}
	return c, true, nil
}

// current returns the newest change of a key and the platform's revision of it.
func (w *Writer) current(ctx context.Context, key string) (bramleyfall.Change, int64, error) {
	pairs, _, err := w.platform.Range(ctx, itemKey(key), "")
	if err != nil || len(pairs) == 0 {
		return bramleyfall.Change{}, 0, err
	}
	var c bramleyfall.Change
	err = json.Unmarshal(pairs[0].Value, &c)
	return c, pairs[0].ModRevision, err
}

// try offers the change once. Done is false when another change came first.
func (w *Writer) try(ctx context.Context, p Proposal, current bramleyfall.Change, modified int64) (bramleyfall.Change, bool, error) {
	pairs, _, err := w.platform.Range(ctx, headKey, "")
	if err != nil {
		return bramleyfall.Change{}, false, err
	}
	var h head
	var headModified int64
	if len(pairs) > 0 {
		headModified = pairs[0].ModRevision
		if err := json.Unmarshal(pairs[0].Value, &h); err != nil {
			return bramleyfall.Change{}, false, err
		}
	}
	value, err := p.Edit(current.Value)
	if err != nil {
		return bramleyfall.Change{}, false, err
	}
	c := bramleyfall.Change{
		Revision: h.Revision + 1, ID: p.ID, Key: p.Key, Value: value, Actor: p.Actor, At: w.clock.Now().UTC(),
	}
	txn, err := w.txn(ctx, c, modified, headModified)
	if err != nil {
		return bramleyfall.Change{}, false, err
	}
	accepted, err := w.platform.Commit(ctx, txn)
	if err == nil {
		return c, accepted, nil
	}
	if errors.Is(err, bramleyfall.ErrUnknownOutcome) {
		return w.resolve(ctx, c, txn)
	}
	return bramleyfall.Change{}, false, err
}

// resolve finds out whether a write took effect whose answer was lost. Sending
// the same transaction again is safe: if the first one took effect, its
// conditions no longer hold.
func (w *Writer) resolve(ctx context.Context, c bramleyfall.Change, txn bramleyfall.Txn) (bramleyfall.Change, bool, error) {
	const reads = 3
	retry := newBackoff()
	for range reads {
		found, ok, err := w.Find(ctx, c.ID)
		switch {
		case err != nil:
			sleep(ctx, retry.NextBackOff())
			continue
		case ok:
			return found, true, nil
		}
		accepted, err := w.platform.Commit(ctx, txn)
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
		"the platform did not say whether change %s took effect; ask with: show change %s", c.ID, c.ID)
}

func (w *Writer) txn(ctx context.Context, c bramleyfall.Change, modified, headModified int64) (bramleyfall.Txn, error) {
	record, err := json.Marshal(c)
	if err != nil {
		return bramleyfall.Txn{}, err
	}
	headValue, err := json.Marshal(head{Revision: c.Revision})
	if err != nil {
		return bramleyfall.Txn{}, err
	}
	txn := bramleyfall.Txn{
		Conditions: []bramleyfall.Condition{
			{Key: headKey, ModRevision: headModified},
			{Key: itemKey(c.Key), ModRevision: modified},
			{Key: changeIDKey(c.ID)},
		},
		Writes: []bramleyfall.Write{
			{Key: headKey, Value: headValue},
			{Key: itemKey(c.Key), Value: record},
			{Key: changeKey(c.Revision), Value: record},
			{Key: changeIDKey(c.ID), Value: record},
		},
	}
	if c.Revision > keptChanges {
		old, err := w.trim(ctx, c.Revision-keptChanges)
		if err != nil {
			return bramleyfall.Txn{}, err
		}
		txn.Writes = append(txn.Writes, old...)
	}
	return txn, nil
}

// trim returns the writes that remove an old change with its id.
func (w *Writer) trim(ctx context.Context, r bramleyfall.Revision) ([]bramleyfall.Write, error) {
	pairs, _, err := w.platform.Range(ctx, changeKey(r), "")
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
