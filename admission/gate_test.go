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
	return b.Heartbeat(h, b.now)
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
