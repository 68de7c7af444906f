package direct

import "bramleyfall.example/bramleyfall/telemetry"

// dependency logs when calls to a dependency, such as the store, begin to fail and
// when they succeed again.
type dependency struct {
	telemetry *telemetry.Telemetry
	name      string
	failing   bool
}

// recordOutcome implements directory.HealthFunc. It is not safe for concurrent
// use.
func (d *dependency) recordOutcome(err error) {
	if (err != nil) == d.failing {
		return
	}
	d.failing = err != nil
	if err != nil {
		d.telemetry.Log.Warn().Str("Event", "DependencyLost").Str("Dependency", d.name).Str("Reason", err.Error()).Msg("")
		return
	}
	d.telemetry.Log.Info().Str("Event", "DependencyRegained").Str("Dependency", d.name).Msg("")
}
