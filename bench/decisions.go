package main

import (
	"testing"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/workload"
)

const (
	// ownerHints is the number of owner hints that a balancer has space for.
	ownerHints = 65536
	// agentFlows is the number of flows for the measurement of an agent's memory.
	agentFlows = 100000
)

// routePacket measures a routing decision.
func routePacket() {
	table := workload.Table(workload.Services, workload.Upstreams, ownerHints)
	flows := make([]bramleyfall.Flow, 8192)
	for i := range flows {
		flows[i] = workload.Flow(i, i*7%workload.Services)
	}
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		var list bramleyfall.HopList
		for i := range b.N {
			table.Route(flows[i%len(flows)], false, 0, &list)
		}
	})
	report("RoutePacket", "Nanoseconds=%d Allocations=%d Services=%d Upstreams=%d",
		r.NsPerOp(), r.AllocsPerOp(), workload.Services, workload.Upstreams)
}

// tableRebuild measures the replacement of a service's entry in the routing table.
func tableRebuild() {
	table := workload.Table(workload.Services, workload.Upstreams, ownerHints)
	entry := workload.Entry(5, 4)
	addresses := []bramleyfall.ServiceAddress{workload.ServiceAddress(5)}
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			table.Set(entry, addresses)
		}
	})
	report("TableRebuild", "Nanoseconds=%d Services=%d Upstreams=%d", r.NsPerOp(), workload.Services, workload.Upstreams)
}

// agentPacket measures an agent's decision on a packet of an established flow.
func agentPacket() {
	const flows = 10000
	filter := workload.FlowFilter(workload.Epoch)
	for i := range flows {
		workload.OpenFlow(filter, workload.Flow(i, 0), workload.Epoch)
	}
	list := workload.HopList()
	p := workload.EstablishedPacket(bramleyfall.Flow{})
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			p.Flow = workload.Flow(i%flows, 0)
			filter.FromCaller(p, list, workload.Epoch)
		}
	})
	report("AgentPacket", "Nanoseconds=%d Allocations=%d Flows=%d", r.NsPerOp(), r.AllocsPerOp(), flows)
}

// agentFlow measures an agent's memory for a flow.
func agentFlow() {
	filter := workload.FlowFilter(workload.Epoch)
	before := workload.HeapBytes()
	for i := range agentFlows {
		workload.OpenFlow(filter, workload.Flow(i, 0), workload.Epoch)
	}
	after := workload.HeapBytes()
	report("AgentFlow", "Bytes=%d Flows=%d", (after-before)/agentFlows, filter.Flows())
}
