// Program standin runs small stand-ins for what surrounds the system: the
// platform, the fabric, callers and upstreams. It serves tests and the demo
// only.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/settings"
	"bramleyfall.example/bramleyfall/standin/callers"
	"bramleyfall.example/bramleyfall/standin/etcd"
	"bramleyfall.example/bramleyfall/standin/fabric"
	"bramleyfall.example/bramleyfall/standin/upstreams"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// names lists the stand-ins.
const names = "platform, fabric, caller, upstream, http3-caller, http3-upstream"

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(os.Stderr, "standin: expected one of", names)
		return settings.ExitUsage
	}
	programs := map[string]func([]string) int{
		"platform": runPlatform, "fabric": runFabric, "caller": runCaller, "upstream": runUpstream,
		"http3-caller": runHTTP3Caller, "http3-upstream": runHTTP3Upstream,
	}
	program, ok := programs[args[0]]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: unknown stand-in %q; expected one of %s\n", args[0], names)
		return settings.ExitUsage
	}
	return program(args[1:])
}

func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func runPlatform(args []string) int {
	s := settings.New("standin platform", "stands in for the platform's key-value service")
	listen := s.String("listen", "127.0.0.1:2379", "address of the API")
	return settings.Run(s, args, func() { s.Endpoint("listen", *listen) }, func() error {
		ctx, stop := untilSignal()
		defer stop()
		return serveHTTP(ctx, *listen, etcd.NewServer(etcd.NewStore(bramleyfall.SystemClock())).Handler())
	})
}

func runFabric(args []string) int {
	s := settings.New("standin fabric", "stands in for the fabric that sprays packets over the balancers")
	callersAt := s.String("callers", "127.0.0.1:6000", "address that callers send to (UDP)")
	inside := s.String("inside", "127.0.0.1:6001", "address that agents and balancers send to (UDP)")
	admin := s.String("admin", "127.0.0.1:6002", "address of the switches (HTTP)")
	balancers := s.String("balancers", "", "balancers as packets@ready-address, separated by commas")
	relays := s.String("relays", "", "relays as listen=target@domain/instance/kind, separated by commas")
	delay := s.Duration("delay", 0, "delay of each packet")
	jitter := s.Duration("jitter", 0, "random delay on top, which reorders packets")
	loss := s.Float64("loss", 0, "share of packets that are lost")
	relayLoss := s.Float64("relay-loss", 0, "share of datagrams between failure domains that are lost")
	seed := s.Uint64("seed", 1, "seed of the random choices")
	var c fabric.Config
	var carried []fabric.Relay
	check := func() {
		c = fabric.Config{
			Callers: s.Endpoint("callers", *callersAt), Inside: s.Endpoint("inside", *inside),
			Delay: *delay, Jitter: *jitter, Loss: *loss, Seed: *seed,
		}
		for _, text := range s.Names(*balancers) {
			packets, ready, _ := strings.Cut(text, "@")
			c.Balancers = append(c.Balancers, fabric.Balancer{
				Packets: s.Endpoint("balancers", packets), Ready: "http://" + ready + "/ready",
			})
		}
		for _, text := range s.Names(*relays) {
			listen, rest, _ := strings.Cut(text, "=")
			target, who, _ := strings.Cut(rest, "@")
			domain, name, _ := strings.Cut(who, "/")
			carried = append(carried, fabric.Relay{
				Listen: s.Endpoint("relays", listen), Target: s.Endpoint("relays", target), Name: name, Domain: domain,
			})
		}
	}
	return settings.Run(s, args, check, func() error {
		ctx, stop := untilSignal()
		defer stop()
		f, err := fabric.New(c)
		if err != nil {
			return err
		}
		r := fabric.NewRelays(carried, *relayLoss)
		if err := r.Run(ctx); err != nil {
			return err
		}
		go f.Run(ctx)
		return serveHTTP(ctx, *admin, f.Handler(r))
	})
}

