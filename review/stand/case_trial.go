package main

import (
	"fmt"
	"time"
)

// trial lets each server of a service crash and return twice, one at a time, a few
// seconds after a final fault. All routes of the service are of type unsafe. Later the
// operator adds a route.
func trial(w *world) error {
	d, err := w.deployOrders(100 * time.Millisecond)
	if err != nil {
		return err
	}
	return d.judge(func() error {
		for range 2 {
			for _, m := range d.sides {
				m.server.crash()
				d.orders.play(d.old, 800*time.Millisecond)
				id := fmt.Sprintf("i-%s-%d", m.name, time.Now().UnixMilli())
				if _, err := w.startServer(m, id, 20*time.Millisecond, 2*time.Second); err != nil {
					return err
				}
				d.orders.play(d.old, 500*time.Millisecond)
			}
		}
		return nil
	})
}
