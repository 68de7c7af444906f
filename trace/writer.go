// Package trace writes and reads recorded traces: Pascal-case JSON, one event
// a line.
package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/ring"
)

// queueSize is the number of events that wait for being written.
const queueSize = 65536

// Writer is a bramleyfall.TraceRecorder that writes events to a stream.
type Writer struct {
	queue *ring.Queue[bramleyfall.TraceEvent]
	out   *bufio.Writer
	done  chan error
}

var _ bramleyfall.TraceRecorder = (*Writer)(nil)

// NewWriter returns a writer to out. Run must be called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{
		queue: ring.New[bramleyfall.TraceEvent](queueSize),
		out:   bufio.NewWriter(out),
		done:  make(chan error, 1),
	}
}

// Record implements bramleyfall.TraceRecorder.
func (w *Writer) Record(e bramleyfall.TraceEvent) { w.queue.Offer(e) }

// Run writes events until Close.
func (w *Writer) Run() {
	encoder := json.NewEncoder(w.out)
	var failed error
	for e := range w.queue.Items() {
		if err := encoder.Encode(e); err != nil && failed == nil {
			failed = err
		}
		if len(w.queue.Items()) == 0 {
			_ = w.out.Flush()
		}
	}
	if err := w.out.Flush(); err != nil && failed == nil {
		failed = err
	}
	w.done <- failed
}

// Close writes what waits and returns the first error. Nothing may be recorded
// after it.
func (w *Writer) Close() error {
	w.queue.Close()
	return <-w.done
}

// Dropped returns the number of events that there was no room for.
func (w *Writer) Dropped() uint64 { return w.queue.Dropped() }

// Read calls handle with each event and its line number. The error names the
// line.
func Read(in io.Reader, handle func(line int, e bramleyfall.TraceEvent) error) error {
	const maxLine = 1 << 20
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e bramleyfall.TraceEvent
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return bramleyfall.Errorf(bramleyfall.BadTrace, "line %d: %v", line, err)
		}
		if err := handle(line, e); err != nil {
			return err
		}
	}
	return scanner.Err()
}
