package main

import (
	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/direct"
	"bramleyfall.example/bramleyfall/platform"
	"bramleyfall.example/bramleyfall/settings"
	"bramleyfall.example/bramleyfall/telemetry"
)

// directSettings holds the validated settings of direct mode.
type directSettings struct {
	direct.BalancerConfig
	Store string
}

// newDirectSettings returns the flags of direct mode and a function that validates
// them and stores their values in c.
func newDirectSettings(c *directSettings) (*settings.Set, func()) {
	s := settings.New("balancer direct", "forwards packets to the agents announced in the store")
	s.AddSettingsFlag()
	common := s.DirectFlags("this instance")
	tunnel := s.String("tunnel", "", "address that receives messages from agents (UDP)")
	return s, func() {
		d := common.Check()
		c.Store = d.Store
		c.BalancerConfig = direct.BalancerConfig{
			ID: d.ID, Domain: d.Domain, Packets: d.Packets, HTTP: d.HTTP, Metrics: d.Metrics,
			Tunnel: s.Endpoint("tunnel", *tunnel),
		}
	}
}

// runDirect runs the balancer in direct mode: it discovers agents through the
// platform's store. It returns the exit code.
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
	return direct.NewBalancer(c.BalancerConfig, bramleyfall.SystemClock(), platform.PacketCodec{}, store, platform.NewConfigurationSource(store, platform.WithMalformedObserver(direct.LogMalformed(t))), t)
}
