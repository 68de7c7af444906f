package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/admission"
)

const railbook bramleyfall.ServiceName = "railbook"

var (
	start   = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	address = bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	offer   = admission.Offer{Service: railbook.Key(), Version: 1, Priority: 1}
	must    = admission.Offer{Service: railbook.Key(), Version: 1, Priority: 1, Must: true}
)

// beside is a gate beside an upstream that answers as it is told to.
type beside struct {
	*testing.T
	*admission.Gate
	now      time.Time
	sequence uint64
	// lost are the resets for callers whose flows ended with their upstream.
	lost []bramleyfall.Segment
}

// newBeside returns the gate of a ready upstream of railbook with two slots.
func newBeside(t *testing.T) *beside {
	gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeat(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	b := &beside{T: t, Gate: gate, now: start}
	b.Configure(snapshot(1, 0), b.now)
	b.beat(bramleyfall.Heartbeat{})
	return b
}

func snapshot(version bramleyfall.ConfigVersion, coldRate float64, out ...bramleyfall.DomainName) *bramleyfall.Snapshot {
	s := &bramleyfall.Snapshot{
		Version: version,
		Routes: map[bramleyfall.Endpoint]*bramleyfall.Route{
			address: {Address: address, Targets: []bramleyfall.Target{{Service: railbook, Weight: 1}}},
		},
		Services: map[bramleyfall.ServiceName]bramleyfall.ServiceLimits{
			railbook: {Name: railbook, Connections: 100, ColdFor: 2 * time.Second, ColdRate: coldRate},
		},
		Out:         make(map[bramleyfall.DomainName]bool),
		IdleTimeout: 15 * time.Second,
	}
	for _, domain := range out {
		s.Out[domain] = true
	}
	return s
}

// beat has the upstream send a heartbeat; zero fields hold usual values.
func (b *beside) beat(h bramleyfall.Heartbeat) bool {
	b.sequence++
	h.Upstream, h.Service, h.Domain, h.Slots = "i-1", railbook, "Ikeja", 2
	if h.Boot == 0 {
		h.Boot = 1000
	}
	if h.Sequence == 0 {
		h.Sequence = b.sequence
	}
	news, lost := b.Heartbeat(h, b.now)
	b.lost = append(b.lost, lost...)
	return news
}

func flowOf(n int) bramleyfall.Flow {
	return bramleyfall.Flow{
		Source:      bramleyfall.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: uint16(1024 + n)},
		Destination: address, Protocol: bramleyfall.TCP,
	}
}

func opening(n int) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: flowOf(n), Kind: bramleyfall.KindOpening, Sequence: 500}
}

func fromCaller(n int, ack, length uint32) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: flowOf(n), Kind: bramleyfall.KindData, HasAck: true, Ack: ack, Length: length}
}

func fromUpstream(n int, kind bramleyfall.PacketKind, sequence, length uint32) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: flowOf(n).Reverse(), Kind: kind, Sequence: sequence, Length: length}
}

// open opens flow n and completes its handshake, and returns the code with
// which it was passed on, if it was.
func (b *beside) open(n int, o admission.Offer) bramleyfall.ResultCode {
	a := b.FromBalancer(opening(n), o, b.now)
	if a.Kind != bramleyfall.ActionDeliver {
		return a.Code
	}
	b.FromUpstream(fromUpstream(n, bramleyfall.KindOpeningReply, 900, 0), b.now)
	b.FromBalancer(fromCaller(n, 901, 0), offer, b.now)
	return bramleyfall.OK
}

// request sends a request on flow n.
func (b *beside) request(n int) { b.FromBalancer(fromCaller(n, 901, 200), offer, b.now) }

// answer has the upstream answer the request on flow n.
func (b *beside) answer(n int) {
	b.FromUpstream(fromUpstream(n, bramleyfall.KindData, 901, 1000), b.now)
}

func (b *beside) after(d time.Duration) { b.now = b.now.Add(d) }

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
			b.beat(bramleyfall.Heartbeat{ColdFor: 2 * time.Second})
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
			o := admission.Offer{Service: railbook.Key(), Version: 1, Priority: test.priority, Objective: test.objective, Must: test.must}
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
	b.beat(bramleyfall.Heartbeat{ColdFor: 2 * time.Second})
	o := admission.Offer{Service: railbook.Key(), Version: 1, Priority: 1, Objective: 120 * time.Millisecond, Must: true}
	for n := range 20 {
		if b.open(n, o) == bramleyfall.OK {
			b.request(n)
		}
	}
	is.Equal(b.Busy(), 2+3)
}

// While no slot is free, the times between answers tell how long the work takes.
func TestWorkIsLearnedWhileNoSlotIsFree(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	o := admission.Offer{Service: railbook.Key(), Version: 1, Priority: 1, Objective: 120 * time.Millisecond, Must: true}
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
	is.Equal(b.Busy(), slots+6) // as if it took the 20 ms that are assumed at first
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
	is.Equal(b.Busy(), slots+1)
}

