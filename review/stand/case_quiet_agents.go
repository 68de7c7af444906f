package main

import "time"

// quietAgents restarts the agents of a quiet deployment, one after the other, as the
// platform does for planned work, a few seconds after a final fault. Later the operator
// adds a route.
func quietAgents(w *world) error {
	d, err := w.deployOrders([]string{"kochi", "kollam", "kollam"}, 400*time.Millisecond)
	if err != nil {
		return err
	}
	return d.judge(func() error {
		for _, m := range d.sides {
			done := make(chan error, 1)
			go func() {
				time.Sleep(200 * time.Millisecond) // between two orders
				done <- m.roll()
			}()
			d.orders.play(d.old, 2500*time.Millisecond)
			if err := <-done; err != nil {
				return err
			}
		}
		return nil
	})
}
