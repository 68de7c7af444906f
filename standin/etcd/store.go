// Package etcd stands in for the platform: the subset of the etcd v3
// JSON-over-HTTP API that the project uses, with faults to switch on.
package etcd

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/etcd"
)

// Store keeps the keys and the leases. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	clock    bramleyfall.Clock
	revision int64
	keys     map[string]etcd.KeyValue
	leases   map[int64]*lease
	nextID   int64
	watchers map[*watcher]bool
	history  []etcd.Event
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

type watcher struct {
	from, to string
	events   chan etcd.Event
}

// watchQueue is the number of events that wait for a watcher.
const watchQueue = 4096

// NewStore returns an empty store whose leases lapse by clock.
func NewStore(clock bramleyfall.Clock) *Store {
	return &Store{
		clock: clock, revision: 1,
		keys: make(map[string]etcd.KeyValue), leases: make(map[int64]*lease),
		watchers: make(map[*watcher]bool),
	}
}

// Range returns the pairs in [from, to), or the pair of from alone.
func (s *Store) Range(from, to []byte) ([]etcd.KeyValue, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []etcd.KeyValue
	for _, kv := range s.keys {
		if inRange(kv.Key, from, to) {
			out = append(out, kv)
		}
	}
	slices.SortFunc(out, func(a, b etcd.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	return out, s.revision
}

func inRange(key, from, to []byte) bool {
	if len(to) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, to) < 0
}

// Txn applies a transaction and reports whether its conditions held.
func (s *Store) Txn(r etcd.TxnRequest) (bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range r.Compare {
		if s.keys[string(c.Key)].ModRevision != c.ModRevision {
			return false, s.revision
		}
	}
	if len(r.Success) > 0 {
		s.revision++
	}
	for _, op := range r.Success {
		switch {
		case op.Put != nil:
			s.put(op.Put)
		case op.DeleteRange != nil:
			s.delete(string(op.DeleteRange.Key))
		}
	}
	return true, s.revision
}

func (s *Store) put(r *etcd.PutRequest) {
	kv := s.keys[string(r.Key)]
	if kv.CreateRevision == 0 {
		kv.CreateRevision = s.revision
	}
	kv.Key, kv.Value, kv.ModRevision, kv.Lease = r.Key, r.Value, s.revision, r.Lease
	kv.Version++
	s.keys[string(r.Key)] = kv
	s.publish(etcd.Event{KV: kv})
}

func (s *Store) delete(key string) {
	kv, ok := s.keys[key]
	if !ok {
		return
	}
	delete(s.keys, key)
	s.publish(etcd.Event{Type: "DELETE", KV: etcd.KeyValue{Key: kv.Key, ModRevision: s.revision}})
}

func (s *Store) publish(e etcd.Event) {
	s.history = append(s.history, e)
	for w := range s.watchers {
		if !inRange(e.KV.Key, []byte(w.from), []byte(w.to)) {
			continue
		}
		select {
		case w.events <- e:
		default:
			close(w.events)
			delete(s.watchers, w)
		}
	}
}

// History returns all changes since the start, for checks against the truth.
func (s *Store) History() []etcd.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// Watch returns a channel of the changes in [from, to) and a function that
// ends it. The channel closes when the watcher is too slow.
func (s *Store) Watch(from, to string) (<-chan etcd.Event, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &watcher{from: from, to: to, events: make(chan etcd.Event, watchQueue)}
	s.watchers[w] = true
	return w.events, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, w)
	}
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, until: s.clock.Now().Add(ttl)}
	return s.nextID
}

// KeepAlive extends a lease and returns its time to live, or zero if it has
// lapsed.
func (s *Store) KeepAlive(id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.until = s.clock.Now().Add(l.ttl)
	return l.ttl
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}

// expire deletes the keys of leases that have lapsed.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, kv := range s.keys {
		if kv.Lease == id && id != 0 {
			s.revision++
			s.delete(key)
		}
	}
}
