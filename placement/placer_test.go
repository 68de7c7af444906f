package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/placement"
	"bramleyfall.example/bramleyfall/tunnel"
)

const (
	railbook bramleyfall.ServiceName = "railbook"
	drawhub  bramleyfall.ServiceName = "drawhub"
)

var (
	start   = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	address = bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

// harness is a Placer with simulated time.
type harness struct {
	*placement.Placer
	now time.Time
}

// newHarness returns a Placer in the failure domain Ikeja that knows count agents of
// railbook, spread over three failure domains, each with an upstream of two slots.
func newHarness(count int) *harness {
	h := &harness{Placer: placement.New(placement.WithDomain("Ikeja")), now: start}
	h.Configure(newSnapshot(1, railbook))
	domains := []bramleyfall.DomainName{"Ikeja", "Ibadan", "Ife"}
	for n := range count {
		h.EntryAdded(bramleyfall.Announcement{
			Instance: bramleyfall.InstanceID(fmt.Sprintf("agent-%d", n)), Boot: 1, Service: railbook,
			Domain: domains[n%len(domains)], Packets: agent(n), Slots: 2,
		})
	}
	h.ListComplete(start.Add(time.Hour))
	return h
}

func agent(n int) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 8172}
}

func newSnapshot(version bramleyfall.ConfigVersion, services ...bramleyfall.ServiceName) *bramleyfall.Snapshot {
	route := &bramleyfall.Route{Address: address, Priority: 1, Idempotent: true}
	for _, name := range services {
		route.Targets = append(route.Targets, bramleyfall.Target{Service: name, Weight: 1})
	}
	return &bramleyfall.Snapshot{
		Version: version, Routes: map[bramleyfall.Endpoint]*bramleyfall.Route{address: route},
		Out: map[bramleyfall.DomainName]bool{}, IdleTimeout: 15 * time.Second,
	}
}

func flowOf(n int) bramleyfall.Flow {
	return bramleyfall.Flow{
		Source:      bramleyfall.Endpoint{IP: [4]byte{100, 64, 0, byte(n >> 8)}, Port: uint16(1024 + n&0xff)},
		Destination: address, Protocol: bramleyfall.TCP,
	}
}

func openingPacket(n int) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: flowOf(n), Kind: bramleyfall.KindOpening, Sequence: uint32(n), Raw: []byte("opening")}
}

// dataPacket returns a data packet of flow 1.
func dataPacket() *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: flowOf(1), Kind: bramleyfall.KindData, HasAck: true, Ack: 7000, Length: 10, Raw: []byte("data")}
}

func actionKinds(decisions []placement.Decision) []bramleyfall.ActionKind {
	kinds := []bramleyfall.ActionKind{}
	for _, d := range decisions {
		kinds = append(kinds, d.Kind)
	}
	return kinds
}

func countResets(decisions []placement.Decision) int {
	count := 0
	for _, d := range decisions {
		if d.Kind == bramleyfall.ActionRefuse {
			count++
		}
	}
	return count
}

// advance calls Tick every 20 ms for a duration and returns the number of resets.
func (h *harness) advance(d time.Duration) int {
	const tick = 20 * time.Millisecond
	count := 0
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(tick)
		count += countResets(h.Tick(h.now))
	}
	return count
}

func (h *harness) report(n int, load bramleyfall.Load) {
	h.UpdateLoad(agent(n), railbook.Key(), load, h.now)
}

func ready(busy, utilization uint16) bramleyfall.Load {
	return bramleyfall.Load{State: bramleyfall.UpstreamReady, Slots: 2, Busy: busy, Utilization: utilization}
}

