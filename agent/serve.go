package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/geneve"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/ring"
	"bramleyfall.example/bramleyfall/telemetry"
	"bramleyfall.example/bramleyfall/trace"
)

const (
	// packetQueueSize is the capacity of the dispatcher's packet queue.
	packetQueueSize = 8192
	// taskQueueSize is the capacity of the dispatcher's task queue.
	taskQueueSize = 1024
	// propagationTime is the time allowed for the announcement of a drain or a
	// shutdown to take effect. Until the agent exits, it still forwards the
	// packets that arrive.
	propagationTime = time.Second
	// drainPollInterval is the time between two checks for remaining flows.
	drainPollInterval = 100 * time.Millisecond
)

// server is a running agent.
type server struct {
	config       Config
	clock        bramleyfall.Clock
	telemetry    *telemetry.Telemetry
	tunnel       *geneve.Conn
	upstream     *geneve.Conn
	control      *peer.Socket
	packets      *ring.Queue[receivedPacket]
	tasks        *ring.Queue[func()]
	recorder     *trace.Writer
	dispatcher   *dispatcher
	openFlows    atomic.Int64
	pendingFlows atomic.Int64
	serving      atomic.Bool
	stopping     atomic.Bool
	// connectionClosed signals that the connection to the health endpoint closed.
	connectionClosed chan struct{}
}

// serve runs the agent until it receives a signal. SIGTERM and SIGINT drain the
// upstream first; SIGHUP stops immediately, so that a successor recovers the flows.
func serve(config Config) error {
	s := &server{
		config: config, clock: bramleyfall.SystemClock(),
		packets: ring.New[receivedPacket](packetQueueSize), tasks: ring.New[func()](taskQueueSize),
		connectionClosed: make(chan struct{}, 1),
	}
	s.telemetry = telemetry.New(telemetry.Stdout(), config.ID)
	defer s.telemetry.Close()
	if err := s.open(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return s.run(signals)
}

func (s *server) open() error {
	err := peer.CheckChart()
	if err != nil {
		return err
	}
	if s.tunnel, err = geneve.Listen(s.config.Packets); err != nil {
		return err
	}
	if s.upstream, err = geneve.Listen(s.config.UpstreamSide); err != nil {
		return err
	}
	if s.control, err = peer.Listen(s.config.Control, s.config.Keys, s.telemetry); err != nil {
		return err
	}
	if s.config.Trace != "" {
		file, err := os.Create(s.config.Trace)
		if err != nil {
			return err
		}
		s.recorder = trace.NewWriter(file)
	}
	return s.build()
}

func (s *server) build() error {
	now := s.clock.Now()
	filter, err := caller.NewFlowFilter(now,
		caller.WithUpstream(bramleyfall.InstanceKeyFor(string(s.config.ID))),
		caller.WithCapacity(s.config.Slots, s.config.Connections),
		caller.WithWarmUp(s.config.WarmUp),
		caller.WithSilentAfter(s.config.SilentAfter),
		caller.WithRetryAfter(s.config.RetryAfter),
	)
	if err != nil {
		return err
	}
	self := bramleyfall.Member{
		ID: s.config.ID, Domain: s.config.Domain, Boot: bramleyfall.BootID(now.UnixNano()),
		Packets: s.config.AdvertisePackets, Control: s.config.AdvertiseControl, Services: s.config.Services,
	}
	s.dispatcher = &dispatcher{
		server: s, filter: s.newRecordingFilter(filter, now),
		announcer:  peer.NewAnnouncer(self, s.config.Balancers, uint64(now.UnixNano())),
		lastNotice: make(map[bramleyfall.Endpoint]time.Time),
		counters:   newDispatcherCounters(s.telemetry),
		toNetwork:  geneve.NewSender(s.tunnel), toUpstream: geneve.NewSender(s.upstream),
	}
	s.telemetry.Gauge("bramleyfall_flows", func() float64 { return float64(s.openFlows.Load()) })
	s.telemetry.Gauge("bramleyfall_flows_waiting", func() float64 { return float64(s.pendingFlows.Load()) })
	s.telemetry.Gauge("bramleyfall_packets_dropped", func() float64 { return float64(s.packets.Dropped()) })
	s.telemetry.SetReadinessCheck(func() error {
		if !s.serving.Load() {
			return errors.New("upstream accepts no new flows")
		}
		return nil
	})
	return nil
}

// newRecordingFilter wraps filter to record its calls if a trace file is
// configured.
func (s *server) newRecordingFilter(filter *caller.FlowFilter, now time.Time) *trace.RecordingFilter {
	var recorder bramleyfall.TraceRecorder
	if s.recorder != nil {
		recorder = s.recorder
	}
	return trace.NewRecordingFilter(filter, recorder, s.config.ID, bramleyfall.FilterTrace{
		Upstream: bramleyfall.InstanceKeyFor(string(s.config.ID)), Slots: s.config.Slots, Connections: s.config.Connections,
		WarmUp: bramleyfall.Duration(s.config.WarmUp), SilentAfter: bramleyfall.Duration(s.config.SilentAfter),
	}, now)
}

func (s *server) run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var workers conc.WaitGroup
	if s.recorder != nil {
		go s.recorder.Run()
	}
	workers.Go(func() { s.readPackets(s.tunnel, false) })
	workers.Go(func() { s.readPackets(s.upstream, true) })
	workers.Go(func() { s.control.Run(s.queueDatagram) })
	workers.Go(func() { s.runHealthChecks(ctx) })
	workers.Go(func() { s.monitorConnection(ctx) })
	workers.Go(func() { s.dispatcher.run(ctx) })
	if err := s.listenHTTP(); err != nil {
		return err
	}
	s.telemetry.Log.Info().Str("Event", "Started").Str("Domain", string(s.config.Domain)).
		Str("Packets", s.config.Packets.String()).Str("Upstream", s.config.Upstream.String()).Msg("")
	if <-signals == syscall.SIGHUP {
		s.telemetry.Log.Info().Str("Event", "HandingOver").Msg("")
	} else {
		s.drain(signals)
	}
	s.stopping.Store(true)
	cancel()
	for _, c := range []io.Closer{s.tunnel, s.upstream, s.control} {
		_ = c.Close()
	}
	workers.Wait()
	s.telemetry.Log.Info().Str("Event", "Stopped").Msg("")
	if s.recorder != nil {
		return s.recorder.Close()
	}
	return nil
}

