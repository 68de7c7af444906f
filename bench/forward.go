package main

import (
	"cmp"
	"io"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/fabric"
	"bramleyfall.example/bramleyfall/geneve"
	"bramleyfall.example/bramleyfall/telemetry"
	"bramleyfall.example/bramleyfall/upstream"
	"bramleyfall.example/bramleyfall/workload"
)

const (
	// payloadBytes is the payload size of the forwarded TCP segments.
	payloadBytes = 512
	// measurePeriod is the duration of one measurement of a relay or a balancer.
	measurePeriod = time.Second
	// measureRounds is the number of alternating measurements of relay and balancer.
	measureRounds = 5
)

// forwardRatio compares the packets per second through fabric.Forwarder with those
// through a bare relay that uses the same batches and packets.
func forwardRatio() error {
	return measureRatio("ForwardRatio", func() (float64, error) { return measureForwarding(startRelay) }, func() (float64, error) { return measureForwarding(startForwarder) })
}

// measureRatio measures the packets per second through a bare relay and through a
// balancer alternately, and reports the round with the median ratio of the balancer's
// rate to the relay's.
func measureRatio(name string, relay, balancer func() (float64, error)) error {
	type round struct{ relay, balancer float64 }
	rounds := make([]round, measureRounds)
	for i := range rounds {
		var err error
		if rounds[i].relay, err = relay(); err != nil {
			return err
		}
		if rounds[i].balancer, err = balancer(); err != nil {
			return err
		}
	}
	slices.SortFunc(rounds, func(a, b round) int { return cmp.Compare(a.balancer/a.relay, b.balancer/b.relay) })
	m := rounds[len(rounds)/2]
	report(name, "Ratio=%.2f BarePacketsPerSecond=%.0f PacketsPerSecond=%.0f", m.balancer/m.relay, m.relay, m.balancer)
	return nil
}

// startFunc starts to forward the packets that arrive at in to sink. Forwarding ends
// when the returned function is called.
type startFunc func(in *geneve.Conn, sink bramleyfall.Endpoint) (stop func())

func startRelay(in *geneve.Conn, sink bramleyfall.Endpoint) func() {
	go loopRelay(in, sink)
	return func() { _ = in.Close() }
}

// loopRelay copies packets with the same batch calls as fabric.Forwarder.
func loopRelay(in *geneve.Conn, sink bramleyfall.Endpoint) {
	sender := geneve.NewSender(in)
	receiver := geneve.NewReceiver()
	for {
		n, err := receiver.Read(in)
		if err != nil {
			return
		}
		for i := range n {
			data := receiver.Data(i)
			buffer := sender.Next()
			if buffer.Clear() != nil {
				return
			}
			out, err := buffer.AppendBytes(len(data))
			if err != nil {
				return
			}
			copy(out, data)
			sender.Add(sink)
		}
		sender.Flush()
	}
}

func startForwarder(in *geneve.Conn, sink bramleyfall.Endpoint) func() {
	t := telemetry.New(io.Discard, "bench")
	table := upstream.NewTable(upstream.WithHints(ownerHints))
	entry := workload.Entry(0, 4)
	for i := range entry.Candidates {
		entry.Candidates[i].Address = sink
	}
	table.Set(entry, []bramleyfall.ServiceAddress{workload.ServiceAddress(0)})
	f := fabric.NewForwarder(in, table, t)
	go f.Run()
	return func() { _ = f.Close() }
}

// measureForwarding sends packets as fast as possible and returns the number of
// packets per second that reach the sink.
func measureForwarding(start startFunc) (float64, error) {
	loopback := bramleyfall.Endpoint{IP: [4]byte{127, 0, 0, 1}}
	in, err := geneve.Listen(loopback)
	if err != nil {
		return 0, err
	}
	sink, err := geneve.Listen(loopback)
	if err != nil {
		return 0, err
	}
	source, err := geneve.Listen(loopback)
	if err != nil {
		return 0, err
	}
	to := in.LocalEndpoint()
	stop := start(in, sink.LocalEndpoint())
	var received atomic.Int64
	var done atomic.Bool
	go loopCount(sink, &received)
	go loopFlood(source, to, &done)
	time.Sleep(measurePeriod / 4)
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

// loopCount counts the packets that reach the sink.
func loopCount(sink *geneve.Conn, received *atomic.Int64) {
	receiver := geneve.NewReceiver()
	for {
		n, err := receiver.Read(sink)
		if err != nil {
			return
		}
		received.Add(int64(n))
	}
}

// loopFlood sends packets of established flows as fast as it can.
func loopFlood(source *geneve.Conn, to bramleyfall.Endpoint, done *atomic.Bool) {
	const flows = 64
	sender := geneve.NewSender(source)
	var codec geneve.Codec
	var packets [flows][]byte
	for i := range packets {
		raw, err := geneve.EncodeTCP(geneve.TCPFields{Flow: workload.Flow(i, 0), Sequence: 1, Ack: 1, ACK: true, Payload: make([]byte, payloadBytes)})
		if err != nil {
			return
		}
		packets[i] = raw
	}
	for n := 0; !done.Load(); n++ {
		if codec.EncodePlain(sender.Next(), packets[n%flows]) != nil {
			return
		}
		sender.Add(to)
	}
}
