package directory

import (
	"context"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// settleShare is the share of the entries whose changes are to be known within
	// settleFor. Those of fewer may come later, by one call for several.
	settleShare = 0.125
	// settleMost is the longest pause after changes: with a call of the store within
	// the two seconds in which entries that are back are to be known.
	settleMost = 1500 * time.Millisecond
	// settleFrom is the age of a roster from which its pauses may be longer than
	// settleFor: agents whose entries have lapsed unseen are back before.
	settleFrom = 5 * time.Second
	// ListFreshFor is how long after a list or a poll all agents count as known.
	// During this time the pauses between watches are at most settleFor.
	ListFreshFor = time.Second
)

// watch takes the changes after the known revision until a call fails. It begins
// with a look, if one is asked for. A look leaves the watch that waits as it is.
func (r *EntryWatcher) watch(ctx context.Context, look bool, succeeded func()) error {
	ctx, cancel := context.WithCancel(ctx)
	var waiting <-chan answer
	defer func() {
		cancel()
		if waiting != nil {
			<-waiting
		}
	}()
	for ctx.Err() == nil {
		if !look && waiting == nil {
			waiting = r.startWatch(ctx)
		}
		var a answer
		if look {
			a = r.look(ctx)
		} else {
			select {
			case a = <-waiting:
				waiting = nil
			case <-r.refresh:
				look = true
				continue
			}
		}
		if a.err != nil {
			return a.err
		}
		r.health(nil)
		succeeded()
		changes := r.take(&a)
		if look {
			r.listedAsOf(a.asOf)
		}
		if err := r.writeMark(ctx); err != nil {
			return err
		}
		look = r.settle(ctx, changes)
	}
	return ctx.Err()
}

// answer is what a call for changes brought, and when the call was made.
type answer struct {
	asOf     time.Time
	changes  []bramleyfall.KeyValue
	revision bramleyfall.Revision
	err      error
}

// startWatch calls for changes and returns where the answer comes.
func (r *EntryWatcher) startWatch(ctx context.Context) <-chan answer {
	answers := make(chan answer, 1)
	wait := max(0, min(rosterWait, r.marks.due(r.clock.Now())))
	after := r.revision
	go func() { answers <- r.await(ctx, after, wait) }()
	return answers
}

// look asks for what has changed by now.
func (r *EntryWatcher) look(ctx context.Context) answer { return r.await(ctx, r.revision, 0) }

func (r *EntryWatcher) await(ctx context.Context, after bramleyfall.Revision, wait time.Duration) answer {
	a := answer{asOf: r.clock.Now()}
	a.changes, a.revision, a.err = r.store.Await(ctx, rosterPrefix, after, wait)
	return a
}

// take takes the changes that are new, and returns their number. A watch brings
// again what a look has brought.
func (r *EntryWatcher) take(a *answer) int {
	count := 0
	for _, change := range a.changes {
		if change.ModRevision > int64(r.revision) {
			count++
			r.change(change)
		}
	}
	r.revision = max(r.revision, a.revision)
	return count
}

// listedAsOf tells the members that all entries that the store had at a time are
// known to them.
func (r *EntryWatcher) listedAsOf(at time.Time) {
	r.asOf = at
	r.members.ListComplete(at)
}

// settle pauses after a watch that brought changes, so that the next ones come by
// one call. It reports whether somebody asked for a look meanwhile.
func (r *EntryWatcher) settle(ctx context.Context, changes int) bool {
	if changes == 0 {
		return false
	}
	pause := settleFor
	now := r.clock.Now()
	if now.Sub(r.since) >= settleFrom && now.Sub(r.asOf) >= ListFreshFor {
		pause = settleTime(changes, len(r.listed))
	}
	return sleepUntil(ctx, pause, r.refresh)
}

// settleTime returns the pause after some changes of all the entries: the fewer
// upstreams they concern, the less is lost by hearing of the next ones later.
func settleTime(changes, entries int) time.Duration {
	pause := time.Duration(settleShare * float64(entries) / float64(changes) * float64(settleFor))
	return min(settleMost, max(settleFor, pause))
}
