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
	}
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
