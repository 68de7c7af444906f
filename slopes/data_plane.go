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

// routingTables measures the time of a routing decision and the memory of a
// balancer's routing table.
func routingTables(curves *curveSet) {
	const each = 4
	for _, services := range []int{10, 100, 1000, 7700} {
		ns, bytes := routeCost(services, services*each, 1)
		curves.add("Balancer", "Services", float64(services), "Nanoseconds", ns)
		curves.add("Balancer", "Services", float64(services), "Bytes", bytes)
	}
	for _, size := range []int{4, 10, 40, 100, 400} {
		ns, _ := routeCost(1, size, 1)
		curves.add("Balancer", "UpstreamsOfAService", float64(size), "Nanoseconds", ns)
	}
	for _, rebuilds := range []int{0, 1, 10, 100} {
		curves.add("Balancer", "RebuildsPer1000Packets", float64(rebuilds), "Nanoseconds", rebuildCost(rebuilds))
	}
	for _, hints := range []int{1024, 16384, 65536, 1048576} {
		_, bytes := routeCost(1, each, hints)
		curves.add("Balancer", "Hints", float64(hints), "Bytes", bytes)
	}
}

// rebuildCost returns the nanoseconds per routing decision while the given number of
// entries is replaced for every 1000 packets.
func rebuildCost(rebuilds int) float64 {
	const services, upstreams, packets = 1000, 4000, 1000
	table := workload.Table(services, upstreams, 1)
	r := testing.Benchmark(func(b *testing.B) {
		var list bramleyfall.HopList
		for i := range b.N {
			if i%packets < rebuilds {
				n := i % services
				table.Set(workload.Entry(n, upstreams/services), []bramleyfall.ServiceAddress{workload.ServiceAddress(n)})
			}
			table.Route(workload.Flow(i%packets, i*7%services), false, 0, &list)
		}
	})
	return float64(r.NsPerOp())
}

// routeCost returns the time of a routing decision and the heap size of a routing
// table of the given size.
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

// flowFilters measures the time of an agent's decisions and sweeps, and the memory of
// its flow table.
func flowFilters(curves *curveSet) {
	now := workload.Epoch
	for _, flows := range []int{100, 1000, 10000, 100000} {
		before := workload.HeapBytes()
		filter := workload.FlowFilter(now)
		start := time.Now()
		for i := range flows {
			workload.OpenFlow(filter, workload.Flow(i, 0), now)
		}
		opening := time.Since(start)
		curves.add("Agent", "Flows", float64(flows), "Bytes", float64(workload.HeapBytes()-before))
		curves.add("Agent", "Flows", float64(flows), "NanosecondsAnOpening", float64(opening.Nanoseconds())/float64(flows))
		list := workload.HopList()
		p := workload.EstablishedPacket(bramleyfall.Flow{})
		r := testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				p.Flow = workload.Flow(i%flows, 0)
				filter.FromCaller(p, list, now)
			}
		})
		curves.add("Agent", "Flows", float64(flows), "NanosecondsAPacket", float64(r.NsPerOp()))
		r = testing.Benchmark(func(b *testing.B) {
			for range b.N {
				filter.Sweep(now)
			}
		})
		curves.add("Agent", "Flows", float64(flows), "NanosecondsASweep", float64(r.NsPerOp()))
	}
}

// datagramNanoseconds is the processor time to encode, seal, open and decode one
// control datagram, without the system calls. datagramCodec sets it.
var datagramNanoseconds float64

// datagramCodec measures the cost of encoding, sealing, opening and decoding a control
// datagram.
func datagramCodec(curves *curveSet) {
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
	datagramNanoseconds = float64(r.NsPerOp())
	curves.add("Balancer", "Datagrams", 1, "Nanoseconds", datagramNanoseconds)
}