// drain stops accepting new flows and waits until the open flows have ended or
// the drain timeout has passed. A second signal ends the wait.
func (s *server) drain(signals <-chan os.Signal) {
	s.telemetry.Log.Info().Str("Event", "Draining").Int64("Flows", s.openFlows.Load()).Msg("")
	s.tasks.Offer(s.dispatcher.startDrain)
	deadline := time.After(s.config.DrainTimeout)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	// Let the balancers and operators learn of the drain before the first check.
	time.Sleep(propagationTime)
	for s.openFlows.Load() > 0 {
		select {
		case <-signals:
			return
		case <-deadline:
			return
		case <-ticker.C:
		}
	}
	s.tasks.Offer(s.dispatcher.announceLeave)
	time.Sleep(propagationTime)
}

// receivedPacket is a packet in the dispatcher's queue.
type receivedPacket struct {
	data         []byte
	fromUpstream bool
}

// readPackets reads packets from a socket and queues them for the dispatcher.
func (s *server) readPackets(conn *geneve.Conn, fromUpstream bool) {
	receiver := geneve.NewReceiver()
	for {
		n, err := receiver.Read(conn)
		if err != nil {
			if s.stopping.Load() {
				return
			}
			continue
		}
		for i := range n {
			data := append(s.dispatcher.getBuffer(), receiver.Data(i)...)
			if !s.packets.Offer(receivedPacket{data: data, fromUpstream: fromUpstream}) {
				s.dispatcher.putBuffer(data)
			}
		}
	}
}

// queueDatagram queues a control datagram for the dispatcher.
func (s *server) queueDatagram(datagram *peerpb.Datagram) {
	s.tasks.Offer(func() { s.dispatcher.handleDatagram(datagram) })
}

func (s *server) listenHTTP() error {
	listener, err := net.Listen("tcp4", s.config.HTTP.String())
	if err != nil {
		return err
	}
	go s.serveHTTP(listener)
	return nil
}

func (s *server) serveHTTP(listener net.Listener) {
	const timeout = 5 * time.Second
	httpServer := &http.Server{Handler: s.telemetry.Handler(), ReadTimeout: timeout}
	_ = httpServer.Serve(listener)
}