func runUpstream(args []string) int {
	s := settings.New("standin upstream", "stands in for a server")
	id := s.String("id", "", "name of the upstream")
	service := s.String("service", "", "service that it runs")
	listen := s.String("listen", "", "address for tunnelled packets (UDP)")
	agent := s.String("agent", "", "address of the agent beside it (UDP)")
	health := s.String("health", "", "address of the health endpoint (HTTP)")
	slots := s.Int("slots", 5, "requests run at once")
	connections := s.Int("connections", 2000, "open connections")
	cold := s.Duration("cold", 0, "time from a start until all slots are usable")
	work := s.Duration("work", 20*time.Millisecond, "time that an order takes")
	ledger := s.String("ledger", "", "file that orders are written to when they run")
	var c upstreams.Config
	check := func() {
		s.Required("id", *id)
		s.Required("service", *service)
		s.Required("ledger", *ledger)
		s.Required("health", *health)
		c = upstreams.Config{
			ID: *id, Service: *service, Listen: s.Endpoint("listen", *listen), Agent: s.Endpoint("agent", *agent),
			Slots: *slots, Connections: *connections, Cold: *cold, Work: *work, Ledger: *ledger,
		}
	}
	return settings.Run(s, args, check, func() error {
		ctx, stop := untilSignal()
		defer stop()
		u, err := upstreams.New(c)
		if err != nil {
			return err
		}
		go u.Run(ctx)
		return serveHTTP(ctx, *health, u.Handler())
	})
}

func runCaller(args []string) int {
	s := settings.New("standin caller", "stands in for callers; prints what they saw when it is stopped")
	name := s.String("name", "caller", "name of the callers; part of the order ids")
	listen := s.String("listen", "127.0.0.1:5000", "address for tunnelled packets (UDP)")
	fabricAt := s.String("fabric", "", "address of the fabric (UDP)")
	orders := s.String("orders", "", "service@address for orders")
	feeds := s.String("feeds", "", "service@address for feeds")
	files := s.String("files", "", "service@address for files")
	dealers := s.Int("dealers", 0, "callers that place orders")
	shoppers := s.Int("shoppers", 0, "callers that place each order over a connection of its own")
	viewers := s.Int("viewers", 0, "callers that hold feeds open")
	fitters := s.Int("fitters", 0, "callers that fetch files")
	interval := s.Duration("pause", 100*time.Millisecond, "time between two requests of a caller")
	deadline := s.Duration("deadline", 8*time.Second, "time for the answer to a request")
	duration := s.Duration("duration", time.Hour, "time to call for")
	answered := s.String("answered", "", "file that the ids of answered orders are written to")
	seed := s.Uint64("seed", 1, "seed of the sequence numbers")
	var c callers.Config
	check := func() {
		s.Required("answered", *answered)
		c = callers.Config{
			Name: *name, Listen: s.Endpoint("listen", *listen), Fabric: s.Endpoint("fabric", *fabricAt),
			Orders: target(s, "orders", *orders), Feeds: target(s, "feeds", *feeds), Files: target(s, "files", *files),
			Dealers: *dealers, Shoppers: *shoppers, Viewers: *viewers, Fitters: *fitters, Pause: *interval, Deadline: *deadline, Seed: *seed,
		}
		c.IP = c.Listen.IP
	}
	return settings.Run(s, args, check, func() error { return call(c, *answered, *duration) })
}

func target(s *settings.Set, name, text string) callers.Target {
	if text == "" {
		return callers.Target{}
	}
	service, address, _ := strings.Cut(text, "@")
	return callers.Target{Service: service, Endpoint: s.Endpoint(name, address)}
}

func call(config callers.Config, answered string, duration time.Duration) error {
	ctx, stop := untilSignal()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	file, err := os.Create(answered)
	if err != nil {
		return err
	}
	config.Answered = func(id string) { _, _ = fmt.Fprintln(file, id) }
	c, err := callers.New(config)
	if err != nil {
		return err
	}
	go loopProgress(ctx, c)
	c.Run(ctx)
	fmt.Println("Caller Final=true", &c.Counts)
	return file.Close()
}

// loopProgress prints what the callers saw so far, once a second.
func loopProgress(ctx context.Context, c *callers.Callers) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Println("Caller Final=false", &c.Counts)
		}
	}
}
