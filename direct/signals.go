package direct

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bramleyfall.example/bramleyfall/telemetry"
)

// SignalContext returns a context that is done after SIGTERM or SIGINT. On SIGHUP,
// it calls reload and logs the outcome or the error that reload returns.
func SignalContext(t *telemetry.Telemetry, reload func() (string, error)) (context.Context, context.CancelFunc) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go loopHangups(ctx, hangups, t, reload)
	return ctx, cancel
}

func loopHangups(ctx context.Context, hangups <-chan os.Signal, t *telemetry.Telemetry, reload func() (string, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		outcome, err := reload()
		if err != nil {
			t.Log.Error().Str("Event", "Reload").Str("Outcome", "Refused").Str("Reason", err.Error()).Msg("")
			continue
		}
		t.Log.Info().Str("Event", "Reload").Str("Outcome", outcome).Msg("")
	}
}
