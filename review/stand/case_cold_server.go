package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"bramleyfall.example/review/stand/platform"
)

// coldServer lets a zone with one edge and one side machine lose power, and return with
// a cold server, while the store is down.
func coldServer(w *world) error {
	const (
		coldPerS = 8
		bound    = coldPerS*1.5 + 5
		rate     = 170 // openings a second for three servers
	)
	r := platform.Route{Host: fmt.Sprintf("127.%d.8.1", w.net), Port: 8443, Service: "dispatch", Kind: "unsafe"}
	edges, sides, err := w.deploy([]string{"kochi", "kollam"}, []string{"kochi", "kochi", "kollam"}, "dispatch")
	if err != nil {
		return err
	}
	w.configure(3, coldPerS, r)
	if err := w.startServers(sides, 20*time.Millisecond); err != nil {
		return err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c, err := w.newClient(1, "kochi")
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / rate):
			}
			load.Go(func() {
				f, o := c.dial(routeAddr(r))
				if o == answered {
					o = f.request(fmt.Sprintf("o-%d", n), 2*time.Second)
					f.close()
				}
				w.rec("request o-%d: %s", n, o)
			})
		}
	})
	time.Sleep(3 * time.Second)
	m := sides[2]
	if w.trouble {
		if os.Getenv("STORE") != "up" {
			w.store.SetSilent(true)
			w.rec("the store is silent")
		}
		time.Sleep(500 * time.Millisecond)
		w.rec("zone %s loses power", m.zone)
		m.server.crash()
		zone := []*machine{edges[1], m}
		for _, lost := range zone {
			lost.signal(syscall.SIGKILL)
			<-lost.ended
		}
		time.Sleep(1500 * time.Millisecond)
		for _, lost := range zone {
			if err := lost.start(); err != nil {
				return err
			}
		}
		time.Sleep(100 * time.Millisecond)
		if _, err := w.startServer(m, "i-returned", 20*time.Millisecond, 2*time.Second); err != nil {
			return err
		}
		time.Sleep(2200 * time.Millisecond)
		w.store.SetSilent(false)
		w.rec("the store answers again")
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	load.Wait()
	n := m.server.busiestSecond()
	w.rec("while cold, server %s took %d openings in its busiest second; the bound is %d", m.server.id, n, int(bound))
	if n > bound {
		w.violation("FAILBACK: the cold server %s took %d openings within one second; the bound is %d", m.server.id, n, int(bound))
	}
	return nil
}
