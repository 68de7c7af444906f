package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// answerTime is the store's usual response time.
	answerTime = 4 * time.Millisecond
	// historyTime is how long the store keeps changes.
	historyTime = 20 * time.Second
	pageItems   = 500
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is the platform's metadata store.
type Store struct {
	mu        sync.Mutex
	changed   chan struct{}
	revision  uint64
	nextLease int64
	items     map[string]item
	history   []item
	dropped   uint64
	leases    map[int64]*lease
	mux       http.Handler
}

// Front is an address at which the store serves one machine.
type Front struct {
	Address string

	store  *Store
	server *http.Server
	refuse atomic.Bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		changed: make(chan struct{}), revision: 1, nextLease: 100,
		items: make(map[string]item), leases: make(map[int64]*lease),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.mux = mux
	go s.loopExpire()
	return s
}

// NewFront serves the store at one more address until the process ends.
func (s *Store) NewFront(listen string) (*Front, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	f := &Front{Address: l.Addr().String(), store: s}
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve)}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

// Refuse makes the store turn away the calls of the machine with 503, or serve them
// again. Watches that wait end with 503, too.
func (f *Front) Refuse(refuse bool) {
	f.refuse.Store(refuse)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.wake()
}

// refusal is the key of a request's function that tells whether it is turned away.
type refusal struct{}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	if f.refuse.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.store.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), refusal{}, f.refuse.Load)))
}

func turnedAway(r *http.Request) bool {
	refused, ok := r.Context().Value(refusal{}).(func() bool)
	return ok && refused()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) loopExpire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
			s.dropped, s.history = s.history[0].Rev, s.history[1:]
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.remove(key)
	}
	s.wake()
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Rev: s.revision, Created: s.revision, Lease: leaseID, at: time.Now()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.revision, Deleted: true, at: time.Now()})
	}
}

// PutByOperator writes a key as the operator does.
func (s *Store) PutByOperator(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.wake()
}

// DeleteByOperator removes a key as the operator does.
func (s *Store) DeleteByOperator(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "rev": i.Rev, "created": i.Created, "lease": i.Lease, "current_rev": s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []item{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if turnedAway(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		gone, changed, revision := after < s.dropped || after > s.revision, s.changed, s.revision
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Deletes      []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, present := true, []item{}
	for _, p := range txn.Precondition {
		current, ok := s.items[p.Key]
		holds = holds && current.Rev == p.Rev
		if ok {
			present = append(present, current)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"rev": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := max(1000, body.TTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	d := time.Duration(ttl) * time.Millisecond
	s.leases[s.nextLease] = &lease{d, time.Now().Add(d)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": ttl})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
