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
	p := direct.Program[directSettings]{
		Settings:  directSet,
		ID:        func(c directSettings) bramleyfall.InstanceID { return c.ID },
		NewRunner: startDirect,
	}
	return p.Main(args)
}

func startDirect(c directSettings, t *telemetry.Telemetry) (direct.Runner, error) {
	store := platform.NewClient(c.Store, platform.WithObserver(t.StoreCall))
	return direct.NewAgent(c.AgentConfig, bramleyfall.SystemClock(), platform.PacketCodec{}, store,
		platform.NewConfigurationSource(store), platform.UpstreamHandler, t)
}
