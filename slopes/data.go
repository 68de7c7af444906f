package main

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/workload"
)

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
	for _, rebuilds := range []int{0, 1, 10, 100} {
		t.add("Balancer", "RebuildsPer1000Packets", float64(rebuilds), "Nanoseconds", rebuildCost(rebuilds))
	}
	for _, hints := range []int{1024, 16384, 65536, 1048576} {
		_, bytes := routeCost(1, each, hints)
		t.add("Balancer", "Hints", float64(hints), "Bytes", bytes)
	}
}

// rebuildCost measures the decision while entries are replaced.
func rebuildCost(rebuilds int) float64 {
	const services, upstreams, packets = 1000, 4000, 1000
	t := workload.Table(services, upstreams, 1)
	r := testing.Benchmark(func(b *testing.B) {
		var list bramleyfall.HopList
		for i := range b.N {
			if i%packets < rebuilds {
				n := i % services
				t.Set(workload.Entry(n, upstreams/services), []bramleyfall.ServiceAddress{workload.ServiceAddress(n)})
			}
			t.Route(workload.Flow(i%packets, i*7%services), false, 0, &list)
		}
	})
	return float64(r.NsPerOp())
}

func routeCost(services, upstreams, hints int) (nanoseconds, bytes float64) {
	before := workload.HeapBytes()
	table := workload.Table(services, upstreams, hints)
	bytes = float64(workload.HeapBytes() - before)
	flows := make([]bramleyfall.Flow, 4096)
	for i := range flows {
		flows[i] = workload.Flow(i, i*7%services)
	}
	r := testing.Benchmark(func(b *testing.B) {
		var list bramleyfall.HopList
		for i := range b.N {
			table.Route(flows[i%len(flows)], false, 0, &list)
		}
	})
	return float64(r.NsPerOp()), bytes
}

// gates measures the decision, the sweep and the memory of an agent.
func gates(t *table) {
	now := workload.Epoch
	for _, flows := range []int{100, 1000, 10000, 100000} {
		before := workload.HeapBytes()
		g := workload.FlowFilter(now)
		start := time.Now()
		for i := range flows {
			workload.OpenFlow(g, workload.Flow(i, 0), now)
		}
		opening := time.Since(start)
		t.add("Agent", "Flows", float64(flows), "Bytes", float64(workload.HeapBytes()-before))
		t.add("Agent", "Flows", float64(flows), "NanosecondsAnOpening", float64(opening.Nanoseconds())/float64(flows))
		list := workload.HopList()
		p := workload.EstablishedPacket(bramleyfall.Flow{})
		r := testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				p.Flow = workload.Flow(i%flows, 0)
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
