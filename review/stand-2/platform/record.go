package platform

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Seconds returns the time since the start of the record.
func (r *Record) Seconds() float64 { return time.Since(r.start).Seconds() }

// Add adds a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", r.Seconds(), fmt.Sprintf(format, args...))
}
