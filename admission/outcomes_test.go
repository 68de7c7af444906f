package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
)

// An upstream accepts flows and resets them at their requests while it sends good
// heartbeats. Its slots appear free, so without ejection it would attract more and
// more flows.
func TestFailingUpstreamIsLeftAlone(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for n := range 2 {
		is.Equal(h.open(n, defaultMetadata), bramleyfall.OK)
		h.request(n)
		h.reset(n)
	}
	is.Equal(h.State(h.now), bramleyfall.UpstreamFailing)
	is.Equal(h.open(2, defaultMetadata), bramleyfall.NotRunFailing)
	is.Equal(h.open(3, lastResortMetadata), bramleyfall.OK) // all other upstreams refused it
	h.request(3)
	h.answer(3)

	h.advance(1100 * time.Millisecond)
	h.sendHeartbeat(bramleyfall.Heartbeat{})
	is.Equal(h.State(h.now), bramleyfall.UpstreamTrial)
	is.Equal(h.open(4, defaultMetadata), bramleyfall.NotRunFailing) // trial requests must be idempotent
	idempotent := defaultMetadata
	idempotent.Idempotent = true
	is.Equal(h.open(5, idempotent), bramleyfall.OK)
	is.Equal(h.open(6, idempotent), bramleyfall.NotRunFailing) // one trial at a time
	h.request(5)
	h.reset(5)
	is.Equal(h.State(h.now), bramleyfall.UpstreamFailing)
	h.advance(1100 * time.Millisecond)
	h.sendHeartbeat(bramleyfall.Heartbeat{})
	is.Equal(h.State(h.now), bramleyfall.UpstreamFailing) // the ejection time doubles
	h.advance(time.Second)
	h.sendHeartbeat(bramleyfall.Heartbeat{})
	for n := range 20 { // a third of the requests still fails
		is.Equal(h.open(100+n, lastResortMetadata), bramleyfall.OK)
		h.request(100 + n)
		h.advance(20 * time.Millisecond)
		if n%3 == 2 {
			h.reset(100 + n)
			h.sendHeartbeat(bramleyfall.Heartbeat{})
			is.True(h.State(h.now) != bramleyfall.UpstreamReady)
			continue
		}
		h.answer(100 + n)
	}
	h.advance(9 * time.Second)
	h.sendHeartbeat(bramleyfall.Heartbeat{})
	answers := 0
	for ; h.State(h.now) == bramleyfall.UpstreamTrial; answers++ {
		is.Equal(h.open(10+answers, idempotent), bramleyfall.OK)
		h.request(10 + answers)
		h.answer(10 + answers)
		h.advance(50 * time.Millisecond)
	}
	is.Equal(h.State(h.now), bramleyfall.UpstreamReady)
	is.True(answers >= 5 && answers <= 10) // all consecutive
}

// An upstream whose slots are all taken rejects requests with a short answer or a
// reset. These must not count as failures.
func TestRefusalsOfABusyUpstream(t *testing.T) {
	short := func(n int) *bramleyfall.Packet { return fromUpstream(n, bramleyfall.KindData, 901, 100) }
	reset := func(n int) *bramleyfall.Packet { return fromUpstream(n, bramleyfall.KindReset, 901, 0) }
	tests := []struct {
		name           string
		activeRequests int
		refuse         func(n int) *bramleyfall.Packet
		want           bramleyfall.UpstreamState
	}{
		{"short answers while all slots are taken", 2, short, bramleyfall.UpstreamReady},
		{"short answers while a slot is free", 1, short, bramleyfall.UpstreamFailing},
		{"resets while all slots are taken", 2, reset, bramleyfall.UpstreamReady},
		{"resets while a slot is free", 1, reset, bramleyfall.UpstreamFailing},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			exchange := func(n int, answerTime time.Duration, answer *bramleyfall.Packet) {
				is.Equal(h.open(n, lastResortMetadata), bramleyfall.OK)
				h.request(n)
				h.advance(answerTime)
				h.FromUpstream(answer, h.now)
				h.sendHeartbeat(bramleyfall.Heartbeat{})
			}
			for n := range 30 {
				exchange(n, 20*time.Millisecond, fromUpstream(n, bramleyfall.KindData, 901, 1000))
			}
			for n := range test.activeRequests {
				is.Equal(h.open(100+n, defaultMetadata), bramleyfall.OK)
				h.request(100 + n)
			}
			for n := range 3 {
				exchange(200+n, time.Millisecond, test.refuse(200+n))
			}
			is.Equal(h.State(h.now), test.want)
		})
	}
}

