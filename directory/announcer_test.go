package directory_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/directory"
)

// lateStore is a store that does a transaction late, after others, when a test
// asks for it.
type lateStore struct {
	bramleyfall.LongPollStore
	mu    sync.Mutex
	keys  map[string][]byte
	late  time.Duration
	calls int
}

func (s *lateStore) Grant(context.Context, time.Duration) (bramleyfall.LeaseID, error) { return 1, nil }

func (s *lateStore) KeepAlive(context.Context, bramleyfall.LeaseID) error { return nil }

func (s *lateStore) Commit(_ context.Context, t bramleyfall.Txn) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.late > 0 {
		time.AfterFunc(s.late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.do(t)
		})
		s.late = 0
		return false, bramleyfall.ErrUnknownOutcome
	}
	s.do(t)
	return true, nil
}

func (s *lateStore) do(t bramleyfall.Txn) {
	for _, w := range t.Writes {
		if w.Delete {
			delete(s.keys, w.Key)
			continue
		}
		s.keys[w.Key] = w.Value
	}
}

// boot returns the run that the only entry names, or zero.
func (s *lateStore) boot() bramleyfall.BootID {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, value := range s.keys {
		var a bramleyfall.Announcement
		if json.Unmarshal(value, &a) == nil {
			return a.Boot
		}
	}
	return 0
}

// A write that the store does late must not undo a later one for good.
func TestLateWriteIsOverwritten(t *testing.T) {
	const late = 150 * time.Millisecond
	entry := func(boot bramleyfall.BootID) *bramleyfall.Announcement {
		return &bramleyfall.Announcement{Instance: "agent-1", Service: "railbook", Boot: boot}
	}
	tests := []struct {
		name string
		next *bramleyfall.Announcement
		want bramleyfall.BootID
	}{
		{"another run", entry(2), 2},
		{"removal", nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := &lateStore{keys: make(map[string][]byte), late: late}
			a := directory.NewAnnouncer(s, func(error) {}, directory.WithLateWriteWindow(2*late))
			a.SetEntry(entry(1))
			go a.Run(ctx)
			time.Sleep(late / 3)
			a.SetEntry(test.next)
			time.Sleep(4 * late)
			if got := s.boot(); got != test.want {
				t.Errorf("the entry names run %d, not %d", got, test.want)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.calls > 5 {
				t.Errorf("%d writes", s.calls)
			}
		})
	}
}
