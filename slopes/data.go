package main

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/upstream"
)

func serviceAddress(n int) bramleyfall.ServiceAddress {
	return bramleyfall.ServiceAddress{
		Endpoint: bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 443},
		Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders,
	}
}

func flow(n, service int) bramleyfall.Flow {
	const ports = 50000
	f := bramleyfall.Flow{Destination: serviceAddress(service).Endpoint, Protocol: bramleyfall.TCP}
	binary.BigEndian.PutUint32(f.Source.IP[:], 0x0a020000+uint32(n/ports))
	f.Source.Port = uint16(10000 + n%ports)
	return f
}

func tableOf(services, upstreams, hints int) *upstream.Table {
	t := upstream.NewTable(upstream.WithHints(max(1, hints)))
	each := max(1, upstreams/services)
	t.SetAll(services, func(n int) (*upstream.Entry, []bramleyfall.ServiceAddress) {
		e := &upstream.Entry{Name: bramleyfall.ServiceName(fmt.Sprintf("service-%d", n)), Revision: 1}
		for i := range each {
			id := bramleyfall.InstanceID(fmt.Sprintf("upstream-%d-%d", n, i))
			e.Names = append(e.Names, id)
			e.Candidates = append(e.Candidates, upstream.Candidate{Upstream: bramleyfall.KeyOf(string(id)), Boot: 1, Open: true})
		}
		return e, []bramleyfall.ServiceAddress{serviceAddress(n)}
	})
	return t
}

// routing measures the decision and the memory of a balancer's table.
func routing(t *table) {
	const each = 4
	for _, services := range []int{10, 100, 1000, 7700} {
		ns, bytes := routeCost(services, services*each, 1)
		t.add("Balancer", "Services", float64(services), "Nanoseconds", ns)
		t.add("Balancer", "Services", float64(services), "Bytes", bytes)
	}
	for _, size := range []int{4, 10, 40, 100, 400} {
		ns, _ := routeCost(1, size, 1)
		t.add("Balancer", "UpstreamsOfAService", float64(size), "Nanoseconds", ns)
	}
	for _, hints := range []int{1024, 16384, 65536, 1048576} {
		_, bytes := routeCost(1, each, hints)
		t.add("Balancer", "Hints", float64(hints), "Bytes", bytes)
	}
}

func routeCost(services, upstreams, hints int) (nanoseconds, bytes float64) {
	before := heap()
	table := tableOf(services, upstreams, hints)
	bytes = float64(heap() - before)
	flows := make([]bramleyfall.Flow, 4096)
	for i := range flows {
		flows[i] = flow(i, i*7%services)
	}
	r := testing.Benchmark(func(b *testing.B) {
		var list bramleyfall.HopList
		for i := range b.N {
			table.Route(flows[i%len(flows)], false, 0, &list)
		}
	})
	return float64(r.NsPerOp()), bytes
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func newGate(now time.Time) *caller.FlowGate {
	g, err := caller.NewFlowGate(now, caller.WithUpstream(1), caller.WithCapacity(1<<20, 1<<20),
		caller.WithAdoption(0), caller.WithShareFactor(0))
	if err != nil {
		panic(err)
	}
	g.SetServices([]bramleyfall.Service{{Name: "service-0", Addresses: []bramleyfall.ServiceAddress{serviceAddress(0)}}})
	g.UpstreamStarted(1, now.Add(-time.Hour), now)
	g.Sweep(now)
	return g
}

func gateList() *bramleyfall.HopList {
	l := &bramleyfall.HopList{Service: bramleyfall.ServiceName("service-0").Key(), Count: 1}
	l.Hops[0] = bramleyfall.Hop{Upstream: 1, Boot: 1}
	return l
}

func openFlow(g *caller.FlowGate, f bramleyfall.Flow, now time.Time) {
	list := gateList()
	g.FromCaller(&bramleyfall.Packet{Flow: f, Kind: bramleyfall.KindOpening, Sequence: 1}, list, now)
	g.FromUpstream(&bramleyfall.Packet{Flow: f.Reverse(), Kind: bramleyfall.KindOpeningReply, HasAck: true, Sequence: 5, Ack: 2}, now)
	g.FromCaller(&bramleyfall.Packet{Flow: f, HasAck: true, Sequence: 2, Ack: 6}, list, now)
}

// gates measures the decision, the sweep and the memory of an agent.
func gates(t *table) {
	now := time.Unix(1_800_000_000, 0)
	for _, flows := range []int{100, 1000, 10000, 100000} {
		before := heap()
		g := newGate(now)
		start := time.Now()
		for i := range flows {
			openFlow(g, flow(i, 0), now)
		}
		opening := time.Since(start)
		t.add("Agent", "Flows", float64(flows), "Bytes", float64(heap()-before))
		t.add("Agent", "Flows", float64(flows), "NanosecondsAnOpening", float64(opening.Nanoseconds())/float64(flows))
		list := gateList()
		p := &bramleyfall.Packet{HasAck: true, Sequence: 2, Ack: 6, Length: 100}
		r := testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				p.Flow = flow(i%flows, 0)
				g.FromCaller(p, list, now)
			}
		})
		t.add("Agent", "Flows", float64(flows), "NanosecondsAPacket", float64(r.NsPerOp()))
		r = testing.Benchmark(func(b *testing.B) {
			for range b.N {
				g.Sweep(now)
			}
		})
		t.add("Agent", "Flows", float64(flows), "NanosecondsASweep", float64(r.NsPerOp()))
	}
}

// datagramCost is the processor time in nanoseconds to write, seal, open and
// read one control datagram, without the system calls.
var datagramCost float64

// datagrams measures what the coding and sealing of a control datagram costs.
func datagrams(t *table) {
	keys := peer.NewKeys(peer.Key{ID: 1, Secret: []byte("0123456789abcdef")})
	d := &peerpb.Datagram{Sender: "balancer-1", Boot: 1, Sequence: 2, Body: &peerpb.Datagram_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Member: &peerpb.Member{Id: "railbook-1", Domain: "Ikeja", Services: []string{"railbook"}, Boot: 1, UpstreamBoot: 1},
	}}}
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			body, err := proto.Marshal(d)
			if err != nil {
				b.Fatal(err)
			}
			opened, err := keys.Open(peer.PurposeDatagram, keys.Seal(peer.PurposeDatagram, body))
			if err != nil {
				b.Fatal(err)
			}
			if err := proto.Unmarshal(opened, &peerpb.Datagram{}); err != nil {
				b.Fatal(err)
			}
		}
	})
	datagramCost = float64(r.NsPerOp())
	t.add("Balancer", "Datagrams", 1, "Nanoseconds", datagramCost)
}
