// Command agent runs next to an upstream and owns its flows. It exchanges packets
// with the upstream, the balancers, other agents and the fabric, and announces the
// upstream to the balancers. Package caller decides which new flows the upstream
// accepts and where other packets are forwarded.
package main

import (
	"os"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/settings"
)

// Config holds the validated settings of the agent.
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
	s := settings.New("agent", "owns the flows of the local upstream")
	instance := s.InstanceFlags("the upstream")
	services := s.String("services", "", "services that the upstream can serve, comma-separated")
	upstreamSide := s.String("upstream-side", "", "address to which the upstream sends its tunnelled packets (UDP)")
	upstream := s.String("upstream", "", "address at which the upstream receives tunnelled packets (UDP)")
	health := s.String("health", "", "URL of the upstream's health endpoint")
	balancers := s.String("balancers", "", "control addresses of the balancers to contact first, comma-separated")
	slots := s.Int("slots", 5, "number of requests that the upstream processes concurrently")
	connections := s.Int("connections", 2000, "maximum number of concurrent flows of the upstream")
	warmUp := s.Duration("warm-up", 20*time.Second, "time after its start until the upstream receives its full share of new flows, unless set for the service")
	silentAfter := s.Duration("silent-after", 15*time.Second, "time without packets from one end after which a flow is closed, unless set for the service")
	retryAfter := s.Duration("retry-after", time.Second, "time that a refused caller is told to wait before a retry")
	drainTimeout := s.Duration("drain-timeout", 10*time.Minute, "maximum time to wait for flows to end after SIGTERM")
	var c Config
	check := func() {
		s.Required("services", *services)
		s.Required("health", *health)
		if *slots < 1 || *connections < 1 {
			s.AddError("slots", "slots and connections must be at least 1")
		}
		if *warmUp < time.Second || *silentAfter < time.Second {
			s.AddError("warm-up", "warm-up and silent-after must be at least 1s")
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
			s.AddError("retry-after", "must be from 0s to 1m")
		}
		if len(c.Balancers) == 0 {
			s.AddError("balancers", "must be set")
		}
		for _, name := range s.Names(*services) {
			c.Services = append(c.Services, bramleyfall.ServiceName(name))
		}
	}
	return settings.Run(s, args, check, func() error { return serve(c) })
}
