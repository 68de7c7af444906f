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
	// forwardingDrainTime is the time for which a balancer that shuts down still
	// forwards packets after it has become unready. Within that time the fabric
	// detects that it is unready.
	forwardingDrainTime = 2 * time.Second
	// readyTimeout is the time limit for a readiness check.
	readyTimeout = 400 * time.Millisecond
	// httpReadTimeout is the time limit for reading a request.
	httpReadTimeout = 10 * time.Second
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
	// shuttingDown is closed when the shutdown begins.
	shuttingDown chan struct{}
	// contactsOutdated is set when the contacts must be read again.
	contactsOutdated bool
	httpServers      []*http.Server
}

// serve runs the balancer until SIGTERM or SIGINT.
func serve(config Config) error {
	s := &server{config: config, clock: bramleyfall.SystemClock(), shuttingDown: make(chan struct{})}
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
	s.platform = etcd.NewClient(s.config.Platform, etcd.WithObserver(func(string) { calls.Inc() }))
	s.build()
	return nil
}

// build creates the controller and the forwarder.
func (s *server) build() {
	now := s.clock.Now()
	table := upstream.NewTable(upstream.WithHints(s.config.Hints), upstream.WithBalancer(s.config.AdvertisePackets))
	self := bramleyfall.Member{
		ID: s.config.ID, Domain: s.config.Domain, Boot: bramleyfall.BootID(now.UnixNano()),
		Packets: s.config.AdvertisePackets, Control: s.config.AdvertiseControl,
	}
	node := peer.NewNode(self, configuration.New(), now, peer.WithSeed(uint64(now.UnixNano())))
	node.SetContacts(s.config.Peers)
	guard := fabric.NewForwardingGuard(now)
	s.controller = &controller{
		node: node, table: table, builder: upstream.NewBuilder(now), socket: s.control, clock: s.clock,
		telemetry: s.telemetry, guard: guard,
		tasks: ring.New[func()](taskQueueSize), pulls: ring.New[pullTask](1),
		routedServices: make(map[bramleyfall.ServiceName]bool),
		client:         s.config.Keys.Client(s.clock, pullTimeout, s.config.Control.IP),
		stopped:        make(chan struct{}),
		forwarding:     forwardingState{started: now, reason: suspendStarting},
	}
	guard.SetSuspended(true)
	options := []fabric.Option{
		fabric.WithFabric(s.config.Fabric), fabric.WithNotices(s.config.Keys, s.controller.handleNotice),
		fabric.WithClock(s.clock), fabric.WithForwardingGuard(guard),
	}
	if s.recorder != nil {
		s.controller.recorder = s.recorder
		options = append(options, fabric.WithRecorder(s.recorder))
	}
	s.forwarder = fabric.NewForwarder(s.packets, table, s.telemetry, options...)
	s.telemetry.SetReadinessCheck(s.ready)
}

// ready returns nil if the fabric should send packets to this balancer, or else
// the reason why not.
func (s *server) ready() error {
	select {
	case <-s.shuttingDown:
		return errors.New("leaving")
	default:
	}
	if s.controller.guard.Suspended() {
		return errors.New("starting, or partitioned from the deployment")
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	return s.controller.ready(ctx, s.config.Domain)
}

func (s *server) run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var workers conc.WaitGroup
	if s.recorder != nil {
		go s.recorder.Run()
	}
	workers.Go(func() { s.controller.run(background) })
	workers.Go(func() { s.control.Run(s.controller.queueDatagram) })
	workers.Go(func() { s.controller.runPulls(background) })
	workers.Go(func() { s.runPlatform(background) })
	workers.Go(s.forwarder.Run)
	if err := s.listenHTTP(); err != nil {
		cancel()
		return err
	}
	s.telemetry.Log.Info().Str("Event", "Started").Str("Domain", string(s.config.Domain)).
		Str("Packets", s.config.Packets.String()).Str("Control", s.config.Control.String()).Msg("")
	<-ctx.Done()
	s.shutdown(cancel)
	workers.Wait()
	if s.recorder != nil {
		return s.recorder.Close()
	}
	return nil
}

// shutdown stops the balancer gracefully: it first becomes unready, and forwards
// packets until the fabric has detected that.
func (s *server) shutdown(cancel context.CancelFunc) {
	s.telemetry.Log.Info().Str("Event", "Leaving").Msg("")
	close(s.shuttingDown)
	time.Sleep(forwardingDrainTime)
	cancel()
	_ = s.forwarder.Close()
	time.Sleep(tickInterval)
	_ = s.control.Close()
	for _, httpServer := range s.httpServers {
		_ = httpServer.Close()
	}
	s.telemetry.Log.Info().Str("Event", "Stopped").Msg("")
}

// listenHTTP starts the HTTP servers: the control address serves operators and
// peers, the HTTP address serves metrics and readiness.
func (s *server) listenHTTP() error {
	service, err := operator.NewService(s.controller, etcd.NewWriter(s.platform, s.clock))
	if err != nil {
		return err
	}
	control := http.NewServeMux()
	control.Handle(operatorpb.OperatorPathPrefix, operatorpb.NewOperatorServer(service))
	control.Handle(peerpb.PeerPathPrefix, peerpb.NewPeerServer(s.controller))
	onRejected := func(err error) {
		s.telemetry.Counter("bramleyfall_bad_seals_total").Inc()
		s.telemetry.Log.Warn().Str("Event", "BadSeal").Str("Reason", err.Error()).Msg("")
	}
	if err := s.listenAndServe(s.config.Control, s.config.Keys.Handler(control, s.clock, onRejected)); err != nil {
		return err
	}
	return s.listenAndServe(s.config.HTTP, s.telemetry.Handler())
}

func (s *server) listenAndServe(address bramleyfall.Endpoint, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: handler, ReadTimeout: httpReadTimeout}
	s.httpServers = append(s.httpServers, httpServer)
	go s.serveHTTP(httpServer, listener)
	return nil
}

func (s *server) serveHTTP(httpServer *http.Server, listener net.Listener) {
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.telemetry.Log.Error().Str("Event", "HTTPFailed").Str("Reason", err.Error()).Msg("")
	}
}
