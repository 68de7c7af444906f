package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

// The store does not report how far back its history reaches and may drop it at
// any time. Therefore balancers write a checkpoint every few seconds that holds
// the revisions of the checkpoints before it. A process that can still read the
// changes since one of these revisions has all changes of the last few seconds.
const (
	// checkpointKey is below watchedPrefix so that the watch of the agents' entries
	// delivers the checkpoint too.
	checkpointKey = watchedPrefix + "mark"
	// checkpointMinInterval is the minimum time between two checkpoints. It is longer
	// than an agent takes to write its entry again after the entry expired.
	checkpointMinInterval = 4500 * time.Millisecond
	// checkpointJitter bounds the random delay after checkpointMinInterval at which
	// a balancer writes a checkpoint, unless another balancer has written one. A
	// checkpoint ends a watch that would have timed out soon in any case, so it costs
	// few additional calls. Without the random delay, many balancers would write at
	// the same moment, and each checkpoint would cost every balancer one call.
	checkpointJitter = entryWatchTimeout - checkpointMinInterval
	// maxPreviousCheckpoints is the number of earlier checkpoints that a checkpoint
	// refers to. The oldest was written at least maxPreviousCheckpoints times
	// checkpointMinInterval ago, so that the history since then contains entries that
	// expired because the store rejected their agents' calls for some seconds.
	maxPreviousCheckpoints = 3
)

// checkpoint is the value stored under checkpointKey.
type checkpoint struct {
	// Previous holds the revisions of the checkpoints before this one, oldest first.
	Previous []int64 `json:"Previous"`
	// Era is the era of the store that the writer knew. A checkpoint that is read in
	// another era comes from before a restore: changes after it are missing from the
	// history.
	Era bramleyfall.Era `json:"Era,omitempty"`
}

var errNoHistory = errors.New("the store's history does not reach back to an earlier checkpoint")

// checkpointState holds what an EntryWatcher knows about the checkpoints.
type checkpointState struct {
	// revision is the revision at which the store holds a checkpoint, or zero if it holds
	// none.
	revision int64
	// last is the revision of the latest known checkpoint of the era, or zero.
	last int64
	// previous holds the revisions that the latest known checkpoint refers to.
	previous []int64
	// next is the time at which this process writes a checkpoint.
	next time.Time
	// jitter returns a random duration below its argument.
	jitter func(time.Duration) time.Duration
}

func newCheckpointState() checkpointState { return checkpointState{jitter: rand.N[time.Duration]} }

// reschedule sets the time of the next write after a checkpoint was received or
// written, and at the start, when none is known.
func (s *checkpointState) reschedule(now time.Time) {
	s.next = now.Add(checkpointMinInterval + s.jitter(checkpointJitter))
}

// observe records a checkpoint that was read from the store. A malformed one is not
// referred to.
func (s *checkpointState) observe(pair bramleyfall.KeyValue, now time.Time) error {
	if pair.Deleted {
		s.revision, s.last, s.previous = 0, 0, nil
		return nil
	}
	if pair.ModRevision == s.revision {
		return nil // listed again
	}
	s.revision, s.last, s.previous = pair.ModRevision, 0, nil
	s.reschedule(now)
	var value checkpoint
	if err := json.Unmarshal(pair.Value, &value); err != nil {
		return errors.Wrap(err, "mark")
	}
	if value.Era != bramleyfall.Revision(pair.ModRevision).Era() {
		return nil
	}
	if !validPrevious(value.Previous, pair.ModRevision) {
		return bramleyfall.Errorf(bramleyfall.MalformedMessage, "mark at revision %d: the revisions %v are not earlier ones in ascending order", pair.ModRevision, value.Previous)
	}
	s.last, s.previous = pair.ModRevision, value.Previous[max(0, len(value.Previous)-maxPreviousCheckpoints):]
	return nil
}

// validPrevious reports whether a checkpoint at a revision may refer to the given
// revisions: ascending ones before it, of the same era.
func validPrevious(previous []int64, revision int64) bool {
	last := int64(bramleyfall.NewRevision(bramleyfall.Revision(revision).Era(), 0))
	for _, p := range previous {
		if p <= last {
			return false
		}
		last = p
	}
	return last < revision
}

// untilNext returns the time until this process has to write a checkpoint.
func (s *checkpointState) untilNext(now time.Time) time.Duration { return s.next.Sub(now) }

// nextPrevious returns the revisions that the next checkpoint refers to.
func (s *checkpointState) nextPrevious() []int64 {
	if s.last == 0 {
		return nil
	}
	previous := append(slices.Clone(s.previous), s.last)
	return previous[max(0, len(previous)-maxPreviousCheckpoints):]
}

// writeCheckpoint writes a checkpoint if one is due and no other process has
// written it. The condition refuses concurrent checkpoints but one, and a write that
// takes effect late: it would refer to older revisions than the checkpoint it replaces,
// from which the history may no longer be available.
func (w *EntryWatcher) writeCheckpoint(ctx context.Context) error {
	now := w.clock.Now()
	if w.checkpoints.untilNext(now) > 0 {
		return nil
	}
	w.checkpoints.reschedule(now)
	value, err := json.Marshal(checkpoint{Previous: w.checkpoints.nextPrevious(), Era: w.revision.Era()})
	if err != nil {
		return err
	}
	result, err := w.store.Commit(ctx, bramleyfall.Txn{
		Conditions: []bramleyfall.Condition{{Key: checkpointKey, ModRevision: w.checkpoints.revision}},
		Writes:     []bramleyfall.Write{{Key: checkpointKey, Value: value}},
	})
	if err != nil || result.Committed {
		return err
	}
	current := bramleyfall.KeyValue{Key: checkpointKey, Deleted: true}
	if len(result.Current) > 0 {
		current = result.Current[0]
	}
	w.applyChange(current)
	return nil
}
