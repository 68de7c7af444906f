package platform

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, started: time.Now()}, err
}

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}