func TestCallersLearnThatTheirUpstreamEnded(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	is.Equal(b.open(1, offer), bramleyfall.OK)
	b.request(1)
	b.answer(1)
	b.FromBalancer(fromCaller(1, 1901, 0), offer, b.now)
	is.True(b.beat(bramleyfall.Heartbeat{Boot: 2000}))
	is.Equal(len(b.lost), 1)
	is.Equal(b.lost[0].Sequence, uint32(1901))
	is.Equal(b.lost[0].Flow, flowOf(1).Reverse())

	is.Equal(b.open(2, offer), bramleyfall.OK)
	is.Equal(len(b.Sweep(b.now)), 0)
	b.after(4 * time.Second) // more than three heartbeats are missing
	is.Equal(len(b.Sweep(b.now)), 1)
}

func TestHeartbeatsOutOfOrder(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	is.True(b.beat(bramleyfall.Heartbeat{Boot: 2000, Sequence: 7, Draining: true}))
	is.True(!b.beat(bramleyfall.Heartbeat{Boot: 2000, Sequence: 6})) // late
	is.True(!b.beat(bramleyfall.Heartbeat{Boot: 1000, Sequence: 9})) // of the run before
	is.Equal(b.State(b.now), bramleyfall.UpstreamDraining)
	b.after(11 * time.Second) // restarts in quick succession count as failures
	is.True(b.beat(bramleyfall.Heartbeat{Boot: 3000, Sequence: 1}))
	is.Equal(b.State(b.now), bramleyfall.UpstreamReady)
}

// Agents and upstreams start together after a loss of power. An upstream that has
// just started holds no flow that its agent hasn't seen; one that ran before its
// agent may.
func TestFlowsFromBeforeTheStart(t *testing.T) {
	tests := []struct {
		name  string
		first uint64        // sequence of the first heartbeat that the agent hears
		boot  time.Duration // of the upstream, after the agent's start
		want  admission.Holding
	}{
		{"no heartbeat yet", 0, 0, admission.MayHold},
		{"the upstream started with the agent", 1, -time.Second, admission.Denies},
		{"its first heartbeat was missed", 2, -time.Second, admission.Denies},
		{"the upstream ran before", 7, -time.Second, admission.MayHold},
		{"many were missed since it started with the agent", 7, -50 * time.Millisecond, admission.Denies},
		{"it started after the agent", 7, 50 * time.Millisecond, admission.Denies},
		{"it ran before, and the clock was set back", 7, time.Hour, admission.MayHold},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeat(time.Second))
			is.NoErr(err)
			b := &beside{T: t, Gate: gate, now: start}
			b.Configure(snapshot(1, 0), b.now)
			if test.first > 0 {
				b.after(100 * time.Millisecond)
				is.True(b.beat(bramleyfall.Heartbeat{Sequence: test.first, Boot: bramleyfall.BootID(start.Add(test.boot).UnixNano())}))
			}
			is.Equal(b.Holding(flowOf(1), railbook.Key(), 901, b.now), test.want)
			b.after(20 * time.Second) // longer than any idle flow lasts
			is.Equal(b.Holding(flowOf(1), railbook.Key(), 901, b.now), admission.Denies)
		})
	}
}

// An agent that started and hears nothing has no upstream: no flow is left there.
func TestNoUpstreamHoldsNoFlow(t *testing.T) {
	is := is.New(t)
	gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeat(time.Second))
	is.NoErr(err)
	gate.Configure(snapshot(1, 0), start)
	is.Equal(gate.Holding(flowOf(1), railbook.Key(), 901, start.Add(2900*time.Millisecond)), admission.MayHold)
	is.Equal(gate.Holding(flowOf(1), railbook.Key(), 901, start.Add(3100*time.Millisecond)), admission.Denies)
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
			o := admission.Offer{
				Service: railbook.Key(), Version: 1, Priority: test.priority, Objective: 120 * time.Millisecond, Must: true,
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
			is.Equal(b.Busy(), test.limit)
			for n := range test.limit { // it empties, and the next burst is one again
				b.FromUpstream(fromUpstream(n, bramleyfall.KindReset, 901, 0), b.now)
				b.FromUpstream(fromUpstream(100+n, bramleyfall.KindReset, 901, 0), b.now)
			}
			is.Equal(b.Busy(), 0)
			b.after(600 * time.Millisecond)
			b.beat(bramleyfall.Heartbeat{})
			for n := range 20 {
				ask(200 + n)
			}
			is.Equal(b.Busy(), 2+6)
		})
	}
}

// reset has the upstream break flow n off.
func (b *beside) reset(n int) {
	b.FromUpstream(fromUpstream(n, bramleyfall.KindReset, 901, 0), b.now)
}

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

// A caller repeats a request whose answer was lost on its way. It isn't under
// way again.
func TestRepeatedRequestIsNoNewOne(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	is.Equal(b.open(1, offer), bramleyfall.OK)
	b.request(1)
	is.Equal(b.Busy(), 1)
	b.request(1)
	is.Equal(b.Busy(), 1)
	b.after(20 * time.Millisecond)
	b.answer(1)
	is.Equal(b.Busy(), 0)
	b.request(1)
	is.Equal(b.Busy(), 0)
	next := fromCaller(1, 1901, 200)
	next.Sequence = 200
	b.FromBalancer(next, offer, b.now)
	is.Equal(b.Busy(), 1)
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
	b.beat(bramleyfall.Heartbeat{ColdFor: 2 * time.Second})
	admitted := 0
	for n := range 9 {
		if b.open(10+n, must) == bramleyfall.OK {
			admitted++
		}
	}
	is.Equal(admitted, 2)
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
