package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/direct"
	"bramleyfall.example/bramleyfall/platform"
	"bramleyfall.example/bramleyfall/settings"
	"bramleyfall.example/bramleyfall/telemetry"
)

// directSettings holds the validated settings of direct mode.
type directSettings struct {
	direct.AgentConfig
	Store string
}

// newDirectSettings returns the flags of direct mode and a function that validates
// them and stores their values in c.
func newDirectSettings(c *directSettings) (*settings.Set, func()) {
	s := settings.New("agent direct", "forwards packets to and from the local upstream and announces it in the store")
	s.AddSettingsFlag()
	common := s.DirectFlags("this instance")
	service := s.String("service", "", "service that the upstream serves")
	outbound := s.String("outbound", "", "address to which the upstream sends its packets (UDP)")
	upstream := s.String("upstream", "", "address at which the upstream receives packets (UDP)")
	control := s.String("control", "", "address that receives the upstream's heartbeats (HTTP)")
	heartbeat := s.Duration("heartbeat", time.Second, "interval between heartbeats of the upstream")
	return s, func() {
		d := common.Check()
		s.Required("service", *service)
		if *heartbeat <= 0 {
			s.AddError("heartbeat", "must be above 0s")
		}
		c.Store = d.Store
		c.AgentConfig = direct.AgentConfig{
			ID: d.ID, Domain: d.Domain, Packets: d.Packets, HTTP: d.HTTP, Metrics: d.Metrics,
			Service:  bramleyfall.ServiceName(*service),
			Outbound: s.Endpoint("outbound", *outbound), Upstream: s.Endpoint("upstream", *upstream),
			Control: s.Endpoint("control", *control), HeartbeatInterval: *heartbeat,
		}
	}
}

// runDirect runs the agent in direct mode: it announces its upstream in the
// platform's store and returns the exit code.
func runDirect(args []string) int {
	program := direct.Program[directSettings]{
		Settings:  newDirectSettings,
		ID:        func(c directSettings) bramleyfall.InstanceID { return c.ID },
		NewRunner: newDirectRunner,
	}
	return program.Main(args)
}

func newDirectRunner(c directSettings, t *telemetry.Telemetry) (direct.Runner, error) {
	store := platform.NewClient(c.Store, platform.WithObserver(t.ObserveStoreCall), platform.WithRestoreObserver(t.ObserveRestore))
	return direct.NewAgent(c.AgentConfig, bramleyfall.SystemClock(), platform.PacketCodec{}, store,
		platform.NewConfigurationSource(store, platform.WithMalformedObserver(direct.LogMalformed(t))), platform.UpstreamHandler, t)
}
