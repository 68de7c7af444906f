package main

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"bramleyfall.example/bramleyfall/review/stand-3/platform"
)

const (
	applyTime  = 3 * time.Second // config_apply_ms
	stableTime = 4 * time.Second // stable_ms
)

// routeRemoved removes a route while the store turns one balancer away, and adds
// another route when all is calm again. It checks CONFIG for that route.
func routeRemoved(d *platform.Deployment, t trouble) (bool, error) {
	kept, removed, added := d.Route(1), d.Route(2), d.Route(3)
	config := func(routes ...netip.AddrPort) {
		var rows []platform.RouteConfig
		for _, r := range routes {
			rows = append(rows, platform.RouteConfig{Route: r, Service: "desk", Type: "unsafe"})
		}
		d.Configure(15*time.Second, []string{"desk"}, rows...)
	}
	config(kept, removed)
	var balancers []*platform.Node
	var clients []*platform.Client
	for n := 1; n <= 2; n++ {
		b, err := d.Balancer(fmt.Sprintf("edge-%d", n))
		if err != nil {
			return false, err
		}
		c, err := d.DirectClient(b)
		if err != nil {
			return false, err
		}
		balancers, clients = append(balancers, b), append(clients, c)
	}
	for n := 1; n <= 3; n++ {
		a, err := d.Agent(fmt.Sprintf("side-%d", n), "desk")
		if err != nil {
			return false, err
		}
		if _, err := d.Server(fmt.Sprintf("i-%d", n), "desk", a); err != nil {
			return false, err
		}
	}
	time.Sleep(leadTime)
	if d.Router.InRotation() != len(balancers) {
		return false, errors.New("the balancers aren't ready when traffic starts")
	}
	// try sends requests to a route through a balancer and returns how many were served.
	try := func(name string, route netip.AddrPort, through, count int) (served, resets int) {
		for n := 1; n <= count; n++ {
			id := fmt.Sprintf("%s-%d-%d", name, through+1, n)
			f, outcome := clients[through].Open(route)
			if f != nil {
				outcome = f.Request(id, "POST", deadline)
				f.Finish()
			}
			d.Record.Printf("request %s through %s: %s", id, balancers[through].Name, outcome)
			switch outcome {
			case platform.Served:
				served++
			case platform.Reset:
				resets++
			}
			time.Sleep(100 * time.Millisecond)
		}
		return served, resets
	}
	for through := range balancers {
		if served, _ := try("kept", kept, through, 5); served != 5 {
			return false, errors.New("a request isn't served before the disruption")
		}
		if served, _ := try("removed", removed, through, 1); served != 1 {
			return false, errors.New("a request isn't served before the disruption")
		}
	}
	time.Sleep(500 * time.Millisecond)
	if !t.none() {
		balancers[0].Store.Refuse(true)
		d.Record.Printf("the store turns %s away", balancers[0].Name)
	}
	config(kept)
	time.Sleep(200 * time.Millisecond)
	for through := range balancers {
		try("just-removed", removed, through, 1)
	}
	time.Sleep(2 * time.Second)
	if !t.none() {
		balancers[0].Store.Refuse(false)
		d.Record.Printf("the store serves %s again", balancers[0].Name)
	}
	time.Sleep(stableTime + time.Second)
	config(kept, added)
	time.Sleep(applyTime + time.Second)
	broken := false
	for through, b := range balancers {
		served, resets := try("added", added, through, 10)
		d.Record.Printf("the added route through %s: %d of 10 served, %d reset by the system", b.Name, served, resets)
		broken = broken || resets > 0
		servedKept, _ := try("kept-later", kept, through, 5)
		d.Record.Printf("the kept route through %s: %d of 5 served", b.Name, servedKept)
	}
	return broken, nil
}
