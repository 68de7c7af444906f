package main

import "time"

// wrongService lets the store turn an edge machine away while the operator replaces a
// route, and opens a flow on the removed route.
func wrongService(w *world) error {
	d, err := w.deployOrders([]string{"kochi", "kollam", "kollam"}, 400*time.Millisecond)
	if err != nil {
		return err
	}
	edge := w.machines[0]
	if w.trouble {
		w.store.TurnAway(edge.name, true)
		time.Sleep(time.Second)
	}
	w.configure(8, 0, d.added)
	time.Sleep(20 * time.Millisecond)
	d.orders.play(d.old, 1500*time.Millisecond)
	time.Sleep(3 * time.Second)
	w.store.TurnAway(edge.name, false)
	time.Sleep(stable + time.Second)
	d.orders.refused = 0
	good, all := d.orders.play(d.added, 20*time.Second)
	w.rec("%d of %d requests on the added route were answered", good, all)
	if d.orders.refused > 0 {
		w.violation("CONFIG: %d of %d openings on the added route were refused", d.orders.refused, all)
	}
	return nil
}
