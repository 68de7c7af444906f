package etcd

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall/etcd"
)

// Faults holds the faults that a Server injects.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// DropTxnResponses is the number of transactions that are executed but whose
	// response is dropped.
	DropTxnResponses int
	// LateTxns is the number of transactions that are not executed before the next call
	// of ExecuteLateTxns, and get no response.
	LateTxns int
	// OutageAfterDrops starts an outage with the last dropped response.
	OutageAfterDrops bool
}

// Server serves a Store over HTTP.
type Server struct {
	store         *Store
	mu            sync.Mutex
	faults        Faults
	calls         map[string]int
	outageStarted chan struct{}
	lateTxns      []etcd.TxnRequest
}

// NewServer returns a server of store that injects no faults.
func NewServer(store *Store) *Server {
	return &Server{store: store, calls: make(map[string]int), outageStarted: make(chan struct{})}
}

// SetFaults replaces the faults. The start of an outage also ends open watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Outage && !s.faults.Outage {
		close(s.outageStarted)
		s.outageStarted = make(chan struct{})
	}
	s.faults = f
}

// Calls returns the number of calls by path.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for path, n := range s.calls {
		out[path] = n
	}
	return out
}

// Handler returns the handler of the etcd API and, under /standin/, of the API for
// fault injection and inspection.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(s, mux, "/v3/kv/range", s.serveRange)
	handle(s, mux, "/v3/kv/txn", s.serveTxn)
	handle(s, mux, "/v3/lease/grant", s.serveGrant)
	handle(s, mux, "/v3/lease/keepalive", s.serveKeepAlive)
	handle(s, mux, "/v3/lease/revoke", s.serveRevoke)
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	mux.HandleFunc("POST /standin/faults", s.serveFaults)
	mux.HandleFunc("POST /standin/backup", func(http.ResponseWriter, *http.Request) { s.store.Backup() })
	mux.HandleFunc("POST /standin/restore", func(http.ResponseWriter, *http.Request) { s.store.Restore() })
	mux.HandleFunc("GET /standin/calls", s.serveCalls)
	mux.HandleFunc("GET /standin/history", s.serveHistory)
	return mux
}

// applyFaults counts a call and applies the delay and the outage to it. It reports
// whether to continue with the call.
func (s *Server) applyFaults(w http.ResponseWriter, path string) bool {
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

// handle registers a handler with a JSON request and a JSON response. If serve returns
// nil, the connection is aborted without a response.
func handle[T any](s *Server, mux *http.ServeMux, path string, serve func(T) any) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		if !s.applyFaults(w, path) {
			return
		}
		var request T
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		response := serve(request)
		if response == nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	})
}

func (s *Server) serveRange(r etcd.RangeRequest) any {
	kvs, revision := s.store.Range(r.Key, r.RangeEnd)
	return etcd.RangeResponse{Header: etcd.ResponseHeader{Revision: revision}, KVs: kvs}
}

// ExecuteLateTxns executes the transactions that were delayed, whose senders may have
// ended since.
func (s *Server) ExecuteLateTxns() {
	s.mu.Lock()
	late := s.lateTxns
	s.lateTxns = nil
	s.mu.Unlock()
	for _, r := range late {
		s.store.Txn(r)
	}
}

// delayTxn reports whether a transaction was put off until ExecuteLateTxns.
func (s *Server) delayTxn(r etcd.TxnRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateTxns == 0 {
		return false
	}
	s.faults.LateTxns--
	s.lateTxns = append(s.lateTxns, r)
	return true
}

func (s *Server) serveTxn(r etcd.TxnRequest) any {
	if s.delayTxn(r) {
		return nil
	}
	ok, revision := s.store.Txn(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropTxnResponses > 0 {
		s.faults.DropTxnResponses--
		s.faults.Outage = s.faults.OutageAfterDrops && s.faults.DropTxnResponses == 0
		return nil
	}
	return etcd.TxnResponse{Header: etcd.ResponseHeader{Revision: revision}, Succeeded: ok}
}

func (s *Server) serveGrant(r etcd.LeaseGrantRequest) any {
	return etcd.LeaseGrantResponse{ID: s.store.Grant(time.Duration(r.TTL) * time.Second), TTL: r.TTL}
}

func (s *Server) serveKeepAlive(r etcd.LeaseKeepAliveRequest) any {
	ttl := s.store.KeepAlive(r.ID)
	return etcd.LeaseKeepAliveResponse{Result: etcd.LeaseKeepAlive{ID: r.ID, TTL: int64(ttl.Seconds())}}
}

func (s *Server) serveRevoke(r etcd.LeaseRevokeRequest) any {
	s.store.Revoke(r.ID)
	return struct{}{}
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, "/v3/watch") {
		return
	}
	var request etcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	outageStarted := s.outageStarted
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
		case <-outageStarted:
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
	delay, err := time.ParseDuration(orDefault(query.Get("delay"), "0s"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	dropTxnResponses, err := strconv.Atoi(orDefault(query.Get("lose-answers"), "0"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(Faults{Outage: query.Get("outage") == "true", Delay: delay, DropTxnResponses: dropTxnResponses})
}

func orDefault(value, defaultValue string) string {
	if value == "" {
		return defaultValue
	}
	return value
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Calls())
}

func (s *Server) serveHistory(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.store.History())
}
