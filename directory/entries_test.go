package directory_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/directory"
)

// withdrawnKey is the key under which an agent records that it removed its entry.
const withdrawnKey = "bramleyfall/withdrawn"

// listRevision is the revision at which a fixedStore lists its entries.
const listRevision = 1000

// fixedStore is a store with one entry, a checkpoint and a history.
type fixedStore struct {
	bramleyfall.LongPollStore
	key         string
	value       []byte
	checkpoint  string
	history     []bramleyfall.KeyValue
	historyLost bool
	// droppedUpTo is the last revision whose change is no longer retained.
	droppedUpTo bramleyfall.Revision
	// err makes calls for the history fail if it is set; polls counts these calls.
	err   error
	polls int
}

func (s *fixedStore) List(_ context.Context, prefix string) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	pairs := []bramleyfall.KeyValue{{Key: prefix + "agents/" + s.key, Value: s.value}}
	if s.checkpoint != "" {
		pairs = append(pairs, bramleyfall.KeyValue{Key: prefix + "mark", Value: []byte(s.checkpoint), ModRevision: listRevision - 3})
	}
	return pairs, listRevision, nil
}

func (s *fixedStore) Await(ctx context.Context, prefix string, after bramleyfall.Revision, wait time.Duration) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	if wait == 0 {
		s.polls++
	}
	switch {
	case wait > 0:
		<-ctx.Done()
		return nil, after, ctx.Err()
	case s.err != nil:
		return nil, 0, s.err
	case s.historyLost, after < s.droppedUpTo:
		return nil, 0, bramleyfall.ErrHistoryLost
	}
	var changes []bramleyfall.KeyValue
	for _, change := range s.history {
		if change.ModRevision <= int64(after) {
			continue
		}
		if change.Key != withdrawnKey {
			change.Key = prefix + "agents/" + change.Key
		}
		changes = append(changes, change)
	}
	return changes, 1, nil
}

// recorder records the calls of an EntryWatcher.
type recorder struct {
	added      []bramleyfall.Announcement
	malformed  []error
	missing    []bramleyfall.InstanceID
	withdrawn  []bramleyfall.InstanceID
	incomplete []error
	// onList is called after each list.
	onList func()
}

func (r *recorder) ListComplete(time.Time) { r.onList() }

func (r *recorder) EntryAdded(a bramleyfall.Announcement) { r.added = append(r.added, a) }

func (r *recorder) ListMayBeIncomplete(reason error) { r.incomplete = append(r.incomplete, reason) }

func (r *recorder) EntryWithdrawn(id bramleyfall.InstanceID) { r.withdrawn = append(r.withdrawn, id) }

func (r *recorder) EntryMissing(id bramleyfall.InstanceID) { r.missing = append(r.missing, id) }

func (r *recorder) RecordMalformed(err error) { r.malformed = append(r.malformed, err) }

// watchEntry runs an EntryWatcher on a store with one entry until the first list
// is complete, and returns what the watcher reported.
func watchEntry(key string, value []byte) *recorder {
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{onList: cancel}
	directory.NewEntryWatcher(&fixedStore{key: key, value: value}, bramleyfall.SystemClock(), r, func(error) {}).Run(ctx)
	return r
}

