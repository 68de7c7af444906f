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
	// initialHeartbeatInterval is the time between heartbeats until a balancer
	// responds.
	initialHeartbeatInterval = 500 * time.Millisecond
	// maxUpstreamWait is the maximum time after its start for which an agent
	// sends no heartbeats because its upstream is unknown. When an agent is
	// replaced while its upstream keeps running, a record without the
	// upstream's boot id would remove the upstream from the routing tables.
	maxUpstreamWait = 2 * time.Second
	// maxUnackedHeartbeats is the number of heartbeat intervals without an
	// acknowledgement after which a monitor counts as unresponsive. When all
	// monitors do, the agent looks for others.
	maxUnackedHeartbeats = 3
)

// Announcer is the agent's side of the membership protocol. It sends heartbeats
// to the balancers that monitor the agent and applies the configuration changes
// in their acknowledgements. It is not safe for concurrent use.
type Announcer struct {
	self     bramleyfall.Member
	state    *configuration.State
	revision bramleyfall.Revision
	// contacts are the configured balancers. The agent sends them heartbeats
	// while no monitor responds.
	contacts []bramleyfall.Endpoint
	// monitors are the balancers that monitor the agent, called watchers in
	// messages. The first is its primary monitor, the others are on standby.
	monitors []monitor
	// monitorsHash is the hash of monitors and fallbacks that the balancer sent
	// with them.
	monitorsHash uint64
	// fallbacks are balancers of other failure domains. The agent sends them
	// heartbeats while no monitor responds.
	fallbacks         []bramleyfall.Endpoint
	heartbeatInterval time.Duration
	// nextDiscovery is the time of the next heartbeats to fallbacks and
	// contacts.
	nextDiscovery time.Time
	sequence      uint64
	flows         int
	busy          int
	firstTick     time.Time
	random        *rand.Rand
	outgoing      []Outgoing
}

// monitor is a balancer that monitors the agent.
type monitor struct {
	control bramleyfall.Endpoint
	domain  bramleyfall.DomainName
	// lastAck is the time of its last acknowledgement.
	lastAck time.Time
	// ackedVersion is the version of the agent's record that it acknowledged,
	// or 0 if it does not hold a record of this run of the agent.
	ackedVersion  uint64
	nextHeartbeat time.Time
}

// NewAnnouncer returns an announcer for the agent self. Contacts are the
// balancers to send the first heartbeats to.
func NewAnnouncer(self bramleyfall.Member, contacts []bramleyfall.Endpoint, seed uint64) *Announcer {
	self.Role = bramleyfall.RoleAgent
	self.State = bramleyfall.MemberDraining
	self.Version = max(self.Version, 1)
	return &Announcer{
		self:              self,
		state:             configuration.New(),
		contacts:          contacts,
		heartbeatInterval: initialHeartbeatInterval,
		random:            rand.New(rand.NewPCG(seed, uint64(self.Key()))),
	}
}

// State returns the agent's copy of the configuration, which contains only the
// changes that affect the agent.
func (a *Announcer) State() *configuration.State { return a.state }

// Revision returns the revision up to which the agent has applied all changes
// that affect it.
func (a *Announcer) Revision() bramleyfall.Revision { return a.revision }

// Self returns the agent's own record.
func (a *Announcer) Self() bramleyfall.Member { return a.self }

// Announce sets the boot id of the upstream and whether it accepts new flows.
// The next Tick sends a change to all monitors.
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
	a.expediteAll()
}

// SetLoad sets the load that heartbeats report.
func (a *Announcer) SetLoad(flows, busy int) { a.flows, a.busy = flows, busy }

// expediteAll makes the next Tick send heartbeats to all monitors.
func (a *Announcer) expediteAll() {
	a.nextDiscovery = time.Time{}
	for i := range a.monitors {
		a.monitors[i].nextHeartbeat = time.Time{}
	}
}

// ExpediteHeartbeat sends the next heartbeat to the primary monitor earlier if
// revision, which a packet carried, is newer than the agent's. The
// acknowledgement then carries the missing changes.
func (a *Announcer) ExpediteHeartbeat(revision bramleyfall.Revision, now time.Time) {
	if revision > a.revision && len(a.monitors) > 0 && a.monitors[0].nextHeartbeat.After(now.Add(initialHeartbeatInterval/2)) {
		a.monitors[0].nextHeartbeat = now.Add(initialHeartbeatInterval / 10)
	}
}

// Tick returns the heartbeats to send at now.
func (a *Announcer) Tick(now time.Time) []Outgoing {
	a.outgoing = nil
	if a.firstTick.IsZero() {
		a.firstTick = now
	}
	if a.self.UpstreamBoot == 0 && now.Sub(a.firstTick) < maxUpstreamWait {
		return nil
	}
	anyResponsive := false
	for i := range a.monitors {
		m := &a.monitors[i]
		anyResponsive = anyResponsive || a.responsive(m, now)
		if now.Before(m.nextHeartbeat) {
			continue
		}
		interval := a.heartbeatInterval
		if i > 0 && a.responsive(&a.monitors[0], now) {
			interval *= standbyFactor
		}
		m.nextHeartbeat = now.Add(a.jittered(interval))
		a.sendHeartbeat(m.control, m.ackedVersion != a.self.Version)
	}
	if !anyResponsive && !now.Before(a.nextDiscovery) {
		a.nextDiscovery = now.Add(a.jittered(initialHeartbeatInterval))
		for _, to := range append(slices.Clone(a.fallbacks), a.contacts...) {
			a.sendHeartbeat(to, true)
		}
	}
	return a.outgoing
}

