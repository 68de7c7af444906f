package direct

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/telemetry"
)

const (
	// configurationPath is the HTTP path at which an instance serves its current
	// configuration.
	configurationPath = "/configuration"
	// fetchTimeout is the time limit for fetching a peer's configuration: several
	// round trips and the transfer of some hundred kilobytes.
	fetchTimeout = time.Second
	// maxConfigurationBytes limits the configuration that is read from a peer.
	maxConfigurationBytes = 16 << 20
)

// peers exchanges the configuration with other instances, so that an instance
// whose calls the store rejects can fetch it from a peer. All instances of a
// deployment serve it on the same port.
type peers struct {
	port    uint16
	client  *http.Client
	current atomic.Pointer[bramleyfall.Snapshot]
}

func newPeers(port uint16) *peers {
	return &peers{port: port, client: &http.Client{Timeout: fetchTimeout}}
}

// fetch implements directory.FetchFunc.
func (p *peers) fetch(ctx context.Context, peer bramleyfall.Endpoint) (*bramleyfall.Snapshot, error) {
	peer.Port = p.port
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+configurationPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := p.client.Do(r)
	if err != nil {
		return nil, bramleyfall.Errorf(bramleyfall.PeerAway, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, bramleyfall.Errorf(bramleyfall.PeerAway, "%s: %s", peer, response.Status)
	}
	s, err := decodeSnapshot(io.LimitReader(response.Body, maxConfigurationBytes))
	if err != nil {
		return nil, bramleyfall.Errorf(bramleyfall.MalformedMessage, "configuration of %s: %v", peer, err)
	}
	return s, nil
}

// decodeSnapshot reads and validates a peer's configuration.
func decodeSnapshot(r io.Reader) (*bramleyfall.Snapshot, error) {
	var s bramleyfall.Snapshot
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return nil, err
	}
	return &s, s.Validate()
}

// handler returns a handler that serves the metrics and the configuration.
func (p *peers) handler(t *telemetry.Telemetry) http.Handler {
	mux := t.Handler()
	mux.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		s := p.current.Load()
		if s == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s)
	})
	return mux
}
