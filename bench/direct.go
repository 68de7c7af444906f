package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/direct"
	"bramleyfall.example/bramleyfall/platform"
	"bramleyfall.example/bramleyfall/platform/platformtest"
	"bramleyfall.example/bramleyfall/telemetry"
	"bramleyfall.example/bramleyfall/tunnel"
	"bramleyfall.example/bramleyfall/workload"
)

const (
	// benchDomain is the failure domain of both the balancer and the agent.
	benchDomain bramleyfall.DomainName = "bench"
	// maxDatagramBytes is the size of the read buffers.
	maxDatagramBytes = 2048
)

// directRatio compares the packets per second through a balancer in direct mode with
// those through a bare relay of single datagrams, with the same packets.
func directRatio() error {
	return measureRatio("DirectRatio", func() (float64, error) { return measureDirect(startDatagramRelay) }, func() (float64, error) { return measureDirect(startDirectBalancer) })
}

// directCodec measures what a balancer does to decode a caller's packet and to encode
// it for the tunnel.
func directCodec() {
	raw := directPacket(0)
	var packet bramleyfall.Packet
	var buffer []byte
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if (platform.PacketCodec{}).Decode(raw, &packet) == nil {
				buffer = tunnel.Append(buffer[:0], &tunnel.Message{Kind: tunnel.Forward, Raw: raw})
			}
		}
	})
	report("DirectCodec", "Nanoseconds=%d Allocations=%d", r.NsPerOp(), r.AllocsPerOp())
}

// directStartFunc starts to forward the datagrams that arrive at in to sink.
// Forwarding ends when the returned function is called.
type directStartFunc func(in, sink bramleyfall.Endpoint) (stop func(), err error)

func startDatagramRelay(in, sink bramleyfall.Endpoint) (func(), error) {
	conn, err := listenDatagrams(in)
	if err != nil {
		return nil, err
	}
	out, err := listenDatagrams(bramleyfall.Endpoint{IP: in.IP})
	if err != nil {
		return nil, err
	}
	go loopRelayDatagrams(conn, out, sink.AddrPort())
	return func() {
		_ = conn.Close()
		_ = out.Close()
	}, nil
}

// loopRelayDatagrams copies datagrams with the same socket calls as a balancer in
// direct mode.
func loopRelayDatagrams(conn, out *net.UDPConn, sink netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		// A lost datagram needs no handling: the sink counts only those that it receives.
		_, _ = out.WriteToUDPAddrPort(buffer[:n], sink)
	}
}

func startDirectBalancer(in, sink bramleyfall.Endpoint) (func(), error) {
	free := bramleyfall.Endpoint{IP: in.IP}
	t := telemetry.New(io.Discard, "bench")
	store := &staticStore{address: sink}
	b, err := direct.NewBalancer(direct.BalancerConfig{
		ID: "bench", Domain: benchDomain, Packets: in, Tunnel: free, HTTP: free, Metrics: free,
	}, bramleyfall.SystemClock(), platform.PacketCodec{}, store, store, t)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
		t.Close()
	}, nil
}

// measureDirect sends datagrams as fast as possible and returns the number of
// datagrams per second that reach the sink.
func measureDirect(start directStartFunc) (float64, error) {
	in, err := freeEndpoint()
	if err != nil {
		return 0, err
	}
	sink, err := listenDatagrams(bramleyfall.Endpoint{IP: in.IP})
	if err != nil {
		return 0, err
	}
	source, err := listenDatagrams(bramleyfall.Endpoint{IP: in.IP})
	if err != nil {
		return 0, err
	}
	stop, err := start(in, bramleyfall.EndpointFrom(sink.LocalAddr().(*net.UDPAddr).AddrPort()))
	if err != nil {
		return 0, err
	}
	var received atomic.Int64
	var done atomic.Bool
	go loopSink(sink, &received)
	go loopFloodDatagrams(source, in.AddrPort(), &done)
	// The first packet of each flow makes the balancer look up the flow's agent.
	time.Sleep(measurePeriod / 2)
	before := received.Load()
	began := time.Now()
	time.Sleep(measurePeriod)
	rate := float64(received.Load()-before) / time.Since(began).Seconds()
	done.Store(true)
	stop()
	_ = sink.Close()
	_ = source.Close()
	runtime.GC()
	return rate, nil
}

// packetsPerReport is the number of packets after which the sink reports its load. An
// agent does so several times a second.
const packetsPerReport = 4096

// loopSink counts packets and answers each flow lookup as an agent that owns the flow.
func loopSink(sink *net.UDPConn, received *atomic.Int64) {
	buffer := make([]byte, maxDatagramBytes)
	var reply []byte
	for {
		n, from, err := sink.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var m tunnel.Message
		kind := tunnel.Report
		switch {
		case n > payloadBytes:
			if received.Add(1)%packetsPerReport != 0 {
				continue
			}
		case tunnel.Decode(buffer[:n], &m) == nil:
			kind = tunnel.Owned
		}
		reply = tunnel.Append(reply[:0], &tunnel.Message{
			Kind: kind, Flow: m.Flow, Version: 1, Service: m.Service, Load: bramleyfall.Load{State: bramleyfall.UpstreamReady},
		})
		if _, err := sink.WriteToUDPAddrPort(reply, from); err != nil {
			return
		}
	}
}

// loopFloodDatagrams sends packets of established flows as fast as it can.
func loopFloodDatagrams(source *net.UDPConn, to netip.AddrPort, done *atomic.Bool) {
	const flows = 64
	var packets [flows][]byte
	for i := range packets {
		packets[i] = directPacket(i)
	}
	for n := 0; !done.Load(); n++ {
		if _, err := source.WriteToUDPAddrPort(packets[n%flows], to); err != nil {
			return
		}
	}
}

// directPacket returns a caller's packet of the n-th established flow.
func directPacket(n int) []byte {
	f := workload.Flow(n, 0)
	p := platformtest.Packet{
		Source: f.Source.AddrPort(), Destination: f.Destination.AddrPort(), Flags: platformtest.FlagACK,
		Sequence: 2, Ack: 6, Data: string(make([]byte, payloadBytes)),
	}
	return p.Bytes()
}

// listenDatagrams opens a socket with the receive buffer size of a balancer's socket,
// so that a full buffer costs the relay and the balancer the same.
func listenDatagrams(at bramleyfall.Endpoint) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return nil, err
	}
	return conn, conn.SetReadBuffer(direct.ReceiveBufferBytes)
}

// freeEndpoint returns a loopback endpoint with a free port.
func freeEndpoint() (bramleyfall.Endpoint, error) {
	conn, err := listenDatagrams(bramleyfall.Endpoint{IP: [4]byte{127, 0, 0, 1}})
	if err != nil {
		return bramleyfall.Endpoint{}, err
	}
	at := bramleyfall.EndpointFrom(conn.LocalAddr().(*net.UDPAddr).AddrPort())
	return at, conn.Close()
}
