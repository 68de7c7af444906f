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
	var c directSettings
	s, check := directSet(&c)
	return settings.Run(s, args, check, func() error { return serveDirect(c, args) })
}

func serveDirect(c directSettings, args []string) error {
	t := telemetry.New(telemetry.Stdout(), c.ID)
	defer t.Close()
	store := platform.NewClient(c.Store, platform.WithObserver(t.StoreCall))
	b, err := direct.NewBalancer(c.BalancerConfig, bramleyfall.SystemClock(), platform.PacketCodec{}, store, platform.NewOperator(store), t)
	if err != nil {
		return err
	}
	ctx, stop := direct.Signals(t, func() (string, error) {
		var next directSettings
		s, check := directSet(&next)
		return settings.Changed(s, args, check, func() bool { return next == c })
	})
	defer stop()
	b.Run(ctx)
	return nil
}
