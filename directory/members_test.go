package directory_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/directory"
)

// withdrawn is the key by which an agent says that it removed its entry.
const withdrawn = "bramleyfall/withdrawn"

// listedRevision is that of a listing.
const listedRevision = 1000

// listing is a store with one entry, a mark and a history.
type listing struct {
	bramleyfall.LongPollStore
	key     string
	value   []byte
	mark    string
	history []bramleyfall.KeyValue
	lost    bool
	// oldest is the last revision whose changes are no longer known.
	oldest bramleyfall.Revision
	// fails is what a call for the history ends with, and asked their number.
	fails error
	asked int
}

func (l *listing) List(_ context.Context, prefix string) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	pairs := []bramleyfall.KeyValue{{Key: prefix + "agents/" + l.key, Value: l.value}}
	if l.mark != "" {
		pairs = append(pairs, bramleyfall.KeyValue{Key: prefix + "mark", Value: []byte(l.mark), ModRevision: listedRevision - 3})
	}
	return pairs, listedRevision, nil
}

func (l *listing) Await(ctx context.Context, prefix string, after bramleyfall.Revision, wait time.Duration) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	if wait == 0 {
		l.asked++
	}
	switch {
	case wait > 0:
		<-ctx.Done()
		return nil, after, ctx.Err()
	case l.fails != nil:
		return nil, 0, l.fails
	case l.lost, after < l.oldest:
		return nil, 0, bramleyfall.ErrHistoryLost
	}
	var changes []bramleyfall.KeyValue
	for _, change := range l.history {
		if change.ModRevision <= int64(after) {
			continue
		}
		if change.Key != withdrawn {
			change.Key = prefix + "agents/" + change.Key
		}
		changes = append(changes, change)
	}
	return changes, 1, nil
}

// members notes what a roster hands over.
type members struct {
	announced  []bramleyfall.Announcement
	malformed  []error
	unlisted   []bramleyfall.InstanceID
	withdrawn  []bramleyfall.InstanceID
	incomplete []error
	// listed is called after the list.
	listed func()
}

func (m *members) ListComplete(time.Time) { m.listed() }

func (m *members) EntryAdded(a bramleyfall.Announcement) { m.announced = append(m.announced, a) }

func (m *members) ListMayBeIncomplete(reason error) { m.incomplete = append(m.incomplete, reason) }

func (m *members) EntryWithdrawn(id bramleyfall.InstanceID) { m.withdrawn = append(m.withdrawn, id) }

func (m *members) EntryMissing(id bramleyfall.InstanceID) { m.unlisted = append(m.unlisted, id) }

func (m *members) RecordMalformed(err error) { m.malformed = append(m.malformed, err) }

// listed returns what a roster makes of an entry.
func listed(key string, value []byte) *members {
	ctx, cancel := context.WithCancel(context.Background())
	m := &members{listed: cancel}
	directory.NewEntryWatcher(&listing{key: key, value: value}, bramleyfall.SystemClock(), m, func(error) {}).Run(ctx)
	return m
}

