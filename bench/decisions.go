package main

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/upstream"
)

// The size of the aim.
const (
	services  = 7700
	upstreams = 31000
	// agentFlows is the number of flows at which an agent's memory is measured.
	agentFlows = 100000
)

// serviceAddress returns the address of the n-th service.
func serviceAddress(n int) bramleyfall.ServiceAddress {
	return bramleyfall.ServiceAddress{
		Endpoint: bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 443},
		Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders,
	}
}

// entry returns the routing entry of the n-th service.
func entry(n, size int) *upstream.Entry {
	e := &upstream.Entry{Name: bramleyfall.ServiceName(fmt.Sprintf("service-%d", n)), Revision: 1}
	for i := range size {
		id := fmt.Sprintf("upstream-%d-%d", n, i)
		e.Candidates = append(e.Candidates, upstream.Candidate{
			Upstream: bramleyfall.KeyOf(id), Boot: 1, Open: true,
			Address: bramleyfall.Endpoint{IP: [4]byte{10, 1, byte(n), byte(i)}, Port: 6081},
		})
		e.Names = append(e.Names, bramleyfall.InstanceID(id))
	}
	return e
}

func fullTable() *upstream.Table {
	t := upstream.NewTable(upstream.WithHints(65536))
	t.SetAll(services, func(n int) (*upstream.Entry, []bramleyfall.ServiceAddress) {
		size := upstreams/services + min(1, max(0, upstreams%services-n))
		return entry(n, size), []bramleyfall.ServiceAddress{serviceAddress(n)}
	})
	return t
}

// flow returns the n-th flow of a service.
func flow(n, service int) bramleyfall.Flow {
	f := bramleyfall.Flow{Destination: serviceAddress(service).Endpoint, Protocol: bramleyfall.TCP}
	binary.BigEndian.PutUint32(f.Source.IP[:], 0x0a020000+uint32(n/50000))
	f.Source.Port = uint16(10000 + n%50000)
	return f
}

func routePacket() {
	t := fullTable()
	flows := make([]bramleyfall.Flow, 8192)
	for i := range flows {
		flows[i] = flow(i, i*7%services)
	}
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		var list bramleyfall.HopList
		for i := range b.N {
			t.Route(flows[i%len(flows)], false, 0, &list)
		}
	})
	report("RoutePacket", "Nanoseconds=%d Allocations=%d Services=%d Upstreams=%d", r.NsPerOp(), r.AllocsPerOp(), services, upstreams)
}

func tableRebuild() {
	t := fullTable()
	e := entry(5, 4)
	addresses := []bramleyfall.ServiceAddress{serviceAddress(5)}
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			t.Set(e, addresses)
		}
	})
	report("TableRebuild", "Nanoseconds=%d Services=%d Upstreams=%d", r.NsPerOp(), services, upstreams)
}

// newGate returns a gate that admits all openings.
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

func openingList() *bramleyfall.HopList {
	l := &bramleyfall.HopList{Service: bramleyfall.ServiceName("service-0").Key(), Count: 1}
	l.Hops[0] = bramleyfall.Hop{Upstream: 1, Boot: 1}
	return l
}

// openFlow takes a flow through its opening.
func openFlow(g *caller.FlowGate, f bramleyfall.Flow, now time.Time) {
	list := openingList()
	g.FromCaller(&bramleyfall.Packet{Flow: f, Kind: bramleyfall.KindOpening, Sequence: 1}, list, now)
	g.FromUpstream(&bramleyfall.Packet{Flow: f.Reverse(), Kind: bramleyfall.KindOpeningReply, HasAck: true, Sequence: 5, Ack: 2}, now)
	g.FromCaller(&bramleyfall.Packet{Flow: f, HasAck: true, Sequence: 2, Ack: 6}, list, now)
}

func agentDecision() {
	now := time.Unix(1_800_000_000, 0)
	g := newGate(now)
	const flows = 10000
	for i := range flows {
		openFlow(g, flow(i, 0), now)
	}
	list := openingList()
	p := &bramleyfall.Packet{HasAck: true, Sequence: 2, Ack: 6, Length: 100}
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			p.Flow = flow(i%flows, 0)
			g.FromCaller(p, list, now)
		}
	})
	report("AgentPacket", "Nanoseconds=%d Allocations=%d Flows=%d", r.NsPerOp(), r.AllocsPerOp(), flows)
}

func agentFlow() {
	now := time.Unix(1_800_000_000, 0)
	g := newGate(now)
	before := heap()
	for i := range agentFlows {
		openFlow(g, flow(i, 0), now)
	}
	after := heap()
	report("AgentFlow", "Bytes=%d Flows=%d", (after-before)/agentFlows, g.Flows())
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
