package directory_test

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/directory"
)

// takeBackup copies the entries and the revision for a later restore.
func (m *memoryStore) takeBackup() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backup = &memoryStore{revision: m.revision, entries: maps.Clone(m.entries)}
}

// restore begins a new era with the entries and the revision number of the backup.
func (m *memoryStore) restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := m.revision.Era() + 1
	m.revision, m.history = bramleyfall.NewRevision(era, m.backup.revision.Number()), nil
	m.entries = make(map[string]bramleyfall.KeyValue)
	for key, pair := range m.backup.entries {
		pair.ModRevision = int64(bramleyfall.NewRevision(era, bramleyfall.Revision(pair.ModRevision).Number()))
		m.entries[key] = pair
	}
}

// putRecord writes a key that is not an entry.
func (m *memoryStore) putRecord(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	pair := bramleyfall.KeyValue{Key: key, Value: []byte(value), ModRevision: int64(m.revision)}
	m.entries[key] = pair
	m.history = append(m.history, pair)
}

// Commit writes checkpoints, which are the only writes of an EntryWatcher, if
// keepsCheckpoints is set. Instead of the next call, it writes after lateBy if that is
// set, with an unknown outcome.
func (m *memoryStore) Commit(_ context.Context, txn bramleyfall.Txn) (bramleyfall.TxnResult, error) {
	if !m.keepsCheckpoints {
		return bramleyfall.TxnResult{Committed: true}, nil
	}
	if delay := m.takeLateBy(); delay > 0 {
		time.AfterFunc(delay, func() { m.commitIfUnchanged(txn) })
		return bramleyfall.TxnResult{}, bramleyfall.ErrUnknownOutcome
	}
	return m.commitIfUnchanged(txn), nil
}

func (m *memoryStore) takeLateBy() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	delay := m.lateBy
	m.lateBy = 0
	return delay
}

// commitIfUnchanged executes a transaction if its conditions hold.
func (m *memoryStore) commitIfUnchanged(txn bramleyfall.Txn) bramleyfall.TxnResult {
	m.mu.Lock()
	var result bramleyfall.TxnResult
	result.Committed = true
	for _, c := range txn.Conditions {
		pair, ok := m.entries[c.Key]
		result.Committed = result.Committed && pair.ModRevision == c.ModRevision
		if ok {
			result.Current = append(result.Current, pair)
		}
	}
	m.mu.Unlock()
	if !result.Committed {
		return result
	}
	for _, w := range txn.Writes {
		m.putRecord(w.Key, string(w.Value))
	}
	return bramleyfall.TxnResult{Committed: true}
}

// eventRecorder records which agents are missing or withdrawn, and why a list may be
// incomplete.
type eventRecorder struct {
	timeRecorder

	withdrawn  []bramleyfall.InstanceID
	incomplete []error
}

func (r *eventRecorder) EntryWithdrawn(id bramleyfall.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn = append(r.withdrawn, id)
}

func (r *eventRecorder) RecordMalformed(error) {}

func (r *eventRecorder) ListMayBeIncomplete(reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incomplete = append(r.incomplete, reason)
}

// counts returns how often an agent was reported missing or withdrawn, and a list
// incomplete.
func (r *eventRecorder) counts() (missing, withdrawn, incomplete int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.missing), len(r.withdrawn), len(r.incomplete)
}

func newEventRecorder() *eventRecorder {
	return &eventRecorder{timeRecorder: timeRecorder{addedAt: make(map[bramleyfall.InstanceID]time.Time)}}
}

// runEventWatcher runs an EntryWatcher of m in virtual time, and check concurrently.
func runEventWatcher(t *testing.T, m *memoryStore, check func(is *is.I, r *eventRecorder)) {
	synctest.Test(t, func(t *testing.T) {
		r := newEventRecorder()
		stop := startEntryWatcher(m, r)
		defer stop()
		check(is.New(t), r)
	})
}

// startEntryWatcher starts an EntryWatcher and returns a function that stops it.
func startEntryWatcher(m *memoryStore, r directory.EntryHandler) (stop func()) {
	w := directory.NewEntryWatcher(m, bramleyfall.SystemClock(), r, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { w.Run(ctx) })
	return func() {
		cancel()
		done.Wait()
	}
}

// entryKey returns the key of an agent's entry, or "" if there is none.
func (m *memoryStore) entryKey(id bramleyfall.InstanceID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.entries {
		if bramleyfall.InstanceID(key[len(key)-len(id):]) == id {
			return key
		}
	}
	return ""
}

