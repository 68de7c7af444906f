// Package telemetry gives programs their log, their metrics and the HTTP
// endpoints that show them.
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

// logQueue is the number of log lines that wait for being written. The packet
// path never waits: lines beyond are dropped and counted.
const logQueue = 16384

// Telemetry is the log and the metrics of a program.
type Telemetry struct {
	Log     *log.Logger
	Metrics *metrics.Set
	writer  *countingWriter
	ready   func() error
	budget  lineBudget
}

// countingWriter counts the lines that its queue had no room for.
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

// New returns a log that writes one line of key=value pairs for each event to
// out, with the instance's id on each line.
func New(out io.Writer, id bramleyfall.InstanceID) *Telemetry {
	set := metrics.NewSet()
	w := &countingWriter{
		AsyncWriter: &log.AsyncWriter{
			ChannelSize:   logQueue,
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
		Metrics: set,
		writer:  w,
		ready:   func() error { return nil },
		budget:  lineBudget{suppressed: set.NewCounter("bramleyfall_log_lines_suppressed_total")},
	}
}

// Decision starts the line of a decision on a request. Lines beyond the budget
// of a second are left out and counted, so that load doesn't turn into logs.
func (t *Telemetry) Decision(now time.Time) *log.Entry {
	if !t.budget.take(now) {
		return nil // a nil entry writes nothing
	}
	return t.Log.Info()
}

// formatLine writes a log entry as key=value pairs, quoted where they need it.
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

// SetReady sets the check behind the readiness endpoint.
func (t *Telemetry) SetReady(ready func() error) { t.ready = ready }

// Close writes the lines that wait.
func (t *Telemetry) Close() { _ = t.writer.Close() }

// Counter returns the counter with the given name.
func (t *Telemetry) Counter(name string) *metrics.Counter { return t.Metrics.GetOrCreateCounter(name) }

// Gauge registers a value that is read when metrics are asked for.
func (t *Telemetry) Gauge(name string, value func() float64) { t.Metrics.NewGauge(name, value) }

// Handler serves /metrics, /live and /ready.
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
		if err := t.ready(); err != nil {
			http.Error(w, "Ready=false Reason="+err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "Ready=true\n")
	})
	return mux
}

// Stdout returns the writer that programs log to.
func Stdout() io.Writer { return os.Stdout }

// StoreCall counts a call to the platform's store and the time that it took.
// The path is left out: its parameters would make a series of each call.
func (t *Telemetry) StoreCall(call string, took time.Duration, err error) {
	name, _, _ := strings.Cut(call, "?")
	if slash := strings.LastIndexByte(name, '/'); slash > strings.IndexByte(name, '/') {
		name = name[:slash]
	}
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	t.Counter(`bramleyfall_store_calls_total{call="` + name + `",outcome="` + outcome + `"}`).Inc()
	t.Metrics.GetOrCreateHistogram(`bramleyfall_store_call_seconds{call="` + name + `"}`).Update(took.Seconds())
}