// responsive reports whether a monitor has acknowledged a heartbeat recently.
func (a *Announcer) responsive(m *monitor, now time.Time) bool {
	return now.Sub(m.lastAck) <= maxUnackedHeartbeats*a.heartbeatInterval
}

// jittered randomizes an interval so that the heartbeats of many agents do not
// synchronize.
func (a *Announcer) jittered(interval time.Duration) time.Duration {
	const spread = 0.1
	return time.Duration(float64(interval) * (1 + spread*(2*a.random.Float64()-1)))
}

// sendHeartbeat sends a heartbeat, with the agent's record if the receiver may
// not have its current version.
func (a *Announcer) sendHeartbeat(to bramleyfall.Endpoint, withRecord bool) {
	heartbeat := &peerpb.Heartbeat{
		Version: a.self.Version, Revision: uint64(a.revision), WatchersHash: a.monitorsHash,
		Flows: uint32(a.flows), Busy: uint32(a.busy),
	}
	if withRecord {
		heartbeat.Member = fromMember(&a.self)
	}
	a.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_Heartbeat{Heartbeat: heartbeat}})
}

func (a *Announcer) send(to bramleyfall.Endpoint, d *peerpb.Datagram) {
	a.sequence++
	d.Sender = string(a.self.ID)
	d.Boot = uint64(a.self.Boot)
	d.Sequence = a.sequence
	d.Revision = uint64(a.revision)
	d.Control = fromEndpoint(a.self.Control)
	a.outgoing = append(a.outgoing, Outgoing{To: to, Datagram: d})
}

// Receive handles an authenticated datagram and returns the datagrams to send
// in response.
func (a *Announcer) Receive(d *peerpb.Datagram, now time.Time) []Outgoing {
	a.outgoing = nil
	from := toEndpoint(d.Control)
	switch body := d.Body.(type) {
	case *peerpb.Datagram_HeartbeatAck:
		a.handleAck(from, body.HeartbeatAck, now)
	case *peerpb.Datagram_Probe:
		a.send(from, probeAck(body.Probe.Nonce))
	}
	return a.outgoing
}

func (a *Announcer) handleAck(from bramleyfall.Endpoint, ack *peerpb.HeartbeatAck, now time.Time) {
	a.updateMonitors(ack)
	for i := range a.monitors {
		if a.monitors[i].control == from {
			a.recordAck(&a.monitors[i], ack, now)
		}
	}
	a.refute(ack)
	for _, c := range toChanges(ack.Changes) {
		// Every instance rejects a malformed change in the same way.
		_, _ = a.state.Apply(c)
	}
	if r := bramleyfall.Revision(ack.Revision); r > a.revision {
		a.revision = r
		if len(ack.Changes) > 0 && len(a.monitors) > 0 {
			a.monitors[0].nextHeartbeat = time.Time{}
		}
	}
	if ack.NextMillis > 0 {
		a.heartbeatInterval = time.Duration(ack.NextMillis) * time.Millisecond
	}
}

// recordAck records which version of the agent's record a monitor has. If that
// version is outdated, the next Tick sends the monitor the current one.
func (a *Announcer) recordAck(m *monitor, ack *peerpb.HeartbeatAck, now time.Time) {
	m.lastAck = now
	m.ackedVersion = 0
	if ack.KnownBoot == uint64(a.self.Boot) {
		m.ackedVersion = ack.KnownVersion
	}
	if m.ackedVersion < a.self.Version {
		m.nextHeartbeat = time.Time{}
	}
}

// refute supersedes a newer record of this run that a balancer holds, such as
// one that declares the agent lost, by raising the agent's own version above
// it.
func (a *Announcer) refute(ack *peerpb.HeartbeatAck) {
	if ack.KnownBoot == uint64(a.self.Boot) && ack.KnownVersion > a.self.Version {
		a.self.Version = ack.KnownVersion + 1
		a.expediteAll()
	}
}

// Superseded reports whether the datagram is an acknowledgement that shows a
// later start of an agent with the same id.
func (a *Announcer) Superseded(d *peerpb.Datagram) bool {
	ack := d.GetHeartbeatAck()
	return ack != nil && ack.KnownBoot > uint64(a.self.Boot)
}

// updateMonitors replaces the monitors and fallbacks by those in an
// acknowledgement. If the failure domain of the primary monitor has changed,
// the agent announces it as its home.
func (a *Announcer) updateMonitors(ack *peerpb.HeartbeatAck) {
	if ack.WatchersHash == 0 || ack.WatchersHash == a.monitorsHash {
		return
	}
	a.monitorsHash = ack.WatchersHash
	previous := a.monitors
	a.monitors = nil
	for _, received := range ack.Watchers {
		m := monitor{control: toEndpoint(received.Control), domain: bramleyfall.DomainName(received.Domain)}
		for _, existing := range previous {
			if existing.control == m.control {
				m = existing
			}
		}
		a.monitors = append(a.monitors, m)
	}
	a.fallbacks = a.fallbacks[:0]
	for _, m := range ack.Fallbacks {
		a.fallbacks = append(a.fallbacks, toEndpoint(m.Control))
	}
	if len(a.monitors) > 0 && a.self.Home != a.monitors[0].domain {
		a.self.Home = a.monitors[0].domain
		a.self.Version++
		a.expediteAll()
	}
}

// Leave returns heartbeats that announce the shutdown of the agent.
func (a *Announcer) Leave() []Outgoing {
	a.outgoing = nil
	a.self.State, _ = nextState(a.self.State, eventStopped)
	a.self.Version++
	for _, m := range a.monitors {
		a.sendHeartbeat(m.control, true)
	}
	return a.outgoing
}