// Guards against resets of the flows of agents whose entries a restore of the store
// undid before a balancer knew them: without such a report, the list counts as
// complete.
func TestListAfterARestoreMayBeIncomplete(t *testing.T) {
	m := newMemoryStore(3)
	runEventWatcher(t, m, func(is *is.I, r *eventRecorder) {
		time.Sleep(time.Second)
		m.takeBackup()
		_, _, before := r.counts()
		m.restore()
		time.Sleep(7 * time.Second) // longer than a watch
		_, _, incomplete := r.counts()
		is.Equal(incomplete, before+1)
	})
}

// Guards against resets of the flows of an agent that removed its entry, wrote it again,
// and lost the second write by a restore: the record of the removal is back.
func TestWithdrawalFromBeforeARestore(t *testing.T) {
	m := newMemoryStore(3)
	runEventWatcher(t, m, func(is *is.I, r *eventRecorder) {
		key := m.entryKey(agentID(2))
		m.removeLastEntry()
		m.putRecord(withdrawnKey, key)
		m.takeBackup()
		m.putEntry(2)
		time.Sleep(2 * time.Second)
		missingBefore, withdrawnBefore, _ := r.counts()
		m.restore()
		time.Sleep(100 * time.Millisecond)
		m.putEntry(0)
		m.update(func() { m.droppedUpTo = m.revision }) // the entries are listed again
		time.Sleep(7 * time.Second)                     // longer than a watch
		missing, withdrawn, _ := r.counts()
		is.Equal(missing, missingBefore+1)
		is.Equal(withdrawn, withdrawnBefore)
	})
}

// Guards against a long pause after a restore, while agents write their entries again.
func TestChangesAfterARestoreComeSoon(t *testing.T) {
	const agents = 60
	m := newMemoryStore(agents)
	runEventWatcher(t, m, func(is *is.I, r *eventRecorder) {
		time.Sleep(10 * time.Second)
		m.takeBackup()
		m.restore()
		time.Sleep(2 * time.Second) // longer than a pause
		for n := range 6 {
			m.putEntry(agents + n)
			at := time.Now()
			time.Sleep(350 * time.Millisecond)
			is.True(!r.addedTime(agents + n).IsZero())
			is.True(r.addedTime(agents+n).Sub(at) <= 300*time.Millisecond)
		}
	})
}

// Guards against resets by a balancer that starts after a restore: a checkpoint that
// refers to changes from before the restore does not show that the list is complete.
func TestCheckpointsAcrossARestore(t *testing.T) {
	tests := []struct {
		name string
		// sinceRestore is the time between the restore and the start.
		sinceRestore time.Duration
		incomplete   bool
	}{
		{"the checkpoint of the copy", 0, true},
		{"the first checkpoint of the era", 6500 * time.Millisecond, true},
		{"a later checkpoint", 30 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMemoryStore(3)
			m.keepsCheckpoints = true
			runEventWatcher(t, m, func(is *is.I, _ *eventRecorder) {
				time.Sleep(30 * time.Second)
				m.takeBackup()
				time.Sleep(2 * time.Second)
				m.restore()
				time.Sleep(test.sinceRestore)
				started := newEventRecorder()
				stop := startEntryWatcher(m, started)
				time.Sleep(100 * time.Millisecond)
				stop()
				_, _, incomplete := started.counts()
				is.Equal(incomplete > 0, test.incomplete)
			})
		})
	}
}

// snapshotInEra returns newSnapshot(v, out...) at revision number v of an era.
func snapshotInEra(era bramleyfall.Era, v bramleyfall.ConfigVersion, out ...bramleyfall.DomainName) *bramleyfall.Snapshot {
	s := newSnapshot(v, out...)
	s.Revision = bramleyfall.NewRevision(era, uint64(v))
	s.Changed = s.Revision
	return s
}

// Guards against returning a domain to service because a restore of the store undid
// its evacuation: operators write it again, but not at once.
func TestEvacuationOutlastsARestore(t *testing.T) {
	const grace = 2 * time.Second
	tests := []struct {
		name      string
		rewritten bool
		// outFor is the time for which the domain must stay out.
		outFor time.Duration
		// back is set if the domain must be in service afterwards.
		back bool
	}{
		{"written again", true, 10 * grace, false},
		{"not written again", false, grace - 100*time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFakeSource()
				_, applied := startWatcher(t, s, unexpectedFetch)
				s.reads <- snapshotInEra(1, 9, "Ikeja")
				is.True((<-applied).Out["Ikeja"])
				s.next <- nil // the history is lost, so the configuration is read again
				s.reads <- snapshotInEra(2, 9)
				is.True((<-applied).Out["Ikeja"])
				if test.rewritten {
					time.Sleep(grace / 2)
					s.next <- snapshotInEra(2, 10, "Ikeja")
				}
				out, restored := true, time.Now()
				for time.Since(restored) < test.outFor {
					time.Sleep(50 * time.Millisecond)
					out = lastOut(applied, out)
					is.True(out)
				}
				time.Sleep(grace)
				is.Equal(lastOut(applied, out), !test.back)
			})
		})
	}
}

