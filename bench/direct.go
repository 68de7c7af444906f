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
	// benchDomain is the failure domain of the balancer and the agent.
	benchDomain bramleyfall.DomainName = "bench"
	// maxDatagram is the size of the read buffers in bytes.
	maxDatagram = 2048
)

// directRatio measures packets a second through a bare relay of single
// datagrams and through a balancer in direct mode, in turn and with the same
// packets, and reports the round with the median ratio.
func directRatio() error {
	return ratio("DirectRatio", func() (float64, error) { return measureDirect(relayDatagrams) }, func() (float64, error) { return measureDirect(balance) })
}

// directCodec measures the codecs of a packet on its way through a balancer.
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

// directWay forwards what comes at in to sink until the returned function is
// called.
type directWay func(in, sink bramleyfall.Endpoint) (stop func(), err error)

func relayDatagrams(in, sink bramleyfall.Endpoint) (func(), error) {
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

// loopRelayDatagrams copies datagrams with the same calls as a balancer.
func loopRelayDatagrams(conn, out *net.UDPConn, sink netip.AddrPort) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		// A datagram that the sink doesn't take in time isn't counted there.
		_, _ = out.WriteToUDPAddrPort(buffer[:n], sink)
	}
}

func balance(in, sink bramleyfall.Endpoint) (func(), error) {
	free := bramleyfall.Endpoint{IP: in.IP}
	t := telemetry.New(io.Discard, "bench")
	known := &knownAgent{address: sink}
	b, err := direct.NewBalancer(direct.BalancerConfig{
		ID: "bench", Domain: benchDomain, Packets: in, Tunnel: free, HTTP: free, Metrics: free,
	}, bramleyfall.SystemClock(), platform.PacketCodec{}, known, known, t)
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

// measureDirect floods a way of forwarding and returns the packets that came out
// a second.
func measureDirect(w directWay) (float64, error) {
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
	stop, err := w(in, bramleyfall.EndpointFrom(sink.LocalAddr().(*net.UDPAddr).AddrPort()))
	if err != nil {
		return 0, err
	}
	var received atomic.Int64
	var done atomic.Bool
	go loopSink(sink, &received)
	go loopFloodDatagrams(source, in.AddrPort(), &done)
	// The first packets find their flows' agent.
	time.Sleep(forwardTime / 2)
	start := received.Load()
	began := time.Now()
	time.Sleep(forwardTime)
	rate := float64(received.Load()-start) / time.Since(began).Seconds()
	done.Store(true)
	stop()
	_ = sink.Close()
	_ = source.Close()
	runtime.GC()
	return rate, nil
}

// sinkReports is the number of packets after which the sink reports its load, as
// an agent does some times a second.
const sinkReports = 4096

// loopSink counts packets, and says that it holds each flow that it is asked
// for, as an agent does.
func loopSink(sink *net.UDPConn, received *atomic.Int64) {
	buffer := make([]byte, maxDatagram)
	var answer []byte
	for {
		n, from, err := sink.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var m tunnel.Message
		report := tunnel.Report
		switch {
		case n > payload:
			if received.Add(1)%sinkReports != 0 {
				continue
			}
		case tunnel.Decode(buffer[:n], &m) == nil:
			report = tunnel.Owned
		}
		answer = tunnel.Append(answer[:0], &tunnel.Message{
			Kind: report, Flow: m.Flow, Version: 1, Service: m.Service, Load: bramleyfall.Load{State: bramleyfall.UpstreamReady},
		})
		if _, err := sink.WriteToUDPAddrPort(answer, from); err != nil {
			return
		}
	}
}

// loopFloodDatagrams sends packets of open flows as fast as it can.
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

// directPacket returns a packet of the n-th open flow.
func directPacket(n int) []byte {
	f := workload.Flow(n, 0)
	p := platformtest.Packet{
		Source: f.Source.AddrPort(), Destination: f.Destination.AddrPort(), Flags: platformtest.FlagACK,
		Sequence: 2, Ack: 6, Data: string(make([]byte, payload)),
	}
	return p.Bytes()
}

// listenDatagrams opens a socket with the receive buffer that a balancer's has,
// so that a flood costs both ways the same.
func listenDatagrams(at bramleyfall.Endpoint) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return nil, err
	}
	return conn, conn.SetReadBuffer(direct.ReceiveBufferBytes)
}

// freeEndpoint returns an address that nothing listens at.
func freeEndpoint() (bramleyfall.Endpoint, error) {
	conn, err := listenDatagrams(bramleyfall.Endpoint{IP: [4]byte{127, 0, 0, 1}})
	if err != nil {
		return bramleyfall.Endpoint{}, err
	}
	at := bramleyfall.EndpointFrom(conn.LocalAddr().(*net.UDPAddr).AddrPort())
	return at, conn.Close()
}
