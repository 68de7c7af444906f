package main

import (
	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/direct"
	"bramleyfall.example/bramleyfall/platform"
	"bramleyfall.example/bramleyfall/settings"
	"bramleyfall.example/bramleyfall/telemetry"
)

// directSettings holds the checked settings of the direct mode.
type directSettings struct {
	direct.BalancerConfig
	Store string
}

// directSet returns the flags of the direct mode and what checks them into c.
func directSet(c *directSettings) (*settings.Set, func()) {
	s := settings.New("balancer direct", "forwards packets to the agents that it finds in the store")
	s.File()
	common := s.DirectFlags("this instance")
	tunnel := s.String("tunnel", "", "address at which agents answer (UDP)")
	return s, func() {
		d := common.Check()
		c.Store = d.Store
		c.BalancerConfig = direct.BalancerConfig{
			ID: d.ID, Domain: d.Domain, Packets: d.Packets, HTTP: d.HTTP, Metrics: d.Metrics,
			Tunnel: s.Endpoint("tunnel", *tunnel),
		}
	}
}

// runDirect runs a balancer that finds agents through the platform's store.
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
	return direct.NewBalancer(c.BalancerConfig, bramleyfall.SystemClock(), platform.PacketCodec{}, store, platform.NewConfigurationSource(store), t)
}
