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

// The store doesn't tell how far back its history goes, and may drop it at any
// time. So balancers write a mark every few seconds that names those before it: a
// process that still gets the changes since one of them knows that it has those of
// the last few seconds.
const (
	// markKey is where the watch of the agents' entries brings it.
	markKey = rosterPrefix + "mark"
	// markEvery is the least time between two marks: longer than an agent takes to
	// write its entry again that has lapsed.
	markEvery = 4500 * time.Millisecond
	// markWithin is the time after that within which each balancer draws the moment
	// at which it writes one, if no other has done so. The watch that brings a mark
	// would have ended soon without it, so that marks cost few calls; many at the
	// same moment would cost each balancer one for each.
	markWithin = rosterWait - markEvery
	// marksNamed is the number of earlier marks that one names. The oldest is at least
	// marksNamed times markEvery back: entries that lapsed since are known, also where
	// the store has turned their agents away for some seconds.
	marksNamed = 3
)

// mark is the value of the mark.
type mark struct {
	// Previous holds the revisions of the marks before, the oldest first.
	Previous []int64 `json:"Previous"`
}

var errNoHistory = errors.New("the store's history doesn't reach back to an earlier mark")

// marks is what a roster knows of the marks.
type marks struct {
	last     int64
	previous []int64
	// next is when one is to be written.
	next time.Time
	// draw returns a random time below a bound.
	draw func(time.Duration) time.Duration
}

func newMarks() marks { return marks{draw: rand.N[time.Duration]} }

// seen notes that a mark was seen or written, or that none can be known of yet.
func (m *marks) seen(now time.Time) {
	m.next = now.Add(markEvery + m.draw(markWithin))
}

// take notes a mark.
func (m *marks) take(pair bramleyfall.KeyValue, now time.Time) error {
	if pair.ModRevision == m.last {
		return nil // a list names it again
	}
	var value mark
	err := json.Unmarshal(pair.Value, &value)
	m.last, m.previous = pair.ModRevision, value.Previous
	m.seen(now)
	return errors.Wrap(err, "mark")
}

// due returns the time until a mark is to be written.
func (m *marks) due(now time.Time) time.Duration { return m.next.Sub(now) }

// names returns what the next mark names.
func (m *marks) names() []int64 {
	if m.last == 0 {
		return nil
	}
	named := append(slices.Clone(m.previous), m.last)
	return named[max(0, len(named)-marksNamed):]
}

// writeMark writes a mark where no other process has written one. Two at the same time
// name the same earlier one, and a late one an older one: nothing is lost by it.
func (r *EntryWatcher) writeMark(ctx context.Context) error {
	now := r.clock.Now()
	if r.marks.due(now) > 0 {
		return nil
	}
	r.marks.seen(now)
	value, err := json.Marshal(mark{Previous: r.marks.names()})
	if err != nil {
		return err
	}
	_, err = r.store.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{{Key: markKey, Value: value}}})
	return err
}
