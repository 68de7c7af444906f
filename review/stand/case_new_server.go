package main

import (
	"fmt"
	"sync"
	"time"

	"bramleyfall.example/review/stand/platform"
)

// newServer adds a server with its machine, opens a flow at it, and restarts its agent
// by SIGTERM before the server's second heartbeat.
func newServer(w *world) error {
	r := platform.Route{Host: fmt.Sprintf("127.%d.8.1", w.net), Port: 8443, Service: "dispatch", Kind: "unsafe"}
	_, sides, err := w.deploy([]string{"kochi", "kochi"}, []string{"kochi", "kochi", "kochi", "kochi"}, "dispatch")
	if err != nil {
		return err
	}
	w.configure(3, 0, r)
	if err := w.startServers(sides, 20*time.Millisecond); err != nil {
		return err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	c, err := w.newClient(1, "kochi")
	if err != nil {
		return err
	}
	m, err := w.addMachine("side", "kochi", "dispatch")
	if err != nil {
		return err
	}
	if err := m.start(); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := w.startServer(m, "i-new", 20*time.Millisecond, 2*time.Second); err != nil {
		return err
	}
	time.Sleep(50 * time.Millisecond)
	flows := make([]*clientFlow, 80)
	var wg sync.WaitGroup
	for n := range flows {
		wg.Go(func() {
			f, o := c.dial(routeAddr(r))
			if o != answered {
				return
			}
			if f.request(fmt.Sprintf("a-%d", n), 2*time.Second) == answered {
				flows[n] = f
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	if w.trouble {
		if err := m.roll(); err != nil {
			return err
		}
	} else {
		time.Sleep(600 * time.Millisecond)
	}
	// The flows rest until everything has been undisturbed for stable_ms.
	time.Sleep(stable + time.Second)
	for n, f := range flows {
		if f == nil {
			continue
		}
		id := fmt.Sprintf("b-%d", n)
		o := f.request(id, 2*time.Second)
		w.rec("request %s on %s: %s", id, f.key, o)
		if o == wasReset && f.reset {
			w.violation("FLOW: the open flow %s was reset by the system while its server lives", f.key)
		}
	}
	return nil
}
