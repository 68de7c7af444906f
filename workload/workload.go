// Package workload builds routing tables, flows and flow filters of a given size.
// The programs bench and slopes measure the packages upstream and caller with them.
package workload

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/upstream"
)

// The size of the target deployment. Domains is the number of its failure domains.
const (
	Services  = 7700
	Upstreams = 31000
	Balancers = 3600
	Domains   = 7
)

// Epoch is the start of virtual time in measurements.
var Epoch = time.Unix(1_800_000_000, 0)

// ServiceAddress returns the address of the n-th service, whose class is orders.
func ServiceAddress(n int) bramleyfall.ServiceAddress {
	return bramleyfall.ServiceAddress{
		Endpoint: bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 443},
		Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders,
	}
}

// Flow returns the n-th flow to a service. Each flow has its own source endpoint.
func Flow(n, service int) bramleyfall.Flow {
	const ports = 50000
	flow := bramleyfall.Flow{Destination: ServiceAddress(service).Endpoint, Protocol: bramleyfall.TCP}
	binary.BigEndian.PutUint32(flow.Source.IP[:], 0x0a020000+uint32(n/ports))
	flow.Source.Port = uint16(10000 + n%ports)
	return flow
}

// Entry returns the routing entry of the n-th service with the given number of
// upstreams, which all accept new flows.
func Entry(n, size int) *upstream.Entry {
	entry := &upstream.Entry{Name: bramleyfall.ServiceName(fmt.Sprintf("service-%d", n)), Revision: 1}
	for i := range size {
		id := bramleyfall.InstanceID(fmt.Sprintf("upstream-%d-%d", n, i))
		entry.IDs = append(entry.IDs, id)
		entry.Candidates = append(entry.Candidates, upstream.Candidate{
			Upstream: bramleyfall.InstanceKeyFor(string(id)), Boot: 1, AcceptsNewFlows: true,
			Address: bramleyfall.Endpoint{IP: [4]byte{10, 1, byte(n), byte(i)}, Port: 6081},
		})
	}
	return entry
}

// Table returns a routing table with the upstreams divided evenly among the
// services, and with space for the given number of owner hints.
func Table(services, upstreams, hints int) *upstream.Table {
	table := upstream.NewTable(upstream.WithHints(hints))
	table.SetAll(services, func(n int) (*upstream.Entry, []bramleyfall.ServiceAddress) {
		size := max(1, upstreams/services)
		if n < upstreams%services {
			size++
		}
		return Entry(n, size), []bramleyfall.ServiceAddress{ServiceAddress(n)}
	})
	return table
}

// FlowFilter returns the flow filter of an upstream of the first service. It admits
// all openings.
func FlowFilter(now time.Time) *caller.FlowFilter {
	const unlimited = 1 << 20
	filter, err := caller.NewFlowFilter(now, caller.WithUpstream(1), caller.WithCapacity(unlimited, unlimited),
		caller.WithRecoveryPeriod(0), caller.WithMaxLoadRatio(0))
	if err != nil {
		panic(err)
	}
	filter.SetServices([]bramleyfall.Service{{Name: "service-0", Addresses: []bramleyfall.ServiceAddress{ServiceAddress(0)}}})
	filter.UpstreamStarted(1, now.Add(-time.Hour), now)
	filter.Sweep(now)
	return filter
}

// HopList returns a hop list whose only hop is the upstream of FlowFilter.
func HopList() *bramleyfall.HopList {
	list := &bramleyfall.HopList{Service: bramleyfall.ServiceName("service-0").Key(), Count: 1}
	list.Hops[0] = bramleyfall.Hop{Upstream: 1, Boot: 1}
	return list
}

// OpenFlow passes the three packets of a TCP handshake through a flow filter.
func OpenFlow(filter *caller.FlowFilter, flow bramleyfall.Flow, now time.Time) {
	list := HopList()
	filter.FromCaller(&bramleyfall.Packet{Flow: flow, Kind: bramleyfall.KindOpening, Sequence: 1}, list, now)
	filter.FromUpstream(&bramleyfall.Packet{Flow: flow.Reverse(), Kind: bramleyfall.KindOpeningReply, HasAck: true, Sequence: 5, Ack: 2}, now)
	filter.FromCaller(EstablishedPacket(flow), list, now)
}

// EstablishedPacket returns a packet from the caller of a flow that OpenFlow has
// established.
func EstablishedPacket(flow bramleyfall.Flow) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: flow, HasAck: true, Sequence: 2, Ack: 6}
}

// HeapBytes collects garbage and returns the size of the live heap.
func HeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
