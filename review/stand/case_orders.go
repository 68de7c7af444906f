package main

import (
	"fmt"
	"syscall"
	"time"

	"bramleyfall.example/review/stand/platform"
)

const (
	configApply = 3 * time.Second
	recoverIn   = 12 * time.Second
)

// orderDeployment is a small deployment whose only service takes orders.
type orderDeployment struct {
	w          *world
	sides      []*machine
	old, added platform.Route
	orders     *orders
}

// deployOrders starts two edge machines and servers in the given zones, and sends the first orders.
func (w *world) deployOrders(sideZones []string, pause time.Duration) (*orderDeployment, error) {
	host := fmt.Sprintf("127.%d.8.1", w.net)
	d := &orderDeployment{w: w, old: platform.Route{Host: host, Port: 8443, Service: "dispatch", Kind: "unsafe"}, added: platform.Route{Host: host, Port: 8080, Service: "dispatch", Kind: "unsafe"}}
	var err error
	if _, d.sides, err = w.deploy([]string{"kochi", "kollam"}, sideZones, "dispatch"); err != nil {
		return nil, err
	}
	w.configure(3, 0, d.old)
	if err := w.startServers(d.sides, 20*time.Millisecond); err != nil {
		return nil, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c, err := w.newClient(1, "kochi")
	if err != nil {
		return nil, err
	}
	d.orders = &orders{w: w, c: c, pause: pause}
	if good, all := d.orders.play(d.old, 4*time.Second); good != all {
		return nil, fmt.Errorf("%d of %d requests were answered before the disruption", good, all)
	}
	return d, nil
}

// judge plays the final fault and the disruption that follows it, and judges RECOVER.
// It also records, without judging it, how requests on a route fare that is added later.
func (d *orderDeployment) judge(disrupt func() error) error {
	w := d.w
	back := time.Now()
	if w.trouble {
		w.rec("final fault: all processes of the system are killed")
		for _, m := range w.machines {
			m.signal(syscall.SIGKILL)
		}
		d.orders.play(d.old, 1200*time.Millisecond)
		for _, m := range w.machines {
			<-m.ended
			if err := m.start(); err != nil {
				return err
			}
		}
		back = time.Now()
		good, all := d.orders.play(d.old, 3*time.Second)
		w.rec("in the 3 s after the final fault %d of %d requests were answered", good, all)
		if err := disrupt(); err != nil {
			return err
		}
		w.rec("the disruption is over %.1f s after the machines are back", time.Since(back).Seconds())
		d.orders.play(d.old, time.Until(back.Add(recoverIn)))
	}
	good, all := d.orders.play(d.old, 20*time.Second)
	w.rec("later than recover_s after the machines are back %d of %d requests were answered", good, all)
	if 4*good < all {
		w.violation("RECOVER: %d of %d requests sent later than recover_s after the machines are back were served, all before the final fault", good, all)
	}
	w.configure(8, 0, d.old, d.added)
	time.Sleep(configApply + time.Second)
	d.orders.refused = 0
	good, all = d.orders.play(d.added, 20*time.Second)
	w.rec("%d of %d requests on the added route were answered, %d openings were refused", good, all, d.orders.refused)
	return nil
}