// A first list may lack entries that lapsed a moment ago. Their agents are
// announced by what the history says of them.
func TestEntriesRemovedLately(t *testing.T) {
	// The change is the ninth from the last.
	gone := bramleyfall.KeyValue{Key: "railbook/10.0.0.2:8000/agent-2", Deleted: true, ModRevision: listedRevision - 8}
	back := bramleyfall.KeyValue{Key: "railbook/10.0.0.1:8000/agent-1", Deleted: true, ModRevision: listedRevision - 8}
	tests := []struct {
		name    string
		history []bramleyfall.KeyValue
		lost    bool
		oldest  bramleyfall.Revision
		want    []bramleyfall.InstanceID
	}{
		{"nothing was removed", nil, false, 0, nil},
		{"one was removed", []bramleyfall.KeyValue{gone}, false, 0, []bramleyfall.InstanceID{"agent-2"}},
		{"one was removed and is back", []bramleyfall.KeyValue{back}, false, 0, nil},
		{"its address is another's now", []bramleyfall.KeyValue{
			{Key: "drawhub/10.0.0.1:8000/agent-7", Deleted: true, ModRevision: listedRevision},
		}, false, 0, nil},
		{"its instance has another entry", []bramleyfall.KeyValue{
			{Key: "drawhub/10.0.0.9:8000/agent-1", Deleted: true, ModRevision: listedRevision},
		}, false, 0, nil},
		{"another's key was removed", []bramleyfall.KeyValue{{Key: "railbook/agent-3", Deleted: true, ModRevision: listedRevision}}, false, 0, nil},
		{"the history is lost", nil, true, 0, nil},
		{"most of the history is lost", []bramleyfall.KeyValue{gone}, false, listedRevision - 9, []bramleyfall.InstanceID{"agent-2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			m := &members{listed: cancel}
			l := &listing{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), history: test.history, lost: test.lost, oldest: test.oldest}
			directory.NewEntryWatcher(l, bramleyfall.SystemClock(), m, func(error) {}).Run(ctx)
			if !slices.Equal(m.unlisted, test.want) {
				t.Errorf("without entries: %v", m.unlisted)
			}
			if len(test.want) > 0 && m.announced[1].Packets.String() != "10.0.0.2:8000" {
				t.Errorf("announced %+v", m.announced)
			}
		})
	}
}

// An entry that was removed on purpose is told from one that has lapsed.
func TestWithdrawnEntries(t *testing.T) {
	const key = "railbook/10.0.0.2:8000/agent-2"
	removed := bramleyfall.KeyValue{Key: key, Deleted: true, ModRevision: listedRevision - 8}
	tests := []struct {
		name      string
		history   []bramleyfall.KeyValue
		withdrawn int
	}{
		{"lapsed", []bramleyfall.KeyValue{removed}, 0},
		{"withdrawn", []bramleyfall.KeyValue{removed, {Key: withdrawn, Value: []byte("bramleyfall/agents/" + key), ModRevision: listedRevision - 8}}, 1},
		{"another was withdrawn", []bramleyfall.KeyValue{removed, {Key: withdrawn, Value: []byte("bramleyfall/agents/other"), ModRevision: listedRevision - 8}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			m := &members{listed: cancel}
			l := &listing{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), history: test.history}
			directory.NewEntryWatcher(l, bramleyfall.SystemClock(), m, func(error) {}).Run(ctx)
			if len(m.withdrawn) != test.withdrawn || len(m.unlisted) != 1 {
				t.Errorf("withdrawn %v, unlisted %v", m.withdrawn, m.unlisted)
			}
		})
	}
}

// Where the history doesn't reach back to the mark before the last one, entries
// may have lapsed that nobody knows of any more.
func TestIncompleteList(t *testing.T) {
	broken := errors.New("connection reset")
	tests := []struct {
		name, mark string
		oldest     bramleyfall.Revision
		fails      error
		incomplete bool
	}{
		{"the history reaches back to the mark before", `{"Previous":[900]}`, 900, nil, false},
		{"it reaches back to the last of two", `{"Previous":[800,900]}`, 801, nil, false},
		{"it reaches back further", `{"Previous":[800,900]}`, 0, nil, false},
		{"the mark before is older than what is searched by default", `{"Previous":[600]}`, 600, nil, false},
		{"both are forgotten", `{"Previous":[800,900]}`, 901, nil, true},
		{"all is forgotten", `{"Previous":[900]}`, listedRevision, nil, true},
		{"the first mark", `{"Previous":null}`, 0, nil, true},
		{"no mark", ``, 0, nil, true},
		{"a mark that can't be read", `7`, 0, nil, true},
		{"the store fails", `{"Previous":[900]}`, 0, broken, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			m := &members{listed: cancel}
			l := &listing{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), mark: test.mark, oldest: test.oldest, fails: test.fails}
			directory.NewEntryWatcher(l, bramleyfall.SystemClock(), m, func(error) {}).Run(ctx)
			if got := len(m.incomplete) == 1; got != test.incomplete || len(m.announced) != 1 {
				t.Errorf("incomplete: %v, announced %v", m.incomplete, m.announced)
			}
			if !test.incomplete && l.asked > 2 {
				t.Errorf("%d calls for the history", l.asked)
			}
		})
	}
}

