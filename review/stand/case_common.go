package main

import "time"

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
