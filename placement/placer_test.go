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

// world is a placer among agents.
type world struct {
	*placement.Placer
	now time.Time
}

// newWorld returns a placer in Ikeja before count agents of railbook, spread
// over three failure domains, each with two slots.
func newWorld(count int) *world {
	w := &world{Placer: placement.New(placement.WithDomain("Ikeja")), now: start}
	w.Configure(snapshot(1, railbook))
	domains := []bramleyfall.DomainName{"Ikeja", "Ibadan", "Ife"}
	for n := range count {
		w.EntryAdded(bramleyfall.Announcement{
			Instance: bramleyfall.InstanceID(fmt.Sprintf("agent-%d", n)), Boot: 1, Service: railbook,
			Domain: domains[n%len(domains)], Packets: agent(n), Slots: 2,
		})
	}
	w.ListComplete(start.Add(time.Hour))
	return w
}

func agent(n int) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 8172}
}

func snapshot(version bramleyfall.ConfigVersion, services ...bramleyfall.ServiceName) *bramleyfall.Snapshot {
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

func opening(n int) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: flowOf(n), Kind: bramleyfall.KindOpening, Sequence: uint32(n), Raw: []byte("opening")}
}

// data returns a packet of an open flow, that with the number 1.
func data() *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: flowOf(1), Kind: bramleyfall.KindData, HasAck: true, Ack: 7000, Length: 10, Raw: []byte("data")}
}

// kinds returns the kinds of decisions.
func kinds(decisions []placement.Decision) []bramleyfall.ActionKind {
	out := []bramleyfall.ActionKind{}
	for _, d := range decisions {
		out = append(out, d.Kind)
	}
	return out
}

// resets counts the resets among decisions.
func resets(decisions []placement.Decision) int {
	n := 0
	for _, d := range decisions {
		if d.Kind == bramleyfall.ActionRefuse {
			n++
		}
	}
	return n
}

// wait lets time pass with the ticks of a running process, and returns the
// number of resets.
func (w *world) wait(d time.Duration) int {
	const tick = 20 * time.Millisecond
	n := 0
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		n += resets(w.Tick(w.now))
	}
	return n
}

func (w *world) report(n int, load bramleyfall.Load) {
	w.UpdateLoad(agent(n), railbook.Key(), load, w.now)
}

func ready(busy, utilization uint16) bramleyfall.Load {
	return bramleyfall.Load{State: bramleyfall.UpstreamReady, Slots: 2, Busy: busy, Utilization: utilization}
}

// An agent answers for an opening only after another was offered it too. Its
// caller goes on, which shows that the opening was answered: to refuse it then
// would break an open flow.
func TestAnsweredOpeningIsNotRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	first := w.FromCaller(opening(1), w.now)[0].Targets[0].Address
	w.now = w.now.Add(50 * time.Millisecond)
	second := w.Tick(w.now)[0].Targets[0].Address
	is.True(first != second)
	request := data()
	request.Sequence = 2
	is.Equal(resets(w.FromCaller(request, w.now)), 0)
	is.Equal(resets(w.ReturnedByAgent(opening(1), second, bramleyfall.NotRunClass, w.now)), 0)
	w.now = w.now.Add(50 * time.Millisecond)
	is.Equal(resets(w.Tick(w.now)), 0)
	d := w.ReturnedByAgent(request, second, bramleyfall.NoOwner, w.now)
	is.True(d[0].Lookup)
	d = w.FlowOwned(flowOf(1), first, w.now)
	is.Equal(string(d[0].Raw), "data")
}

// A balancer that has its configuration and doesn't know the agents yet can't
// tell that nobody takes an opening: the caller's copy may reach another.
func TestOpeningsBeforeTheFirstListGetNoAnswer(t *testing.T) {
	is := is.New(t)
	p := placement.New()
	p.Configure(snapshot(1, railbook))
	is.Equal(kinds(p.FromCaller(opening(1), start)), []bramleyfall.ActionKind{bramleyfall.ActionDrop})
	p.ListComplete(start)
	is.Equal(kinds(p.FromCaller(opening(1), start)), []bramleyfall.ActionKind{bramleyfall.ActionRefuse})
}

// A failing upstream gets openings only where nobody else takes them, and on
// trial one from time to time, but no order.
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
		{"others are busy", failing, ready(1, 900), true, false},
		{"others queue", failing, ready(4, 1000), true, false},
		{"others fail as well", failing, failing, true, true},
		{"on trial", trial, ready(1, 900), true, true},
		{"an order is no trial", trial, ready(1, 900), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			s := snapshot(2, railbook)
			s.Routes[address].Idempotent = test.idempotent
			w.Configure(s)
			w.report(0, test.first)
			w.report(1, test.others)
			w.report(2, test.others)
			d := w.FromCaller(opening(1), w.now)
			is.Equal(d[0].Targets[0].Address == agent(0), test.toFirst)
		})
	}
}

// forwarding is the way of a packet of an open flow through a balancer, but for
// the sockets.
func forwarding(tb testing.TB) func() {
	w := newWorld(7)
	w.FlowOwned(flowOf(1), agent(4), w.now)
	packet := data()
	buffer := make([]byte, 0, 2048)
	return func() {
		w.report(4, ready(1, 500))
		d := w.FromCaller(packet, w.now)
		if len(d) != 1 || d[0].Lookup {
			tb.Fatal("the owner is known")
		}
		buffer = tunnel.Append(buffer[:0], &tunnel.Message{Kind: tunnel.Forward, Service: d[0].Targets[0].Service, Raw: packet.Raw})
	}
}

func TestForwardingAllocatesNothing(t *testing.T) {
	is := is.New(t)
	const runs = 1000
	is.Equal(testing.AllocsPerRun(runs, forwarding(t)), 0.0)
}

func BenchmarkForwarding(b *testing.B) {
	forward := forwarding(b)
	b.ReportAllocs()
	for b.Loop() {
		forward()
	}
}

func BenchmarkPlacing(b *testing.B) {
	for _, count := range []int{7, 35, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			w := newWorld(count)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				p := opening(n & 0xff) // few flows, so that the table stays small
				p.Sequence = uint32(n)
				w.FromCaller(p, w.now)
				if n%100 == 0 {
					w.now = w.now.Add(time.Second)
					w.Tick(w.now)
				}
			}
		})
	}
}