// Guards against missing agents whose entries expired shortly before the first
// list: the watcher must report them from the history of the store.
func TestEntriesRemovedLately(t *testing.T) {
	// At listRevision - 8, a change is the ninth from the last.
	removed := bramleyfall.KeyValue{Key: "railbook/10.0.0.2:8000/agent-2", Deleted: true, ModRevision: listRevision - 8}
	rewritten := bramleyfall.KeyValue{Key: "railbook/10.0.0.1:8000/agent-1", Deleted: true, ModRevision: listRevision - 8}
	tests := []struct {
		name        string
		history     []bramleyfall.KeyValue
		historyLost bool
		droppedUpTo bramleyfall.Revision
		want        []bramleyfall.InstanceID
	}{
		{"nothing was removed", nil, false, 0, nil},
		{"one was removed", []bramleyfall.KeyValue{removed}, false, 0, []bramleyfall.InstanceID{"agent-2"}},
		{"one was removed and written again", []bramleyfall.KeyValue{rewritten}, false, 0, nil},
		{"its address belongs to another agent now", []bramleyfall.KeyValue{
			{Key: "drawhub/10.0.0.1:8000/agent-7", Deleted: true, ModRevision: listRevision},
		}, false, 0, nil},
		{"its instance has another entry", []bramleyfall.KeyValue{
			{Key: "drawhub/10.0.0.9:8000/agent-1", Deleted: true, ModRevision: listRevision},
		}, false, 0, nil},
		{"a malformed key was removed", []bramleyfall.KeyValue{{Key: "railbook/agent-3", Deleted: true, ModRevision: listRevision}}, false, 0, nil},
		{"the history is lost", nil, true, 0, nil},
		{"most of the history is lost", []bramleyfall.KeyValue{removed}, false, listRevision - 9, []bramleyfall.InstanceID{"agent-2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			r := &recorder{onList: cancel}
			s := &fixedStore{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), history: test.history, historyLost: test.historyLost, droppedUpTo: test.droppedUpTo}
			directory.NewEntryWatcher(s, bramleyfall.SystemClock(), r, func(error) {}).Run(ctx)
			if !slices.Equal(r.missing, test.want) {
				t.Errorf("agents without an entry: %v, want %v", r.missing, test.want)
			}
			if len(test.want) > 0 && r.added[1].Packets.String() != "10.0.0.2:8000" {
				t.Errorf("added %+v", r.added)
			}
		})
	}
}

// An entry that its agent removed must be distinguished from one that expired:
// EntryWithdrawn is called only for the former.
func TestWithdrawnEntries(t *testing.T) {
	const key = "railbook/10.0.0.2:8000/agent-2"
	removed := bramleyfall.KeyValue{Key: key, Deleted: true, ModRevision: listRevision - 8}
	tests := []struct {
		name      string
		history   []bramleyfall.KeyValue
		withdrawn int
	}{
		{"expired", []bramleyfall.KeyValue{removed}, 0},
		{"withdrawn", []bramleyfall.KeyValue{removed, {Key: withdrawnKey, Value: []byte("bramleyfall/agents/" + key), ModRevision: listRevision - 8}}, 1},
		{"another entry was withdrawn", []bramleyfall.KeyValue{removed, {Key: withdrawnKey, Value: []byte("bramleyfall/agents/other"), ModRevision: listRevision - 8}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			r := &recorder{onList: cancel}
			s := &fixedStore{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), history: test.history}
			directory.NewEntryWatcher(s, bramleyfall.SystemClock(), r, func(error) {}).Run(ctx)
			if len(r.withdrawn) != test.withdrawn || len(r.missing) != 1 {
				t.Errorf("withdrawn %v, missing %v", r.withdrawn, r.missing)
			}
		})
	}
}

// Guards against a first list that is wrongly taken to be complete: if the history
// does not reach back to the checkpoint before the last one, entries may have
// expired that can no longer be found.
func TestIncompleteList(t *testing.T) {
	errReset := errors.New("connection reset")
	tests := []struct {
		name, checkpoint string
		droppedUpTo      bramleyfall.Revision
		err              error
		incomplete       bool
	}{
		{"the history reaches back to the previous checkpoint", `{"Previous":[900]}`, 900, nil, false},
		{"it reaches back to the later of two", `{"Previous":[800,900]}`, 801, nil, false},
		{"it reaches back further", `{"Previous":[800,900]}`, 0, nil, false},
		{"the previous checkpoint is older than maxRecentChanges", `{"Previous":[600]}`, 600, nil, false},
		{"the changes since both are dropped", `{"Previous":[800,900]}`, 901, nil, true},
		{"all changes are dropped", `{"Previous":[900]}`, listRevision, nil, true},
		{"the first checkpoint", `{"Previous":null}`, 0, nil, true},
		{"no checkpoint", ``, 0, nil, true},
		{"a malformed checkpoint", `7`, 0, nil, true},
		{"the store fails", `{"Previous":[900]}`, 0, errReset, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			r := &recorder{onList: cancel}
			s := &fixedStore{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), checkpoint: test.checkpoint, droppedUpTo: test.droppedUpTo, err: test.err}
			directory.NewEntryWatcher(s, bramleyfall.SystemClock(), r, func(error) {}).Run(ctx)
			if got := len(r.incomplete) == 1; got != test.incomplete || len(r.added) != 1 {
				t.Errorf("incomplete: %v, added %v", r.incomplete, r.added)
			}
			if !test.incomplete && s.polls > 2 {
				t.Errorf("%d calls for the history, want at most 2", s.polls)
			}
		})
	}
}

