package etcd_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/etcd"
	store "bramleyfall.example/bramleyfall/standin/etcd"
)

// manualClock is a clock that tests advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

type fixture struct {
	clock  *manualClock
	store  *store.Store
	server *store.Server
	client *etcd.Client
	writer *etcd.Writer
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{clock: &manualClock{now: time.Unix(1_800_000_000, 0)}}
	f.store = store.NewStore(f.clock)
	f.server = store.NewServer(f.store)
	httpServer := httptest.NewServer(f.server.Handler())
	t.Cleanup(httpServer.Close)
	f.client = etcd.NewClient(httpServer.URL)
	f.writer = etcd.NewWriter(f.client, f.clock)
	return f
}

// proposal returns a change that calls beforeEdit and sets domain/Ife to value.
func proposal(id, value string, beforeEdit func()) etcd.Proposal {
	return etcd.Proposal{
		ID: bramleyfall.ChangeID(id), Actor: id, Key: "domain/Ife",
		Edit: func(json.RawMessage) (json.RawMessage, error) {
			if beforeEdit != nil {
				beforeEdit()
			}
			return json.RawMessage(`"` + value + `"`), nil
		},
	}
}

// countAccepted returns how often the history contains a change id.
func (f *fixture) countAccepted(id string) int {
	n := 0
	for _, e := range f.store.History() {
		if string(e.KV.Key) == "/bramleyfall/change-id/"+id {
			n++
		}
	}
	return n
}

func TestAnswerIsTrueWhateverThePlatformDoes(t *testing.T) {
	tests := []struct {
		name     string
		faults   store.Faults
		code     bramleyfall.ResultCode
		accepted int
	}{
		{"no faults", store.Faults{}, bramleyfall.OK, 1},
		{"outage", store.Faults{Outage: true}, bramleyfall.PlatformAway, 0},
		{"slow responses", store.Faults{Delay: 150 * time.Millisecond}, bramleyfall.OK, 1},
		{"response dropped after the write", store.Faults{DropTxnResponses: 1}, bramleyfall.OK, 1},
		{"several responses dropped", store.Faults{DropTxnResponses: 2}, bramleyfall.OK, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.server.SetFaults(test.faults)
			_, err := f.writer.Submit(context.Background(), proposal("c-1", "Out", nil))
			is.Equal(bramleyfall.CodeOf(err), test.code)
			is.Equal(f.countAccepted("c-1"), test.accepted)
		})
	}
}

// A write whose response is dropped before an outage has an unknown outcome. A retry
// after the outage must find the change and not write it again.
func TestDownAfterTheWriteIsUnknownAndAskingAgainTellsTheTruth(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	// The write is executed, its response is dropped, and later calls fail.
	f.server.SetFaults(store.Faults{DropTxnResponses: 1, OutageAfterDrops: true})
	_, err := f.writer.Submit(context.Background(), proposal("c-1", "Out", nil))
	is.Equal(bramleyfall.CodeOf(err), bramleyfall.Unknown)
	f.server.SetFaults(store.Faults{})
	_, err = f.writer.Submit(context.Background(), proposal("c-1", "Out", nil))
	is.NoErr(err)
	is.Equal(f.countAccepted("c-1"), 1) // not accepted twice
}

func TestRaceOnTheSameThingHasOneWinner(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first := true
	_, err := f.writer.Submit(context.Background(), proposal("c-late", "Out", func() {
		if first {
			first = false
			_, err := f.writer.Submit(context.Background(), proposal("c-early", "In", nil))
			is.NoErr(err)
		}
	}))
	is.Equal(bramleyfall.CodeOf(err), bramleyfall.LostRace)
	is.Equal(f.countAccepted("c-early"), 1)
	is.Equal(f.countAccepted("c-late"), 0)
}

func TestRaceOnDifferentThingsIsNoConflict(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first := true
	other := proposal("c-other", "In", nil)
	other.Key = "domain/Ibadan"
	c, err := f.writer.Submit(context.Background(), proposal("c-1", "Out", func() {
		if first {
			first = false
			_, err := f.writer.Submit(context.Background(), other)
			is.NoErr(err)
		}
	}))
	is.NoErr(err)
	is.Equal(c.Revision, bramleyfall.Revision(2)) // consecutive revisions, both changes kept
}

// recordingSink records what a reader delivers.
type recordingSink struct {
	revision   bramleyfall.Revision
	lastChange bramleyfall.ChangeID
	full       bool
	count      int
	// log holds the changes that the sink knows, from revision 1.
	log       []bramleyfall.Change
	rewritten int
	malformed []error
	state     *configuration.State
}

func (s *recordingSink) ChangesAfter(revision bramleyfall.Revision) ([]bramleyfall.Change, bool) {
	if int(revision) > len(s.log) {
		return nil, false
	}
	return s.log[revision:], true
}

func (s *recordingSink) ChangesRewritten(changes []bramleyfall.Change) { s.rewritten += len(changes) }

func (s *recordingSink) KnownRevision() (bramleyfall.Revision, bramleyfall.ChangeID) {
	return s.revision, s.lastChange
}
func (s *recordingSink) SetPlatformError(error)    {}
func (s *recordingSink) RecordMalformed(err error) { s.malformed = append(s.malformed, err) }
func (s *recordingSink) HandleChanges(changes []bramleyfall.Change, full bool, revision bramleyfall.Revision) {
	s.revision, s.full, s.count = revision, full, len(changes)
	switch {
	case s.state == nil:
	case full:
		s.state.ApplySnapshot(changes, revision)
	default:
		for _, c := range changes {
			_, _ = s.state.Apply(c) // a malformed value has no effect
		}
	}
}

