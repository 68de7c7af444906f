package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

const (
	// firstHeartbeatEvery is the time between heartbeats until a balancer
	// answers.
	firstHeartbeatEvery = 500 * time.Millisecond
	// upstreamWait is the longest time for which a started agent says nothing
	// because it does not know its upstream yet: a record without a boot id would
	// take the upstream of an agent that was replaced out of the tables.
	upstreamWait = 2 * time.Second
	// silentHeartbeats is the number of unanswered heartbeats after which an
	// agent looks for other watchers.
	silentHeartbeats = 3
)

// Announcer is an agent's part in membership: it sends heartbeats to the
// balancers that watch it and takes the configuration that concerns it from
// their answers. It is not safe for concurrent use.
type Announcer struct {
	self     bramleyfall.Member
	state    *configuration.State
	revision bramleyfall.Revision
	seeds    []bramleyfall.Endpoint
	// watchers are the balancers that watch the agent, the first one first.
	watchers     []watcher
	watchersHash uint64
	fallbacks    []bramleyfall.Endpoint
	every        time.Duration
	next         time.Time
	sequence     uint64
	flows        int
	busy         int
	// started is the time of the first tick.
	started time.Time
	random  *rand.Rand
	out     []Outgoing
}

// watcher is a balancer that watches the agent.
type watcher struct {
	control bramleyfall.Endpoint
	domain  bramleyfall.DomainName
	// heard is the time of its last answer, known the version that it showed.
	heard time.Time
	known uint64
	// next is the time of the next heartbeat to it.
	next time.Time
}

// NewAnnouncer returns the announcer of an agent. Seeds are balancers to ask
// first.
func NewAnnouncer(self bramleyfall.Member, seeds []bramleyfall.Endpoint, seed uint64) *Announcer {
	self.Role = bramleyfall.RoleAgent
	self.State = bramleyfall.MemberDraining
	self.Version = max(self.Version, 1)
	return &Announcer{
		self:   self,
		state:  configuration.New(),
		seeds:  seeds,
		every:  firstHeartbeatEvery,
		random: rand.New(rand.NewPCG(seed, uint64(self.Key()))),
	}
}

// State returns the part of the configuration that concerns the agent.
func (a *Announcer) State() *configuration.State { return a.state }

// Revision returns the revision up to which the agent has what concerns it.
func (a *Announcer) Revision() bramleyfall.Revision { return a.revision }

// Self returns the agent's own record.
func (a *Announcer) Self() bramleyfall.Member { return a.self }

// Announce sets whether the upstream takes new flows, and its boot id. A change
// is sent at once.
func (a *Announcer) Announce(serving bool, upstreamBoot bramleyfall.BootID) {
	event := eventDrained
	if serving {
		event = eventReturned
	}
	state, changed := nextState(a.self.State, event)
	if !changed && a.self.UpstreamBoot == upstreamBoot {
		return
	}
	a.self.State = state
	a.self.UpstreamBoot = upstreamBoot
	a.self.Version++
	a.hurryAll()
}

// SetLoad sets the load that heartbeats report.
func (a *Announcer) SetLoad(flows, busy int) { a.flows, a.busy = flows, busy }

// hurryAll makes a heartbeat to all watchers due.
func (a *Announcer) hurryAll() {
	a.next = time.Time{}
	for i := range a.watchers {
		a.watchers[i].next = time.Time{}
	}
}

// ExpediteHeartbeat makes the next heartbeat to the first watcher due, because a packet
// showed a newer revision.
func (a *Announcer) ExpediteHeartbeat(revision bramleyfall.Revision, now time.Time) {
	if revision > a.revision && len(a.watchers) > 0 && a.watchers[0].next.After(now.Add(firstHeartbeatEvery/2)) {
		a.watchers[0].next = now.Add(firstHeartbeatEvery / 10)
	}
}

// Tick returns the heartbeats that are due at now.
func (a *Announcer) Tick(now time.Time) []Outgoing {
	a.out = nil
	if a.started.IsZero() {
		a.started = now
	}
	if a.self.UpstreamBoot == 0 && now.Sub(a.started) < upstreamWait {
		return nil
	}
	answered := false
	for i := range a.watchers {
		w := &a.watchers[i]
		answered = answered || a.answers(w, now)
		if now.Before(w.next) {
			continue
		}
		every := a.every
		if i > 0 && a.answers(&a.watchers[0], now) {
			every *= standbyFactor
		}
		w.next = now.Add(a.jittered(every))
		a.heartbeat(w.control, w.known != a.self.Version)
	}
	if !answered && !now.Before(a.next) {
		a.next = now.Add(a.jittered(firstHeartbeatEvery))
		for _, to := range append(slices.Clone(a.fallbacks), a.seeds...) {
			a.heartbeat(to, true)
		}
	}
	return a.out
}

// answers reports whether a watcher has answered lately.
func (a *Announcer) answers(w *watcher, now time.Time) bool {
	return now.Sub(w.heard) <= silentHeartbeats*a.every
}

