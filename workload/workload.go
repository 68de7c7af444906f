// Package workload makes tables, flows and gates of a given size for
// measurements.
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

// The size of the aim.
const (
	Services  = 7700
	Upstreams = 31000
	Balancers = 3600
	Domains   = 7
)

// Epoch is the time at which measurements in virtual time start.
var Epoch = time.Unix(1_800_000_000, 0)

// ServiceAddress returns the address of the n-th service.
func ServiceAddress(n int) bramleyfall.ServiceAddress {
	return bramleyfall.ServiceAddress{
		Endpoint: bramleyfall.Endpoint{IP: [4]byte{10, 0, byte(n >> 8), byte(n)}, Port: 443},
		Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders,
	}
}

// Flow returns the n-th flow to a service.
func Flow(n, service int) bramleyfall.Flow {
	const ports = 50000
	f := bramleyfall.Flow{Destination: ServiceAddress(service).Endpoint, Protocol: bramleyfall.TCP}
	binary.BigEndian.PutUint32(f.Source.IP[:], 0x0a020000+uint32(n/ports))
	f.Source.Port = uint16(10000 + n%ports)
	return f
}

// Entry returns the routing entry of the n-th service with the given number of
// upstreams.
func Entry(n, size int) *upstream.Entry {
	e := &upstream.Entry{Name: bramleyfall.ServiceName(fmt.Sprintf("service-%d", n)), Revision: 1}
	for i := range size {
		id := bramleyfall.InstanceID(fmt.Sprintf("upstream-%d-%d", n, i))
		e.IDs = append(e.IDs, id)
		e.Candidates = append(e.Candidates, upstream.Candidate{
			Upstream: bramleyfall.InstanceKeyFor(string(id)), Boot: 1, AcceptsNewFlows: true,
			Address: bramleyfall.Endpoint{IP: [4]byte{10, 1, byte(n), byte(i)}, Port: 6081},
		})
	}
	return e
}

// Table returns a routing table of the given size.
func Table(services, upstreams, hints int) *upstream.Table {
	t := upstream.NewTable(upstream.WithHints(hints))
	t.SetAll(services, func(n int) (*upstream.Entry, []bramleyfall.ServiceAddress) {
		size := max(1, upstreams/services)
		if n < upstreams%services {
			size++
		}
		return Entry(n, size), []bramleyfall.ServiceAddress{ServiceAddress(n)}
	})
	return t
}

// Gate returns a gate that admits all openings to the first service.
func Gate(now time.Time) *caller.FlowFilter {
	const unlimited = 1 << 20
	g, err := caller.NewFlowFilter(now, caller.WithUpstream(1), caller.WithCapacity(unlimited, unlimited),
		caller.WithRecoveryPeriod(0), caller.WithMaxLoadRatio(0))
	if err != nil {
		panic(err)
	}
	g.SetServices([]bramleyfall.Service{{Name: "service-0", Addresses: []bramleyfall.ServiceAddress{ServiceAddress(0)}}})
	g.UpstreamStarted(1, now.Add(-time.Hour), now)
	g.Sweep(now)
	return g
}

// GateList returns a hop list that names the upstream of Gate alone.
func GateList() *bramleyfall.HopList {
	l := &bramleyfall.HopList{Service: bramleyfall.ServiceName("service-0").Key(), Count: 1}
	l.Hops[0] = bramleyfall.Hop{Upstream: 1, Boot: 1}
	return l
}

// OpenFlow takes a flow through its opening at a gate.
func OpenFlow(g *caller.FlowFilter, f bramleyfall.Flow, now time.Time) {
	list := GateList()
	g.FromCaller(&bramleyfall.Packet{Flow: f, Kind: bramleyfall.KindOpening, Sequence: 1}, list, now)
	g.FromUpstream(&bramleyfall.Packet{Flow: f.Reverse(), Kind: bramleyfall.KindOpeningReply, HasAck: true, Sequence: 5, Ack: 2}, now)
	g.FromCaller(EstablishedPacket(f), list, now)
}

// EstablishedPacket returns a caller's packet of a flow that OpenFlow opened.
func EstablishedPacket(f bramleyfall.Flow) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: f, HasAck: true, Sequence: 2, Ack: 6}
}

// Heap returns the bytes in use after a garbage collection.
func Heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
