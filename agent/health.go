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
	// healthEvery is the time between two looks at the upstream's health.
	healthEvery = 250 * time.Millisecond
	// attachEvery is the least time between two attempts to hold a connection.
	attachEvery = 100 * time.Millisecond
	// healthTimeout bounds one look.
	healthTimeout = time.Second
	// healthMisses is the number of failed looks after which the upstream
	// counts as gone.
	healthMisses = 3
)

// health is what an upstream says of itself. Only the boot id and the wish to
// drain are taken from it; load and readiness are judged by what the agent sees.
type health struct {
	// Boot is the start time in nanoseconds since the Unix epoch.
	Boot     bramleyfall.BootID
	Draining bool
}

// runHealth watches which run of the upstream is there. Beside a look at fixed
// times it looks at once when the connection that runAttached holds ends.
func (s *server) runHealth(ctx context.Context) {
	client := newHealthClient()
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	misses := 0
	for {
		h, err := askHealth(ctx, client, s.config.Health)
		switch {
		case err == nil:
			misses = 0
			s.tasks.Offer(func() { s.decider.upstreamAnswers(h) })
		case errors.Is(err, syscall.ECONNREFUSED):
			s.tasks.Offer(s.decider.upstreamDead)
		case misses >= healthMisses:
			s.tasks.Offer(s.decider.upstreamSilent)
		default:
			misses++
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.detached:
		}
	}
}

// newHealthClient returns a client that asks on a connection of its own each time:
// a late second copy of an answer would be taken for the next one, and a drained
// upstream for one that serves.
func newHealthClient() *http.Client {
	return &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// runAttached holds an idle connection to the health endpoint. At its end the
// upstream counts as gone until a look at its health answers: the next run may be
// there, and cold, before the look is.
func (s *server) runAttached(ctx context.Context) {
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
			s.tasks.Offer(s.decider.upstreamDead)
			select {
			case s.detached <- struct{}{}:
			default:
			}
		}
		sleep(ctx, attachEvery)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func askHealth(ctx context.Context, client *http.Client, url string) (health, error) {
	var h health
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return h, err
	}
	response, err := client.Do(r)
	if err != nil {
		return h, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&h)
	return h, err
}
