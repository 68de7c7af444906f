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

// lateStore is a store whose next transaction takes effect only after delay,
// with an unknown outcome, if delay is set.
type lateStore struct {
	bramleyfall.LongPollStore
	mu      sync.Mutex
	values  map[string][]byte
	delay   time.Duration
	commits int
}

func (s *lateStore) Grant(context.Context, time.Duration) (bramleyfall.LeaseID, error) { return 1, nil }

func (s *lateStore) KeepAlive(context.Context, bramleyfall.LeaseID) error { return nil }

func (s *lateStore) Commit(_ context.Context, t bramleyfall.Txn) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.delay > 0 {
		time.AfterFunc(s.delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(t)
		})
		s.delay = 0
		return false, bramleyfall.ErrUnknownOutcome
	}
	s.apply(t)
	return true, nil
}

func (s *lateStore) apply(t bramleyfall.Txn) {
	for _, w := range t.Writes {
		if w.Delete {
			delete(s.values, w.Key)
			continue
		}
		s.values[w.Key] = w.Value
	}
}

// storedBoot returns the boot ID in the only stored entry, or zero.
func (s *lateStore) storedBoot() bramleyfall.BootID {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, value := range s.values {
		var a bramleyfall.Announcement
		if json.Unmarshal(value, &a) == nil {
			return a.Boot
		}
	}
	return 0
}

// Guards against a delayed write that permanently overwrites a later one: the
// first write has an unknown outcome and takes effect after the second.
func TestLateWriteIsOverwritten(t *testing.T) {
	const delay = 150 * time.Millisecond
	entry := func(boot bramleyfall.BootID) *bramleyfall.Announcement {
		return &bramleyfall.Announcement{Instance: "agent-1", Service: "railbook", Boot: boot}
	}
	tests := []struct {
		name string
		next *bramleyfall.Announcement
		want bramleyfall.BootID
	}{
		{"changed boot ID", entry(2), 2},
		{"removal", nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := &lateStore{values: make(map[string][]byte), delay: delay}
			a := directory.NewAnnouncer(s, func(error) {}, directory.WithLateWriteWindow(2*delay))
			a.SetEntry(entry(1))
			go a.Run(ctx)
			time.Sleep(delay / 3)
			a.SetEntry(test.next)
			time.Sleep(4 * delay)
			if got := s.storedBoot(); got != test.want {
				t.Errorf("boot ID of the stored entry is %d, want %d", got, test.want)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.commits > 5 {
				t.Errorf("%d writes, want at most 5", s.commits)
			}
		})
	}
}
