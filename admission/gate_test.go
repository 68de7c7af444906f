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
	start              = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	address            = bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	defaultMetadata    = admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: 1}
	lastResortMetadata = admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: 1, LastResort: true}
)

// harness is a gate with a simulated upstream, caller and clock.
type harness struct {
	*testing.T
	*admission.Gate
	now      time.Time
	sequence uint64
	// resets are the resets for callers whose flows ended with a run of the upstream.
	resets []bramleyfall.Segment
}

// newHarness returns the gate of a ready upstream of railbook with two slots.
func newHarness(t *testing.T) *harness {
	gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeatInterval(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{T: t, Gate: gate, now: start}
	h.Configure(snapshot(1, 0), h.now)
	h.sendHeartbeat(bramleyfall.Heartbeat{})
	return h
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

// sendHeartbeat sends a heartbeat, with default values for Boot and Sequence if they
// are zero, and reports whether the gate considers it new.
func (h *harness) sendHeartbeat(heartbeat bramleyfall.Heartbeat) bool {
	h.sequence++
	heartbeat.Upstream, heartbeat.Service, heartbeat.Domain, heartbeat.Slots = "i-1", railbook, "Ikeja", 2
	if heartbeat.Boot == 0 {
		heartbeat.Boot = 1000
	}
	if heartbeat.Sequence == 0 {
		heartbeat.Sequence = h.sequence
	}
	isNew, resets := h.Heartbeat(heartbeat, h.now)
	h.resets = append(h.resets, resets...)
	return isNew
}

func testFlow(n int) bramleyfall.Flow {
	return bramleyfall.Flow{
		Source:      bramleyfall.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: uint16(1024 + n)},
		Destination: address, Protocol: bramleyfall.TCP,
	}
}

func opening(n int) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: testFlow(n), Kind: bramleyfall.KindOpening, Sequence: 500}
}

func fromCaller(n int, ack, length uint32) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: testFlow(n), Kind: bramleyfall.KindData, HasAck: true, Ack: ack, Length: length}
}

func fromUpstream(n int, kind bramleyfall.PacketKind, sequence, length uint32) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: testFlow(n).Reverse(), Kind: kind, Sequence: sequence, Length: length}
}

// open opens flow n and completes its handshake. It returns OK, or the code with
// which the opening was returned to the balancer.
func (h *harness) open(n int, metadata admission.ForwardMetadata) bramleyfall.ResultCode {
	action := h.FromBalancer(opening(n), metadata, h.now)
	if action.Kind != bramleyfall.ActionDeliver {
		return action.Code
	}
	h.FromUpstream(fromUpstream(n, bramleyfall.KindOpeningReply, 900, 0), h.now)
	h.FromBalancer(fromCaller(n, 901, 0), defaultMetadata, h.now)
	return bramleyfall.OK
}

// request sends a request of the caller on flow n.
func (h *harness) request(n int) { h.FromBalancer(fromCaller(n, 901, 200), defaultMetadata, h.now) }

// answer sends the upstream's answer to the request on flow n.
func (h *harness) answer(n int) {
	h.FromUpstream(fromUpstream(n, bramleyfall.KindData, 901, 1000), h.now)
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

// When an upstream restarts or goes down, the callers of its idle flows are sent
// resets, so that none sends an order into a flow that no longer exists.
func TestCallersLearnThatTheirUpstreamEnded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.Equal(h.open(1, defaultMetadata), bramleyfall.OK)
	h.request(1)
	h.answer(1)
	h.FromBalancer(fromCaller(1, 1901, 0), defaultMetadata, h.now)
	is.True(h.sendHeartbeat(bramleyfall.Heartbeat{Boot: 2000}))
	is.Equal(len(h.resets), 1)
	is.Equal(h.resets[0].Sequence, uint32(1901))
	is.Equal(h.resets[0].Flow, testFlow(1).Reverse())

	is.Equal(h.open(2, defaultMetadata), bramleyfall.OK)
	is.Equal(len(h.Sweep(h.now)), 0)
	h.advance(4 * time.Second) // more than three heartbeats are missing
	is.Equal(len(h.Sweep(h.now)), 1)
}

