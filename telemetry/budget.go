package telemetry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// linesPerSecond is the number of lines about requests that a process writes in
// a second: several times what an instance decides in an ordinary one.
const linesPerSecond = 400

// lineBudget bounds the lines of each second.
type lineBudget struct {
	mu         sync.Mutex
	second     int64
	lines      int
	suppressed *metrics.Counter
}

// take reports whether one more line may be written at now.
func (b *lineBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.lines = second, 0
	}
	if b.lines >= linesPerSecond {
		b.suppressed.Inc()
		return false
	}
	b.lines++
	return true
}
