package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/etcd"
	"bramleyfall.example/bramleyfall/fabric"
	"bramleyfall.example/bramleyfall/geneve"
	"bramleyfall.example/bramleyfall/operator"
	"bramleyfall.example/bramleyfall/operator/operatorpb"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/ring"
	"bramleyfall.example/bramleyfall/telemetry"
	"bramleyfall.example/bramleyfall/trace"
	"bramleyfall.example/bramleyfall/upstream"
)

const (
	// drainTime is the time between the end of readiness and the end of
	// forwarding: the fabric learns of a leaving balancer within it.
	drainTime = 2 * time.Second
	// readyTimeout bounds the answer to a question for readiness.
	readyTimeout = 400 * time.Millisecond
	// httpTimeout bounds the reading of a request.
	httpTimeout = 10 * time.Second
)

// server is a running balancer.
type server struct {
	config     Config
	clock      bramleyfall.Clock
	telemetry  *telemetry.Telemetry
	packets    *geneve.Conn
	control    *peer.Socket
	platform   *etcd.Client
	forwarder  *fabric.Forwarder
	controller *controller
	recorder   *trace.Writer
	leaving    chan struct{}
	// joinDue is set when the contact points are to be read again.
	joinDue bool
	servers []*http.Server
}

// serve runs the balancer until SIGTERM or SIGINT.
func serve(config Config) error {
	s := &server{config: config, clock: bramleyfall.SystemClock(), leaving: make(chan struct{})}
	s.telemetry = telemetry.New(telemetry.Stdout(), config.ID)
	defer s.telemetry.Close()
	if err := s.open(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return s.run(ctx)
}

func (s *server) open() error {
	err := peer.CheckChart()
	if err != nil {
		return err
	}
	if s.packets, err = geneve.Listen(s.config.Packets); err != nil {
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
	calls := s.telemetry.Counter("bramleyfall_platform_calls_total")
	s.platform = etcd.New(s.config.Platform, etcd.WithCallCount(func(string) { calls.Inc() }))
	s.build()
	return nil
}

// build joins the duties.
func (s *server) build() {
	now := s.clock.Now()
	table := upstream.NewTable(upstream.WithHints(s.config.Hints), upstream.WithBalancer(s.config.AdvertisePackets))
	self := bramleyfall.Member{
		ID: s.config.ID, Domain: s.config.Domain, Boot: bramleyfall.BootID(now.UnixNano()),
		Packets: s.config.AdvertisePackets, Control: s.config.AdvertiseControl,
	}
	node := peer.NewNode(self, configuration.New(), now, peer.WithSeed(uint64(now.UnixNano())))
	node.SetContacts(s.config.Peers)
	fresh := fabric.NewFreshness(now)
	s.controller = &controller{
		node: node, table: table, builder: upstream.NewBuilder(now), socket: s.control, clock: s.clock,
		telemetry: s.telemetry, fresh: fresh,
		tasks: ring.New[func()](queueSize), pulls: ring.New[pull](1),
		routed: make(map[bramleyfall.ServiceName]bool),
		client: s.config.Keys.Client(s.clock, pullTimeout, s.config.Control.IP),
		done:   make(chan struct{}),
		hold:   holdJudge{started: now, reason: holdStarting},
	}
	fresh.Hold(true)
	options := []fabric.Option{
		fabric.WithAnswers(s.config.Fabric), fabric.WithNotices(s.config.Keys, s.controller.noticed),
		fabric.WithClock(s.clock), fabric.WithFreshness(fresh),
	}
	if s.recorder != nil {
		s.controller.recorder = s.recorder
		options = append(options, fabric.WithRecorder(s.recorder))
	}
	s.forwarder = fabric.NewForwarder(s.packets, table, s.telemetry, options...)
	s.telemetry.SetReady(s.ready)
}

// ready tells the fabric whether to send packets here.
func (s *server) ready() error {
	select {
	case <-s.leaving:
		return errors.New("leaving")
	default:
	}
	if s.controller.fresh.Held() {
		return errors.New("starting, or cut off from the fleet")
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	return s.controller.ready(ctx, s.config.Domain)
}

func (s *server) run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var duties conc.WaitGroup
	if s.recorder != nil {
		go s.recorder.Run()
	}
	duties.Go(func() { s.controller.run(background) })
	duties.Go(func() { s.control.Run(s.controller.received) })
	duties.Go(func() { s.controller.runPull(background) })
	duties.Go(func() { s.runPlatform(background) })
	duties.Go(s.forwarder.Run)
	if err := s.listenHTTP(); err != nil {
		cancel()
		return err
	}
	s.telemetry.Log.Info().Str("Event", "Started").Str("Domain", string(s.config.Domain)).
		Str("Packets", s.config.Packets.String()).Str("Control", s.config.Control.String()).Msg("")
	<-ctx.Done()
	s.shutdown(cancel)
	duties.Wait()
	if s.recorder != nil {
		return s.recorder.Close()
	}
	return nil
}

// shutdown stops gracefully: readiness ends first, forwarding goes on until
// the fabric has learned of it.
func (s *server) shutdown(cancel context.CancelFunc) {
	s.telemetry.Log.Info().Str("Event", "Leaving").Msg("")
	close(s.leaving)
	time.Sleep(drainTime)
	cancel()
	_ = s.forwarder.Close()
	time.Sleep(tickEvery)
	_ = s.control.Close()
	for _, h := range s.servers {
		_ = h.Close()
	}
	s.telemetry.Log.Info().Str("Event", "Stopped").Msg("")
}

// listenHTTP serves operators and peers on the control address, metrics and
// readiness on the HTTP address.
func (s *server) listenHTTP() error {
	service, err := operator.NewService(s.controller, etcd.NewWriter(s.platform, s.clock))
	if err != nil {
		return err
	}
	control := http.NewServeMux()
	control.Handle(operatorpb.OperatorPathPrefix, operatorpb.NewOperatorServer(service))
	control.Handle(peerpb.PeerPathPrefix, peerpb.NewPeerServer(s.controller))
	rejected := func(err error) {
		s.telemetry.Counter("bramleyfall_bad_seals_total").Inc()
		s.telemetry.Log.Warn().Str("Event", "BadSeal").Str("Reason", err.Error()).Msg("")
	}
	if err := s.serveHTTP(s.config.Control, s.config.Keys.Handler(control, s.clock, rejected)); err != nil {
		return err
	}
	return s.serveHTTP(s.config.HTTP, s.telemetry.Handler())
}

func (s *server) serveHTTP(address bramleyfall.Endpoint, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return err
	}
	h := &http.Server{Handler: handler, ReadTimeout: httpTimeout}
	s.servers = append(s.servers, h)
	go s.loopHTTP(h, listener)
	return nil
}

func (s *server) loopHTTP(h *http.Server, listener net.Listener) {
	if err := h.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.telemetry.Log.Error().Str("Event", "HTTPFailed").Str("Reason", err.Error()).Msg("")
	}
}