func TestHeartbeatsOutOfOrder(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.True(h.sendHeartbeat(bramleyfall.Heartbeat{Boot: 2000, Sequence: 7, Draining: true}))
	is.True(!h.sendHeartbeat(bramleyfall.Heartbeat{Boot: 2000, Sequence: 6})) // late
	is.True(!h.sendHeartbeat(bramleyfall.Heartbeat{Boot: 1000, Sequence: 9})) // from the previous run
	is.Equal(h.State(h.now), bramleyfall.UpstreamDraining)
	h.advance(11 * time.Second) // restarts in quick succession count as failures
	is.True(h.sendHeartbeat(bramleyfall.Heartbeat{Boot: 3000, Sequence: 1}))
	is.Equal(h.State(h.now), bramleyfall.UpstreamReady)
}

// Agents and upstreams start at the same time after a power failure. An upstream that
// has just started owns no flow unknown to its agent; one that was running before
// its agent started may own such flows.
func TestFlowsFromBeforeTheStart(t *testing.T) {
	tests := []struct {
		name          string
		firstSequence uint64        // of the first heartbeat received, or zero for none
		startOffset   time.Duration // start of the upstream relative to the agent's
		want          admission.Ownership
	}{
		{"no heartbeat received yet", 0, 0, admission.MayBeOwned},
		{"the upstream started with the agent", 1, -time.Second, admission.NotOwned},
		{"the first heartbeat was lost", 2, -time.Second, admission.NotOwned},
		{"the upstream was running before the agent", 7, -time.Second, admission.MayBeOwned},
		{"the upstream started with the agent, but many heartbeats were lost", 7, -50 * time.Millisecond, admission.NotOwned},
		{"the upstream started after the agent", 7, 50 * time.Millisecond, admission.NotOwned},
		{"the upstream was running before, and the clock was set back", 7, time.Hour, admission.MayBeOwned},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeatInterval(time.Second))
			is.NoErr(err)
			h := &harness{T: t, Gate: gate, now: start}
			h.Configure(snapshot(1, 0), h.now)
			if test.firstSequence > 0 {
				h.advance(100 * time.Millisecond)
				is.True(h.sendHeartbeat(bramleyfall.Heartbeat{Sequence: test.firstSequence, Boot: bramleyfall.BootID(start.Add(test.startOffset).UnixNano())}))
			}
			is.Equal(h.Ownership(testFlow(1), railbook.Key(), 901, h.now), test.want)
			h.advance(20 * time.Second) // longer than the idle timeout
			is.Equal(h.Ownership(testFlow(1), railbook.Key(), 901, h.now), admission.NotOwned)
		})
	}
}

// An agent that receives no heartbeat within the heartbeat timeout after its start
// has no upstream, so no flows from before its start exist.
func TestNoUpstreamHoldsNoFlow(t *testing.T) {
	is := is.New(t)
	gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeatInterval(time.Second))
	is.NoErr(err)
	gate.Configure(snapshot(1, 0), start)
	is.Equal(gate.Ownership(testFlow(1), railbook.Key(), 901, start.Add(2900*time.Millisecond)), admission.MayBeOwned)
	is.Equal(gate.Ownership(testFlow(1), railbook.Key(), 901, start.Add(3100*time.Millisecond)), admission.NotOwned)
}

// reset sends an RST of the upstream on flow n.
func (h *harness) reset(n int) {
	h.FromUpstream(fromUpstream(n, bramleyfall.KindReset, 901, 0), h.now)
}

// A caller retransmits a request whose answer was lost in the network. The request
// must not be counted as in progress again.
func TestRepeatedRequestIsNoNewOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.Equal(h.open(1, defaultMetadata), bramleyfall.OK)
	h.request(1)
	is.Equal(h.ActiveRequests(), 1)
	h.request(1)
	is.Equal(h.ActiveRequests(), 1)
	h.advance(20 * time.Millisecond)
	h.answer(1)
	is.Equal(h.ActiveRequests(), 0)
	h.request(1)
	is.Equal(h.ActiveRequests(), 0)
	next := fromCaller(1, 1901, 200)
	next.Sequence = 200
	h.FromBalancer(next, defaultMetadata, h.now)
	is.Equal(h.ActiveRequests(), 1)
}
