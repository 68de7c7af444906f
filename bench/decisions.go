package main

import (
	"testing"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/workload"
)

const (
	// hints is the number of owner hints of a balancer.
	hints = 65536
	// agentFlows is the number of flows at which an agent's memory is measured.
	agentFlows = 100000
)

func routePacket() {
	t := workload.Table(workload.Services, workload.Upstreams, hints)
	flows := make([]bramleyfall.Flow, 8192)
	for i := range flows {
		flows[i] = workload.Flow(i, i*7%workload.Services)
	}
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		var list bramleyfall.HopList
		for i := range b.N {
			t.Route(flows[i%len(flows)], false, 0, &list)
		}
	})
	report("RoutePacket", "Nanoseconds=%d Allocations=%d Services=%d Upstreams=%d",
		r.NsPerOp(), r.AllocsPerOp(), workload.Services, workload.Upstreams)
}

func tableRebuild() {
	t := workload.Table(workload.Services, workload.Upstreams, hints)
	e := workload.Entry(5, 4)
	addresses := []bramleyfall.ServiceAddress{workload.ServiceAddress(5)}
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			t.Set(e, addresses)
		}
	})
	report("TableRebuild", "Nanoseconds=%d Services=%d Upstreams=%d", r.NsPerOp(), workload.Services, workload.Upstreams)
}

func agentDecision() {
	const flows = 10000
	g := workload.FlowFilter(workload.Epoch)
	for i := range flows {
		workload.OpenFlow(g, workload.Flow(i, 0), workload.Epoch)
	}
	list := workload.HopList()
	p := workload.EstablishedPacket(bramleyfall.Flow{})
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			p.Flow = workload.Flow(i%flows, 0)
			g.FromCaller(p, list, workload.Epoch)
		}
	})
	report("AgentPacket", "Nanoseconds=%d Allocations=%d Flows=%d", r.NsPerOp(), r.AllocsPerOp(), flows)
}

func agentFlow() {
	g := workload.FlowFilter(workload.Epoch)
	before := workload.HeapBytes()
	for i := range agentFlows {
		workload.OpenFlow(g, workload.Flow(i, 0), workload.Epoch)
	}
	after := workload.HeapBytes()
	report("AgentFlow", "Bytes=%d Flows=%d", (after-before)/agentFlows, g.Flows())
}
