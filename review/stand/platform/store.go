// Package platform holds stand-ins for the users' platform and the names of its API.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store. Each machine calls it at an
// address of its own, so that the store can turn single machines away.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	next    int64
	changed chan struct{}
	// busy holds the machines to which the store answers 503.
	busy map[string]bool
	// silent is set while the store is down and answers nobody.
	silent bool
}

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// NewStore returns an empty store that is up.
func NewStore() *Store {
	s := &Store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, next: 70000, changed: make(chan struct{}),
		busy: map[string]bool{}}
	go s.expireLeases()
	return s
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key at a new revision. The caller holds mu.
func (s *Store) set(key string, value []byte, leaseID int64, rev uint64) {
	it := item{Key: key, Value: value, Rev: rev, Created: rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *Store) remove(key string, rev uint64) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: rev, Deleted: true})
	}
}

// OperatorPut writes a key as the operator.
func (s *Store) OperatorPut(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, b, 0, s.rev)
	s.notify()
}

// OperatorDelete removes a key as the operator.
func (s *Store) OperatorDelete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key, s.rev)
	s.notify()
}

// TurnAway makes the store answer 503 to a machine, or serve it again.
func (s *Store) TurnAway(machine string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[machine] = on
	s.notify() // cuts the watches of the machine
}

func (s *Store) turnedAway(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy[machine]
}

// SetSilent makes the store answer no call, or serve again. Leases pause meanwhile.
func (s *Store) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	s.notify()
}

// waitUntilUp waits until the store is up. It reports false if it was down: a call that
// arrived meanwhile gets no answer.
func (s *Store) waitUntilUp(ctx context.Context) bool {
	up := true
	for {
		s.mu.Lock()
		silent, changed := s.silent, s.changed
		s.mu.Unlock()
		if !silent {
			return up
		}
		up = false
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if s.silent {
				l.end = l.end.Add(50 * time.Millisecond)
			} else if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, key := range keys {
		s.remove(key, s.rev)
	}
	s.notify()
}

// Serve answers the calls of one machine on a listener.
func (s *Store) Serve(machine string, l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(machine, w, r) })
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", "1")
		if s.turnedAway(machine) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !s.waitUntilUp(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})
	go (&http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}).Serve(l)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, 200, map[string]any{"items": items, "has_more": false, "current_rev": s.rev})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, 404, map[string]any{"current_rev": s.rev})
		return
	}
	reply(w, 200, it)
}

func (s *Store) watch(machine string, w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, r.URL.Query().Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed, away := s.rev, s.changed, s.busy[machine]
		silent := s.silent
		s.mu.Unlock()
		if silent {
			s.waitUntilUp(r.Context())
			panic(http.ErrAbortHandler)
		}
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || wait == 0 {
			reply(w, 200, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, 200, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Precondition {
		if s.items[c.Key].Rev != c.Rev {
			reply(w, 412, map[string]any{"items": []item{s.items[c.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease, s.rev)
	}
	for _, key := range t.Deletes {
		s.remove(key, s.rev)
	}
	s.notify()
	reply(w, 200, map[string]any{"rev": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	ttl := time.Duration(t.TTL) * time.Millisecond
	s.leases[s.next] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": s.next, "ttl_ms": t.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, 200, map[string]any{})
}
