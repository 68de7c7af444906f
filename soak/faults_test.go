package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"bramleyfall.example/bramleyfall/platform/platformtest"
)

// fault is a kind of fault. Its inject function returns after the fault has been
// removed again; weight is its relative frequency.
type fault struct {
	name   string
	weight int
	inject func(d *deployment, r *rand.Rand)
}

var faults = []fault{
	{"balancer killed", 3, func(d *deployment, r *rand.Rand) { d.disturbBalancer(r, (*machine).killAndRestart) }},
	{"balancer frozen", 3, func(d *deployment, r *rand.Rand) { d.disturbBalancer(r, (*machine).freeze) }},
	{"balancer restarted", 3, func(d *deployment, r *rand.Rand) { d.disturbBalancer(r, (*machine).restart) }},
	{"agent killed", 3, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).killAndRestart) }},
	{"agent frozen", 3, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).freeze) }},
	{"agent restarted", 3, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).restart) }},
	{"server killed", 3, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).replaceServer) }},
	{"server drained", 3, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).drainServer) }},
	{"agents killed together", 1, restartAllAgents},
	{"store", 4, injectStoreFault},
	{"connection to the store", 4, injectProxyFault},
	{"leases revoked", 2, func(d *deployment, _ *rand.Rand) { d.store.RevokeLeases() }},
	{"history dropped", 2, func(d *deployment, _ *rand.Rand) { d.store.DropHistory() }},
	{"watches stalled", 2, func(d *deployment, _ *rand.Rand) {
		d.markStoreDisturbed(0)
		d.store.StallWatches()
	}},
	{"configuration", 4, func(d *deployment, _ *rand.Rand) { d.writeConfiguration() }},
	{"zone evacuated", 1, evacuateZone},
}

// faultsWithRestores are the faults of all seeds but the regressions from before the
// store could be restored, whose sequence of faults must stay the same.
var faultsWithRestores = append(slices.Clone(faults), fault{"store restored", 4, restoreStore})

// faultsAroundRestores leave the store undisturbed for long enough between two restores
// that the versions in force are checked.
var faultsAroundRestores = []fault{
	{"balancer killed", 1, func(d *deployment, r *rand.Rand) { d.disturbBalancer(r, (*machine).killAndRestart) }},
	{"balancer frozen", 1, func(d *deployment, r *rand.Rand) { d.disturbBalancer(r, (*machine).freeze) }},
	{"agent killed", 1, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).killAndRestart) }},
	{"server killed", 1, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).replaceServer) }},
	{"store restored", 2, restoreStore},
	{"configuration", 4, func(d *deployment, _ *rand.Rand) { d.writeConfiguration() }},
	{"zone evacuated", 1, evacuateZone},
}

// faultsWithLateWrites make agents and balancers end while their writes to the store are
// still to take effect.
var faultsWithLateWrites = []fault{
	{"late writes", 3, injectLateWrites},
	{"balancer killed", 1, func(d *deployment, r *rand.Rand) { d.disturbBalancer(r, (*machine).killAndRestart) }},
	{"balancer restarted", 1, func(d *deployment, r *rand.Rand) { d.disturbBalancer(r, (*machine).restart) }},
	{"agent killed", 5, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).killAndRestart) }},
	{"agent frozen", 1, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).freeze) }},
	{"server killed", 2, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).replaceServer) }},
	{"server left", 3, func(d *deployment, r *rand.Rand) { d.disturbAgent(r, (*machine).leaveAndReplaceServer) }},
	{"agents killed together", 1, restartAllAgents},
	{"leases revoked", 1, func(d *deployment, _ *rand.Rand) { d.store.RevokeLeases() }},
	{"history dropped", 1, func(d *deployment, _ *rand.Rand) { d.store.DropHistory() }},
}

func pickFault(faults []fault, r *rand.Rand) *fault {
	total := 0
	for i := range faults {
		total += faults[i].weight
	}
	point := r.IntN(total)
	for i := range faults {
		if point -= faults[i].weight; point < 0 {
			return &faults[i]
		}
	}
	return &faults[0]
}

// randomDuration returns the duration of a fault. Most are short and a few are
// long.
func randomDuration(r *rand.Rand) time.Duration {
	const shortest, longest = 50 * time.Millisecond, 3 * time.Second
	x := r.Float64()
	return shortest + time.Duration(x*x*float64(longest-shortest))
}

// disturbBalancer disturbs a random balancer. The last balancer is never chosen,
// so that one always keeps running.
func (d *deployment) disturbBalancer(r *rand.Rand, disturbance func(*machine, time.Duration)) {
	m := d.balancers[r.IntN(len(d.balancers)-1)]
	m.runDisturbance(randomDuration(r), disturbance)
}

func (d *deployment) disturbAgent(r *rand.Rand, disturbance func(*machine, time.Duration)) {
	d.agents[r.IntN(len(d.agents))].runDisturbance(randomDuration(r), disturbance)
}

// runDisturbance disturbs a machine, unless another disturbance of it is in
// progress.
func (m *machine) runDisturbance(duration time.Duration, disturbance func(*machine, time.Duration)) {
	const maxDuration = time.Minute // until the disturbance returns
	if !m.undisturbed(0) {
		return
	}
	m.markDisturbed(maxDuration)
	disturbance(m, duration)
	m.mu.Lock()
	m.disturbedUntil = time.Now()
	m.mu.Unlock()
}

// killAndRestart kills the instance by SIGKILL.
func (m *machine) killAndRestart(downtime time.Duration) {
	m.kill()
	time.Sleep(downtime)
	m.start()
}

