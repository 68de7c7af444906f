package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/admission"
)

func TestColdRate(t *testing.T) {
	tests := []struct {
		name     string
		rate     float64
		openings int
		admitted int
	}{
		{"no rate is set", 0, 12, 12},
		{"three a second", 3, 12, 3},
		{"less than one a second still opens one", 0.2, 12, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBeside(t)
			b.Configure(snapshot(2, test.rate), b.now)
			b.beat(bramleyfall.Heartbeat{ColdRemaining: 2 * time.Second})
			admitted := 0
			for n := range test.openings {
				b.after(50 * time.Millisecond)
				if b.open(n, offer) == bramleyfall.OK {
					admitted++
					b.request(n)
					b.answer(n)
				}
			}
			is.Equal(admitted, test.admitted)
		})
	}
}

// A wave of requests finds all upstreams full: what can still be answered in
// time waits at the upstream, the rest is refused at once.
func TestWaveAboveCapacity(t *testing.T) {
	tests := []struct {
		name      string
		objective time.Duration
		work      time.Duration
		priority  bramleyfall.Priority
		must      bool
		admitted  int
	}{
		{"another upstream may have a slot", 120 * time.Millisecond, 20 * time.Millisecond, 2, false, 2},
		{"orders wait while their answers are in time", 120 * time.Millisecond, 20 * time.Millisecond, 1, true, 2 + 6},
		{"so does the feed in a burst", 120 * time.Millisecond, 20 * time.Millisecond, 2, true, 2 + 6},
		{"slow work leaves little time to wait", 120 * time.Millisecond, 60 * time.Millisecond, 1, true, 2 + 1},
		{"none waits whose answer would be late", 120 * time.Millisecond, 120 * time.Millisecond, 1, true, 2},
		{"the queue is bounded", 10 * time.Second, 20 * time.Millisecond, 1, true, 2 + 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBeside(t)
			for range 60 { // learn the time of the work
				is.Equal(b.open(0, offer), bramleyfall.OK)
				b.request(0)
				b.after(test.work)
				b.answer(0)
				b.FromUpstream(fromUpstream(0, bramleyfall.KindReset, 0, 0), b.now)
				b.beat(bramleyfall.Heartbeat{})
			}
			o := admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: test.priority, Objective: test.objective, LastResort: test.must}
			admitted := 0
			for n := range 20 {
				if b.open(n+1, o) == bramleyfall.OK {
					admitted++
					b.request(n + 1)
				}
			}
			is.Equal(admitted, test.admitted)
		})
	}
}

// The callers of an upstream that ended are told while their flows are idle, so
// that no order is sent into one.
// An upstream that has just started is slow, and all callers come back to it at the
// same moment: its queue is shorter.
func TestColdUpstreamKeepsAShortQueue(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	b.beat(bramleyfall.Heartbeat{ColdRemaining: 2 * time.Second})
	o := admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: 1, Objective: 120 * time.Millisecond, LastResort: true}
	for n := range 20 {
		if b.open(n, o) == bramleyfall.OK {
			b.request(n)
		}
	}
	is.Equal(b.ActiveRequests(), 2+3)
}

// While no slot is free, the times between answers tell how long the work takes.
func TestWorkIsLearnedWhileNoSlotIsFree(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	o := admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: 1, Objective: 120 * time.Millisecond, LastResort: true}
	const work, slots = 60 * time.Millisecond, 2
	var admitted []int
	next := 0
	ask := func() {
		if b.open(next, o) == bramleyfall.OK {
			b.request(next)
			admitted = append(admitted, next)
		}
		next++
	}
	for range 20 {
		ask()
	}
	is.Equal(b.ActiveRequests(), slots+6) // as if it took the 20 ms that are assumed at first
	for range 60 {
		b.after(work / slots)
		b.answer(admitted[0])
		admitted = admitted[1:]
		ask()
		b.beat(bramleyfall.Heartbeat{})
	}
	for range 20 {
		ask()
	}
	is.Equal(b.ActiveRequests(), slots+1)
}

// Once a queue has stood for longer than a burst, the feed leaves room for orders.
func TestStandingQueueIsKeptForOrders(t *testing.T) {
	tests := []struct {
		name     string
		priority bramleyfall.Priority
		limit    int
	}{
		{"an order", 1, 2 + 6},
		{"the feed", 2, 2 + 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBeside(t)
			o := admission.ForwardMetadata{
				Service: railbook.Key(), Version: 1, Priority: test.priority, Objective: 120 * time.Millisecond, LastResort: true,
			}
			ask := func(n int) {
				if b.open(n, o) == bramleyfall.OK {
					b.request(n)
				}
			}
			for n := range 3 { // one of them waits for a slot
				ask(n)
			}
			b.after(600 * time.Millisecond)
			b.beat(bramleyfall.Heartbeat{})
			for n := range 20 {
				ask(100 + n)
			}
			is.Equal(b.ActiveRequests(), test.limit)
			for n := range test.limit { // it empties, and the next burst is one again
				b.FromUpstream(fromUpstream(n, bramleyfall.KindReset, 901, 0), b.now)
				b.FromUpstream(fromUpstream(100+n, bramleyfall.KindReset, 901, 0), b.now)
			}
			is.Equal(b.ActiveRequests(), 0)
			b.after(600 * time.Millisecond)
			b.beat(bramleyfall.Heartbeat{})
			for n := range 20 {
				ask(200 + n)
			}
			is.Equal(b.ActiveRequests(), 2+6)
		})
	}
}

// An upstream may have gone cold while its domain was out of service; only its
// next heartbeat tells.
func TestColdAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	b.Configure(snapshot(2, 1, "Ikeja"), b.now)
	is.Equal(b.open(1, must), bramleyfall.NotRunDomainOut)
	b.Configure(snapshot(2, 1), b.now)
	is.Equal(b.State(b.now), bramleyfall.UpstreamCold)
	is.Equal(b.open(2, offer), bramleyfall.OK)
	is.Equal(b.open(3, offer), bramleyfall.NotRunWarmUp)
	b.beat(bramleyfall.Heartbeat{})
	is.Equal(b.open(4, offer), bramleyfall.OK)
}

// The newer of the two configurations decides whether an opening is allowed.
func TestNewerConfigurationDecides(t *testing.T) {
	other := bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}
	tests := []struct {
		name     string
		balancer bramleyfall.ConfigVersion
		want     bramleyfall.ResultCode
	}{
		{"the balancer is behind", 1, bramleyfall.WrongService},
		{"both know the same", 2, bramleyfall.WrongService},
		{"the balancer knows of a new route", 3, bramleyfall.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBeside(t)
			b.Configure(snapshot(2, 0), b.now)
			p := opening(1)
			p.Flow.Destination = other
			o := offer
			o.Version = test.balancer
			is.New(t).Equal(b.FromBalancer(p, o, b.now).Code, test.want)
		})
	}
}
