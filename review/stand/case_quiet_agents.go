package main

import (
	"fmt"
	"time"
)

// quietAgents restarts the agents of a quiet deployment, one after the other, as the
// platform does for planned work. Later the operator adds a route.
func quietAgents(w *world) error {
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
	o := &orders{w: w, c: c, pause: 400 * time.Millisecond}
	if good, all := o.play(old, 4*time.Second); good != all {
		return fmt.Errorf("%d of %d requests were answered before the disruption", good, all)
	}
	if w.trouble {
		for _, m := range sides {
			done := make(chan error, 1)
			go func() {
				time.Sleep(200 * time.Millisecond) // between two orders
				done <- m.roll()
			}()
			o.play(old, 3*time.Second)
			if err := <-done; err != nil {
				return err
			}
		}
	}
	good, all := o.play(old, 6*time.Second)
	w.rec("after the restarts %d of %d requests on the old route were answered", good, all)
	w.configure(8, 0, old, added)
	time.Sleep(5 * time.Second) // config_apply_ms is 3 s
	good, all = o.play(added, 25*time.Second)
	w.rec("%d of %d requests on the added route were answered", good, all)
	goodOld, allOld := o.play(old, 5*time.Second)
	w.rec("%d of %d requests on the old route were answered", goodOld, allOld)
	if good < all {
		w.violation("CONFIG: %d of %d openings on the added route were refused or not answered, 5 s and more after its version was acknowledged, while all servers are ready", all-good, all)
	}
	return nil
}
