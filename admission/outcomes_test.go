package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
)

// An upstream accepts flows and breaks them off at their requests, behind good
// heartbeats. Its slots look free, so that it would draw more and more flows.
func TestFailingUpstreamIsLeftAlone(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	for n := range 2 {
		is.Equal(b.open(n, offer), bramleyfall.OK)
		b.request(n)
		b.reset(n)
	}
	is.Equal(b.State(b.now), bramleyfall.UpstreamFailing)
	is.Equal(b.open(2, offer), bramleyfall.NotRunFailing)
	is.Equal(b.open(3, must), bramleyfall.OK) // nobody else takes it
	b.request(3)
	b.answer(3)

	b.after(1100 * time.Millisecond)
	b.beat(bramleyfall.Heartbeat{})
	is.Equal(b.State(b.now), bramleyfall.UpstreamTrial)
	is.Equal(b.open(4, offer), bramleyfall.NotRunFailing) // an order is no trial
	safe := offer
	safe.Idempotent = true
	is.Equal(b.open(5, safe), bramleyfall.OK)
	is.Equal(b.open(6, safe), bramleyfall.NotRunFailing) // one at a time
	b.request(5)
	b.reset(5)
	is.Equal(b.State(b.now), bramleyfall.UpstreamFailing)
	b.after(1100 * time.Millisecond)
	b.beat(bramleyfall.Heartbeat{})
	is.Equal(b.State(b.now), bramleyfall.UpstreamFailing) // it waits longer each time
	b.after(time.Second)
	b.beat(bramleyfall.Heartbeat{})
	for n := range 20 { // a third of its requests still fails
		is.Equal(b.open(100+n, must), bramleyfall.OK)
		b.request(100 + n)
		b.after(20 * time.Millisecond)
		if n%3 == 2 {
			b.reset(100 + n)
			b.beat(bramleyfall.Heartbeat{})
			is.True(b.State(b.now) != bramleyfall.UpstreamReady)
			continue
		}
		b.answer(100 + n)
	}
	b.after(9 * time.Second)
	b.beat(bramleyfall.Heartbeat{})
	answers := 0
	for ; b.State(b.now) == bramleyfall.UpstreamTrial; answers++ {
		is.Equal(b.open(10+answers, safe), bramleyfall.OK)
		b.request(10 + answers)
		b.answer(10 + answers)
		b.after(50 * time.Millisecond)
	}
	is.Equal(b.State(b.now), bramleyfall.UpstreamReady)
	is.True(answers >= 5 && answers <= 10) // in a row
}

// An upstream whose slots are all taken turns requests away by a few bytes, or
// breaks them off. It doesn't fail.
func TestRefusalsOfABusyUpstream(t *testing.T) {
	short := func(n int) *bramleyfall.Packet { return fromUpstream(n, bramleyfall.KindData, 901, 100) }
	reset := func(n int) *bramleyfall.Packet { return fromUpstream(n, bramleyfall.KindReset, 901, 0) }
	tests := []struct {
		name   string
		busy   int
		refuse func(n int) *bramleyfall.Packet
		want   bramleyfall.UpstreamState
	}{
		{"short answers while all slots are taken", 2, short, bramleyfall.UpstreamReady},
		{"short answers with a slot free", 1, short, bramleyfall.UpstreamFailing},
		{"resets while all slots are taken", 2, reset, bramleyfall.UpstreamReady},
		{"resets with a slot free", 1, reset, bramleyfall.UpstreamFailing},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBeside(t)
			ask := func(n int, after time.Duration, answer *bramleyfall.Packet) {
				is.Equal(b.open(n, must), bramleyfall.OK)
				b.request(n)
				b.after(after)
				b.FromUpstream(answer, b.now)
				b.beat(bramleyfall.Heartbeat{})
			}
			for n := range 30 {
				ask(n, 20*time.Millisecond, fromUpstream(n, bramleyfall.KindData, 901, 1000))
			}
			for n := range test.busy {
				is.Equal(b.open(100+n, offer), bramleyfall.OK)
				b.request(100 + n)
			}
			for n := range 3 {
				ask(200+n, time.Millisecond, test.refuse(200+n))
			}
			is.Equal(b.State(b.now), test.want)
		})
	}
}

