// Package trace records the inputs and decisions of balancers and agents, and replays
// them to check that the decision code still makes the same decisions. A trace is a
// file of JSON objects with Pascal-case keys, one event per line. The programs agent
// and balancer write traces, the program replay reads them.
package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/ring"
)

// queueSize is the maximum number of queued events. If the queue is full, events are
// dropped and counted.
const queueSize = 65536

// Writer is a bramleyfall.TraceRecorder that writes events to an io.Writer. Record
// queues events, Run writes them in another goroutine.
type Writer struct {
	queue *ring.Queue[bramleyfall.TraceEvent]
	out   *bufio.Writer
	done  chan error
}

var _ bramleyfall.TraceRecorder = (*Writer)(nil)

// NewWriter returns a Writer to out. Run must be called in a goroutine; without it,
// Close blocks forever.
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
	var firstErr error
	for e := range w.queue.Items() {
		if err := encoder.Encode(e); err != nil && firstErr == nil {
			firstErr = err
		}
		if len(w.queue.Items()) == 0 {
			_ = w.out.Flush()
		}
	}
	if err := w.out.Flush(); err != nil && firstErr == nil {
		firstErr = err
	}
	w.done <- firstErr
}

// Close waits until Run has written the queued events and returns the first write
// error. Record must not be called after Close.
func (w *Writer) Close() error {
	w.queue.Close()
	return <-w.done
}

// Dropped returns the number of events dropped because the queue was full.
func (w *Writer) Dropped() uint64 { return w.queue.Dropped() }

// Read reads a trace and calls handle with each event and its line number. It stops
// at the first error. The message of a decoding error contains the line number.
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
