package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"bramleyfall.example/bramleyfall/review/stand-3/platform"
)

// crashTime is the time for which a crashed server is down, crashPause the time until
// the next one crashes.
const (
	crashTime  = 500 * time.Millisecond
	crashPause = time.Second
)

// serverRestarted kills all processes, as at the end of a day, and crashes each server of
// a service twice during the recovery, one server at a time. It checks RECOVER.
func serverRestarted(d *platform.Deployment, t trouble) (bool, error) {
	route := d.Route(1)
	d.Configure(15*time.Second, []string{"desk"}, platform.RouteConfig{Route: route, Service: "desk", Type: "unsafe"})
	var balancers, agents []*platform.Node
	var running []*platform.Server
	for n := 1; n <= 2; n++ {
		b, err := d.Balancer(fmt.Sprintf("edge-%d", n))
		if err != nil {
			return false, err
		}
		balancers = append(balancers, b)
	}
	for n := 1; n <= 3; n++ {
		a, err := d.Agent(fmt.Sprintf("side-%d", n), "desk")
		if err != nil {
			return false, err
		}
		s, err := d.Server(fmt.Sprintf("i-%d", n), "desk", a)
		if err != nil {
			return false, err
		}
		agents, running = append(agents, a), append(running, s)
	}
	client, err := d.Client()
	if err != nil {
		return false, err
	}
	time.Sleep(leadTime)
	if d.Router.InRotation() != len(balancers) {
		return false, errors.New("the balancers aren't ready when traffic starts")
	}
	tr := &traffic{record: d.Record, client: client, route: route, stop: make(chan struct{})}
	started := time.Now()
	tr.tasks.Add(1)
	go tr.loop()
	time.Sleep(8 * time.Second)
	fault := time.Now()
	if !t.none() && t != "crash" {
		for _, n := range append(balancers, agents...) {
			n.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(4 * time.Second)
	for round := 1; round <= 2 && !t.none() && t != "kill"; round++ {
		for n := range running {
			running[n].Stop()
			d.Record.Printf("the server beside %s crashes", agents[n].Name)
			time.Sleep(crashTime)
			s, err := d.Server(fmt.Sprintf("i-%d-%d", n+1, round), "desk", agents[n])
			if err != nil {
				return false, err
			}
			running[n] = s
			time.Sleep(crashPause)
		}
	}
	back := time.Now()
	d.Record.Printf("all machines and servers are back")
	time.Sleep(recoverTime + 10*time.Second)
	close(tr.stop)
	tr.tasks.Wait()
	sentBefore, before := tr.share(started, fault)
	sentAfter, after := tr.share(back.Add(recoverTime), time.Now())
	d.Record.Printf("before the final fault: %d requests, %.2f served", sentBefore, before)
	d.Record.Printf("later than %v after all machines and servers are back: %d requests, %.2f served", recoverTime, sentAfter, after)
	if before < 0.25 || sentAfter == 0 {
		return false, errors.New("less than a quarter was served before the fault")
	}
	return after < 0.25, nil
}
