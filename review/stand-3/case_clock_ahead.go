package main

import (
	"errors"
	"fmt"
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
)

// clockAhead replaces the server of a service by a new one, as a release does, whose
// machine's time of day is ahead at that moment and true again before the server's agent
// is stopped and started. It checks FLOW.
func clockAhead(d *platform.Deployment, t trouble) (bool, error) {
	d.Heartbeat = orwHeartbeat
	route := d.Route(1)
	d.Configure(15*time.Second, []string{"desk"}, platform.RouteConfig{Route: route, Service: "desk", Type: "unsafe"})
	for n := 1; n <= 2; n++ {
		if _, err := d.Balancer(fmt.Sprintf("edge-%d", n)); err != nil {
			return false, err
		}
	}
	oldAgent, err := d.Agent("side-1", "desk")
	if err != nil {
		return false, err
	}
	oldServer, err := d.Server("i-1", "desk", oldAgent)
	if err != nil {
		return false, err
	}
	client, err := d.Client()
	if err != nil {
		return false, err
	}
	time.Sleep(leadTime)
	if d.Router.InRotation() != 2 {
		return false, errors.New("the balancers aren't ready when traffic starts")
	}
	newAgent, err := d.Agent("side-2", "desk")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if !t.none() && t != "roll" {
		newAgent.Ahead = clockAheadBy
		d.Record.Printf("the time of day of side-2 is %v ahead", clockAheadBy)
	}
	if _, err := d.Server("i-2", "desk", newAgent); err != nil {
		return false, err
	}
	born := time.Now()
	time.Sleep(100 * time.Millisecond)
	oldServer.Drain()
	time.Sleep(150 * time.Millisecond)
	var flows []*platform.ClientFlow
	for n := 1; n <= 8; n++ {
		f, outcome := client.Open(route)
		if f == nil {
			d.Record.Printf("flow %d doesn't open: %s", n, outcome)
			continue
		}
		outcome = f.Request(fmt.Sprintf("first-%d", n), "POST", deadline)
		d.Record.Printf("flow %d: first request: %s", n, outcome)
		if outcome == platform.Served {
			flows = append(flows, f)
		}
	}
	if len(flows) == 0 {
		return false, errors.New("no flow has opened")
	}
	d.Record.Printf("%d flows are open %.3f s after the server's start", len(flows), time.Since(born).Seconds())
	time.Sleep(time.Until(born.Add(stopAfter)))
	d.Record.Printf("the time of day of side-2 is true")
	if !t.none() && t != "clock" {
		newAgent.Signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(born.Add(restTime)))
	resets := 0
	for n, f := range flows {
		outcome := f.Request(fmt.Sprintf("second-%d", n+1), "POST", 4*time.Second)
		d.Record.Printf("flow %d: second request: %s", n+1, outcome)
		if outcome == platform.Reset {
			resets++
		}
	}
	d.Record.Printf("%d of %d open flows were reset by the system while their server lives", resets, len(flows))
	return resets > 0, nil
}
