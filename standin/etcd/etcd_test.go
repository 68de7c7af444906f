package etcd_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/etcd"
	store "bramleyfall.example/bramleyfall/standin/etcd"
)

// manual is a clock that tests move.
type manual struct {
	mu  sync.Mutex
	now time.Time
}

func (m *manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *manual) move(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

type setup struct {
	clock  *manual
	store  *store.Store
	server *store.Server
	client *etcd.Client
	writer *etcd.Writer
}

func newSetup(t *testing.T) *setup {
	s := &setup{clock: &manual{now: time.Unix(1_800_000_000, 0)}}
	s.store = store.NewStore(s.clock)
	s.server = store.NewServer(s.store)
	http := httptest.NewServer(s.server.Handler())
	t.Cleanup(http.Close)
	s.client = etcd.New(http.URL)
	s.writer = etcd.NewWriter(s.client, s.clock)
	return s
}

// proposal sets domain/Ife to a value after before ran.
func proposal(id, value string, before func()) etcd.Proposal {
	return etcd.Proposal{
		ID: bramleyfall.ChangeID(id), Actor: id, Key: "domain/Ife",
		Edit: func(json.RawMessage) (json.RawMessage, error) {
			if before != nil {
				before()
			}
			return json.RawMessage(`"` + value + `"`), nil
		},
	}
}

// accepted counts how often the history holds a change id.
func (s *setup) accepted(id string) int {
	n := 0
	for _, e := range s.store.History() {
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
		{"all is well", store.Faults{}, bramleyfall.OK, 1},
		{"down", store.Faults{Outage: true}, bramleyfall.PlatformAway, 0},
		{"slow", store.Faults{Delay: 150 * time.Millisecond}, bramleyfall.OK, 1},
		{"the answer is lost after the write", store.Faults{LoseAnswers: 1}, bramleyfall.OK, 1},
		{"several answers are lost", store.Faults{LoseAnswers: 2}, bramleyfall.OK, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSetup(t)
			s.server.SetFaults(test.faults)
			_, err := s.writer.Submit(context.Background(), proposal("c-1", "Out", nil))
			is.Equal(bramleyfall.CodeOf(err), test.code)
			is.Equal(s.accepted("c-1"), test.accepted)
		})
	}
}

func TestDownAfterTheWriteIsUnknownAndAskingAgainTellsTheTruth(t *testing.T) {
	is := is.New(t)
	s := newSetup(t)
	// The write takes effect, its answer is lost, and then nothing answers.
	s.server.SetFaults(store.Faults{LoseAnswers: 1, OutageAfterLoss: true})
	_, err := s.writer.Submit(context.Background(), proposal("c-1", "Out", nil))
	is.Equal(bramleyfall.CodeOf(err), bramleyfall.Unknown)
	s.server.SetFaults(store.Faults{})
	_, err = s.writer.Submit(context.Background(), proposal("c-1", "Out", nil))
	is.NoErr(err)
	is.Equal(s.accepted("c-1"), 1) // never twice
}

func TestRaceOnTheSameThingHasOneWinner(t *testing.T) {
	is := is.New(t)
	s := newSetup(t)
	first := true
	_, err := s.writer.Submit(context.Background(), proposal("c-late", "Out", func() {
		if first {
			first = false
			_, err := s.writer.Submit(context.Background(), proposal("c-early", "In", nil))
			is.NoErr(err)
		}
	}))
	is.Equal(bramleyfall.CodeOf(err), bramleyfall.LostRace)
	is.Equal(s.accepted("c-early"), 1)
	is.Equal(s.accepted("c-late"), 0)
}

func TestRaceOnDifferentThingsIsNoConflict(t *testing.T) {
	is := is.New(t)
	s := newSetup(t)
	first := true
	other := proposal("c-other", "In", nil)
	other.Key = "domain/Ibadan"
	c, err := s.writer.Submit(context.Background(), proposal("c-1", "Out", func() {
		if first {
			first = false
			_, err := s.writer.Submit(context.Background(), other)
			is.NoErr(err)
		}
	}))
	is.NoErr(err)
	is.Equal(c.Revision, bramleyfall.Revision(2)) // no gap, none lost
}

func TestLeaseThatLapsedInAPauseIsNotActedOn(t *testing.T) {
	is := is.New(t)
	s := newSetup(t)
	lease := etcd.NewLease(s.client, s.clock, "Ife", etcd.Contact{ID: "balancer-1", Domain: "Ife"})
	is.NoErr(lease.Renew(context.Background()))
	is.True(lease.Valid())
	s.clock.move(etcd.ContactTTL + time.Second) // the holder stood still
	is.True(!lease.Valid())
	contacts, err := etcd.Contacts(context.Background(), s.client)
	is.NoErr(err)
	is.Equal(len(contacts), 0)
	is.NoErr(lease.Renew(context.Background()))
	is.True(lease.Valid())
}

// sink keeps what a reader read.
type sink struct {
	revision bramleyfall.Revision
	last     bramleyfall.ChangeID
	full     bool
	count    int
}

func (s *sink) KnownRevision() (bramleyfall.Revision, bramleyfall.ChangeID) {
	return s.revision, s.last
}
func (s *sink) SetPlatformError(error) {}
func (s *sink) HandleChanges(changes []bramleyfall.Change, full bool, revision bramleyfall.Revision) {
	s.revision, s.full, s.count = revision, full, len(changes)
}

func TestReaderCatchesUpOrRefuses(t *testing.T) {
	tests := []struct {
		name     string
		known    bramleyfall.Revision
		last     bramleyfall.ChangeID
		code     bramleyfall.ResultCode
		revision bramleyfall.Revision
		count    int
	}{
		{"new", 0, "", bramleyfall.OK, 3, 3},
		{"behind", 1, "c-1", bramleyfall.OK, 3, 2},
		{"up to date", 3, "c-3", bramleyfall.OK, 3, 0},
		{"the platform is older", 5, "c-5", bramleyfall.PlatformRolledBack, 5, 0},
		{"the platform has another history", 3, "c-x", bramleyfall.PlatformRolledBack, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSetup(t)
			for _, id := range []string{"c-1", "c-2", "c-3"} {
				_, err := s.writer.Submit(context.Background(), proposal(id, "Out", nil))
				is.NoErr(err)
			}
			k := &sink{revision: test.known, last: test.last}
			err := etcd.NewReader(s.client, k).CatchUp(context.Background())
			is.Equal(bramleyfall.CodeOf(err), test.code)
			is.Equal(k.revision, test.revision)
			is.Equal(k.count, test.count)
		})
	}
}
