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
	offer   = admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: 1}
	must    = admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: 1, LastResort: true}
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
	gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeatInterval(time.Second))
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
func (b *beside) open(n int, o admission.ForwardMetadata) bramleyfall.ResultCode {
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
		want  admission.Ownership
	}{
		{"no heartbeat yet", 0, 0, admission.MayBeOwned},
		{"the upstream started with the agent", 1, -time.Second, admission.NotOwned},
		{"its first heartbeat was missed", 2, -time.Second, admission.NotOwned},
		{"the upstream ran before", 7, -time.Second, admission.MayBeOwned},
		{"many were missed since it started with the agent", 7, -50 * time.Millisecond, admission.NotOwned},
		{"it started after the agent", 7, 50 * time.Millisecond, admission.NotOwned},
		{"it ran before, and the clock was set back", 7, time.Hour, admission.MayBeOwned},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeatInterval(time.Second))
			is.NoErr(err)
			b := &beside{T: t, Gate: gate, now: start}
			b.Configure(snapshot(1, 0), b.now)
			if test.first > 0 {
				b.after(100 * time.Millisecond)
				is.True(b.beat(bramleyfall.Heartbeat{Sequence: test.first, Boot: bramleyfall.BootID(start.Add(test.boot).UnixNano())}))
			}
			is.Equal(b.Ownership(flowOf(1), railbook.Key(), 901, b.now), test.want)
			b.after(20 * time.Second) // longer than any idle flow lasts
			is.Equal(b.Ownership(flowOf(1), railbook.Key(), 901, b.now), admission.NotOwned)
		})
	}
}

// An agent that started and hears nothing has no upstream: no flow is left there.
func TestNoUpstreamHoldsNoFlow(t *testing.T) {
	is := is.New(t)
	gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeatInterval(time.Second))
	is.NoErr(err)
	gate.Configure(snapshot(1, 0), start)
	is.Equal(gate.Ownership(flowOf(1), railbook.Key(), 901, start.Add(2900*time.Millisecond)), admission.MayBeOwned)
	is.Equal(gate.Ownership(flowOf(1), railbook.Key(), 901, start.Add(3100*time.Millisecond)), admission.NotOwned)
}

// reset has the upstream break flow n off.
func (b *beside) reset(n int) {
	b.FromUpstream(fromUpstream(n, bramleyfall.KindReset, 901, 0), b.now)
}

// A caller repeats a request whose answer was lost on its way. It isn't under
// way again.
func TestRepeatedRequestIsNoNewOne(t *testing.T) {
	is := is.New(t)
	b := newBeside(t)
	is.Equal(b.open(1, offer), bramleyfall.OK)
	b.request(1)
	is.Equal(b.ActiveRequests(), 1)
	b.request(1)
	is.Equal(b.ActiveRequests(), 1)
	b.after(20 * time.Millisecond)
	b.answer(1)
	is.Equal(b.ActiveRequests(), 0)
	b.request(1)
	is.Equal(b.ActiveRequests(), 0)
	next := fromCaller(1, 1901, 200)
	next.Sequence = 200
	b.FromBalancer(next, offer, b.now)
	is.Equal(b.ActiveRequests(), 1)
}
