package directory_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/directory"
)

// pollEvery is the time between two looks of a waiting call of memory.
const pollEvery = 10 * time.Millisecond

var errDown = errors.New("the store is down")

// memory is a store in memory, with the calls that a roster makes.
type memory struct {
	bramleyfall.LongPollStore

	mu       sync.Mutex
	revision bramleyfall.Revision
	entries  map[string]bramleyfall.KeyValue
	history  []bramleyfall.KeyValue
	// dropped is the last revision whose changes are no longer kept.
	dropped bramleyfall.Revision
	down    bool
	// deaf makes watches wait for ever, but for looks.
	deaf                   bool
	lists, looks, watching int
}

func newMemory(agents int) *memory {
	m := &memory{revision: 1, entries: make(map[string]bramleyfall.KeyValue)}
	for n := range agents {
		m.put(n)
	}
	return m
}

// put writes the entry of an agent.
func (m *memory) put(n int) {
	a := bramleyfall.Announcement{
		Instance: bramleyfall.InstanceID(fmt.Sprintf("agent-%d", n)), Service: "railbook",
		Packets: bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 8000},
	}
	value, _ := json.Marshal(a) // an announcement is always encoded
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

// remove removes the entry of the agent that was put last.
func (m *memory) remove() {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := m.history[len(m.history)-1].Key
	m.revision++
	delete(m.entries, key)
	m.history = append(m.history, bramleyfall.KeyValue{Key: key, ModRevision: int64(m.revision), Deleted: true})
}

func (m *memory) List(context.Context, string) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists++
	if m.down {
		return nil, 0, errDown
	}
	var pairs []bramleyfall.KeyValue
	for _, pair := range m.entries {
		pairs = append(pairs, pair)
	}
	return pairs, m.revision, nil
}

func (m *memory) Await(ctx context.Context, _ string, after bramleyfall.Revision, wait time.Duration) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	m.mu.Lock()
	if wait == 0 {
		m.looks++
	} else {
		m.watching++
	}
	m.mu.Unlock()
	for until := time.Now().Add(wait); ; time.Sleep(pollEvery) {
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		changes, revision, done, err := m.after(after, wait == 0, !time.Now().Before(until))
		if done || err != nil {
			return changes, revision, err
		}
	}
}

// after returns the changes after a revision, if a call may return.
func (m *memory) after(after bramleyfall.Revision, look, over bool) (changes []bramleyfall.KeyValue, revision bramleyfall.Revision, done bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.deaf && !look:
		return nil, 0, false, nil
	case m.down:
		return nil, 0, false, errDown
	case after < m.dropped:
		return nil, 0, false, bramleyfall.ErrHistoryLost
	}
	for _, change := range m.history {
		if change.ModRevision > int64(after) {
			changes = append(changes, change)
		}
	}
	return changes, m.revision, len(changes) > 0 || over, nil
}

// set changes the store under its lock.
func (m *memory) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// count reads a count under the lock.
func (m *memory) count(n *int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *n
}

func (m *memory) Commit(context.Context, bramleyfall.Txn) (bool, error) { return true, nil }

// known notes when a roster told of each agent, and up to when all are known.
type known struct {
	directory.EntryHandler

	mu       sync.Mutex
	at       map[bramleyfall.InstanceID]time.Time
	unlisted []bramleyfall.InstanceID
	asOf     time.Time
}

func (k *known) EntryAdded(a bramleyfall.Announcement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.at[a.Instance] = time.Now()
}

func (k *known) ListComplete(asOf time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asOf = asOf
}

func (k *known) EntryMissing(id bramleyfall.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unlisted = append(k.unlisted, id)
}

func (k *known) ListMayBeIncomplete(error) {}

// knows returns when an agent was told of, or zero.
func (k *known) knows(n int) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.at[agentID(n)]
}

// complete returns the time as of which all agents are known.
func (k *known) complete() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.asOf
}

func agentID(n int) bramleyfall.InstanceID { return bramleyfall.InstanceID(fmt.Sprintf("agent-%d", n)) }