// lastOut returns whether Ikeja is out of service in the configuration applied last, or
// out if there is no new one.
func lastOut(applied <-chan *bramleyfall.Snapshot, out bool) bool {
	for {
		select {
		case s := <-applied:
			out = s.Out["Ikeja"]
		default:
			return out
		}
	}
}

// Guards against missing an evacuation that is written after a restore, before the
// operators have written the newest version again.
func TestEvacuationBesideAnOlderVersion(t *testing.T) {
	is := is.New(t)
	s := newFakeSource()
	_, applied := startWatcher(t, s, unexpectedFetch)
	s.reads <- snapshotInEra(1, 9)
	<-applied
	s.next <- nil // the history is lost, so the configuration is read again
	s.reads <- snapshotInEra(2, 7)
	s.next <- snapshotInEra(2, 7, "Ikeja")
	for deadline := time.After(time.Second); ; {
		select {
		case next := <-applied:
			is.Equal(next.Version, bramleyfall.ConfigVersion(9))
			if next.Out["Ikeja"] {
				return
			}
		case <-deadline:
			t.Fatal("the evacuation was not applied")
		}
	}
}

// Guards against an older version in a process that starts after a restore, before the
// operators have written the newest one again: peers know it.
func TestNewerVersionOfAPeerAfterARestore(t *testing.T) {
	is := is.New(t)
	peer := bramleyfall.Endpoint{IP: [4]byte{10, 0, 0, 9}, Port: 8172}
	s := newFakeSource()
	w, applied := startWatcher(t, s, func(context.Context, bramleyfall.Endpoint) (*bramleyfall.Snapshot, error) {
		return snapshotInEra(1, 9), nil
	})
	s.reads <- snapshotInEra(2, 7, "Ikeja")
	is.Equal((<-applied).Version, bramleyfall.ConfigVersion(7))
	s.reads <- snapshotInEra(2, 7, "Ikeja")
	w.ObservePeer(peer, bramleyfall.NewRevision(1, 9), 9)
	for deadline := time.After(2 * time.Second); ; {
		select {
		case next := <-applied:
			is.True(next.Out["Ikeja"]) // the peer's older state does not count
			if next.Version == 9 {
				return
			}
		case <-deadline:
			t.Fatal("the peer's version was not applied")
		}
	}
}

// Guards against the entry of an agent that has left, which a restore brought back,
// displacing that of the agent that now uses its address: the later entry must come last.
func TestLatestEntryOfAnAddressComesLast(t *testing.T) {
	is := is.New(t)
	m := newMemoryStore(0)
	put := func(instance, service string) {
		m.putRecord("bramleyfall/agents/"+service+"/10.0.0.1:8000/"+instance,
			`{"Instance":"`+instance+`","Service":"`+service+`","Packets":"10.0.0.1:8000"}`)
	}
	put("agent-1", "railbook")
	put("agent-2", "drawhub") // its key comes first in a list
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{onList: cancel}
	directory.NewEntryWatcher(m, bramleyfall.SystemClock(), r, func(error) {}).Run(ctx)
	is.Equal(len(r.malformed), 0)
	is.Equal(len(r.added), 2)
	is.Equal(r.added[1].Instance, bramleyfall.InstanceID("agent-2"))
}

// Guards against balancers that take a list for complete that is not: a checkpoint written
// late, by a balancer that may have ended, replaces a later one and refers to older
// revisions, so that the next ones refer to few of the last seconds.
func TestLateCheckpoint(t *testing.T) {
	const markKey = "bramleyfall/mark"
	m := newMemoryStore(3)
	m.keepsCheckpoints = true
	m.lateBy = 14 * time.Second
	runEventWatcher(t, m, func(is *is.I, _ *eventRecorder) {
		mark := func() (pair bramleyfall.KeyValue) {
			m.update(func() { pair = m.entries[markKey] })
			return pair
		}
		time.Sleep(19 * time.Second) // the first write is due after 4.5 to 6 s
		before := mark()
		is.True(before.ModRevision > 0)
		time.Sleep(1500 * time.Millisecond) // the late write is due, the next one may be
		var value struct{ Previous []int64 }
		is.NoErr(json.Unmarshal(mark().Value, &value))
		is.True(len(value.Previous) > 0)
	})
}
