// Stand-2 runs the scripted cases of the review: it starts the programs of the deploy
// file as separate processes on loopback addresses, plays clients, servers and the
// platform beside them, and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"bramleyfall.example/review-2/platform"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	notAbout = 2
)

var errSetup = errors.New("the case couldn't run")

// cases are the scripted cases by name. They report whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"late-entry":     lateEntry,
	"replaced-route": replacedRoute,
}

func main() { os.Exit(run()) }

func run() int {
	// Pdeathsig ends a child with the thread that started it.
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	folder := flag.String("folder", "", "temporary folder")
	path := flag.String("record", "record.txt", "record of the run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	record, err := platform.NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notAbout
	}
	d, err := newDeployment(*root, *folder, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notAbout
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		d.end()
		os.Exit(notAbout)
	}()
	defer d.end()
	record.Add("case %s, trouble %t", *name, *trouble)
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return notAbout
	}
	bad, err := play(d, *trouble)
	switch {
	case err != nil:
		record.Add("%v", err)
		fmt.Fprintln(os.Stderr, err)
		return notAbout
	case bad:
		record.Add("the rule was BROKEN")
		return broken
	}
	record.Add("the rule held")
	return held
}

const (
	service       = "bookings"
	idleTimeoutMS = 15000
)

var (
	route    = netip.MustParseAddrPort("127.255.0.1:8443")
	newRoute = netip.MustParseAddrPort("127.255.0.2:8443")
)

// small starts two entry nodes and the given number of servers with their agents, writes
// the first configuration and waits until the system is ready.
func small(d *deployment, servers int, work time.Duration) (edges, agents []*process, all []*platform.Server, err error) {
	d.configure(3, route)
	for i := range 2 {
		s := d.machine(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("zone-%d", i+1), "")
		s.StoreAddress = d.edgeGate.Address
		p, err := d.start("balancer", s)
		if err != nil {
			return nil, nil, nil, err
		}
		d.router.Add(s)
		edges = append(edges, p)
	}
	for i := range servers {
		p, v, err := d.server(i+1, work)
		if err != nil {
			return nil, nil, nil, err
		}
		agents, all = append(agents, p), append(all, v)
	}
	for started := time.Now(); d.router.Ready() < len(edges) || len(d.store.Keys("/agents/")) < servers; {
		if time.Since(started) > 10*time.Second {
			return nil, nil, nil, fmt.Errorf("%w: not ready after 10 s", errSetup)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(5 * time.Second) // traffic starts later than the machines
	return edges, agents, all, nil
}

// configure writes a configuration with one route.
func (d *deployment) configure(version int, to netip.AddrPort) {
	d.store.Configure(platform.Configuration{
		Version: version, IdleTimeout: idleTimeoutMS, Services: []string{service},
		Routes: []platform.Route{{Address: to, Kind: "unsafe", Service: service}},
	})
}

// server starts a machine with an agent and its server.
func (d *deployment) server(number int, work time.Duration) (*process, *platform.Server, error) {
	s := d.machine(fmt.Sprintf("side-%d", number), fmt.Sprintf("zone-%d", 1+(number-1)%2), service)
	p, err := d.start("agent", s)
	if err != nil {
		return nil, nil, err
	}
	v, err := platform.NewServer(fmt.Sprintf("i-%d%d", number, time.Now().UnixMilli()%100000), s, 2, work, d.record)
	return p, v, err
}

// client starts a client.
func (d *deployment) client(number int) (*platform.Client, error) {
	return platform.NewClient(fmt.Sprintf("127.%d.2.%d", d.network, number), d.ports.Data, d.router, d.record)
}
