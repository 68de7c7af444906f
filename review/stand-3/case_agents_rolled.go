package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"bramleyfall.example/bramleyfall/review/stand-3/platform"
)

// Bounds of the small deployments.
const (
	leadTime     = 10 * time.Second // traffic starts that long after the machines
	recoverTime  = 12 * time.Second // recover_s
	rollPause    = 2 * time.Second  // gap_s, as in the standard days that roll all machines
	requestPause = 200 * time.Millisecond
	deadline     = 2 * time.Second
	maxTries     = 3 // one attempt and two retries
)

// sent is one request of a client, with all its tries.
type sent struct {
	at     time.Time
	served bool
}

// traffic sends requests, each on a flow of its own, until it is stopped.
type traffic struct {
	record *platform.Record
	client *platform.Client
	route  netip.AddrPort
	stop   chan struct{}
	tasks  sync.WaitGroup

	mu   sync.Mutex
	sent []sent
}

func (t *traffic) loop() {
	defer t.tasks.Done()
	for n := 1; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(requestPause):
		}
		t.tasks.Add(1)
		go t.request(fmt.Sprintf("q%d", n))
	}
}

// request tries again only if the flow never opened.
func (t *traffic) request(id string) {
	defer t.tasks.Done()
	at := time.Now()
	served := false
	for try := 1; try <= maxTries && time.Since(at) < deadline; try++ {
		attempt := fmt.Sprintf("%s-%d", id, try)
		f, outcome := t.client.Open(t.route)
		if f == nil {
			t.record.Printf("request %s: the flow doesn't open: %s", attempt, outcome)
			continue
		}
		outcome = f.Request(attempt, "POST", deadline)
		t.record.Printf("request %s: %s", attempt, outcome)
		served = outcome == platform.Served
		f.Finish()
		break
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = append(t.sent, sent{at, served})
}

// share returns how many requests were sent from one time to another, and which part
// of them was served.
func (t *traffic) share(from, to time.Time) (int, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, served := 0, 0
	for _, s := range t.sent {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		n++
		if s.served {
			served++
		}
	}
	return n, float64(served) / float64(max(1, n))
}

// agentsRolled kills all processes, as at the end of a day, and stops and starts the
// agents in turn during the recovery. It checks RECOVER.
func agentsRolled(d *platform.Deployment, t trouble) (bool, error) {
	route := d.Route(1)
	d.Configure(15*time.Second, []string{"desk"}, platform.RouteConfig{Route: route, Service: "desk", Type: "unsafe"})
	var balancers, agents []*platform.Node
	for n := 1; n <= 2; n++ {
		b, err := d.Balancer(fmt.Sprintf("edge-%d", n))
		if err != nil {
			return false, err
		}
		balancers = append(balancers, b)
	}
	for n := 1; n <= 3; n++ {
		a, err := d.Agent(fmt.Sprintf("side-%d", n), "desk")
		if err != nil {
			return false, err
		}
		agents = append(agents, a)
		if _, err := d.Server(fmt.Sprintf("i-%d", n), "desk", a); err != nil {
			return false, err
		}
	}
	client, err := d.Client()
	if err != nil {
		return false, err
	}
	time.Sleep(leadTime)
	if d.Router.InRotation() != len(balancers) {
		return false, errors.New("the balancers aren't ready when traffic starts")
	}
	tr := &traffic{record: d.Record, client: client, route: route, stop: make(chan struct{})}
	started := time.Now()
	tr.tasks.Add(1)
	go tr.loop()
	time.Sleep(8 * time.Second)
	fault := time.Now()
	if !t.none() && t != "roll" {
		for _, n := range append(balancers, agents...) {
			n.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(2 * time.Second)
	if !t.none() && t != "kill" {
		for _, a := range agents {
			time.Sleep(rollPause)
			a.Signal(syscall.SIGTERM)
		}
	}
	time.Sleep(rollPause)
	back := fault
	for _, n := range append(balancers, agents...) {
		if n.Started().After(back) {
			back = n.Started()
		}
	}
	if t.none() {
		back = time.Now()
	}
	d.Record.Printf("all machines are back since %.3f s", time.Since(back).Seconds())
	time.Sleep(time.Until(back.Add(recoverTime + 10*time.Second)))
	close(tr.stop)
	tr.tasks.Wait()
	sentBefore, before := tr.share(started, fault)
	sentAfter, after := tr.share(back.Add(recoverTime), time.Now())
	d.Record.Printf("before the final fault: %d requests, %.2f served", sentBefore, before)
	d.Record.Printf("later than %v after all machines are back: %d requests, %.2f served", recoverTime, sentAfter, after)
	if before < 0.25 || sentAfter == 0 {
		return false, errors.New("less than a quarter was served before the fault")
	}
	return after < 0.25, nil
}