// follows runs a roster of m in virtual time, and play beside it.
func follows(t *testing.T, m *memory, play func(is *is.I, k *known, r *directory.EntryWatcher)) {
	synctest.Test(t, func(t *testing.T) {
		k := &known{at: make(map[bramleyfall.InstanceID]time.Time)}
		r := directory.NewEntryWatcher(m, bramleyfall.SystemClock(), k, func(error) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		play(is.New(t), k, r)
	})
}

// The load of a release: one upstream of many is replaced every 700 ms. Each is
// known within two seconds, by fewer calls than there are changes.
func TestFewChangesComeByFewCalls(t *testing.T) {
	const agents, replaced = 60, 40
	m := newMemory(agents)
	follows(t, m, func(is *is.I, k *known, _ *directory.EntryWatcher) {
		time.Sleep(10 * time.Second)
		before := m.count(&m.watching)
		written := make([]time.Time, replaced)
		for n := range replaced {
			written[n] = time.Now()
			m.put(agents + n)
			time.Sleep(700 * time.Millisecond)
		}
		calls := m.count(&m.watching) - before
		time.Sleep(2 * time.Second)
		for n, at := range written {
			is.True(!k.knows(agents + n).IsZero())
			is.True(k.knows(agents+n).Sub(at) < 2*time.Second)
		}
		is.True(calls <= replaced/2+1)
	})
}

// The load of a failure domain's return: what concerns many upstreams is known
// within the shortest pause.
func TestManyChangesComeAtOnce(t *testing.T) {
	const agents, back = 60, 20
	m := newMemory(agents)
	follows(t, m, func(is *is.I, k *known, _ *directory.EntryWatcher) {
		time.Sleep(10 * time.Second)
		for n := range 2 * back {
			m.put(agents + n)
			if n == back-1 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		at := time.Now()
		time.Sleep(2 * time.Second)
		for n := range 2 * back {
			is.True(!k.knows(agents + n).IsZero())
			is.True(k.knows(agents+n).Sub(at) <= 300*time.Millisecond)
		}
	})
}

// A roster that has just begun hears of each change soon: agents whose entries have
// lapsed unseen are on their way back.
func TestFirstChangesComeSoon(t *testing.T) {
	const agents = 60
	m := newMemory(agents)
	follows(t, m, func(is *is.I, k *known, _ *directory.EntryWatcher) {
		time.Sleep(time.Second)
		m.put(agents)
		time.Sleep(50 * time.Millisecond)
		m.put(agents + 1)
		at := time.Now()
		time.Sleep(2 * time.Second)
		is.True(!k.knows(agents + 1).IsZero())
		is.True(k.knows(agents+1).Sub(at) <= 300*time.Millisecond)
	})
}

// A look brings at once what a deaf watch misses, also in the pause after changes,
// and reads no list.
func TestLookPastADeafWatch(t *testing.T) {
	tests := []struct {
		name string
		deaf bool
	}{
		{"the watch is deaf", true},
		{"in the pause after a change", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const agents = 60
			m := newMemory(agents)
			follows(t, m, func(is *is.I, k *known, r *directory.EntryWatcher) {
				time.Sleep(10 * time.Second)
				m.set(func() { m.deaf = test.deaf })
				m.put(agents)
				time.Sleep(100 * time.Millisecond)
				is.Equal(k.knows(agents).IsZero(), test.deaf)
				m.put(agents + 1)
				at, looks := time.Now(), m.count(&m.looks)
				r.Refresh()
				time.Sleep(100 * time.Millisecond)
				is.True(!k.knows(agents + 1).IsZero())
				is.True(!k.complete().Before(at))
				is.Equal(m.count(&m.lists), 1)
				is.Equal(m.count(&m.looks)-looks, 1)
			})
		})
	}
}

// A watch that waited beside a look brings again what the look brought: an agent
// that was removed meanwhile doesn't come back by it.
func TestWatchBringsNothingTwice(t *testing.T) {
	const agents = 60
	m := newMemory(agents)
	follows(t, m, func(is *is.I, k *known, r *directory.EntryWatcher) {
		time.Sleep(10 * time.Second)
		m.set(func() { m.deaf = true })
		m.put(agents)
		m.remove()
		r.Refresh()
		time.Sleep(100 * time.Millisecond)
		at := k.knows(agents)
		is.True(!at.IsZero())
		m.set(func() { m.deaf = false })
		time.Sleep(10 * time.Second)
		is.Equal(k.knows(agents), at)
		is.Equal(len(k.unlisted), 1)
	})
}

// While a look counts as a list of all, no pause is longer than the shortest: an
// agent that another balancer knows already would be missed.
func TestNoLongPauseAfterALook(t *testing.T) {
	const agents = 60
	m := newMemory(agents)
	follows(t, m, func(is *is.I, k *known, r *directory.EntryWatcher) {
		time.Sleep(10 * time.Second)
		m.put(agents)
		r.Refresh()
		time.Sleep(300 * time.Millisecond)
		m.put(agents + 1)
		time.Sleep(50 * time.Millisecond)
		m.put(agents + 2)
		at := time.Now()
		time.Sleep(2 * time.Second)
		is.True(k.knows(agents+2).Sub(at) <= 300*time.Millisecond)
	})
}

// A watch doesn't show that all is known: a late copy of an answer may have ended it.
func TestWatchIsNoList(t *testing.T) {
	m := newMemory(8)
	follows(t, m, func(is *is.I, k *known, _ *directory.EntryWatcher) {
		time.Sleep(time.Second)
		m.put(8)
		time.Sleep(30 * time.Second)
		is.True(!k.knows(8).IsZero())
		is.True(time.Since(k.complete()) > 30*time.Second)
	})
}

// After an outage the roster goes on where it was, and lists all entries only if
// the store has dropped the changes since.
func TestRosterGoesOnAfterAnOutage(t *testing.T) {
	tests := []struct {
		name    string
		dropped bool
		lists   int
	}{
		{"the changes are kept", false, 1},
		{"the changes are dropped", true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const agents = 60
			m := newMemory(agents)
			follows(t, m, func(is *is.I, k *known, _ *directory.EntryWatcher) {
				time.Sleep(10 * time.Second)
				m.set(func() { m.down = true })
				time.Sleep(5 * time.Second)
				m.put(agents)
				m.set(func() {
					if test.dropped {
						m.dropped = m.revision
					}
					m.down = false
				})
				time.Sleep(time.Second)
				is.True(!k.knows(agents).IsZero())
				is.Equal(m.count(&m.lists), test.lists)
			})
		})
	}
}