// checkpointStore is a store that records the written checkpoints and cancels the
// watcher after the second. It is also the clock: a call that waits returns at once
// and advances the time.
type checkpointStore struct {
	fixedStore
	now    time.Time
	writes []string
	at     []time.Time
	cancel context.CancelFunc
}

func (s *checkpointStore) Now() time.Time { return s.now }

func (s *checkpointStore) Await(ctx context.Context, _ string, after bramleyfall.Revision, wait time.Duration) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	s.now = s.now.Add(wait)
	return nil, after, ctx.Err()
}

func (s *checkpointStore) Commit(_ context.Context, txn bramleyfall.Txn) (bramleyfall.TxnResult, error) {
	s.writes = append(s.writes, fmt.Sprintf("%s %s", txn.Writes[0].Key, txn.Writes[0].Value))
	s.at = append(s.at, s.now)
	if len(s.writes) == 2 {
		s.cancel()
	}
	return bramleyfall.TxnResult{Committed: true}, nil
}

// A checkpoint refers to the checkpoints before it. It is written between 4.5 s and
// 6 s after the last one if no other process writes one.
func TestMarks(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &checkpointStore{fixedStore: fixedStore{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), checkpoint: `{"Previous":[800,900]}`}, cancel: cancel}
	directory.NewEntryWatcher(s, s, &recorder{onList: func() {}}, func(error) {}).Run(ctx)
	want := []string{`bramleyfall/mark {"Previous":[800,900,997]}`, `bramleyfall/mark {"Previous":[800,900,997]}`}
	if !slices.Equal(s.writes, want) {
		t.Errorf("writes %q, want %q", s.writes, want)
	}
	before := time.Time{}
	for _, at := range s.at {
		if waited := at.Sub(before); waited < 4500*time.Millisecond || waited >= 6*time.Second {
			t.Errorf("checkpoint written after %s, want 4.5 s to 6 s", waited)
		}
		before = at
	}
}

// Guards against reporting an unchanged entry again after each further list.
func TestListedAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{}
	// Each poll finds the history lost and therefore causes a list.
	s := &fixedStore{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), historyLost: true}
	w := directory.NewEntryWatcher(s, bramleyfall.SystemClock(), r, func(error) {})
	lists := 0
	r.onList = func() {
		if lists++; lists == 3 {
			cancel()
		}
		w.Refresh()
	}
	w.Run(ctx)
	if lists != 3 || len(r.added) != 1 {
		t.Errorf("%d lists, added %v", lists, r.added)
	}
}

const goodEntry = `{"Instance":"agent-1","Upstream":"i-1","Boot":7,"Service":"railbook","Domain":"Ikeja",` +
	`"Packets":"10.0.0.1:8000","Slots":4}`

