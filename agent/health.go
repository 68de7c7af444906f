package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

const (
	// healthInterval is the time between two checks of the upstream's health.
	healthInterval = 250 * time.Millisecond
	// reconnectInterval is the minimum time between two attempts to connect to the
	// health endpoint.
	reconnectInterval = 100 * time.Millisecond
	// healthTimeout is the time limit for one health check.
	healthTimeout = time.Second
	// toleratedHealthFailures is the number of consecutive failed checks that
	// are ignored. The next failure marks the upstream as unresponsive.
	toleratedHealthFailures = 3
)

// healthStatus is the response of an upstream's health endpoint. It is trusted
// only for the boot id and for whether the upstream asks to drain; the agent
// determines load and readiness from the packets it observes.
type healthStatus struct {
	// Boot is the upstream's start time in nanoseconds since the Unix epoch.
	Boot     bramleyfall.BootID
	Draining bool
}

// runHealthChecks polls the upstream's health endpoint to detect failures and
// restarts. It checks periodically, and immediately when the connection held by
// monitorConnection is closed.
func (s *server) runHealthChecks(ctx context.Context) {
	client := newHealthClient()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	failures := 0
	for {
		status, err := fetchHealth(ctx, client, s.config.Health)
		switch {
		case err == nil:
			failures = 0
			s.tasks.Offer(func() { s.dispatcher.handleHealth(status) })
		case errors.Is(err, syscall.ECONNREFUSED):
			s.tasks.Offer(s.dispatcher.upstreamTerminated)
		case failures >= toleratedHealthFailures:
			s.tasks.Offer(s.dispatcher.upstreamUnresponsive)
		default:
			failures++
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.connectionClosed:
		}
	}
}

// newHealthClient returns a client that opens a new connection for each request.
// On a reused connection, a delayed duplicate of a response would be taken for the
// response to the next request, and a draining upstream for a serving one.
func newHealthClient() *http.Client {
	return &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// monitorConnection keeps an idle connection to the health endpoint open. When
// the connection closes, the upstream is considered terminated until a health
// check succeeds: it may have been restarted, and be cold, before the next
// periodic check.
func (s *server) monitorConnection(ctx context.Context) {
	target, err := url.Parse(s.config.Health)
	if err != nil {
		return
	}
	var dialer net.Dialer
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", target.Host)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_, _ = conn.Read(make([]byte, 1))
			stop()
			_ = conn.Close()
			s.tasks.Offer(s.dispatcher.upstreamTerminated)
			select {
			case s.connectionClosed <- struct{}{}:
			default:
			}
		}
		sleep(ctx, reconnectInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func fetchHealth(ctx context.Context, client *http.Client, url string) (healthStatus, error) {
	var status healthStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return status, err
	}
	response, err := client.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&status)
	return status, err
}
