package main

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"bramleyfall.example/bramleyfall/review/stand-3/platform"
)

// Settings of the case.
const (
	returnColdFor  = 2 * time.Second // time for which a server is cold
	returnColdRate = 4               // requests a second
	evacuationTime = 4 * time.Second
	// refusalLead is the time from the start of the refusals to the evacuation, and
	// refusalRest that from the end of the evacuation to their end.
	refusalLead = 500 * time.Millisecond
	refusalRest = 1500 * time.Millisecond
	// lull is the time without an opening when the evacuation begins.
	lull            = 600 * time.Millisecond
	evacuationPause = time.Second / 45
	// sinceBeat is the time from a heartbeat of the server to the end of the evacuation.
	sinceBeat = 100 * time.Millisecond
)

// evacuationMissed empties a zone and takes it back while the store turns away the zone's
// agent. The zone's server is cold at the end. It checks FAILBACK.
func evacuationMissed(d *platform.Deployment, t trouble) (bool, error) {
	d.Heartbeat = orwHeartbeat
	d.ColdFor, d.ColdRate = returnColdFor, returnColdRate
	route := d.Route(1)
	d.Configure(15*time.Second, []string{"desk"}, platform.RouteConfig{Route: route, Service: "desk", Type: "unsafe"})
	for n := 1; n <= 2; n++ {
		if _, err := d.Balancer(fmt.Sprintf("edge-%d", n)); err != nil {
			return false, err
		}
	}
	zones := []string{"a", "b", "c"}
	var agents []*platform.Node
	var servers []*platform.Server
	for n, zone := range zones {
		a, err := d.AgentIn(fmt.Sprintf("side-%d", n+1), "desk", zone)
		if err != nil {
			return false, err
		}
		s, err := d.Server(fmt.Sprintf("i-%d", n+1), "desk", a)
		if err != nil {
			return false, err
		}
		agents, servers = append(agents, a), append(servers, s)
	}
	client, err := d.Client()
	if err != nil {
		return false, err
	}
	time.Sleep(leadTime)
	if d.Router.InRotation() != 2 {
		return false, errors.New("the balancers aren't ready when traffic starts")
	}
	stop, busy := make(chan struct{}), new(atomic.Int64)
	go openMany(d, client, route, "before", evacuationPause, busy, stop)
	time.Sleep(3 * time.Second)
	if !t.none() {
		agents[0].Store.Refuse(true)
		d.Record.Printf("the store turns %s away", agents[0].Name)
	}
	time.Sleep(refusalLead)
	// A lull: no flow is in use when the evacuation begins.
	close(stop)
	for busy.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(lull / 2)
	d.Evacuate(zones[0], true)
	time.Sleep(lull / 2)
	stop = make(chan struct{})
	go openMany(d, client, route, "after", evacuationPause, busy, stop)
	time.Sleep(evacuationTime)
	for time.Since(servers[0].LastBeat()) < sinceBeat || time.Since(servers[0].LastBeat()) > 2*sinceBeat {
		time.Sleep(time.Millisecond)
	}
	servers[0].TurnCold(returnColdFor)
	d.Evacuate(zones[0], false)
	time.Sleep(refusalRest)
	if !t.none() {
		agents[0].Store.Refuse(false)
		d.Record.Printf("the store serves %s again", agents[0].Name)
	}
	time.Sleep(returnColdFor)
	close(stop)
	time.Sleep(deadline)
	most := mostInASecond(servers[0].ColdOpenings(), client)
	bound := float64(returnColdRate)*coldOverage + coldSlack
	d.Record.Printf("a cold server took %d openings that were sent and arrived inside one second; the bound is %.0f", most, bound)
	return float64(most) > bound, nil
}