// An upstream answers each request at once with a few bytes where it took its
// time before and sent many: these are errors, whatever its health check says.
func TestHastyAnswersAreFailures(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		length uint32
		want   bramleyfall.UpstreamState
	}{
		{"as always", 20 * time.Millisecond, 1000, bramleyfall.UpstreamReady},
		{"fast but whole", time.Millisecond, 1000, bramleyfall.UpstreamReady},
		{"short but not hasty", 20 * time.Millisecond, 100, bramleyfall.UpstreamReady},
		{"hasty and short", time.Millisecond, 100, bramleyfall.UpstreamFailing},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBeside(t)
			is.Equal(b.open(1, offer), bramleyfall.OK)
			next := uint32(901)
			sent := uint32(501)
			ask := func(after time.Duration, length uint32) {
				request := fromCaller(1, next, 200)
				request.Sequence = sent
				sent = request.End()
				b.FromBalancer(request, offer, b.now)
				b.after(after)
				b.FromUpstream(fromUpstream(1, bramleyfall.KindData, next, length), b.now)
				next += length
				b.after(20 * time.Millisecond)
			}
			for range 30 {
				ask(20*time.Millisecond, 1000)
			}
			for range 3 {
				ask(test.after, test.length)
			}
			is.Equal(b.State(b.now), test.want)
		})
	}
}

// One request in many fails: that is no reason to lose the upstream.
func TestOneFailureIsNone(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	for n := range 40 {
		is.Equal(b.open(n, offer), bramleyfall.OK)
		b.request(n)
		if n%10 == 9 {
			b.reset(n)
		} else {
			b.answer(n)
			b.reset(n) // after the answer: not a failure
		}
		is.Equal(b.State(b.now), bramleyfall.UpstreamReady)
	}
}

// An upstream that goes down and up by turns has to prove itself each time.
func TestFlappingUpstream(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	is.Equal(b.open(1, offer), bramleyfall.OK)
	b.request(1)
	b.after(time.Second)
	b.beat(bramleyfall.Heartbeat{Boot: 2000})
	is.Equal(b.State(b.now), bramleyfall.UpstreamReady) // a restart is not held against it
	b.after(2 * time.Second)
	b.beat(bramleyfall.Heartbeat{Boot: 3000})
	is.Equal(b.State(b.now), bramleyfall.UpstreamFailing)
}

// The end of a flow may overtake the answer before it on the way to the agent.
func TestEndThatOvertakesItsAnswerIsNoFailure(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	for n := range 5 {
		is.Equal(b.open(n, offer), bramleyfall.OK)
		b.request(n)
		b.FromUpstream(fromUpstream(n, bramleyfall.KindFinish, 901+1000, 0), b.now)
		b.answer(n)
	}
	is.Equal(b.State(b.now), bramleyfall.UpstreamReady)
	for n := range 2 {
		is.Equal(b.open(10+n, offer), bramleyfall.OK)
		b.request(10 + n)
		b.FromUpstream(fromUpstream(10+n, bramleyfall.KindFinish, 901, 0), b.now) // nothing came before it
	}
	is.Equal(b.State(b.now), bramleyfall.UpstreamFailing)
}

// An upstream that is both cold and on trial bears no more than a cold one.
func TestColdRateHoldsOnTrial(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	b.Configure(snapshot(2, 2), b.now)
	for n := range 2 {
		is.Equal(b.open(n, offer), bramleyfall.OK)
		b.request(n)
		b.reset(n)
	}
	b.beat(bramleyfall.Heartbeat{ColdRemaining: 2 * time.Second})
	admitted := 0
	for n := range 9 {
		if b.open(10+n, must) == bramleyfall.OK {
			admitted++
		}
	}
	is.Equal(admitted, 2)
}
