package admission

import "time"

const (
	// outcomeWeight is the weight of each request in the rate of failures.
	outcomeWeight = 0.2
	// failingRate is the rate above which an upstream counts as failing: two
	// failures in a row, or more than a third of its requests.
	failingRate = 0.35
	// firstEjection and lastEjection bound the time for which a failing upstream
	// is left alone; it doubles each time that a trial fails.
	firstEjection = time.Second
	lastEjection  = 8 * time.Second
	// trialSuccesses is the number of answers that end a trial.
	trialSuccesses = 3
	// restartApart is the time that two restarts are expected to be apart. An
	// upstream that restarts sooner goes down and up by turns.
	restartApart = 10 * time.Second
)

// outcomes judges an upstream by what callers get from it. It answers upstreams
// that break requests off behind good heartbeats: their slots look free, so that
// they would draw ever more flows.
type outcomes struct {
	rate      float64
	ejection  time.Duration
	until     time.Time
	onTrial   bool
	successes int
	restartAt time.Time
}

// succeeded notes an answer.
func (o *outcomes) succeeded() {
	o.rate *= 1 - outcomeWeight
	if !o.onTrial {
		return
	}
	if o.successes++; o.successes >= trialSuccesses {
		o.onTrial, o.ejection, o.rate = false, 0, 0
	}
}

// failed notes a request that was broken off.
func (o *outcomes) failed(now time.Time) {
	o.rate += outcomeWeight * (1 - o.rate)
	if o.onTrial || o.rate > failingRate {
		o.eject(now)
	}
}

// restarted notes a new run of the upstream.
func (o *outcomes) restarted(now time.Time) {
	if !o.restartAt.IsZero() && now.Sub(o.restartAt) < restartApart {
		o.eject(now)
	}
	o.restartAt = now
}

func (o *outcomes) eject(now time.Time) {
	if o.ejected(now) {
		return
	}
	o.ejection = min(max(firstEjection, 2*o.ejection), lastEjection)
	o.until = now.Add(o.ejection)
	o.onTrial, o.successes = true, 0
}

func (o *outcomes) ejected(now time.Time) bool { return now.Before(o.until) }