// An upstream answers each request immediately with a few bytes, where its answers
// were slower and longer before. These answers are errors, even if the health check
// of the upstream succeeds.
func TestHastyAnswersAreFailures(t *testing.T) {
	tests := []struct {
		name       string
		answerTime time.Duration
		length     uint32
		want       bramleyfall.UpstreamState
	}{
		{"as usual", 20 * time.Millisecond, 1000, bramleyfall.UpstreamReady},
		{"fast but of usual length", time.Millisecond, 1000, bramleyfall.UpstreamReady},
		{"short but not fast", 20 * time.Millisecond, 100, bramleyfall.UpstreamReady},
		{"fast and short", time.Millisecond, 100, bramleyfall.UpstreamFailing},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			is.Equal(h.open(1, defaultMetadata), bramleyfall.OK)
			answerSequence := uint32(901)
			requestSequence := uint32(501)
			exchange := func(answerTime time.Duration, length uint32) {
				request := fromCaller(1, answerSequence, 200)
				request.Sequence = requestSequence
				requestSequence = request.End()
				h.FromBalancer(request, defaultMetadata, h.now)
				h.advance(answerTime)
				h.FromUpstream(fromUpstream(1, bramleyfall.KindData, answerSequence, length), h.now)
				answerSequence += length
				h.advance(20 * time.Millisecond)
			}
			for range 30 {
				exchange(20*time.Millisecond, 1000)
			}
			for range 3 {
				exchange(test.answerTime, test.length)
			}
			is.Equal(h.State(h.now), test.want)
		})
	}
}

// An upstream that fails one request in ten must not be ejected.
func TestOneFailureIsNone(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for n := range 40 {
		is.Equal(h.open(n, defaultMetadata), bramleyfall.OK)
		h.request(n)
		if n%10 == 9 {
			h.reset(n)
		} else {
			h.answer(n)
			h.reset(n) // a reset after the answer is no failure
		}
		is.Equal(h.State(h.now), bramleyfall.UpstreamReady)
	}
}

// An upstream that restarts repeatedly within a short time is ejected and has to pass
// a trial.
func TestFlappingUpstream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.Equal(h.open(1, defaultMetadata), bramleyfall.OK)
	h.request(1)
	h.advance(time.Second)
	h.sendHeartbeat(bramleyfall.Heartbeat{Boot: 2000})
	is.Equal(h.State(h.now), bramleyfall.UpstreamReady) // a single restart is no failure
	h.advance(2 * time.Second)
	h.sendHeartbeat(bramleyfall.Heartbeat{Boot: 3000})
	is.Equal(h.State(h.now), bramleyfall.UpstreamFailing)
}

// A FIN may overtake the answer that precedes it on the way to the agent. Such a
// flow must not count as a failure.
func TestEndThatOvertakesItsAnswerIsNoFailure(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for n := range 5 {
		is.Equal(h.open(n, defaultMetadata), bramleyfall.OK)
		h.request(n)
		h.FromUpstream(fromUpstream(n, bramleyfall.KindFinish, 901+1000, 0), h.now)
		h.answer(n)
	}
	is.Equal(h.State(h.now), bramleyfall.UpstreamReady)
	for n := range 2 {
		is.Equal(h.open(10+n, defaultMetadata), bramleyfall.OK)
		h.request(10 + n)
		h.FromUpstream(fromUpstream(10+n, bramleyfall.KindFinish, 901, 0), h.now) // no answer precedes it
	}
	is.Equal(h.State(h.now), bramleyfall.UpstreamFailing)
}

// The rate limit of a cold upstream also applies while the upstream is on trial.
func TestColdRateHoldsOnTrial(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.Configure(snapshot(2, 2), h.now)
	for n := range 2 {
		is.Equal(h.open(n, defaultMetadata), bramleyfall.OK)
		h.request(n)
		h.reset(n)
	}
	h.sendHeartbeat(bramleyfall.Heartbeat{ColdRemaining: 2 * time.Second})
	admitted := 0
	for n := range 9 {
		if h.open(10+n, lastResortMetadata) == bramleyfall.OK {
			admitted++
		}
	}
	is.Equal(admitted, 2)
}