// marked is a store whose marks are written. Its waits end at once.
type marked struct {
	listing
	now    time.Time
	writes []string
	at     []time.Time
	end    context.CancelFunc
}

func (m *marked) Now() time.Time { return m.now }

func (m *marked) Await(ctx context.Context, _ string, after bramleyfall.Revision, wait time.Duration) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	m.now = m.now.Add(wait)
	return nil, after, ctx.Err()
}

func (m *marked) Commit(_ context.Context, txn bramleyfall.Txn) (bool, error) {
	m.writes = append(m.writes, fmt.Sprintf("%s %s", txn.Writes[0].Key, txn.Writes[0].Value))
	m.at = append(m.at, m.now)
	if len(m.writes) == 2 {
		m.end()
	}
	return true, nil
}

// A mark names the one before it. It is written where no other process did for
// four and a half seconds, and before six have passed.
func TestMarks(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &marked{listing: listing{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), mark: `{"Previous":[800,900]}`}, end: cancel}
	directory.NewEntryWatcher(m, m, &members{listed: func() {}}, func(error) {}).Run(ctx)
	want := []string{`bramleyfall/mark {"Previous":[800,900,997]}`, `bramleyfall/mark {"Previous":[800,900,997]}`}
	if !slices.Equal(m.writes, want) {
		t.Errorf("%q", m.writes)
	}
	before := time.Time{}
	for _, at := range m.at {
		if waited := at.Sub(before); waited < 4500*time.Millisecond || waited >= 6*time.Second {
			t.Errorf("written after %s", waited)
		}
		before = at
	}
}

// A list names again what members know already: that is no news.
func TestListedAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &members{}
	// The history is lost each time that somebody asks for a look.
	l := &listing{key: "railbook/10.0.0.1:8000/agent-1", value: []byte(goodEntry), lost: true}
	r := directory.NewEntryWatcher(l, bramleyfall.SystemClock(), m, func(error) {})
	lists := 0
	m.listed = func() {
		if lists++; lists == 3 {
			cancel()
		}
		r.Refresh()
	}
	r.Run(ctx)
	if lists != 3 || len(m.announced) != 1 {
		t.Errorf("%d lists, announced %v", lists, m.announced)
	}
}

const goodEntry = `{"Instance":"agent-1","Upstream":"i-1","Boot":7,"Service":"railbook","Domain":"Ikeja",` +
	`"Packets":"10.0.0.1:8000","Slots":4}`

func TestEntries(t *testing.T) {
	tests := []struct {
		name, key, value string
		names            bool
	}{
		{"an agent's", "railbook/agent-1", goodEntry, true},
		{"under another's key", "railbook/agent-2", goodEntry, false},
		{"no object", "railbook/agent-1", `7`, false},
		{"no text", "railbook/agent-1", "\xff", false},
		{"without an address", "railbook/agent-1", `{"Instance":"agent-1","Service":"railbook"}`, false},
		{"with a bad address", "railbook/agent-1", `{"Instance":"agent-1","Service":"railbook","Packets":"nowhere"}`, false},
		{"without a service", "railbook/agent-1", `{"Instance":"agent-1","Packets":"10.0.0.1:8000"}`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := listed(test.key, []byte(test.value))
			if got := len(m.announced) == 1; got != test.names || len(m.announced)+len(m.malformed) != 1 {
				t.Fatalf("announced %v, malformed %v", m.announced, m.malformed)
			}
		})
	}
}

func FuzzEntry(f *testing.F) {
	f.Add("railbook/agent-1", []byte(goodEntry))
	f.Add("agent-1", []byte(`{"Instance":"agent-1"}`))
	f.Add("", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m := listed(key, value)
		if len(m.announced)+len(m.malformed) != 1 {
			t.Fatalf("announced %v, malformed %v", m.announced, m.malformed)
		}
		for _, a := range m.announced {
			if a.Instance == "" && key != "" || a.Packets.IsZero() || a.Service == "" {
				t.Fatalf("%+v", a)
			}
		}
	})
}
