package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// healthEvery is the time between two looks at the upstream's health.
	healthEvery = 250 * time.Millisecond
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

// runHealth watches which run of the upstream is there.
func (s *server) runHealth(ctx context.Context) {
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	misses := 0
	for {
		h, err := askHealth(ctx, client, s.config.Health)
		switch {
		case err == nil:
			misses = 0
			s.tasks.Offer(func() { s.decider.upstreamAnswers(h) })
		case misses >= healthMisses:
			s.tasks.Offer(s.decider.upstreamSilent)
		default:
			misses++
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
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
