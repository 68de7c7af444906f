package main

import (
	"fmt"
	"time"
)

// trial lets each server of a service crash and return twice, one server after the
// other. All routes of the service are of type unsafe. Later the operator adds a route.
func trial(w *world) error {
	old := routeConfig{fmt.Sprintf("127.%d.8.1", w.net), 8443, "dispatch", "unsafe"}
	added := routeConfig{fmt.Sprintf("127.%d.8.1", w.net), 8080, "dispatch", "unsafe"}
	_, sides, err := w.deploy([]string{"kochi", "kollam"}, []string{"kochi", "kollam", "kollam"}, "dispatch")
	if err != nil {
		return err
	}
	w.configure(3, 0, old)
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
	o := &orders{w: w, c: c, pause: 100 * time.Millisecond}
	if good, all := o.play(old, 3*time.Second); good != all {
		return fmt.Errorf("%d of %d requests were answered before the disruption", good, all)
	}
	if w.trouble {
		for _, m := range sides {
			for range 2 {
				m.server.crash()
				o.play(old, time.Second)
				if _, err := w.startServer(m, fmt.Sprintf("i-%s-%d", m.name, time.Now().UnixMilli()), 20*time.Millisecond, 2*time.Second); err != nil {
					return err
				}
				o.play(old, 4*time.Second)
			}
		}
	}
	good, all := o.play(old, 6*time.Second)
	w.rec("after the last crash %d of %d requests on the old route were answered", good, all)
	w.configure(8, 0, old, added)
	time.Sleep(4 * time.Second) // config_apply_ms is 3 s
	good, all = o.play(added, 40*time.Second)
	w.rec("%d of %d requests on the added route were answered", good, all)
	if good < all {
		w.violation("CONFIG: %d of %d openings on the added route were refused or not answered, 4 s and more after its version was acknowledged, while all servers are ready", all-good, all)
	}
	return nil
}
