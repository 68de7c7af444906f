package peer

import (
	"math/rand/v2"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

const (
	// firstHeartbeatEvery is the time between heartbeats until a balancer
	// answers.
	firstHeartbeatEvery = 500 * time.Millisecond
	// silentHeartbeats is the number of unanswered heartbeats after which an
	// agent looks for other watchers.
	silentHeartbeats = 3
)

// Announcer is an agent's part in membership: it sends heartbeats to the
// balancers that watch it and takes the configuration that concerns it from
// their answers. It is not safe for concurrent use.
type Announcer struct {
	self      bramleyfall.Member
	state     *configuration.State
	revision  bramleyfall.Revision
	seeds     []bramleyfall.Endpoint
	watchers  map[bramleyfall.Endpoint]time.Time
	fallbacks []bramleyfall.Endpoint
	every     time.Duration
	next      time.Time
	sequence  uint64
	flows     int
	busy      int
	random    *rand.Rand
	out       []Outgoing
}

// NewAnnouncer returns the announcer of an agent. Seeds are balancers to ask
// first.
func NewAnnouncer(self bramleyfall.Member, seeds []bramleyfall.Endpoint, seed uint64) *Announcer {
	self.Role = bramleyfall.RoleAgent
	self.State = bramleyfall.MemberDraining
	self.Version = max(self.Version, 1)
	return &Announcer{
		self:     self,
		state:    configuration.New(),
		seeds:    seeds,
		watchers: make(map[bramleyfall.Endpoint]time.Time),
		every:    firstHeartbeatEvery,
		random:   rand.New(rand.NewPCG(seed, uint64(self.Key()))),
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
	a.next = time.Time{}
}

// SetLoad sets the load that heartbeats report.
func (a *Announcer) SetLoad(flows, busy int) { a.flows, a.busy = flows, busy }

// Hurry makes the next heartbeat due, because a packet showed a newer revision.
func (a *Announcer) Hurry(revision bramleyfall.Revision, now time.Time) {
	if revision > a.revision && a.next.After(now.Add(firstHeartbeatEvery/2)) {
		a.next = now.Add(firstHeartbeatEvery / 10)
	}
}

// Tick returns the heartbeats that are due at now.
func (a *Announcer) Tick(now time.Time) []Outgoing {
	if now.Before(a.next) {
		return nil
	}
	a.next = now.Add(a.jittered())
	return a.heartbeats(now)
}

// jittered spreads the heartbeats of many agents over time.
func (a *Announcer) jittered() time.Duration {
	const spread = 0.1
	return time.Duration(float64(a.every) * (1 + spread*(2*a.random.Float64()-1)))
}

func (a *Announcer) heartbeats(now time.Time) []Outgoing {
	a.out = nil
	h := &peerpb.Heartbeat{
		Member: fromMember(&a.self), Revision: uint64(a.revision),
		Flows: uint32(a.flows), Busy: uint32(a.busy),
	}
	for _, to := range a.targets(now) {
		a.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_Heartbeat{Heartbeat: h}})
	}
	return a.out
}

// targets returns the watchers, or others while no watcher answers.
func (a *Announcer) targets(now time.Time) []bramleyfall.Endpoint {
	var targets []bramleyfall.Endpoint
	answered := false
	for to, heard := range a.watchers {
		targets = append(targets, to)
		answered = answered || now.Sub(heard) <= silentHeartbeats*a.every
	}
	if answered {
		return targets
	}
	targets = append(targets, a.fallbacks...)
	return append(targets, a.seeds...)
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
	a.refute(ack)
	a.rewatch(from, ack, now)
	for _, c := range toChanges(ack.Changes) {
		// A malformed change is refused by every instance alike.
		_, _ = a.state.Apply(c)
	}
	if r := bramleyfall.Revision(ack.Revision); r > a.revision {
		a.revision = r
		a.next = now
	}
	if ack.NextMillis > 0 {
		a.every = time.Duration(ack.NextMillis) * time.Millisecond
	}
}

// refute raises the own version over a record that others hold, such as one
// that calls the agent lost.
func (a *Announcer) refute(ack *peerpb.HeartbeatAck) {
	if ack.KnownBoot == uint64(a.self.Boot) && ack.KnownVersion > a.self.Version {
		a.self.Version = ack.KnownVersion + 1
		a.next = time.Time{}
	}
}

// Superseded reports whether the ack shows that a newer run uses the same id.
func (a *Announcer) Superseded(d *peerpb.Datagram) bool {
	ack := d.GetHeartbeatAck()
	return ack != nil && ack.KnownBoot > uint64(a.self.Boot)
}

// rewatch takes the watchers that an answer names and notes which failure
// domain watches the agent now.
func (a *Announcer) rewatch(from bramleyfall.Endpoint, ack *peerpb.HeartbeatAck, now time.Time) {
	next := make(map[bramleyfall.Endpoint]time.Time, len(ack.Watchers))
	for _, w := range ack.Watchers {
		to := toEndpoint(w.Control)
		next[to] = a.watchers[to]
	}
	if _, ok := next[from]; ok {
		next[from] = now
	}
	a.watchers = next
	a.fallbacks = a.fallbacks[:0]
	for _, w := range ack.Fallbacks {
		a.fallbacks = append(a.fallbacks, toEndpoint(w.Control))
	}
	if len(ack.Watchers) > 0 && a.self.Home != bramleyfall.DomainName(ack.Watchers[0].Domain) {
		a.self.Home = bramleyfall.DomainName(ack.Watchers[0].Domain)
		a.self.Version++
		a.next = time.Time{}
	}
}

// Leave returns the heartbeats that say that the agent stops.
func (a *Announcer) Leave(now time.Time) []Outgoing {
	a.self.State, _ = nextState(a.self.State, eventStopped)
	a.self.Version++
	return a.heartbeats(now)
}
