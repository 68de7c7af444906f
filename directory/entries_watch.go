package directory

import (
	"context"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// minBatchPauseShare is the share of the entries that must have changed for the
	// pause to be as short as minBatchPause. If fewer have changed, the next changes
	// may be known later, several by one call.
	minBatchPauseShare = 0.125
	// maxBatchPause is the longest pause after a watch that delivered changes.
	// Together with a call to the store it stays within the 2 s in which an entry
	// that was written again must be known.
	maxBatchPause = 1500 * time.Millisecond
	// longPauseMinAge is the time after the first list from which pauses may be
	// longer than minBatchPause. By then, agents whose entries expired before the
	// list have written them again.
	longPauseMinAge = 5 * time.Second
	// ListMaxAge is the age up to which the result of a list or a poll may be taken
	// to be complete. Until then the pauses between watches are not longer than
	// minBatchPause.
	ListMaxAge = time.Second
)

// watch applies the changes after the known revision until a call fails. If poll
// is set, it starts with a poll. A poll does not interrupt a pending call for a
// watch.
func (w *EntryWatcher) watch(ctx context.Context, poll bool, succeeded func()) error {
	ctx, cancel := context.WithCancel(ctx)
	var pending <-chan awaitResult
	defer func() {
		cancel()
		if pending != nil {
			<-pending
		}
	}()
	for ctx.Err() == nil {
		if !poll && pending == nil {
			pending = w.startWatch(ctx)
		}
		var result awaitResult
		if poll {
			result = w.poll(ctx)
		} else {
			select {
			case result = <-pending:
				pending = nil
			case <-w.refresh:
				poll = true
				continue
			}
		}
		if result.err != nil {
			return result.err
		}
		w.health(nil)
		succeeded()
		changes := w.applyChanges(&result)
		if poll {
			w.reportComplete(result.asOf)
		}
		if err := w.writeCheckpoint(ctx); err != nil {
			return err
		}
		poll = w.pauseAfterChanges(ctx, changes)
	}
	return ctx.Err()
}

// awaitResult is the result of a call to Await that started at asOf.
type awaitResult struct {
	asOf     time.Time
	changes  []bramleyfall.KeyValue
	revision bramleyfall.Revision
	err      error
}

// startWatch starts a call that waits for changes and returns the channel that
// receives its result.
func (w *EntryWatcher) startWatch(ctx context.Context) <-chan awaitResult {
	results := make(chan awaitResult, 1)
	wait := max(0, min(entryWatchTimeout, w.checkpoints.untilNext(w.clock.Now())))
	after := w.revision
	go func() { results <- w.await(ctx, after, wait) }()
	return results
}

// poll reads the changes since the known revision without waiting for more.
func (w *EntryWatcher) poll(ctx context.Context) awaitResult { return w.await(ctx, w.revision, 0) }

func (w *EntryWatcher) await(ctx context.Context, after bramleyfall.Revision, wait time.Duration) awaitResult {
	result := awaitResult{asOf: w.clock.Now()}
	result.changes, result.revision, result.err = w.store.Await(ctx, watchedPrefix, after, wait)
	return result
}

// applyChanges applies the changes that are new and returns their number. A
// watch that was pending during a poll delivers the changes of the poll again.
func (w *EntryWatcher) applyChanges(result *awaitResult) int {
	count := 0
	for _, change := range result.changes {
		if change.ModRevision > int64(w.revision) {
			count++
			w.applyChange(change)
		}
	}
	w.applyWithdrawals()
	w.revision = max(w.revision, result.revision)
	return count
}

// reportComplete tells the handler that it knows all entries that the store held
// at the given time.
func (w *EntryWatcher) reportComplete(at time.Time) {
	w.lastListAt = at
	w.handler.ListComplete(at)
}

// pauseAfterChanges pauses after a call that returned changes, so that the next
// call returns several changes at once. It reports whether Refresh requested a
// poll during the pause.
func (w *EntryWatcher) pauseAfterChanges(ctx context.Context, changes int) bool {
	if changes == 0 {
		return false
	}
	pause := minBatchPause
	now := w.clock.Now()
	if now.Sub(w.startedAt) >= longPauseMinAge && now.Sub(w.lastListAt) >= ListMaxAge {
		pause = batchPause(changes, len(w.listed.byKey))
	}
	return sleepUntil(ctx, pause, w.refresh)
}

// batchPause returns the pause after the given number of changes among the given
// number of entries. The fewer upstreams change, the less harm is done if the next
// changes are known later.
func batchPause(changes, entries int) time.Duration {
	pause := time.Duration(minBatchPauseShare * float64(entries) / float64(changes) * float64(minBatchPause))
	return min(maxBatchPause, max(minBatchPause, pause))
}
