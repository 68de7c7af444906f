// Package telemetry provides the log and the metrics of a program and the HTTP
// handlers for metrics, liveness and readiness. The programs create one Telemetry
// each and serve the handler.
package telemetry

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"bramleyfall.example/bramleyfall"
)

// logQueueSize is the maximum number of queued log lines. If the queue is full, lines
// are dropped and counted, so that logging never blocks packet processing.
const logQueueSize = 16384

// Telemetry contains the log and the metrics of a program.
type Telemetry struct {
	Log            *log.Logger
	Metrics        *metrics.Set
	writer         *countingWriter
	readinessCheck func() error
	limiter        lineLimiter
}

// countingWriter is an asynchronous log writer that counts the lines dropped because
// its queue was full.
type countingWriter struct {
	*log.AsyncWriter
	dropped *metrics.Counter
}

// WriteEntry implements log.Writer.
func (w *countingWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.AsyncWriter.WriteEntry(e)
	if err != nil {
		w.dropped.Inc()
	}
	return n, err
}

// New returns a Telemetry whose log writes one line of key=value pairs per event to
// out. Each line contains the instance's ID.
func New(out io.Writer, id bramleyfall.InstanceID) *Telemetry {
	set := metrics.NewSet()
	w := &countingWriter{
		AsyncWriter: &log.AsyncWriter{
			ChannelSize:   logQueueSize,
			DiscardOnFull: true,
			Writer: &log.ConsoleWriter{
				Formatter: formatLine,
				Writer:    out,
			},
		},
		dropped: set.NewCounter("bramleyfall_log_lines_dropped_total"),
	}
	return &Telemetry{
		Log: &log.Logger{
			Level: log.InfoLevel, TimeField: "Time", TimeFormat: time.RFC3339Nano,
			Context: log.NewContext(nil).Str("Instance", string(id)).Value(),
			Writer:  w,
		},
		Metrics:        set,
		writer:         w,
		readinessCheck: func() error { return nil },
		limiter:        lineLimiter{suppressed: set.NewCounter("bramleyfall_log_lines_suppressed_total")},
	}
}

// Decision returns a log entry for a decision on a request. It returns nil, and
// counts a suppressed line, beyond maxDecisionsPerSecond, so that the volume of the
// log doesn't grow with the load.
func (t *Telemetry) Decision(now time.Time) *log.Entry {
	if !t.limiter.allow(now) {
		return nil // methods of a nil entry do nothing
	}
	return t.Log.Info()
}

// formatLine writes a log entry as key=value pairs. Values that are empty or contain
// spaces, equals signs, quotes or newlines are quoted.
func formatLine(out io.Writer, args *log.FormatterArgs) (int, error) {
	line := append(make([]byte, 0, 256), "Time="...)
	line = append(line, args.Time...)
	line = append(line, " Level="...)
	line = append(line, args.Level...)
	for _, pair := range args.KeyValues {
		line = append(line, ' ')
		line = append(line, pair.Key...)
		line = append(line, '=')
		if strings.ContainsAny(pair.Value, " =\"\n") || pair.Value == "" {
			line = strconv.AppendQuote(line, pair.Value)
			continue
		}
		line = append(line, pair.Value...)
	}
	return out.Write(append(line, '\n'))
}

// SetReadinessCheck sets the check of the readiness endpoint, which reports the
// program as ready if check returns nil.
func (t *Telemetry) SetReadinessCheck(check func() error) { t.readinessCheck = check }

// Close writes the queued log lines and closes the log.
func (t *Telemetry) Close() { _ = t.writer.Close() }

// Counter returns the counter with the given name and creates it if needed.
func (t *Telemetry) Counter(name string) *metrics.Counter { return t.Metrics.GetOrCreateCounter(name) }

// Gauge registers a gauge whose value is read when metrics are scraped.
func (t *Telemetry) Gauge(name string, value func() float64) { t.Metrics.NewGauge(name, value) }

// Handler returns the handler of /metrics, /live and /ready.
func (t *Telemetry) Handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		t.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "Live=true\n")
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := t.readinessCheck(); err != nil {
			http.Error(w, "Ready=false Reason="+err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "Ready=true\n")
	})
	return mux
}

// Stdout returns the default log output of programs.
func Stdout() io.Writer { return os.Stdout }

// ObserveRestore records that the platform's store was restored from an older copy.
func (t *Telemetry) ObserveRestore(era bramleyfall.Era) {
	t.Counter("bramleyfall_store_restores_total").Inc()
	t.Log.Warn().Str("Event", "StoreRestored").Uint64("Era", uint64(era)).Msg("")
}

// ObserveStoreCall records the outcome and the duration of a call to the platform's
// store. The call's label has neither the query nor the last of several path
// segments, because parameters in them would create a time series for each call.
func (t *Telemetry) ObserveStoreCall(call string, duration time.Duration, err error) {
	name, _, _ := strings.Cut(call, "?")
	if slash := strings.LastIndexByte(name, '/'); slash > strings.IndexByte(name, '/') {
		name = name[:slash]
	}
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	t.Counter(`bramleyfall_store_calls_total{call="` + name + `",outcome="` + outcome + `"}`).Inc()
	t.Metrics.GetOrCreateHistogram(`bramleyfall_store_call_seconds{call="` + name + `"}`).Update(duration.Seconds())
}