// restart stops the instance by SIGTERM.
func (m *machine) restart(downtime time.Duration) {
	m.terminate()
	time.Sleep(downtime)
	m.start()
}

func (m *machine) freeze(duration time.Duration) {
	m.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	m.signal(syscall.SIGCONT)
}

// replaceServer kills the server and starts another one at the same address.
func (m *machine) replaceServer(downtime time.Duration) {
	m.server.Kill()
	time.Sleep(downtime)
	m.startServer()
}

// drainServer drains the server as a release does, and checks that it gets no new
// flow once the drain is acknowledged.
func (m *machine) drainServer(duration time.Duration) {
	old := m.server
	old.Drain()
	opened := old.Opened()
	time.Sleep(duration)
	if n := old.Opened() - opened; n > 0 {
		m.deployment.reportViolation("%s got %d new flows while it was draining", m.id, n)
	}
	old.Kill()
	m.startServer()
}

// leaveAndReplaceServer makes the server deregister, and starts another one at the same
// address.
func (m *machine) leaveAndReplaceServer(downtime time.Duration) {
	m.server.Leave()
	time.Sleep(downtime)
	m.startServer()
}

func restartAllAgents(d *deployment, r *rand.Rand) {
	downtime := randomDuration(r)
	done := make(chan struct{})
	for _, m := range d.agents {
		go func() {
			m.runDisturbance(downtime, (*machine).killAndRestart)
			done <- struct{}{}
		}()
	}
	for range d.agents {
		<-done
	}
}

var storeFaults = []platformtest.Fault{
	platformtest.FaultBusy, platformtest.FaultSilent, platformtest.FaultReset, platformtest.FaultLostResponse,
	platformtest.FaultLateWrite, platformtest.FaultSlow,
}

func injectStoreFault(d *deployment, r *rand.Rand) {
	duration := randomDuration(r)
	d.markStoreDisturbed(duration)
	d.store.SetFault(storeFaults[r.IntN(len(storeFaults))])
	time.Sleep(duration)
	d.store.SetFault(platformtest.FaultNone)
	d.markStoreDisturbed(0)
}

// maxLateWriteDelay is the longest delay of a late write.
const maxLateWriteDelay = 6 * time.Second

// injectLateWrites makes the store execute writes 1 to 6 s after their connections were
// closed.
func injectLateWrites(d *deployment, r *rand.Rand) {
	const minDuration, minDelay = time.Second, time.Second
	duration := minDuration + randomDuration(r)
	var mu sync.Mutex // for r
	d.store.SetLateWriteDelay(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return minDelay + time.Duration(r.Int64N(int64(maxLateWriteDelay-minDelay)))
	})
	d.markStoreDisturbed(duration)
	d.store.SetFault(platformtest.FaultLateWrite)
	time.Sleep(duration)
	d.store.SetFault(platformtest.FaultNone)
	d.markStoreDisturbed(0)
}

// restoreStore makes the store fail and come back from an older copy. The operators
// write their keys again some time later.
func restoreStore(d *deployment, r *rand.Rand) {
	const minAge, maxAge = time.Second, 9 * time.Second // of the copy
	d.store.Backup()
	time.Sleep(minAge + time.Duration(r.Int64N(int64(maxAge-minAge))))
	outage, untilRewrite := randomDuration(r)/2, randomDuration(r)/2
	d.markStoreDisturbed(outage + untilRewrite)
	d.store.SetFault(storeFaults[r.IntN(len(storeFaults))])
	time.Sleep(outage)
	rewrite := d.store.Restore()
	d.store.SetFault(platformtest.FaultNone)
	time.Sleep(untilRewrite)
	rewrite()
	d.markStoreDisturbed(0)
}

func injectProxyFault(d *deployment, r *rand.Rand) {
	machines := d.machines()
	m := machines[r.IntN(len(machines))]
	duration := randomDuration(r)
	d.markStoreDisturbed(duration)
	m.proxy.setMode(modes[r.IntN(len(modes))])
	time.Sleep(duration)
	m.proxy.setMode(modePass)
	d.markStoreDisturbed(0)
}

// evacuateZone takes a zone out of service for some seconds, and checks that no
// flow is opened there once the change has reached all balancers and agents.
func evacuateZone(d *deployment, r *rand.Rand) {
	const propagationTime = 2 * time.Second
	zone := zones[r.IntN(len(zones))]
	d.store.Evacuate(zone, true)
	time.Sleep(propagationTime)
	before := d.flowsOpenedIn(zone)
	time.Sleep(randomDuration(r))
	if n := d.flowsOpenedIn(zone) - before; n > 0 && d.storeUndisturbed(propagationTime+time.Second) && d.zoneUndisturbed(zone, recoveryTime) {
		d.reportViolation("%d flows were opened in %s while it was out of service", n, zone)
	}
	d.store.Evacuate(zone, false)
}

func (d *deployment) flowsOpenedIn(zone string) int {
	n := 0
	for _, m := range d.agents {
		m.mu.Lock()
		if m.zone == zone && m.server != nil {
			n += m.server.Opened()
		}
		m.mu.Unlock()
	}
	return n
}

// zoneUndisturbed reports whether no agent's machine in the zone has been disturbed
// for the given duration.
func (d *deployment) zoneUndisturbed(zone string, duration time.Duration) bool {
	for _, m := range d.agents {
		if m.zone == zone && !m.undisturbed(duration) {
			return false
		}
	}
	return true
}
