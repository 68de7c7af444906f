package direct

import (
	"context"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/settings"
	"bramleyfall.example/bramleyfall/telemetry"
)

// Runner is a service that a Program runs, such as a Balancer or an Agent.
type Runner interface {
	// Run runs the service until ctx is done, and returns after it has shut down.
	Run(ctx context.Context)
}

// Program is the command line program of a Runner with settings of type C.
type Program[C comparable] struct {
	// Settings returns the flags, and a function that validates them and stores
	// their values in c.
	Settings func(c *C) (set *settings.Set, check func())
	// ID returns the instance ID from the settings. Log lines contain it.
	ID func(c C) bramleyfall.InstanceID
	// NewRunner creates the Runner for the settings.
	NewRunner func(c C, t *telemetry.Telemetry) (Runner, error)
}

// Main reads the settings and runs the program until a signal stops it. It
// returns the exit code.
func (p *Program[C]) Main(args []string) int {
	var c C
	s, check := p.Settings(&c)
	return settings.Run(s, args, check, func() error { return p.run(c, args) })
}

func (p *Program[C]) run(c C, args []string) error {
	t := telemetry.New(telemetry.Stdout(), p.ID(c))
	defer t.Close()
	r, err := p.NewRunner(c, t)
	if err != nil {
		return err
	}
	ctx, stop := SignalContext(t, func() (string, error) {
		var next C
		s, check := p.Settings(&next)
		return settings.Reload(s, args, check, func() bool { return next == c })
	})
	defer stop()
	r.Run(ctx)
	return nil
}
