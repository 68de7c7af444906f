// Program standin runs stand-ins (test doubles) for the systems around the load
// balancer: the platform's key-value store, the network fabric, callers and
// upstreams. The scenario program and the demo start it; it is not for
// production use.
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

// standinNames lists the values of the first command-line argument.
const standinNames = "platform, fabric, caller, upstream, http3-caller, http3-upstream"

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(os.Stderr, "standin: expected one of", standinNames)
		return settings.ExitUsage
	}
	programs := map[string]func([]string) int{
		"platform": runPlatform, "fabric": runFabric, "caller": runCaller, "upstream": runUpstream,
		"http3-caller": runHTTP3Caller, "http3-upstream": runHTTP3Upstream,
	}
	program, ok := programs[args[0]]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: unknown stand-in %q; expected one of %s\n", args[0], standinNames)
		return settings.ExitUsage
	}
	return program(args[1:])
}

// signalContext returns a context that is cancelled on SIGTERM or an interrupt.
func signalContext() (context.Context, context.CancelFunc) {
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
	s := settings.New("standin platform", "simulates the platform's key-value store (etcd)")
	listen := s.String("listen", "127.0.0.1:2379", "address of the API (HTTP)")
	return settings.Run(s, args, func() { s.Endpoint("listen", *listen) }, func() error {
		ctx, stop := signalContext()
		defer stop()
		return serveHTTP(ctx, *listen, etcd.NewServer(etcd.NewStore(bramleyfall.SystemClock())).Handler())
	})
}

func runFabric(args []string) int {
	s := settings.New("standin fabric", "simulates the fabric, which sends each packet to a random ready balancer")
	callersAddress := s.String("callers", "127.0.0.1:6000", "address for packets from callers (UDP)")
	inside := s.String("inside", "127.0.0.1:6001", "address for packets from agents and balancers (UDP)")
	admin := s.String("admin", "127.0.0.1:6002", "address of the fault-injection API (HTTP)")
	balancers := s.String("balancers", "", "comma-separated balancers, each packet-address@readiness-address")
	relays := s.String("relays", "", "comma-separated relays, each listen=target@domain/instance/kind")
	delay := s.Duration("delay", 0, "delay added to each packet")
	jitter := s.Duration("jitter", 0, "maximum additional random delay of each packet; reorders packets")
	loss := s.Float64("loss", 0, "fraction of packets to drop")
	relayLoss := s.Float64("relay-loss", 0, "fraction of datagrams and new connections between failure domains to drop")
	seed := s.Uint64("seed", 1, "seed for random choices")
	var c fabric.Config
	var relayConfigs []fabric.Relay
	check := func() {
		c = fabric.Config{
			Callers: s.Endpoint("callers", *callersAddress), Inside: s.Endpoint("inside", *inside),
			Delay: *delay, Jitter: *jitter, Loss: *loss, Seed: *seed,
		}
		for _, value := range s.Names(*balancers) {
			packets, ready, _ := strings.Cut(value, "@")
			c.Balancers = append(c.Balancers, fabric.Balancer{
				Packets: s.Endpoint("balancers", packets), ReadyURL: "http://" + ready + "/ready",
			})
		}
		for _, value := range s.Names(*relays) {
			listen, destination, _ := strings.Cut(value, "=")
			target, instance, _ := strings.Cut(destination, "@")
			domain, relayName, _ := strings.Cut(instance, "/")
			relayConfigs = append(relayConfigs, fabric.Relay{
				Listen: s.Endpoint("relays", listen), Target: s.Endpoint("relays", target), Name: relayName, Domain: domain,
			})
		}
	}
	return settings.Run(s, args, check, func() error {
		ctx, stop := signalContext()
		defer stop()
		f, err := fabric.New(c)
		if err != nil {
			return err
		}
		relaySet := fabric.NewRelays(relayConfigs, *relayLoss)
		if err := relaySet.Run(ctx); err != nil {
			return err
		}
		go f.Run(ctx)
		return serveHTTP(ctx, *admin, f.Handler(relaySet))
	})
}

