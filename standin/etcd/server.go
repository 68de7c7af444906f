package etcd

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall/etcd"
)

// Faults are the faults that a Server shows.
type Faults struct {
	// Outage makes every call fail.
	Outage bool
	// Delay holds every call up.
	Delay time.Duration
	// LoseAnswers is the number of transactions whose answer is lost after the
	// write took effect.
	LoseAnswers int
	// OutageAfterLoss starts an outage with the last lost answer.
	OutageAfterLoss bool
}

// Server serves a store over HTTP.
type Server struct {
	store  *Store
	mu     sync.Mutex
	faults Faults
	calls  map[string]int
	cut    chan struct{}
}

// NewServer returns a server of store without faults.
func NewServer(store *Store) *Server {
	return &Server{store: store, calls: make(map[string]int), cut: make(chan struct{})}
}

// SetFaults replaces the faults. An outage also ends the open watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Outage && !s.faults.Outage {
		close(s.cut)
		s.cut = make(chan struct{})
	}
	s.faults = f
}

// Calls returns how often each path was called.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for path, n := range s.calls {
		out[path] = n
	}
	return out
}

// Handler returns the handler of the API and of the switches under /standin/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(s, mux, "/v3/kv/range", s.serveRange)
	handle(s, mux, "/v3/kv/txn", s.serveTxn)
	handle(s, mux, "/v3/lease/grant", s.serveGrant)
	handle(s, mux, "/v3/lease/keepalive", s.serveKeepAlive)
	handle(s, mux, "/v3/lease/revoke", s.serveRevoke)
	mux.HandleFunc("POST /v3/watch", s.watch)
	mux.HandleFunc("POST /standin/faults", s.serveFaults)
	mux.HandleFunc("GET /standin/calls", s.serveCalls)
	mux.HandleFunc("GET /standin/history", s.serveHistory)
	return mux
}

// enter counts a call and shows the faults. It reports whether to go on.
func (s *Server) enter(w http.ResponseWriter, path string) bool {
	s.mu.Lock()
	s.calls[path]++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// handle serves a call with a JSON request and a JSON answer. A nil answer is
// lost on the way.
func handle[T any](s *Server, mux *http.ServeMux, path string, serve func(T) any) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		if !s.enter(w, path) {
			return
		}
		var request T
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer := serve(request)
		if answer == nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	})
}

func (s *Server) serveRange(r etcd.RangeRequest) any {
	kvs, revision := s.store.Range(r.Key, r.RangeEnd)
	return etcd.RangeResponse{Header: etcd.ResponseHeader{Revision: revision}, KVs: kvs}
}

func (s *Server) serveTxn(r etcd.TxnRequest) any {
	ok, revision := s.store.Txn(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.faults.Outage = s.faults.OutageAfterLoss && s.faults.LoseAnswers == 0
		return nil
	}
	return etcd.TxnResponse{Header: etcd.ResponseHeader{Revision: revision}, Succeeded: ok}
}

func (s *Server) serveGrant(r etcd.LeaseGrantRequest) any {
	return etcd.LeaseGrantResponse{ID: s.store.Grant(time.Duration(r.TTL) * time.Second), TTL: r.TTL}
}

func (s *Server) serveKeepAlive(r etcd.LeaseKeepAliveRequest) any {
	left := s.store.KeepAlive(r.ID)
	return etcd.LeaseKeepAliveResponse{Result: etcd.LeaseKeepAlive{ID: r.ID, TTL: int64(left.Seconds())}}
}

func (s *Server) serveRevoke(r etcd.LeaseRevokeRequest) any {
	s.store.Revoke(r.ID)
	return struct{}{}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, "/v3/watch") {
		return
	}
	var request etcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	events, stop := s.store.Watch(string(request.CreateRequest.Key), string(request.CreateRequest.RangeEnd))
	defer stop()
	out := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(etcd.WatchResponse{})
	_ = out.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-cut:
			return
		case e, ok := <-events:
			if !ok || encoder.Encode(etcd.WatchResponse{Result: etcd.WatchResult{Events: []etcd.Event{e}}}) != nil {
				return
			}
			_ = out.Flush()
		}
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	delay, err := time.ParseDuration(orZero(query.Get("delay"), "0s"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lose, err := strconv.Atoi(orZero(query.Get("lose-answers"), "0"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(Faults{Outage: query.Get("outage") == "true", Delay: delay, LoseAnswers: lose})
}

func orZero(value, zero string) string {
	if value == "" {
		return zero
	}
	return value
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Calls())
}

func (s *Server) serveHistory(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.store.History())
}
