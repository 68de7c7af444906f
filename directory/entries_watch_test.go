package directory_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/directory"
)

// awaitInterval is the interval at which a waiting call of memoryStore checks for
// changes.
const awaitInterval = 10 * time.Millisecond

var errOutage = errors.New("store outage")

// memoryStore is an in-memory store with the calls that an EntryWatcher makes.
type memoryStore struct {
	bramleyfall.LongPollStore

	mu       sync.Mutex
	revision bramleyfall.Revision
	entries  map[string]bramleyfall.KeyValue
	history  []bramleyfall.KeyValue
	// droppedUpTo is the last revision whose change is no longer retained.
	droppedUpTo bramleyfall.Revision
	backup      *memoryStore
	// keepsCheckpoints makes Commit write, and lateBy delays its next write.
	keepsCheckpoints bool
	lateBy           time.Duration
	unavailable      bool
	// watchesStalled makes watches block until they are canceled; polls still work.
	watchesStalled        bool
	lists, polls, watches int
}

func newMemoryStore(agents int) *memoryStore {
	m := &memoryStore{revision: 1, entries: make(map[string]bramleyfall.KeyValue)}
	for n := range agents {
		m.putEntry(n)
	}
	return m
}

// putEntry writes the entry of agent n.
func (m *memoryStore) putEntry(n int) {
	a := bramleyfall.Announcement{
		Instance: bramleyfall.InstanceID(fmt.Sprintf("agent-%d", n)), Service: "railbook",
		Packets: bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 8000},
	}
	value, _ := json.Marshal(a) // encoding an announcement does not fail
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	pair := bramleyfall.KeyValue{
		Key:   "bramleyfall/agents/railbook/" + a.Packets.String() + "/" + string(a.Instance),
		Value: value, ModRevision: int64(m.revision),
	}
	m.entries[pair.Key] = pair
	m.history = append(m.history, pair)
}

// removeLastEntry removes the entry that was written last.
func (m *memoryStore) removeLastEntry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := m.history[len(m.history)-1].Key
	m.revision++
	delete(m.entries, key)
	m.history = append(m.history, bramleyfall.KeyValue{Key: key, ModRevision: int64(m.revision), Deleted: true})
}

func (m *memoryStore) List(context.Context, string) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists++
	if m.unavailable {
		return nil, 0, errOutage
	}
	var pairs []bramleyfall.KeyValue
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		pairs = append(pairs, m.entries[key])
	}
	return pairs, m.revision, nil
}

func (m *memoryStore) Await(ctx context.Context, _ string, after bramleyfall.Revision, wait time.Duration) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	m.mu.Lock()
	if wait == 0 {
		m.polls++
	} else {
		m.watches++
	}
	m.mu.Unlock()
	for until := time.Now().Add(wait); ; time.Sleep(awaitInterval) {
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		changes, revision, done, err := m.changesAfter(after, wait == 0, !time.Now().Before(until))
		if done || err != nil {
			return changes, revision, err
		}
	}
}

// changesAfter returns the changes after a revision. Done reports whether the call
// to Await may return: there are changes, or it has timed out.
func (m *memoryStore) changesAfter(after bramleyfall.Revision, poll, timedOut bool) (changes []bramleyfall.KeyValue, revision bramleyfall.Revision, done bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.watchesStalled && !poll:
		return nil, 0, false, nil
	case m.unavailable:
		return nil, 0, false, errOutage
	case after < m.droppedUpTo, after.Era() < m.revision.Era():
		return nil, 0, false, bramleyfall.ErrHistoryLost
	}
	for _, change := range m.history {
		if change.ModRevision > int64(after) {
			changes = append(changes, change)
		}
	}
	return changes, m.revision, len(changes) > 0 || timedOut, nil
}

// update calls change with the store's lock held.
func (m *memoryStore) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// count reads a counter with the lock held.
func (m *memoryStore) count(n *int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *n
}

// timeRecorder records when an EntryWatcher reported each agent, and the time as
// of which it last reported the list as complete.
type timeRecorder struct {
	directory.EntryHandler

	mu      sync.Mutex
	addedAt map[bramleyfall.InstanceID]time.Time
	missing []bramleyfall.InstanceID
	asOf    time.Time
}

