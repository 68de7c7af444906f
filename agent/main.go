// Program agent runs beside one upstream. It announces the upstream, owns its
// flows, admits new ones within what the upstream can bear and passes all other
// packets on.
package main

import (
	"os"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/settings"
)

// Config holds the checked settings of the program.
type Config struct {
	settings.Instance
	UpstreamSide bramleyfall.Endpoint
	Upstream     bramleyfall.Endpoint
	Health       string
	Balancers    []bramleyfall.Endpoint
	Services     []bramleyfall.ServiceName
	Slots        int
	Connections  int
	WarmUp       time.Duration
	SilentAfter  time.Duration
	RetryAfter   time.Duration
	DrainTimeout time.Duration
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "direct" {
		os.Exit(runDirect(os.Args[2:]))
	}
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	s := settings.New("agent", "owns the flows of the upstream beside it")
	instance := s.InstanceFlags("the upstream")
	services := s.String("services", "", "services that the upstream can serve, separated by commas")
	upstreamSide := s.String("upstream-side", "", "address that the upstream sends its tunnelled packets to (UDP)")
	upstream := s.String("upstream", "", "address of the upstream for tunnelled packets (UDP)")
	health := s.String("health", "", "URL of the upstream's health endpoint")
	balancers := s.String("balancers", "", "control addresses of balancers to announce to first")
	slots := s.Int("slots", 5, "requests that the upstream runs at once")
	connections := s.Int("connections", 2000, "flows that the upstream holds at once")
	warmUp := s.Duration("warm-up", 20*time.Second, "time to full share after a start, where the service sets none")
	silentAfter := s.Duration("silent-after", 15*time.Second, "time until a silent flow is given up, where the service sets none")
	retryAfter := s.Duration("retry-after", time.Second, "what a refused caller is told to wait before it comes back")
	drainTimeout := s.Duration("drain-timeout", 10*time.Minute, "longest time for which SIGTERM waits for flows to end")
	var c Config
	check := func() {
		s.Required("services", *services)
		s.Required("health", *health)
		if *slots < 1 || *connections < 1 {
			s.Fault("slots", "slots and connections must be at least 1")
		}
		if *warmUp < time.Second || *silentAfter < time.Second {
			s.Fault("warm-up", "warm-up and silent-after must be at least 1s")
		}
		c = Config{
			Instance:     instance.Check(),
			UpstreamSide: s.Endpoint("upstream-side", *upstreamSide),
			Upstream:     s.Endpoint("upstream", *upstream),
			Health:       *health,
			Balancers:    s.Endpoints("balancers", *balancers),
			Slots:        *slots,
			Connections:  *connections,
			WarmUp:       *warmUp,
			SilentAfter:  *silentAfter,
			RetryAfter:   *retryAfter,
			DrainTimeout: *drainTimeout,
		}
		if *retryAfter < 0 || *retryAfter > time.Minute {
			s.Fault("retry-after", "must be from 0s to 1m")
		}
		if len(c.Balancers) == 0 {
			s.Fault("balancers", "must be set")
		}
		for _, name := range s.Names(*services) {
			c.Services = append(c.Services, bramleyfall.ServiceName(name))
		}
	}
	return settings.Run(s, args, check, func() error { return serve(c) })
}
