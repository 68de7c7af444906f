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
	// queueSize is the number of packets that wait for a decision.
	queueSize = 8192
	// taskQueueSize is the number of tasks that wait for the decision thread.
	taskQueueSize = 1024
	// leaveTime is the time between the announcement that the agent stops and
	// its end, in which late packets are passed on.
	leaveTime = time.Second
	// drainCheck is the time between two looks at the flows that are left.
	drainCheck = 100 * time.Millisecond
)

// server is a running agent.
type server struct {
	config    Config
	clock     bramleyfall.Clock
	telemetry *telemetry.Telemetry
	tunnel    *geneve.Conn
	upstream  *geneve.Conn
	control   *peer.Socket
	packets   *ring.Ring[inbound]
	tasks     *ring.Ring[func()]
	recorder  *trace.Writer
	decider   *decider
	flows     atomic.Int64
	busy      atomic.Int64
	serving   atomic.Bool
	stopping  atomic.Bool
	// detached tells that the connection to the health endpoint ended.
	detached chan struct{}
}

// serve runs the agent until a signal. SIGTERM drains the upstream first;
// SIGHUP stops at once, for a successor that adopts the flows.
func serve(config Config) error {
	s := &server{
		config: config, clock: bramleyfall.SystemClock(),
		packets: ring.New[inbound](queueSize), tasks: ring.New[func()](taskQueueSize),
		detached: make(chan struct{}, 1),
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
	gate, err := caller.NewFlowFilter(now,
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
	s.decider = &decider{
		server: s, gate: s.recorded(gate, now),
		announcer: peer.NewAnnouncer(self, s.config.Balancers, uint64(now.UnixNano())),
		noticed:   make(map[bramleyfall.Endpoint]time.Time),
		counts:    newDecisionCounts(s.telemetry),
		toNetwork: geneve.NewSender(s.tunnel), toUpstream: geneve.NewSender(s.upstream),
	}
	s.telemetry.Gauge("bramleyfall_flows", func() float64 { return float64(s.flows.Load()) })
	s.telemetry.Gauge("bramleyfall_flows_waiting", func() float64 { return float64(s.busy.Load()) })
	s.telemetry.Gauge("bramleyfall_packets_dropped", func() float64 { return float64(s.packets.Dropped()) })
	s.telemetry.SetReady(func() error {
		if !s.serving.Load() {
			return errors.New("the upstream takes no new flows")
		}
		return nil
	})
	return nil
}

// recorded returns the gate with its trace, where one is asked for.
func (s *server) recorded(gate *caller.FlowFilter, now time.Time) *trace.Gate {
	var recorder bramleyfall.TraceRecorder
	if s.recorder != nil {
		recorder = s.recorder
	}
	return trace.NewGate(gate, recorder, s.config.ID, bramleyfall.FilterTrace{
		Upstream: bramleyfall.InstanceKeyFor(string(s.config.ID)), Slots: s.config.Slots, Connections: s.config.Connections,
		WarmUp: bramleyfall.Duration(s.config.WarmUp), SilentAfter: bramleyfall.Duration(s.config.SilentAfter),
	}, now)
}

func (s *server) run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var duties conc.WaitGroup
	if s.recorder != nil {
		go s.recorder.Run()
	}
	duties.Go(func() { s.runRead(s.tunnel, false) })
	duties.Go(func() { s.runRead(s.upstream, true) })
	duties.Go(func() { s.control.Run(s.controlReceived) })
	duties.Go(func() { s.runHealth(ctx) })
	duties.Go(func() { s.runAttached(ctx) })
	duties.Go(func() { s.decider.run(ctx) })
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
	duties.Wait()
	s.telemetry.Log.Info().Str("Event", "Stopped").Msg("")
	if s.recorder != nil {
		return s.recorder.Close()
	}
	return nil
}

// drain takes no new flows and waits for the others to end. A second signal
// ends the wait.
func (s *server) drain(signals <-chan os.Signal) {
	s.telemetry.Log.Info().Str("Event", "Draining").Int64("Flows", s.flows.Load()).Msg("")
	s.tasks.Offer(s.decider.startDrain)
	deadline := time.After(s.config.DrainTimeout)
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	// Balancers and operators hear of the drain before the first look.
	time.Sleep(leaveTime)
	for s.flows.Load() > 0 {
		select {
		case <-signals:
			return
		case <-deadline:
			return
		case <-ticker.C:
		}
	}
	s.tasks.Offer(s.decider.leave)
	time.Sleep(leaveTime)
}

// inbound is a packet on its way to the decision thread.
type inbound struct {
	data         []byte
	fromUpstream bool
}

// runRead moves packets from a socket to the decision thread.
func (s *server) runRead(conn *geneve.Conn, fromUpstream bool) {
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
			data := append(s.decider.buffer(), receiver.Data(i)...)
			if !s.packets.Offer(inbound{data: data, fromUpstream: fromUpstream}) {
				s.decider.recycle(data)
			}
		}
	}
}

// controlReceived hands a datagram to the decision thread.
func (s *server) controlReceived(d *peerpb.Datagram) {
	s.tasks.Offer(func() { s.decider.control(d) })
}

func (s *server) listenHTTP() error {
	listener, err := net.Listen("tcp4", s.config.HTTP.String())
	if err != nil {
		return err
	}
	go s.loopHTTP(listener)
	return nil
}

func (s *server) loopHTTP(listener net.Listener) {
	const timeout = 5 * time.Second
	h := &http.Server{Handler: s.telemetry.Handler(), ReadTimeout: timeout}
	_ = h.Serve(listener)
}
