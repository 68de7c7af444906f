package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/direct"
	"bramleyfall.example/bramleyfall/platform"
	"bramleyfall.example/bramleyfall/settings"
	"bramleyfall.example/bramleyfall/telemetry"
)

// directSettings holds the checked settings of the direct mode.
type directSettings struct {
	direct.AgentConfig
	Store string
}

// directSet returns the flags of the direct mode and what checks them into c.
func directSet(c *directSettings) (*settings.Set, func()) {
	s := settings.New("agent direct", "serves the upstream beside it and announces it in the store")
	s.File()
	common := s.DirectFlags("this instance")
	service := s.String("service", "", "service of the upstream")
	outbound := s.String("outbound", "", "address that the upstream sends its packets to (UDP)")
	upstream := s.String("upstream", "", "address of the upstream for packets (UDP)")
	control := s.String("control", "", "address for the upstream's heartbeats (HTTP)")
	heartbeat := s.Duration("heartbeat", time.Second, "time between two heartbeats of the upstream")
	return s, func() {
		d := common.Check()
		s.Required("service", *service)
		if *heartbeat <= 0 {
			s.Fault("heartbeat", "must be above 0s")
		}
		c.Store = d.Store
		c.AgentConfig = direct.AgentConfig{
			ID: d.ID, Domain: d.Domain, Packets: d.Packets, HTTP: d.HTTP, Metrics: d.Metrics,
			Service:  bramleyfall.ServiceName(*service),
			Outbound: s.Endpoint("outbound", *outbound), Upstream: s.Endpoint("upstream", *upstream),
			Control: s.Endpoint("control", *control), HeartbeatEvery: *heartbeat,
		}
	}
}

// runDirect runs an agent that announces its upstream in the platform's store.
func runDirect(args []string) int {
	var c directSettings
	s, check := directSet(&c)
	return settings.Run(s, args, check, func() error { return serveDirect(c, args) })
}

func serveDirect(c directSettings, args []string) error {
	t := telemetry.New(telemetry.Stdout(), c.ID)
	defer t.Close()
	store := platform.NewClient(c.Store, platform.WithObserver(t.StoreCall))
	a, err := direct.NewAgent(c.AgentConfig, bramleyfall.SystemClock(), platform.PacketCodec{}, store,
		platform.NewOperator(store), platform.UpstreamHandler, t)
	if err != nil {
		return err
	}
	ctx, stop := direct.Signals(t, func() (string, error) {
		var next directSettings
		s, check := directSet(&next)
		return settings.Changed(s, args, check, func() bool { return next == c })
	})
	defer stop()
	a.Run(ctx)
	return nil
}