func (r *timeRecorder) EntryAdded(a bramleyfall.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addedAt[a.Instance] = time.Now()
}

func (r *timeRecorder) ListComplete(asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asOf = asOf
}

func (r *timeRecorder) EntryMissing(id bramleyfall.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missing = append(r.missing, id)
}

func (r *timeRecorder) ListMayBeIncomplete(error) {}

// addedTime returns when agent n was reported last, or zero.
func (r *timeRecorder) addedTime(n int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addedAt[agentID(n)]
}

// completeAsOf returns the time as of which all agents are known.
func (r *timeRecorder) completeAsOf() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf
}

func agentID(n int) bramleyfall.InstanceID { return bramleyfall.InstanceID(fmt.Sprintf("agent-%d", n)) }

// runWatcher runs an EntryWatcher of m in virtual time, and check concurrently.
func runWatcher(t *testing.T, m *memoryStore, check func(is *is.I, rec *timeRecorder, w *directory.EntryWatcher)) {
	synctest.Test(t, func(t *testing.T) {
		rec := &timeRecorder{addedAt: make(map[bramleyfall.InstanceID]time.Time)}
		w := directory.NewEntryWatcher(m, bramleyfall.SystemClock(), rec, func(error) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		check(is.New(t), rec, w)
	})
}

// The load of a release: one upstream of many is replaced every 700 ms. Each
// change must be known within 2 s, with about half as many calls as changes.
func TestFewChangesComeByFewCalls(t *testing.T) {
	const agents, replaced = 60, 40
	m := newMemoryStore(agents)
	runWatcher(t, m, func(is *is.I, rec *timeRecorder, _ *directory.EntryWatcher) {
		time.Sleep(10 * time.Second)
		before := m.count(&m.watches)
		written := make([]time.Time, replaced)
		for n := range replaced {
			written[n] = time.Now()
			m.putEntry(agents + n)
			time.Sleep(700 * time.Millisecond)
		}
		calls := m.count(&m.watches) - before
		time.Sleep(2 * time.Second)
		for n, at := range written {
			is.True(!rec.addedTime(agents + n).IsZero())
			is.True(rec.addedTime(agents+n).Sub(at) < 2*time.Second)
		}
		is.True(calls <= replaced/2+1)
	})
}

// The load when a failure domain returns to service: if many upstreams change, the
// changes must be known after the shortest pause.
func TestManyChangesComeAtOnce(t *testing.T) {
	const agents, returned = 60, 20
	m := newMemoryStore(agents)
	runWatcher(t, m, func(is *is.I, rec *timeRecorder, _ *directory.EntryWatcher) {
		time.Sleep(10 * time.Second)
		for n := range 2 * returned {
			m.putEntry(agents + n)
			if n == returned-1 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		at := time.Now()
		time.Sleep(2 * time.Second)
		for n := range 2 * returned {
			is.True(!rec.addedTime(agents + n).IsZero())
			is.True(rec.addedTime(agents+n).Sub(at) <= 300*time.Millisecond)
		}
	})
}

// Guards against a long pause shortly after the first list, while agents whose
// entries expired before it write them again.
func TestFirstChangesComeSoon(t *testing.T) {
	const agents = 60
	m := newMemoryStore(agents)
	runWatcher(t, m, func(is *is.I, rec *timeRecorder, _ *directory.EntryWatcher) {
		time.Sleep(time.Second)
		m.putEntry(agents)
		time.Sleep(50 * time.Millisecond)
		m.putEntry(agents + 1)
		at := time.Now()
		time.Sleep(2 * time.Second)
		is.True(!rec.addedTime(agents + 1).IsZero())
		is.True(rec.addedTime(agents+1).Sub(at) <= 300*time.Millisecond)
	})
}

// Refresh must deliver changes at once by one poll, without a list, both if the
// watch has stopped delivering changes and in the pause after changes.
func TestLookPastADeafWatch(t *testing.T) {
	tests := []struct {
		name    string
		stalled bool
	}{
		{"the watch is stalled", true},
		{"in the pause after a change", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const agents = 60
			m := newMemoryStore(agents)
			runWatcher(t, m, func(is *is.I, rec *timeRecorder, w *directory.EntryWatcher) {
				time.Sleep(10 * time.Second)
				m.update(func() { m.watchesStalled = test.stalled })
				m.putEntry(agents)
				time.Sleep(100 * time.Millisecond)
				is.Equal(rec.addedTime(agents).IsZero(), test.stalled)
				m.putEntry(agents + 1)
				at, polls := time.Now(), m.count(&m.polls)
				w.Refresh()
				time.Sleep(100 * time.Millisecond)
				is.True(!rec.addedTime(agents + 1).IsZero())
				is.True(!rec.completeAsOf().Before(at))
				is.Equal(m.count(&m.lists), 1)
				is.Equal(m.count(&m.polls)-polls, 1)
			})
		})
	}
}

// Guards against applying a change twice: a watch that was pending during a poll
// delivers the changes of the poll again, which must not add an agent again that
// was removed in the meantime.
func TestWatchBringsNothingTwice(t *testing.T) {
	const agents = 60
	m := newMemoryStore(agents)
	runWatcher(t, m, func(is *is.I, rec *timeRecorder, w *directory.EntryWatcher) {
		time.Sleep(10 * time.Second)
		m.update(func() { m.watchesStalled = true })
		m.putEntry(agents)
		m.removeLastEntry()
		w.Refresh()
		time.Sleep(100 * time.Millisecond)
		at := rec.addedTime(agents)
		is.True(!at.IsZero())
		m.update(func() { m.watchesStalled = false })
		time.Sleep(10 * time.Second)
		is.Equal(rec.addedTime(agents), at)
		is.Equal(len(rec.missing), 1)
	})
}

// Guards against a long pause within ListMaxAge after a poll, while the list counts
// as complete: an agent that another balancer already knows would be missed.
func TestNoLongPauseAfterALook(t *testing.T) {
	const agents = 60
	m := newMemoryStore(agents)
	runWatcher(t, m, func(is *is.I, rec *timeRecorder, w *directory.EntryWatcher) {
		time.Sleep(10 * time.Second)
		m.putEntry(agents)
		w.Refresh()
		time.Sleep(300 * time.Millisecond)
		m.putEntry(agents + 1)
		time.Sleep(50 * time.Millisecond)
		m.putEntry(agents + 2)
		at := time.Now()
		time.Sleep(2 * time.Second)
		is.True(rec.addedTime(agents+2).Sub(at) <= 300*time.Millisecond)
	})
}

// Guards against taking the result of a watch for a complete list: a delayed
// duplicate of an earlier response may have ended the watch.
func TestWatchIsNoList(t *testing.T) {
	m := newMemoryStore(8)
	runWatcher(t, m, func(is *is.I, rec *timeRecorder, _ *directory.EntryWatcher) {
		time.Sleep(time.Second)
		m.putEntry(8)
		time.Sleep(30 * time.Second)
		is.True(!rec.addedTime(8).IsZero())
		is.True(time.Since(rec.completeAsOf()) > 30*time.Second)
	})
}

// After an outage the watcher continues from the last known revision. It lists all
// entries again only if the store has dropped the changes since.
func TestRosterGoesOnAfterAnOutage(t *testing.T) {
	tests := []struct {
		name    string
		dropped bool
		lists   int
	}{
		{"the changes are retained", false, 1},
		{"the changes are dropped", true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const agents = 60
			m := newMemoryStore(agents)
			runWatcher(t, m, func(is *is.I, rec *timeRecorder, _ *directory.EntryWatcher) {
				time.Sleep(10 * time.Second)
				m.update(func() { m.unavailable = true })
				time.Sleep(5 * time.Second)
				m.putEntry(agents)
				m.update(func() {
					if test.dropped {
						m.droppedUpTo = m.revision
					}
					m.unavailable = false
				})
				time.Sleep(time.Second)
				is.True(!rec.addedTime(agents).IsZero())
				is.Equal(m.count(&m.lists), test.lists)
			})
		})
	}
}
