// Package etcd simulates the platform's key-value store for tests and the demo: an
// in-memory implementation of the subset of the etcd v3 JSON-over-HTTP API that the
// client in bramleyfall/etcd uses, with fault injection.
package etcd

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/etcd"
)

// Store holds keys and leases in memory. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	clock       bramleyfall.Clock
	revision    int64
	keys        map[string]etcd.KeyValue
	leases      map[int64]*lease
	lastLeaseID int64
	watchers    map[*watcher]bool
	history     []etcd.Event
	backup      *backup
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

type watcher struct {
	from, to string
	events   chan etcd.Event
}

// watcherQueueLength is the maximum number of undelivered events of a watcher; the
// watch ends when there are more.
const watcherQueueLength = 4096

// NewStore returns an empty store whose leases expire according to clock.
func NewStore(clock bramleyfall.Clock) *Store {
	return &Store{
		clock: clock, revision: 1,
		keys: make(map[string]etcd.KeyValue), leases: make(map[int64]*lease),
		watchers: make(map[*watcher]bool),
	}
}

// Range returns the pairs in [from, to) in order of their keys, or the pair of from
// alone if to is empty, with the current revision.
func (s *Store) Range(from, to []byte) ([]etcd.KeyValue, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
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

// Txn applies a transaction and reports whether its conditions were met, with the
// revision after it. A transaction with a lease that has ended changes nothing.
func (s *Store) Txn(r etcd.TxnRequest) (bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, c := range r.Compare {
		if s.keys[string(c.Key)].ModRevision != c.ModRevision {
			return false, s.revision
		}
	}
	for _, op := range r.Success {
		if op.Put != nil && op.Put.Lease != 0 && s.leases[op.Put.Lease] == nil {
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

// History returns all changes since the start, so that tests can compare them with
// what clients observed.
func (s *Store) History() []etcd.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// Watch returns a channel of later changes in [from, to) and a function that ends the
// watch. The channel is closed when the watcher is too slow.
func (s *Store) Watch(from, to string) (<-chan etcd.Event, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &watcher{from: from, to: to, events: make(chan etcd.Event, watcherQueueLength)}
	s.watchers[w] = true
	return w.events, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, w)
	}
}

// Grant creates a lease and returns its id.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
	return s.lastLeaseID
}

// KeepAlive renews a lease and returns its time to live, or zero if it has expired.
func (s *Store) KeepAlive(id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.expiresAt = s.clock.Now().Add(l.ttl)
	return l.ttl
}

// Revoke deletes a lease and its keys.
func (s *Store) Revoke(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLease(id)
}

// expireLeases deletes the expired leases and their keys.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.deleteLease(id)
		}
	}
}

func (s *Store) deleteLease(id int64) {
	delete(s.leases, id)
	for key, kv := range s.keys {
		if kv.Lease == id && id != 0 {
			s.revision++
			s.delete(key)
		}
	}
}
