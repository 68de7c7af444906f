package telemetry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxDecisionsPerSecond is the maximum number of decision log lines per second and
// process. It is several times the usual rate of decisions of an instance.
const maxDecisionsPerSecond = 400

// lineLimiter limits the number of log lines in each second of the clock. It is safe
// for concurrent use.
type lineLimiter struct {
	mu         sync.Mutex
	second     int64
	lines      int
	suppressed *metrics.Counter
}

// allow reports whether a line may be written at now, and counts it as suppressed if
// not.
func (l *lineLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines >= maxDecisionsPerSecond {
		l.suppressed.Inc()
		return false
	}
	l.lines++
	return true
}
