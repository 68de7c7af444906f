package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	storeHistory    = 20 * time.Second
	storePage       = 500
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is the platform's metadata store.
type Store struct {
	Address string
	server  *http.Server
	record  *Record
	mux     *http.ServeMux

	mu      sync.Mutex
	changed chan struct{}
	rev     int64
	dropped int64
	keys    map[string]item
	history []item
	leases  map[int64]lease
	// late, if set, returns how much later a put of the key is executed whose answer is
	// lost, or zero.
	late func(key string) time.Duration
}

// NewStore starts the store.
func NewStore(address string, record *Record) (*Store, error) {
	s := &Store{
		Address: address, record: record, changed: make(chan struct{}), rev: 100, dropped: 100,
		keys: make(map[string]item), leases: make(map[int64]lease), late: func(string) time.Duration { return 0 },
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /kv-key", s.get)
	s.mux.HandleFunc("GET /kv-range", s.list)
	s.mux.HandleFunc("GET /kv-watch", s.watch)
	s.mux.HandleFunc("POST /kv-txn", s.txn)
	s.mux.HandleFunc("POST /kv-lease", s.grant)
	s.mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	s.mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	go s.loopExpire()
	return s, nil
}

// Gate is a further address of the store, for some machines only. The store can turn
// the calls of these machines away while it serves the others.
type Gate struct {
	Address string
	store   *Store

	mu      sync.Mutex
	refuses bool
	conns   map[net.Conn]bool
}

// NewGate opens a gate.
func (s *Store) NewGate(address string) (*Gate, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	g := &Gate{Address: address, store: s, conns: make(map[net.Conn]bool)}
	server := &http.Server{Handler: http.HandlerFunc(g.serve), ConnState: g.track}
	go func() { _ = server.Serve(listener) }()
	return g, nil
}

func (g *Gate) track(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateNew:
		g.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(g.conns, c)
	}
}

func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	refuses := g.refuses
	g.mu.Unlock()
	if refuses {
		answer(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	g.store.serve(w, r)
}

// Refuse makes the store turn calls through the gate away with status 503, or serve them
// again. Calls under way are cut.
func (g *Gate) Refuse(refuse bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuses = refuse
	for c := range g.conns {
		_ = c.Close()
	}
	g.store.record.Add("store: turns the machines of %s away: %t", g.Address, refuse)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	if r.Method == http.MethodPost && r.URL.Path == "/kv-txn" {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.record.Add("store: a write call")
		if delay := s.lateFor(body); delay > 0 {
			later := r.Clone(context.Background())
			later.Body = io.NopCloser(bytes.NewReader(body))
			time.AfterFunc(delay, func() {
				answer := httptest.NewRecorder()
				s.mux.ServeHTTP(answer, later)
				s.record.Add("store: the late write is executed, status %d: %s", answer.Code, body)
			})
			<-r.Context().Done() // the connection returns nothing further
			return
		}
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Store) lateFor(body []byte) time.Duration {
	var m struct {
		Puts []item `json:"puts"`
	}
	_ = json.Unmarshal(body, &m)
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	for _, p := range m.Puts {
		if d := late(p.Key); d > 0 {
			s.record.Add("store: the answer to a put of %s is lost, it is done %s later", p.Key, d)
			return d
		}
	}
	return 0
}

// LoseAnswerOnce loses the answer to the next put of a key that contains part; the put
// is done after the delay.
func (s *Store) LoseAnswerOnce(part string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var once sync.Once
	s.late = func(key string) (d time.Duration) {
		if strings.Contains(key, part) {
			once.Do(func() { d = delay })
		}
		return d
	}
}

// Keys returns the keys that contain part.
func (s *Store) Keys(part string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.keys {
		if strings.Contains(key, part) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

func (s *Store) loopExpire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id, "ran out")
			}
		}
		n := 0
		for n < len(s.history) && now.Sub(s.history[n].at) > storeHistory {
			s.dropped = s.history[n].Rev
			n++
		}
		s.history = s.history[n:]
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64, why string) {
	delete(s.leases, id)
	for key, e := range s.keys {
		if e.Lease == id {
			s.record.Add("store: lease %d %s, %s is removed", id, why, key)
			s.rev++
			delete(s.keys, key)
			s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true, at: time.Now()})
		}
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, id int64) {
	e := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: id, at: time.Now()}
	if old, ok := s.keys[key]; ok {
		e.Created = old.Created
	}
	s.keys[key] = e
	s.history = append(s.history, e)
}

// Configure writes the operators' configuration.
func (s *Store) Configure(c Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put("op/config", c.encode(), 0)
	s.wake()
	s.record.Add("operator: configuration %d is acknowledged", c.Version)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": e.Key, "value": e.Value, "rev": e.Rev, "created": e.Created, "lease": e.Lease, "current_rev": s.rev})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > storePage
	items := []item{}
	for _, key := range keys[:min(len(keys), storePage)] {
		items = append(items, s.keys[key])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		lost, changed, rev := after < s.dropped || after > s.rev, s.changed, s.rev
		events := []item{}
		for _, e := range s.history {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if lost {
			answer(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
		return
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Deletes      []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range m.Precondition {
		if s.keys[e.Key].Rev != e.Rev {
			items := []item{}
			for _, e := range m.Precondition {
				if e, ok := s.keys[e.Key]; ok {
					items = append(items, e)
				}
			}
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, e := range m.Puts {
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.rev++
	for _, e := range m.Puts {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, key := range m.Deletes {
		if _, ok := s.keys[key]; ok {
			delete(s.keys, key)
			s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true, at: time.Now()})
		}
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var m struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&m)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(m.TTL) * time.Millisecond
	s.leases[s.rev] = lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl_ms": m.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id, "was ended")
	answer(w, http.StatusOK, struct{}{})
}