// jittered spreads the heartbeats of many agents over time.
func (a *Announcer) jittered(every time.Duration) time.Duration {
	const spread = 0.1
	return time.Duration(float64(every) * (1 + spread*(2*a.random.Float64()-1)))
}

// heartbeat announces the agent, with its whole record where it may not be
// known.
func (a *Announcer) heartbeat(to bramleyfall.Endpoint, whole bool) {
	h := &peerpb.Heartbeat{
		Version: a.self.Version, Revision: uint64(a.revision), WatchersHash: a.watchersHash,
		Flows: uint32(a.flows), Busy: uint32(a.busy),
	}
	if whole {
		h.Member = fromMember(&a.self)
	}
	a.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_Heartbeat{Heartbeat: h}})
}

func (a *Announcer) send(to bramleyfall.Endpoint, d *peerpb.Datagram) {
	a.sequence++
	d.Sender = string(a.self.ID)
	d.Boot = uint64(a.self.Boot)
	d.Sequence = a.sequence
	d.Revision = uint64(a.revision)
	d.Control = fromEndpoint(a.self.Control)
	a.out = append(a.out, Outgoing{To: to, Datagram: d})
}

// Receive handles a datagram whose seal was good and returns the answers.
func (a *Announcer) Receive(d *peerpb.Datagram, now time.Time) []Outgoing {
	a.out = nil
	from := toEndpoint(d.Control)
	switch body := d.Body.(type) {
	case *peerpb.Datagram_HeartbeatAck:
		a.acknowledged(from, body.HeartbeatAck, now)
	case *peerpb.Datagram_Probe:
		a.send(from, probeAck(body.Probe.Nonce))
	}
	return a.out
}

func (a *Announcer) acknowledged(from bramleyfall.Endpoint, ack *peerpb.HeartbeatAck, now time.Time) {
	a.rewatch(ack)
	for i := range a.watchers {
		if a.watchers[i].control == from {
			a.noteAnswer(&a.watchers[i], ack, now)
		}
	}
	a.refute(ack)
	for _, c := range toChanges(ack.Changes) {
		// A malformed change is refused by every instance alike.
		_, _ = a.state.Apply(c)
	}
	if r := bramleyfall.Revision(ack.Revision); r > a.revision {
		a.revision = r
		if len(ack.Changes) > 0 && len(a.watchers) > 0 {
			a.watchers[0].next = time.Time{}
		}
	}
	if ack.NextMillis > 0 {
		a.every = time.Duration(ack.NextMillis) * time.Millisecond
	}
}

// noteAnswer notes what a watcher knows. One that lacks the newest record gets
// it at once.
func (a *Announcer) noteAnswer(w *watcher, ack *peerpb.HeartbeatAck, now time.Time) {
	w.heard = now
	w.known = 0
	if ack.KnownBoot == uint64(a.self.Boot) {
		w.known = ack.KnownVersion
	}
	if w.known < a.self.Version {
		w.next = time.Time{}
	}
}

// refute raises the own version over a record that others hold, such as one
// that calls the agent lost.
func (a *Announcer) refute(ack *peerpb.HeartbeatAck) {
	if ack.KnownBoot == uint64(a.self.Boot) && ack.KnownVersion > a.self.Version {
		a.self.Version = ack.KnownVersion + 1
		a.hurryAll()
	}
}

// Superseded reports whether the ack shows that a newer run uses the same id.
func (a *Announcer) Superseded(d *peerpb.Datagram) bool {
	ack := d.GetHeartbeatAck()
	return ack != nil && ack.KnownBoot > uint64(a.self.Boot)
}

// rewatch takes the watchers that an answer names and notes which failure
// domain watches the agent now.
func (a *Announcer) rewatch(ack *peerpb.HeartbeatAck) {
	if ack.WatchersHash == 0 || ack.WatchersHash == a.watchersHash {
		return
	}
	a.watchersHash = ack.WatchersHash
	old := a.watchers
	a.watchers = nil
	for _, p := range ack.Watchers {
		w := watcher{control: toEndpoint(p.Control), domain: bramleyfall.DomainName(p.Domain)}
		for _, x := range old {
			if x.control == w.control {
				w = x
			}
		}
		a.watchers = append(a.watchers, w)
	}
	a.fallbacks = a.fallbacks[:0]
	for _, w := range ack.Fallbacks {
		a.fallbacks = append(a.fallbacks, toEndpoint(w.Control))
	}
	if len(a.watchers) > 0 && a.self.Home != a.watchers[0].domain {
		a.self.Home = a.watchers[0].domain
		a.self.Version++
		a.hurryAll()
	}
}

// Leave returns the heartbeats that say that the agent stops.
func (a *Announcer) Leave() []Outgoing {
	a.out = nil
	a.self.State, _ = nextState(a.self.State, eventStopped)
	a.self.Version++
	for _, w := range a.watchers {
		a.heartbeat(w.control, true)
	}
	return a.out
}