func TestReaderCatchesUpOrRefuses(t *testing.T) {
	tests := []struct {
		name       string
		known      bramleyfall.Revision
		lastChange bramleyfall.ChangeID
		code       bramleyfall.ResultCode
		revision   bramleyfall.Revision
		count      int
	}{
		{"no state", 0, "", bramleyfall.OK, 3, 3},
		{"behind", 1, "c-1", bramleyfall.OK, 3, 2},
		{"up to date", 3, "c-3", bramleyfall.OK, 3, 0},
		{"platform behind", 5, "c-5", bramleyfall.PlatformRolledBack, 5, 0},
		{"platform with a different history", 3, "c-x", bramleyfall.PlatformRolledBack, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			for _, id := range []string{"c-1", "c-2", "c-3"} {
				_, err := f.writer.Submit(context.Background(), proposal(id, "Out", nil))
				is.NoErr(err)
			}
			sink := &recordingSink{revision: test.known, lastChange: test.lastChange}
			err := etcd.NewReader(f.client, sink).CatchUp(context.Background())
			is.Equal(bramleyfall.CodeOf(err), test.code)
			is.Equal(sink.revision, test.revision)
			is.Equal(sink.count, test.count)
		})
	}
}

// submit commits a change with the given ID, which must be accepted.
func (f *fixture) submit(t *testing.T, id string) bramleyfall.Change {
	t.Helper()
	c, err := f.writer.Submit(context.Background(), proposal(id, "Out", nil))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// takeOut commits the change that takes a failure domain out of service.
func (f *fixture) takeOut(t *testing.T, domain bramleyfall.DomainName) bramleyfall.Change {
	t.Helper()
	p := etcd.Proposal{ID: bramleyfall.ChangeID("c-" + domain), Key: configuration.DomainKey(domain), Edit: func(json.RawMessage) (json.RawMessage, error) {
		return json.Marshal(bramleyfall.Domain{Name: domain, State: bramleyfall.DomainOut})
	}}
	c, err := f.writer.Submit(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against accepted changes that revert, or whose revisions are assigned to other
// changes, after the store was restored from an older copy.
func TestLostChangesAreWrittenAgain(t *testing.T) {
	tests := []struct {
		name string
		// lost is the number of accepted changes that the copy lacks.
		lost int
		// other is the number of other changes that are written after the restore.
		other     int
		code      bramleyfall.ResultCode
		rewritten int
	}{
		{"some are lost", 2, 0, bramleyfall.OK, 2},
		{"all are lost", 4, 0, bramleyfall.OK, 4},
		{"another change was written in their place", 2, 1, bramleyfall.PlatformRolledBack, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			const accepted = 4
			ctx := context.Background()
			f := newFixture(t)
			sinks := []*recordingSink{{}, {}}
			for n := range accepted {
				if n == accepted-test.lost {
					f.store.Backup()
				}
				c := f.submit(t, "c-"+strconv.Itoa(n+1))
				for _, s := range sinks {
					s.revision, s.lastChange, s.log = c.Revision, c.ID, append(s.log, c)
				}
			}
			f.store.Restore()
			for n := range test.other {
				f.submit(t, "c-other-"+strconv.Itoa(n))
			}
			rewritten := 0
			for _, s := range sinks {
				is.Equal(bramleyfall.CodeOf(etcd.NewReader(f.client, s).CatchUp(ctx)), test.code)
				rewritten += s.rewritten
			}
			is.Equal(rewritten, test.rewritten) // by the first reader only
			if test.code != bramleyfall.OK {
				return
			}
			for _, c := range sinks[0].log {
				found, ok, err := f.writer.Find(ctx, c.ID)
				is.NoErr(err)
				is.True(ok)
				is.Equal(found.Revision, c.Revision)
			}
			is.Equal(f.submit(t, "c-next").Revision, bramleyfall.Revision(accepted+1))
		})
	}
}

// Guards against accepting a change at a revision that the submitting instance, and
// others, know with another change.
func TestNoChangeIsAcceptedByAnOlderStore(t *testing.T) {
	tests := []struct {
		name string
		// known are the changes that the submitting instance knows.
		known func(p *etcd.Proposal)
		code  bramleyfall.ResultCode
	}{
		{"knows more than the store", func(p *etcd.Proposal) { p.Known, p.KnownID, p.Newest = 3, "c-3", 3 }, bramleyfall.PlatformRolledBack},
		{"has heard of more", func(p *etcd.Proposal) { p.Known, p.KnownID, p.Newest = 1, "c-1", 3 }, bramleyfall.PlatformRolledBack},
		{"knows another change", func(p *etcd.Proposal) { p.Known, p.KnownID, p.Newest = 2, "c-2", 2 }, bramleyfall.PlatformRolledBack},
		{"knows no more", func(p *etcd.Proposal) { p.Known, p.KnownID, p.Newest = 1, "c-1", 1 }, bramleyfall.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.submit(t, "c-1")
			f.store.Backup()
			f.submit(t, "c-2")
			f.store.Restore()
			f.submit(t, "c-other")
			p := proposal("c-new", "In", nil)
			test.known(&p)
			_, err := f.writer.Submit(context.Background(), p)
			is.Equal(bramleyfall.CodeOf(err), test.code)
			want := 0
			if test.code == bramleyfall.OK {
				want = 1
			}
			is.Equal(f.countAccepted("c-new"), want)
		})
	}
}
