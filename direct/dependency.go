package direct

import (
	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/telemetry"
)

// LogMalformed returns a function that logs why a message was ignored.
func LogMalformed(t *telemetry.Telemetry) func(error) {
	return func(err error) {
		t.Counter("bramleyfall_malformed_messages_total").Inc()
		t.Log.Warn().Str("Event", "Malformed").Str("Reason", err.Error()).Msg("")
	}
}

// dependency logs when calls to a dependency, such as the store, begin to fail, when
// the kind of failure changes, and when they succeed again.
type dependency struct {
	telemetry *telemetry.Telemetry
	name      string
	// code is the result code of the last call, or OK before the first.
	code bramleyfall.ResultCode
}

// recordOutcome implements directory.HealthFunc. It is not safe for concurrent
// use.
func (d *dependency) recordOutcome(err error) {
	code := bramleyfall.CodeOf(err)
	if code == d.code {
		return
	}
	d.code = code
	if err != nil {
		d.telemetry.Log.Warn().Str("Event", "DependencyLost").Str("Dependency", d.name).Str("Reason", err.Error()).Msg("")
		return
	}
	d.telemetry.Log.Info().Str("Event", "DependencyRegained").Str("Dependency", d.name).Msg("")
}
