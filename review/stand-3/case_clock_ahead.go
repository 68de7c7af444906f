package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"bramleyfall.example/bramleyfall/review/stand-3/platform"
)

const (
	// orwHeartbeat is the heartbeat interval of orw-lagos.
	orwHeartbeat = 770 * time.Millisecond
	// clockAheadBy is how far the time of day of a machine is ahead while its server
	// starts.
	clockAheadBy = 2200 * time.Millisecond
	// stopAfter is the time from the server's start to the SIGTERM of its agent.
	stopAfter = 1600 * time.Millisecond
	// restTime is the time from the server's start to the second requests.
	restTime = 8 * time.Second
	// siteColdFor is the time for which a server of orw-lagos is cold after its start.
	siteColdFor = 2 * time.Second
	// oldServers is the number of servers, of which a release replaces one.
	oldServers = 3
	// openers is the number of users who open flows beside each other, openPause the time
	// between two flows of each, and openUntil the time from the new server's start at
	// which they end.
	openers   = 10
	openPause = 60 * time.Millisecond
	openUntil = 1300 * time.Millisecond
)

// clockAhead replaces the server of a service by a new one, as a release does, whose
// machine's time of day is ahead at that moment and true again before the server's agent
// is stopped and started. It checks FLOW.
func clockAhead(d *platform.Deployment, t trouble) (bool, error) {
	d.Heartbeat, d.ColdFor = orwHeartbeat, siteColdFor
	route := d.Route(1)
	d.Configure(15*time.Second, []string{"desk"}, platform.RouteConfig{Route: route, Service: "desk", Type: "unsafe"})
	for n := 1; n <= 2; n++ {
		if _, err := d.Balancer(fmt.Sprintf("edge-%d", n)); err != nil {
			return false, err
		}
	}
	var servers []*platform.Server
	for n := 1; n <= oldServers; n++ {
		a, err := d.Agent(fmt.Sprintf("side-%d", n), "desk")
		if err != nil {
			return false, err
		}
		s, err := d.Server(fmt.Sprintf("i-%d", n), "desk", a)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	client, err := d.Client()
	if err != nil {
		return false, err
	}
	time.Sleep(leadTime)
	if d.Router.InRotation() != 2 {
		return false, errors.New("the balancers aren't ready when traffic starts")
	}
	d.TrafficStarts()
	newAgent, err := d.Agent("side-4", "desk")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if !t.none() && t != "roll" {
		newAgent.Ahead = clockAheadBy
		d.Record.Printf("the time of day of side-4 is %v ahead", clockAheadBy)
	}
	newServer, err := d.Server("i-4", "desk", newAgent)
	if err != nil {
		return false, err
	}
	born := time.Now()
	time.Sleep(100 * time.Millisecond)
	servers[0].Drain()
	time.Sleep(150 * time.Millisecond)
	flows := openFlows(d, client, route, born.Add(openUntil))
	onNew := 0
	for _, f := range flows {
		if newServer.Holds(f) {
			onNew++
		}
	}
	d.Record.Printf("%d flows are open %.3f s after the new server's start, %d of them at it", len(flows), time.Since(born).Seconds(), onNew)
	if onNew == 0 || time.Since(born) > stopAfter {
		return false, errors.New("no flow has opened at the new server in time")
	}
	time.Sleep(time.Until(born.Add(stopAfter)))
	d.Record.Printf("the time of day of side-4 is true")
	if !t.none() && t != "clock" {
		newAgent.Signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(born.Add(restTime)))
	resets := 0
	for n, f := range flows {
		outcome := f.Request(fmt.Sprintf("second-%d", n+1), "POST", 4*time.Second)
		d.Record.Printf("flow %d, at the new server: %v: second request: %s", n+1, newServer.Holds(f), outcome)
		if outcome == platform.Reset {
			resets++
		}
	}
	d.Record.Printf("%d of %d open flows were reset by the system while their server lives; %d are at the new server", resets, len(flows), onNew)
	return resets > 0, nil
}

// openFlows opens flows of a route, some beside each other, and returns those on which a
// first request was served.
func openFlows(d *platform.Deployment, client *platform.Client, route netip.AddrPort, until time.Time) []*platform.ClientFlow {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var flows []*platform.ClientFlow
	for k := 1; k <= openers; k++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 1; time.Now().Before(until); n++ {
				f, outcome := client.Open(route)
				if f == nil {
					d.Record.Printf("flow %d.%d doesn't open: %s", k, n, outcome)
					continue
				}
				outcome = f.Request(fmt.Sprintf("first-%d.%d", k, n), "POST", deadline)
				d.Record.Printf("flow %d.%d: first request: %s", k, n, outcome)
				if outcome == platform.Served {
					mu.Lock()
					flows = append(flows, f)
					mu.Unlock()
				}
				time.Sleep(openPause)
			}
		}()
	}
	wg.Wait()
	return flows
}
