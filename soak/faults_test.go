package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"bramleyfall.example/bramleyfall/platform/platformtest"
)

// fault disturbs the fleet. It returns when the fleet is as it was before.
type fault struct {
	name   string
	weight int
	play   func(f *fleet, r *rand.Rand)
}

var faults = []fault{
	{"balancer killed", 3, func(f *fleet, r *rand.Rand) { f.disturbBalancer(r, (*machine).replaceKilled) }},
	{"balancer paused", 3, func(f *fleet, r *rand.Rand) { f.disturbBalancer(r, (*machine).freeze) }},
	{"balancer replaced", 3, func(f *fleet, r *rand.Rand) { f.disturbBalancer(r, (*machine).replace) }},
	{"agent killed", 3, func(f *fleet, r *rand.Rand) { f.disturbAgent(r, (*machine).replaceKilled) }},
	{"agent paused", 3, func(f *fleet, r *rand.Rand) { f.disturbAgent(r, (*machine).freeze) }},
	{"agent replaced", 3, func(f *fleet, r *rand.Rand) { f.disturbAgent(r, (*machine).replace) }},
	{"server killed", 3, func(f *fleet, r *rand.Rand) { f.disturbAgent(r, (*machine).replaceServer) }},
	{"server drained", 3, func(f *fleet, r *rand.Rand) { f.disturbAgent(r, (*machine).drainServer) }},
	{"agents killed together", 1, agentsKilled},
	{"store", 4, storeFault},
	{"way to the store", 4, proxyFault},
	{"leases lapsed", 2, func(f *fleet, _ *rand.Rand) { f.store.RevokeLeases() }},
	{"history dropped", 2, func(f *fleet, _ *rand.Rand) { f.store.DropHistory() }},
	{"watches deaf", 2, func(f *fleet, _ *rand.Rand) {
		f.disturbStore(0)
		f.store.StallWatches()
	}},
	{"configuration", 4, func(f *fleet, _ *rand.Rand) { f.configure() }},
	{"zone taken out", 1, zoneOut},
}

func pickFault(r *rand.Rand) *fault {
	total := 0
	for i := range faults {
		total += faults[i].weight
	}
	at := r.IntN(total)
	for i := range faults {
		if at -= faults[i].weight; at < 0 {
			return &faults[i]
		}
	}
	return &faults[0]
}

// lasting returns how long a fault lasts: mostly short, sometimes long.
func lasting(r *rand.Rand) time.Duration {
	const shortest, longest = 50 * time.Millisecond, 3 * time.Second
	x := r.Float64()
	return shortest + time.Duration(x*x*float64(longest-shortest))
}

// disturbBalancer disturbs one of the balancers, and leaves one alone.
func (f *fleet) disturbBalancer(r *rand.Rand, play func(*machine, time.Duration)) {
	m := f.balancers[r.IntN(len(f.balancers)-1)]
	m.during(lasting(r), play)
}

func (f *fleet) disturbAgent(r *rand.Rand, play func(*machine, time.Duration)) {
	f.agents[r.IntN(len(f.agents))].during(lasting(r), play)
}

// during plays a disturbance of a machine, unless one is under way.
func (m *machine) during(d time.Duration, play func(*machine, time.Duration)) {
	const bound = time.Minute // until it is over
	if !m.calm(0) {
		return
	}
	m.disturb(bound)
	play(m, d)
	m.mu.Lock()
	m.disturbed = time.Now()
	m.mu.Unlock()
}

func (m *machine) replaceKilled(d time.Duration) {
	m.kill()
	time.Sleep(d)
	m.start()
}

func (m *machine) replace(d time.Duration) {
	m.terminate()
	time.Sleep(d)
	m.start()
}

func (m *machine) freeze(d time.Duration) {
	m.signal(syscall.SIGSTOP)
	time.Sleep(d)
	m.signal(syscall.SIGCONT)
}

// replaceServer kills the server; another takes its address.
func (m *machine) replaceServer(d time.Duration) {
	m.server.Kill()
	time.Sleep(d)
	m.startServer()
}

// drainServer has the server leave, as it does in a release, and checks that it
// gets no new flow once that is acknowledged.
func (m *machine) drainServer(d time.Duration) {
	old := m.server
	old.Drain()
	opened := old.Opened()
	time.Sleep(d)
	if n := old.Opened() - opened; n > 0 {
		m.fleet.broken("%s got %d new flows while it drained", m.id, n)
	}
	old.Kill()
	m.startServer()
}

func agentsKilled(f *fleet, r *rand.Rand) {
	d := lasting(r)
	done := make(chan struct{})
	for _, m := range f.agents {
		go func() {
			m.during(d, (*machine).replaceKilled)
			done <- struct{}{}
		}()
	}
	for range f.agents {
		<-done
	}
}

var storeFaults = []platformtest.Fault{
	platformtest.FaultBusy, platformtest.FaultSilent, platformtest.FaultReset, platformtest.FaultLostResponse,
	platformtest.FaultLateWrite, platformtest.FaultSlow,
}

func storeFault(f *fleet, r *rand.Rand) {
	d := lasting(r)
	f.disturbStore(d)
	f.store.SetFault(storeFaults[r.IntN(len(storeFaults))])
	time.Sleep(d)
	f.store.SetFault(platformtest.FaultNone)
	f.disturbStore(0)
}

func proxyFault(f *fleet, r *rand.Rand) {
	all := f.all()
	m := all[r.IntN(len(all))]
	d := lasting(r)
	f.disturbStore(d)
	m.proxy.set(modes[r.IntN(len(modes))])
	time.Sleep(d)
	m.proxy.set(modePass)
	f.disturbStore(0)
}

// zoneOut takes a zone out for some seconds, and checks that no flow is opened
// there once all had the time to learn of it.
func zoneOut(f *fleet, r *rand.Rand) {
	const inForce = 2 * time.Second
	zone := zones[r.IntN(len(zones))]
	f.store.Evacuate(zone, true)
	time.Sleep(inForce)
	before := f.openedIn(zone)
	time.Sleep(lasting(r))
	if n := f.openedIn(zone) - before; n > 0 && f.storeCalm(inForce+time.Second) && f.calmIn(zone, calmFor) {
		f.broken("%d flows were opened in %s, which was out", n, zone)
	}
	f.store.Evacuate(zone, false)
}

func (f *fleet) openedIn(zone string) int {
	n := 0
	for _, m := range f.agents {
		m.mu.Lock()
		if m.zone == zone && m.server != nil {
			n += m.server.Opened()
		}
		m.mu.Unlock()
	}
	return n
}

// calmIn reports whether the machines of a zone weren't disturbed.
func (f *fleet) calmIn(zone string, d time.Duration) bool {
	for _, m := range f.agents {
		if m.zone == zone && !m.calm(d) {
			return false
		}
	}
	return true
}
