package admission

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// outcomeWeight is the weight of each request in the failure rate.
	outcomeWeight = 0.2
	// maxFailureRate is the failure rate above which an upstream is ejected: two
	// consecutive failures, or failures of more than a third of its requests.
	maxFailureRate = 0.35
	// minEjectionTime and maxEjectionTime bound the time for which a failing upstream
	// is ejected. The time doubles each time a trial fails.
	minEjectionTime = time.Second
	maxEjectionTime = 8 * time.Second
	// recoveredFailureRate is the failure rate below which a trial succeeds. It takes
	// ten consecutive answers, so that an upstream that fails some of its requests
	// does not pass.
	recoveredFailureRate = 0.11
	// ejectionResetTime is the time after the end of an ejection from which on the
	// next one starts at minEjectionTime again.
	ejectionResetTime = 30 * time.Second
	// minRestartInterval is the time between two restarts below which an upstream is
	// considered to be flapping.
	minRestartInterval = 10 * time.Second
)

// outcomes tracks the failure rate of an upstream and ejects the upstream when it
// fails. Heartbeats do not suffice: an upstream that aborts requests may send good
// heartbeats, and since its slots appear free it would attract more and more flows.
type outcomes struct {
	failureRate  float64
	ejectionTime time.Duration
	ejectedUntil time.Time
	onTrial      bool
	lastRestart  time.Time
}

// answerStats holds the usual time and length of the upstream's answers to requests
// to one address.
type answerStats struct {
	count int
	// meanTime is the mean time to the first segment of an answer in nanoseconds,
	// meanLength the mean length of that segment in bytes.
	meanTime, meanLength float64
}

const (
	// minAnswers is the number of answers needed before others are compared to them.
	minAnswers = 20
	// errorTimeShare and errorLengthShare are the fractions of the mean time and length
	// below which an answer is considered an error: an upstream that does not process
	// the request answers quickly and with few bytes.
	errorTimeShare   = 0.2
	errorLengthShare = 0.5
	// answerWeight is the weight of each answer in the means.
	answerWeight = 0.05
)

// Failure describes a request that counted as a failure of the upstream.
type Failure struct {
	Flow bramleyfall.Flow
	// Aborted is set if the upstream ended the flow without answering. Otherwise
	// the answer was suspiciously fast and short: its first segment arrived after
	// AnswerTime with Length bytes, where UsualAnswerTime and UsualLength are typical.
	Aborted                     bool
	AnswerTime, UsualAnswerTime time.Duration
	Length, UsualLength         uint32
}

// observe reports whether an answer appears to be an error, sent without processing
// the request. If not, it adds the answer to the means. The payload is not read.
func (s *answerStats) observe(elapsed time.Duration, length uint32) bool {
	if s.count >= minAnswers && float64(elapsed) < errorTimeShare*s.meanTime && float64(length) < errorLengthShare*s.meanLength {
		return true
	}
	weight := answerWeight
	if s.count < minAnswers {
		s.count++
		weight = 1 / float64(s.count)
	}
	s.meanTime += weight * (float64(elapsed) - s.meanTime)
	s.meanLength += weight * (float64(length) - s.meanLength)
	return false
}

// succeeded records an answer.
func (o *outcomes) succeeded() {
	o.failureRate *= 1 - outcomeWeight
	if o.failureRate < recoveredFailureRate {
		o.onTrial = false
	}
}

// failed records a request that was aborted or answered with an error.
func (o *outcomes) failed(now time.Time) {
	o.failureRate += outcomeWeight * (1 - o.failureRate)
	if o.onTrial || o.failureRate > maxFailureRate {
		o.eject(now)
	}
}

// restarted records a restart of the upstream.
func (o *outcomes) restarted(now time.Time) {
	if !o.lastRestart.IsZero() && now.Sub(o.lastRestart) < minRestartInterval {
		o.eject(now)
	}
	o.lastRestart = now
}

func (o *outcomes) eject(now time.Time) {
	if o.ejected(now) {
		return
	}
	if now.Sub(o.ejectedUntil) > ejectionResetTime {
		o.ejectionTime = 0
	}
	o.ejectionTime = min(max(minEjectionTime, 2*o.ejectionTime), maxEjectionTime)
	o.ejectedUntil = now.Add(o.ejectionTime)
	o.onTrial, o.failureRate = true, 1
}

func (o *outcomes) ejected(now time.Time) bool { return now.Before(o.ejectedUntil) }