func runUpstream(args []string) int {
	s := settings.New("standin upstream", "simulates an upstream")
	id := s.String("id", "", "name of the upstream")
	service := s.String("service", "", "service that the upstream provides")
	listen := s.String("listen", "", "address for tunnelled packets (UDP)")
	agent := s.String("agent", "", "address of the upstream's agent (UDP)")
	health := s.String("health", "", "address of the health endpoint (HTTP)")
	slots := s.Int("slots", 5, "number of request slots; more than four requests per slot are shed")
	maxConnections := s.Int("connections", 2000, "maximum number of open connections")
	coldPeriod := s.Duration("cold", 0, "time after a start until all slots are usable")
	executionTime := s.Duration("work", 20*time.Millisecond, "execution time of an order")
	executionLog := s.String("ledger", "", "file to which each order is appended when it is executed")
	var c upstreams.Config
	check := func() {
		s.Required("id", *id)
		s.Required("service", *service)
		s.Required("ledger", *executionLog)
		s.Required("health", *health)
		c = upstreams.Config{
			ID: *id, Service: *service, Listen: s.Endpoint("listen", *listen), Agent: s.Endpoint("agent", *agent),
			Slots: *slots, MaxConnections: *maxConnections, ColdPeriod: *coldPeriod, ExecutionTime: *executionTime, ExecutionLog: *executionLog,
		}
	}
	return settings.Run(s, args, check, func() error {
		ctx, stop := signalContext()
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
	s := settings.New("standin caller", "simulates callers; prints their counts every second and at exit")
	name := s.String("name", "caller", "name of the callers; prefix of the order ids")
	listen := s.String("listen", "127.0.0.1:5000", "address for tunnelled packets (UDP)")
	fabricAddress := s.String("fabric", "", "address of the fabric (UDP)")
	orders := s.String("orders", "", "service@address for orders")
	feeds := s.String("feeds", "", "service@address for feeds")
	files := s.String("files", "", "service@address for files")
	persistentOrderCallers := s.Int("dealers", 0, "number of callers that send orders over a persistent connection")
	singleOrderCallers := s.Int("shoppers", 0, "number of callers that open a new connection for each order")
	feedCallers := s.Int("viewers", 0, "number of callers that each hold a feed open")
	fileCallers := s.Int("fitters", 0, "number of callers that fetch files, each over a new connection")
	pause := s.Duration("pause", 100*time.Millisecond, "time between requests of a caller")
	deadline := s.Duration("deadline", 8*time.Second, "maximum time to wait for the response to a request")
	duration := s.Duration("duration", time.Hour, "time to run")
	answered := s.String("answered", "", "file to which the ids of answered orders are written")
	seed := s.Uint64("seed", 1, "seed for the initial TCP sequence numbers")
	var c callers.Config
	check := func() {
		s.Required("answered", *answered)
		c = callers.Config{
			Name: *name, Listen: s.Endpoint("listen", *listen), Fabric: s.Endpoint("fabric", *fabricAddress),
			Orders: parseTarget(s, "orders", *orders), Feeds: parseTarget(s, "feeds", *feeds), Files: parseTarget(s, "files", *files),
			PersistentOrderCallers: *persistentOrderCallers, SingleOrderCallers: *singleOrderCallers,
			FeedCallers: *feedCallers, FileCallers: *fileCallers,
			Pause: *pause, Deadline: *deadline, Seed: *seed,
		}
		c.IP = c.Listen.IP
	}
	return settings.Run(s, args, check, func() error { return simulateCallers(c, *answered, *duration) })
}

// parseTarget parses a flag value of the form service@address.
func parseTarget(s *settings.Set, flagName, value string) callers.Target {
	if value == "" {
		return callers.Target{}
	}
	service, address, _ := strings.Cut(value, "@")
	return callers.Target{Service: service, Endpoint: s.Endpoint(flagName, address)}
}

// simulateCallers runs the callers until the duration has passed or a signal
// arrives, and writes the ids of answered orders to the file answeredPath.
func simulateCallers(config callers.Config, answeredPath string, duration time.Duration) error {
	ctx, stop := signalContext()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	file, err := os.Create(answeredPath)
	if err != nil {
		return err
	}
	config.OnAnswered = func(id string) { _, _ = fmt.Fprintln(file, id) }
	c, err := callers.New(config)
	if err != nil {
		return err
	}
	go loopPrintCounts(ctx, c)
	c.Run(ctx)
	fmt.Println("Caller Final=true", &c.Counts)
	return file.Close()
}

// loopPrintCounts prints the current counts once a second.
func loopPrintCounts(ctx context.Context, c *callers.Callers) {
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
