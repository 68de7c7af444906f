package directory_test

import (
	"context"
	"encoding/json"
	"strings"
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
	mu       sync.Mutex
	values   map[string][]byte
	written  map[string]bramleyfall.Revision
	revision bramleyfall.Revision
	delay    time.Duration
	commits  int
}

func newLateStore(delay time.Duration) *lateStore {
	return &lateStore{values: make(map[string][]byte), written: make(map[string]bramleyfall.Revision), delay: delay}
}

func (s *lateStore) Grant(context.Context, time.Duration) (bramleyfall.LeaseID, error) { return 1, nil }

func (s *lateStore) KeepAlive(context.Context, bramleyfall.LeaseID) error { return nil }

func (s *lateStore) List(_ context.Context, prefix string) ([]bramleyfall.KeyValue, bramleyfall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pairs []bramleyfall.KeyValue
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			pairs = append(pairs, bramleyfall.KeyValue{Key: key, Value: value, ModRevision: int64(s.written[key]), Lease: 1})
		}
	}
	return pairs, s.revision, nil
}

func (s *lateStore) Commit(_ context.Context, t bramleyfall.Txn) (bramleyfall.TxnResult, error) {
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
		return bramleyfall.TxnResult{}, bramleyfall.ErrUnknownOutcome
	}
	return s.apply(t), nil
}

func (s *lateStore) apply(t bramleyfall.Txn) bramleyfall.TxnResult {
	result := bramleyfall.TxnResult{Committed: true}
	for _, c := range t.Conditions {
		result.Committed = result.Committed && s.written[c.Key] == bramleyfall.Revision(c.ModRevision)
		if value, ok := s.values[c.Key]; ok {
			result.Current = append(result.Current, bramleyfall.KeyValue{Key: c.Key, Value: value, ModRevision: int64(s.written[c.Key]), Lease: 1})
		}
	}
	if !result.Committed {
		return result
	}
	s.revision++
	for _, w := range t.Writes {
		if w.Delete {
			delete(s.values, w.Key)
			delete(s.written, w.Key)
			continue
		}
		s.values[w.Key], s.written[w.Key] = w.Value, s.revision
	}
	return bramleyfall.TxnResult{Committed: true, Revision: s.revision}
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
			s := newLateStore(delay)
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