// Guards against entries of other writers: they name no agent. The agent whose entry one of
// them may have replaced is asked, since it would write its entry again.
func TestEntries(t *testing.T) {
	const key = "railbook/10.0.0.1:8000/agent-1"
	const numbers = `{"Instance":"agent-1","Boot":%s,"Service":"railbook","Packets":"10.0.0.1:8000","Slots":%s}`
	tests := []struct {
		name, key, value string
		valid, asked     bool
	}{
		{"a valid entry", key, goodEntry, true, false},
		{"numbers at their limits", key, fmt.Sprintf(numbers, "9223372036854775807", "65535"), true, false},
		{"under the key of another agent", "railbook/10.0.0.1:8000/agent-2", goodEntry, false, true},
		{"under the key of another address", "railbook/10.0.0.2:8000/agent-1", goodEntry, false, true},
		{"under the key of another service", "drawhub/10.0.0.1:8000/agent-1", goodEntry, false, true},
		{"under a key without an address", "railbook/agent-1", goodEntry, false, false},
		{"under a key with a port out of range", "railbook/10.0.0.1:65536/agent-1", goodEntry, false, false},
		{"under a key without a service", "/10.0.0.1:8000/agent-1", goodEntry, false, false},
		{"under a key with port zero", "railbook/10.0.0.1:0/agent-1", goodEntry, false, false},
		{"under a key with an IPv6 address", "railbook/[::1]:8000/agent-1", goodEntry, false, false},
		{"not an object", key, `7`, false, true},
		{"empty", key, ``, false, true},
		{"invalid UTF-8", key, "\xff", false, true},
		{"nested deeply", key, `{"Instance":` + strings.Repeat("[", 1<<15) + strings.Repeat("]", 1<<15) + `}`, false, true},
		{"without an address", key, `{"Instance":"agent-1","Service":"railbook"}`, false, true},
		{"with a bad address", key, `{"Instance":"agent-1","Service":"railbook","Packets":"nowhere"}`, false, true},
		{"with a port out of range", key, `{"Instance":"agent-1","Service":"railbook","Packets":"10.0.0.1:65536"}`, false, true},
		{"without a service", key, `{"Instance":"agent-1","Packets":"10.0.0.1:8000"}`, false, true},
		{"boot ID above the range", key, fmt.Sprintf(numbers, "9223372036854775808", "2"), false, true},
		{"boot ID out of the type", key, fmt.Sprintf(numbers, "18446744073709551616", "2"), false, true},
		{"slots above the range", key, fmt.Sprintf(numbers, "7", "65536"), false, true},
		{"slots out of the type", key, fmt.Sprintf(numbers, "7", "1e30"), false, true},
		{"negative slots", key, fmt.Sprintf(numbers, "7", "-1"), false, true},
		{"foreign types", key, `{"Instance":["agent-1"],"Boot":"7","Service":{},"Packets":8000}`, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := watchEntry(test.key, []byte(test.value))
			is := is.New(t)
			is.Equal(len(r.malformed) == 0, test.valid)
			is.Equal(len(r.added) == 1, test.valid || test.asked)
			is.Equal(len(r.missing) == 1, test.asked)
		})
	}
}

// FuzzEntry checks that each entry is reported as an agent or as malformed. A malformed one
// at most makes the agent that its key names be asked.
func FuzzEntry(f *testing.F) {
	f.Add("railbook/10.0.0.1:8000/agent-1", []byte(goodEntry))
	f.Add("railbook/10.0.0.1:8000/agent-1", []byte(`{"Slots":65536,"Boot":18446744073709551615}`))
	f.Add("agent-1", []byte(`{"Instance":"agent-1"}`))
	f.Add("", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r := watchEntry(key, value)
		valid := len(r.malformed) == 0
		if len(r.malformed) > 1 || len(r.added) > 1 || valid && len(r.added) != 1 || !valid && len(r.missing) != len(r.added) || valid && len(r.missing) > 0 {
			t.Fatalf("added %v, malformed %v, missing %v", r.added, r.malformed, r.missing)
		}
		for _, a := range r.added {
			if a.Instance == "" || a.Packets.IsZero() || a.Service == "" || a.Slots < 0 || a.Slots > bramleyfall.MaxSlots || int64(a.Boot) < 0 {
				t.Fatalf("%+v", a)
			}
		}
	})
}

// FuzzCheckpoint checks that a checkpoint of any content is either usable or malformed, and
// that what it refers to causes few calls.
func FuzzCheckpoint(f *testing.F) {
	f.Add(`{"Previous":[800,900]}`)
	f.Add(`{"Previous":[-9223372036854775808,9223372036854775807],"Era":32768}`)
	f.Add(`{"Previous":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20]}`)
	f.Add(`{"Previous":[998]}`)
	f.Fuzz(func(t *testing.T, checkpoint string) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &recorder{onList: cancel}
		s := &fixedStore{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), checkpoint: checkpoint, historyLost: true}
		directory.NewEntryWatcher(s, bramleyfall.SystemClock(), r, func(error) {}).Run(ctx)
		const maxPolls = 3 + 10 // the earlier checkpoints, and the search of the history
		if len(r.added) != 1 || len(r.incomplete) != 1 || s.polls > maxPolls {
			t.Fatalf("added %v, incomplete %v, %d calls for the history", r.added, r.incomplete, s.polls)
		}
	})
}