// An agent's answer to an opening arrives only after the opening has been placed again
// with another agent. The caller's next packet shows that the opening was answered.
// Refusing it when the second agent returns it would break an open flow.
func TestAnsweredOpeningIsNotRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	first := h.FromCaller(openingPacket(1), h.now)[0].Targets[0].Address
	h.now = h.now.Add(50 * time.Millisecond)
	second := h.Tick(h.now)[0].Targets[0].Address
	is.True(first != second)
	request := dataPacket()
	request.Sequence = 2
	is.Equal(countResets(h.FromCaller(request, h.now)), 0)
	is.Equal(countResets(h.ReturnedByAgent(openingPacket(1), second, bramleyfall.NotRunClass, h.now)), 0)
	h.now = h.now.Add(50 * time.Millisecond)
	is.Equal(countResets(h.Tick(h.now)), 0)
	d := h.ReturnedByAgent(request, second, bramleyfall.NoOwner, h.now)
	is.True(d[0].Lookup)
	d = h.FlowOwned(flowOf(1), first, h.now)
	is.Equal(string(d[0].Raw), "data")
}

// A balancer that has a configuration but no list of agents yet cannot tell that no
// upstream accepts an opening. It must drop the opening, because a retransmission may
// reach another balancer.
func TestOpeningsBeforeTheFirstListGetNoAnswer(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	p.Configure(newSnapshot(1, railbook))
	is.Equal(actionKinds(p.FromCaller(openingPacket(1), start)), []bramleyfall.ActionKind{bramleyfall.ActionDrop})
	p.ListComplete(start)
	is.Equal(actionKinds(p.FromCaller(openingPacket(1), start)), []bramleyfall.ActionKind{bramleyfall.ActionRefuse})
}

// A failing upstream receives openings only if no other upstream accepts them. An
// upstream on trial receives one from time to time, but only if its requests are
// idempotent.
func TestFailingUpstreamsComeLast(t *testing.T) {
	failing := bramleyfall.Load{State: bramleyfall.UpstreamFailing, Slots: 2}
	trial := bramleyfall.Load{State: bramleyfall.UpstreamTrial, Slots: 2}
	tests := []struct {
		name       string
		first      bramleyfall.Load
		others     bramleyfall.Load
		idempotent bool
		toFirst    bool
	}{
		{"failing, others have free slots", failing, ready(1, 900), true, false},
		{"failing, others have no free slot", failing, ready(4, 1000), true, false},
		{"all failing", failing, failing, true, true},
		{"on trial, idempotent", trial, ready(1, 900), true, true},
		{"on trial, not idempotent", trial, ready(1, 900), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(3)
			s := newSnapshot(2, railbook)
			s.Routes[address].Idempotent = test.idempotent
			h.Configure(s)
			h.report(0, test.first)
			h.report(1, test.others)
			h.report(2, test.others)
			d := h.FromCaller(openingPacket(1), h.now)
			is.Equal(d[0].Targets[0].Address == agent(0), test.toFirst)
		})
	}
}

// newForwarder returns a function that processes a packet of an open flow like a
// balancer, except for the socket calls.
func newForwarder(tb testing.TB) func() {
	h := newHarness(7)
	h.FlowOwned(flowOf(1), agent(4), h.now)
	packet := dataPacket()
	buffer := make([]byte, 0, 2048)
	return func() {
		h.report(4, ready(1, 500))
		d := h.FromCaller(packet, h.now)
		if len(d) != 1 || d[0].Lookup {
			tb.Fatal("packet of a flow with a known owner was not forwarded")
		}
		buffer = tunnel.Append(buffer[:0], &tunnel.Message{Kind: tunnel.Forward, Service: d[0].Targets[0].Service, Raw: packet.Raw})
	}
}

func TestForwardingAllocatesNothing(t *testing.T) {
	is := is.New(t)
	const runs = 1000
	is.Equal(testing.AllocsPerRun(runs, newForwarder(t)), 0.0)
}

func BenchmarkForwarding(b *testing.B) {
	forward := newForwarder(b)
	b.ReportAllocs()
	for b.Loop() {
		forward()
	}
}

func BenchmarkPlacing(b *testing.B) {
	for _, count := range []int{7, 35, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			h := newHarness(count)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				p := openingPacket(n & 0xff) // few flows, so that the flow table stays small
				p.Sequence = uint32(n)
				h.FromCaller(p, h.now)
				if n%100 == 0 {
					h.now = h.now.Add(time.Second)
					h.Tick(h.now)
				}
			}
		})
	}
}
