package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bramleyfall.example/review-2/platform"
)

const deadline = 2 * time.Second

// load sends requests all the time, each on a flow of its own, and counts those that are
// sent before the final fault and later than recover_s after the machines are back.
type load struct {
	record *platform.Record
	// phase is 0 before the final fault, 1 until recover_s has passed, 2 later.
	phase        atomic.Int32
	sent, served [3]atomic.Int64
	route        atomic.Pointer[netip.AddrPort]
	stop         chan struct{}
	clients      sync.WaitGroup
}

const (
	phaseBefore = iota
	phaseRecovery
	phaseLater
)

func startLoad(d *deployment) (*load, error) {
	l := &load{record: d.record, stop: make(chan struct{})}
	l.route.Store(&route)
	for n := range 4 {
		c, err := d.client(n + 1)
		if err != nil {
			return nil, err
		}
		l.clients.Add(1)
		go l.loop(c, n)
	}
	return l, nil
}

func (l *load) loop(c *platform.Client, number int) {
	defer l.clients.Done()
	for k := 0; ; k++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(1800+250*number) * time.Millisecond):
		}
		at := l.phase.Load()
		id := fmt.Sprintf("order-%d-%d", number, k)
		f, end := c.Open(*l.route.Load())
		if f != nil {
			end = f.Request(id, "POST", deadline)
			f.Close()
		} else {
			l.record.Add("client: %s: the opening ends with %s", id, end)
		}
		l.sent[at].Add(1)
		if end == "200" {
			l.served[at].Add(1)
		}
	}
}

// recoverTime is recover_s.
const recoverTime = 12 * time.Second

// finish counts the requests from now on for a while, and reports whether less than a
// quarter is served though a quarter or more was before.
func (l *load) finish() (bool, error) {
	const counted = 35 * time.Second
	l.phase.Store(phaseLater)
	time.Sleep(counted)
	close(l.stop)
	l.clients.Wait()
	l.record.Add("before the final fault %d of %d requests were served", l.served[phaseBefore].Load(), l.sent[phaseBefore].Load())
	l.record.Add("later than recover_s after the machines were back %d of %d requests were served", l.served[phaseLater].Load(), l.sent[phaseLater].Load())
	if 4*l.served[phaseBefore].Load() < l.sent[phaseBefore].Load() || l.sent[phaseBefore].Load() == 0 || l.sent[phaseLater].Load() == 0 {
		return false, errSetup
	}
	return 4*l.served[phaseLater].Load() < l.sent[phaseLater].Load(), nil
}

// finalFault kills all processes of the system and starts them again.
func finalFault(processes []*process) error {
	for _, p := range processes {
		p.kill()
	}
	time.Sleep(1200 * time.Millisecond)
	for _, p := range processes {
		if err := p.launch(); err != nil {
			return err
		}
	}
	return nil
}

// replacedRoute kills all processes right after a configuration is acknowledged (the
// final fault) and starts them again. Then the
// store turns the entry nodes away for some seconds, while the operator replaces the
// route by another. Clients use the old route for five more seconds, then the
// new one.
func replacedRoute(d *deployment, trouble bool) (bool, error) {
	edges, agents, _, err := small(d, 5, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	l, err := startLoad(d)
	if err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	l.phase.Store(phaseRecovery)
	d.configure(5, route)
	if trouble {
		if err := finalFault(append(append([]*process(nil), edges...), agents...)); err != nil {
			return false, err
		}
	}
	back := time.Now()
	until := func(after time.Duration) { time.Sleep(time.Until(back.Add(after))) }
	until(3 * time.Second)
	if trouble {
		d.edgeGate.Refuse(true)
	}
	until(4 * time.Second)
	d.configure(7, newRoute)
	until(9 * time.Second)
	l.route.Store(&newRoute)
	until(11 * time.Second)
	if trouble {
		d.edgeGate.Refuse(false)
	}
	until(recoverTime)
	return l.finish()
}

// lateEntry restarts an agent twice; the answer to the first write of the first restart
// is lost and the write is done five seconds later. Half a minute later, an entry node
// is stopped and started as planned. When all machines have been in touch again, clients
// use their flows.
func lateEntry(d *deployment, trouble bool) (bool, error) {
	edges, agents, servers, err := small(d, 2, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	client, err := d.client(1)
	if err != nil {
		return false, err
	}
	var flows []*platform.Flow
	for n := 0; len(flows) < 24 && n < 60; n++ {
		f, _ := client.Open(route)
		if f != nil && f.Request(fmt.Sprintf("first-%d", n), "POST", deadline) == "200" {
			flows = append(flows, f)
		}
	}
	agent := agents[0] // the agent in the zone of the first entry node
	if trouble {
		d.store.LoseAnswerOnce("/"+agent.settings.Node, 5*time.Second)
		agent.kill()
		time.Sleep(300 * time.Millisecond)
		if err := agent.launch(); err != nil {
			return false, err
		}
		time.Sleep(1800 * time.Millisecond) // its server's next heartbeat makes it write its entry
		agent.kill()
		time.Sleep(300 * time.Millisecond)
		if err := agent.launch(); err != nil {
			return false, err
		}
	}
	round, resets := 0, 0
	use := func(judged bool) {
		round++
		for n, f := range flows {
			holder := holds(servers, f)
			if holder == nil {
				continue
			}
			excused := f.Age() > flowLifetime || f.Idle() > idleTimeoutMS*time.Millisecond
			end := f.Request(fmt.Sprintf("round-%d-%d", round, n), "POST", deadline)
			if end == "200" {
				continue
			}
			flows[n] = nil
			if judged && end == "reset" && !excused && holder.Holds(f.Source()) {
				d.record.Add("FLOW: %s was reset while its server %s holds it", f.Source(), holder.ID)
				resets++
			}
		}
	}
	for range 7 {
		time.Sleep(5 * time.Second)
		use(false)
	}
	d.record.Add("entries in the store: %v", d.store.Keys("/agents/"))
	if err := edges[0].restart(500 * time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(5500 * time.Millisecond) // longer than stable_ms: all machines are in touch
	use(true)
	d.record.Add("%d open flows were reset", resets)
	return resets > 0, nil
}

// flowLifetime is flow_lifetime_s.
const flowLifetime = 60 * time.Second

func holds(servers []*platform.Server, f *platform.Flow) *platform.Server {
	if f == nil {
		return nil
	}
	for _, v := range servers {
		if v.Holds(f.Source()) {
			return v
		}
	}
	return nil
}
