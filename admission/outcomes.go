package admission

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

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
	// recoveredRate is the rate below which a trial ends: after ten answers in a
	// row, so that an upstream that fails part of its requests doesn't pass.
	recoveredRate = 0.11
	// forgetAfter is the time after which an earlier ejection no longer counts.
	forgetAfter = 30 * time.Second
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
	restartAt time.Time
}

// answers knows how the upstream usually answers the requests to one address.
type answers struct {
	count int
	// took is the mean time to the first bytes, length that of their number.
	took, length float64
}

const (
	// learnedAfter is the number of answers from which on others are compared.
	learnedAfter = 20
	// hasty and short are the shares of the usual time and length below which an
	// answer is taken for an error: an upstream that does no work needs neither.
	hasty = 0.2
	short = 0.5
	// answerWeight is the weight of each answer in the means.
	answerWeight = 0.05
)

// Failure describes a request that counted as a failure of the upstream.
type Failure struct {
	Flow bramleyfall.Flow
	// Aborted is set if the upstream ended the flow without answering. Otherwise
	// the answer was suspiciously fast and short: its first segment came after
	// AnswerTime with Length bytes, where UsualAnswerTime and UsualLength are typical.
	Aborted                     bool
	AnswerTime, UsualAnswerTime time.Duration
	Length, UsualLength         uint32
}

// error reports whether an answer looks like that of an upstream that did no
// work, and learns from it if not. The bytes themselves are not read.
func (a *answers) error(took time.Duration, length uint32) bool {
	if a.count >= learnedAfter && float64(took) < hasty*a.took && float64(length) < short*a.length {
		return true
	}
	weight := answerWeight
	if a.count < learnedAfter {
		a.count++
		weight = 1 / float64(a.count)
	}
	a.took += weight * (float64(took) - a.took)
	a.length += weight * (float64(length) - a.length)
	return false
}

// succeeded notes an answer.
func (o *outcomes) succeeded() {
	o.rate *= 1 - outcomeWeight
	if o.rate < recoveredRate {
		o.onTrial = false
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
	if now.Sub(o.until) > forgetAfter {
		o.ejection = 0
	}
	o.ejection = min(max(firstEjection, 2*o.ejection), lastEjection)
	o.until = now.Add(o.ejection)
	o.onTrial, o.rate = true, 1
}

func (o *outcomes) ejected(now time.Time) bool { return now.Before(o.until) }
