package main

import (
	"fmt"
	"time"

	"bramleyfall.example/review/stand/platform"
)

// deploy adds the machines of a small deployment and starts their processes, and then
// their servers. Every zone has one edge machine.
func (w *world) deploy(zones []string, sideZones []string, service string) (edges, sides []*machine, err error) {
	for _, zone := range zones {
		m, err := w.addMachine("edge", zone, "")
		if err != nil {
			return nil, nil, err
		}
		edges = append(edges, m)
	}
	for _, zone := range sideZones {
		m, err := w.addMachine("side", zone, service)
		if err != nil {
			return nil, nil, err
		}
		sides = append(sides, m)
	}
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return nil, nil, err
		}
	}
	return edges, sides, nil
}

// startServers starts a server on each side machine.
func (w *world) startServers(sides []*machine, work time.Duration) error {
	for _, m := range sides {
		time.Sleep(150 * time.Millisecond)
		if _, err := w.startServer(m, "i-"+m.name, work, 0); err != nil {
			return err
		}
	}
	return nil
}

// orders sends requests, each on a flow of its own.
type orders struct {
	w     *world
	c     *client
	pause time.Duration
	n     int
	// refused counts the openings that were answered with a reset.
	refused int
}

// play sends requests for a time. It returns how many were answered.
func (o *orders) play(r platform.Route, length time.Duration) (good, all int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(o.pause) {
		o.n++
		all++
		id := fmt.Sprintf("o-%d", o.n)
		f, result := o.c.dial(routeAddr(r))
		if result == wasReset {
			o.refused++
		}
		if result == answered {
			result = f.request(id, 2*time.Second)
			f.close()
		}
		o.w.rec("request %s to %s: %s", id, r, result)
		if result == answered {
			good++
		}
	}
	return good, all
}
