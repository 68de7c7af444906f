package main

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"bramleyfall.example/bramleyfall/review/stand-3/platform"
)

// Bounds and settings of the case.
const (
	leadTime = 10 * time.Second // traffic starts that long after the machines
	deadline = 2 * time.Second

	coldFor     = 3 * time.Second // time for which a server is cold
	coldRate    = 20              // requests a second
	coldOverage = 1.5             // factor of the rate
	coldSlack   = 5               // added to it
	manySlots   = 10              // more than a server of ksif-lb (2) or orw-lagos (5) has
	loadPause   = 5 * time.Millisecond
)

// agentKilledCold replaces the server of a service by a new one, as a release does, and
// kills the new server's agent once while the server is cold. It checks FAILBACK.
func agentKilledCold(d *platform.Deployment, t trouble) (bool, error) {
	d.ColdFor, d.ColdRate, d.Slots = coldFor, coldRate, manySlots
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
	d.TrafficStarts()
	stop := make(chan struct{})
	go openMany(d, client, route, "q", loadPause, new(atomic.Int64), stop)
	newAgent, err := d.Agent("side-2", "desk")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	newServer, err := d.Server("i-2", "desk", newAgent)
	if err != nil {
		return false, err
	}
	born := time.Now()
	time.Sleep(time.Until(born.Add(400 * time.Millisecond)))
	oldServer.Drain()
	time.Sleep(time.Until(born.Add(650 * time.Millisecond)))
	if !t.none() {
		newAgent.Signal(syscall.SIGKILL)
	}
	time.Sleep(time.Until(born.Add(coldFor + 500*time.Millisecond)))
	close(stop)
	time.Sleep(deadline)
	most := mostInASecond(newServer.ColdOpenings(), client)
	bound := float64(coldRate)*coldOverage + coldSlack
	d.Record.Printf("a cold server took %d openings that were sent and arrived inside one second; the bound is %.0f", most, bound)
	if most == 0 {
		return false, errors.New("the cold server took no opening")
	}
	return float64(most) > bound, nil
}

// openMany sends requests, each on a flow of its own, until stop is closed. It counts
// the flows in use in busy.
func openMany(d *platform.Deployment, client *platform.Client, route netip.AddrPort, prefix string, pause time.Duration, busy *atomic.Int64, stop <-chan struct{}) {
	ticks := time.NewTicker(pause)
	defer ticks.Stop()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-ticks.C:
		}
		id := fmt.Sprintf("%s-%d", prefix, n)
		busy.Add(1)
		go func() {
			defer busy.Add(-1)
			f, _ := client.Open(route)
			if f == nil {
				return
			}
			d.Record.Printf("request %s: %s", id, f.Request(id, "POST", deadline))
			f.Finish()
		}()
	}
}

// mostInASecond returns the greatest number of openings that were sent and arrived
// inside one second.
func mostInASecond(openings []platform.Opening, client *platform.Client) int {
	type span struct{ sent, taken time.Time }
	var spans []span
	for _, o := range openings {
		spans = append(spans, span{client.OpenedAt(o.Client.Port()), o.At})
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	most := 0
	for _, first := range spans {
		end, n := first.sent.Add(time.Second), 0
		for _, s := range spans {
			if !s.sent.Before(first.sent) && s.taken.Before(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
