// Package admission decides, in the agent beside an upstream, which flows the
// upstream accepts. The upstream itself knows which flows it holds and returns any
// other packet, so an agent that restarts needs no saved flow state.
package admission

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/chart"
)

// Config holds the settings of a Gate.
type Config struct {
	// Service is the service that the upstream serves.
	Service bramleyfall.ServiceName
	// HeartbeatInterval is the time between two heartbeats of the upstream.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is the number of consecutive missed heartbeats after which
	// the upstream is considered away.
	MissedHeartbeats int
	// QueuePerSlot is the maximum number of queued requests per slot once every other
	// upstream has refused the opening. Upstreams can queue a few requests themselves.
	QueuePerSlot float64
	// ObjectiveShare is the fraction of the latency objective within which a queued
	// request must be expected to be answered. The rest is left for network delays.
	ObjectiveShare float64
	// ColdObjectiveShare replaces ObjectiveShare while the upstream is cold.
	ColdObjectiveShare float64
	// LowPriorityQueueShare is the fraction of a standing queue that low-priority
	// requests may use. The rest is reserved for high-priority ones.
	LowPriorityQueueShare float64
	// DenyUnknownFlowsIfNew makes the gate deny unknown flows if the upstream
	// started together with the gate or after it: such an upstream cannot hold flows
	// that the gate has not seen.
	DenyUnknownFlowsIfNew bool
	// OpeningTimeout and RequestTimeout are the times after an unanswered opening or
	// request at which an upstream that has sent no packet since is considered silent.
	OpeningTimeout, RequestTimeout time.Duration
	// SlotReservation is how long an opening occupies a slot while the caller neither
	// completes the handshake nor sends its request, which is expected within this time.
	SlotReservation time.Duration
}

// DefaultConfig returns the default settings, which options may override.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:     time.Second,
		MissedHeartbeats:      3, // one may be lost, one may be late
		QueuePerSlot:          4,
		ObjectiveShare:        0.65,
		ColdObjectiveShare:    0.4,
		LowPriorityQueueShare: 0.5,
		DenyUnknownFlowsIfNew: true,
		OpeningTimeout:        150 * time.Millisecond, // an upstream answers an opening within a millisecond
		RequestTimeout:        time.Second,            // it answers a request after its work, which may be slow
		SlotReservation:       100 * time.Millisecond, // several round trips to a caller
	}
}

// Option configures a Gate.
type Option func(*Config)

// WithService sets the service that the upstream serves.
func WithService(name bramleyfall.ServiceName) Option { return func(c *Config) { c.Service = name } }

// WithHeartbeatInterval sets the time between two heartbeats of the upstream.
func WithHeartbeatInterval(every time.Duration) Option {
	return func(c *Config) { c.HeartbeatInterval = every }
}

// Gate tracks the flows of one upstream and decides on their packets. It is not
// safe for concurrent use.
type Gate struct {
	config   Config
	chart    caller.FlowChart
	flows    map[bramleyfall.Flow]*flow
	snapshot *bramleyfall.Snapshot
	upstream upstream
	cold     window
	use      meter
	work     workTime
	outcomes outcomes
	failure  Failure
	answers  map[bramleyfall.Endpoint]*answers
	// live counts flows that are not closed, busy those with a request under way.
	live, busy int
	queue      queue
	leaving    bool
	// started is when the gate began: flows that were open before are unknown.
	started time.Time
}

// flow is the state of one flow.
type flow struct {
	state chart.ID
	// reply is the sequence number of the upstream's SYN+ACK.
	reply uint32
	// opening is the sequence number of the caller's SYN.
	opening uint32
	lastUse time.Time
	// ack is the caller's last acknowledgement.
	ack uint32
	// next is the sequence number that follows what the upstream has sent.
	next uint32
	// sent is the sequence number that follows the caller's requests, where one
	// was heard.
	sent    uint32
	heard   bool
	waiting bool
	// asked is when the request under way was delivered, where none waited for a
	// slot then; zero otherwise.
	asked time.Time
}

// New returns a gate for an upstream that has not sent a heartbeat yet.
func New(now time.Time, options ...Option) (*Gate, error) {
	config := DefaultConfig()
	for _, o := range options {
		o(&config)
	}
	flowChart, err := caller.NewFlowChart()
	if err != nil {
		return nil, err
	}
	return &Gate{
		config: config, chart: flowChart, flows: make(map[bramleyfall.Flow]*flow),
		answers: make(map[bramleyfall.Endpoint]*answers),
		use:     newMeter(now), started: now,
	}, nil
}

// Configure applies a newer configuration.
func (g *Gate) Configure(s *bramleyfall.Snapshot, now time.Time) {
	if g.snapshot != nil && g.out(g.snapshot) && !g.out(s) {
		// It may have gone cold while it got nothing.
		g.upstream.assumeCold(now, s.Services[g.config.Service].ColdFor)
	}
	g.snapshot = s
}

func (g *Gate) out(s *bramleyfall.Snapshot) bool { return s.Out[g.upstream.domain] }

// Version returns the version of the current configuration, or zero if there is
// none.
func (g *Gate) Version() bramleyfall.ConfigVersion {
	if g.snapshot == nil {
		return 0
	}
	return g.snapshot.Version
}

// Drain makes the gate refuse new flows because the agent is about to stop.
func (g *Gate) Drain() { g.leaving = true }

// ActiveRequests returns the number of requests in progress. An admitted opening
// counts as one, until Sweep finds that its SlotReservation has ended.
func (g *Gate) ActiveRequests() int { return g.busy }

// Flows returns the number of open flows.
func (g *Gate) Flows() int { return g.live }

// Load returns the load that is reported to balancers.
func (g *Gate) Load(now time.Time) bramleyfall.Load {
	return bramleyfall.Load{
		State:       g.State(now),
		Slots:       uint16(g.upstream.slots),
		Busy:        uint16(min(g.busy, 1<<16-1)),
		Flows:       uint16(min(g.live, 1<<16-1)),
		Utilization: g.use.permille(now, g.busy, g.upstream.slots),
	}
}

// ForwardMetadata is what a balancer sends along with a packet that it forwards.
type ForwardMetadata struct {
	Service  bramleyfall.ServiceKey
	Version  bramleyfall.ConfigVersion
	Priority bramleyfall.Priority
	// Objective is the time within which callers expect an answer, or zero.
	Objective time.Duration
	// Idempotent reports whether requests of the flow may be repeated.
	Idempotent bool
	// LastResort is set when all other upstreams have refused the opening. The request
	// may then be queued, and a failing upstream may take it.
	LastResort bool
	// Tentative is set when the balancer is still looking up the owner of the flow and
	// forwards the packet to find out whether the upstream holds it.
	Tentative bool
}

// FromBalancer decides on a caller's packet: ActionDeliver sends it to the
// upstream, ActionPass returns it to the balancer, ActionDrop discards it.
func (g *Gate) FromBalancer(p *bramleyfall.Packet, o ForwardMetadata, now time.Time) bramleyfall.Action {
	f := g.flows[p.Flow]
	if p.Kind == bramleyfall.KindOpening {
		return g.open(p, f, o, now)
	}
	if f == nil {
		return g.unknown(p, o, now)
	}
	if f.state == g.chart.Opening || f.state == g.chart.HalfOpen {
		if f.state == g.chart.Opening || !p.HasAck || p.Ack != f.reply+1 {
			// The caller answers another upstream's reply.
			return pass(p, bramleyfall.NoOwner)
		}
		g.fire(f, g.chart.Acknowledged, now)
	}
	f.lastUse = now
	f.ack = p.Ack
	if p.Length > 0 && f.state != g.chart.Closed {
		g.noteRequest(f, p, now)
		g.upstream.delivered(&g.upstream.requestSince, now)
	}
	switch p.Kind {
	case bramleyfall.KindFinish:
		g.fire(f, g.chart.CallerFin, now)
	case bramleyfall.KindReset:
		g.fire(f, g.chart.Reset, now)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow, Opened: true}
}

// Ownership is what the gate knows about whether the upstream holds a flow.
type Ownership string

// The values of Ownership.
const (
	Owned    Ownership = "Holds"
	NotOwned Ownership = "Denies"
	// MayBeOwned means that the flow may have been opened before the gate started.
	MayBeOwned Ownership = "MayHold"
)

// Ownership reports whether the upstream holds a flow of a service. A half-open
// flow is owned only if ack, the caller's last acknowledgement, acknowledges the
// upstream's SYN+ACK.
func (g *Gate) Ownership(flow bramleyfall.Flow, service bramleyfall.ServiceKey, ack uint32, now time.Time) Ownership {
	f := g.flows[flow]
	switch {
	case f == nil && g.mayPredate(service, now):
		return MayBeOwned
	case f == nil, f.state == g.chart.Opening, f.state == g.chart.HalfOpen && ack != f.reply+1:
		return NotOwned
	}
	return Owned
}

// mayPredate reports whether flows of a service may have been open before the
// gate's start.
func (g *Gate) mayPredate(service bramleyfall.ServiceKey, now time.Time) bool {
	if g.upstream.boot == 0 && now.Sub(g.started) > g.missedAfter() {
		return false // nobody is there
	}
	return service == g.config.Service.Key() && (!g.config.DenyUnknownFlowsIfNew || !g.upstream.young) && now.Sub(g.started) <= g.lifetime()
}

// unknown decides on a packet of a flow that the gate doesn't hold. While flows
// from before its start may exist, the upstream is asked by the packet itself.
func (g *Gate) unknown(p *bramleyfall.Packet, o ForwardMetadata, now time.Time) bramleyfall.Action {
	if p.Kind == bramleyfall.KindReset && o.Tentative {
		return bramleyfall.Action{Kind: bramleyfall.ActionDrop, Code: bramleyfall.NoOwner, Flow: p.Flow}
	}
	if !g.mayPredate(o.Service, now) {
		return pass(p, bramleyfall.NoOwner)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow}
}

// lifetime is the longest time for which a flow that was open at the gate's
// start can go unseen.
func (g *Gate) lifetime() time.Duration {
	const unset = time.Minute
	if g.snapshot == nil || g.snapshot.IdleTimeout == 0 {
		return unset
	}
	return g.snapshot.IdleTimeout
}

func pass(p *bramleyfall.Packet, code bramleyfall.ResultCode) bramleyfall.Action {
	return bramleyfall.Action{Kind: bramleyfall.ActionPass, Code: code, Flow: p.Flow}
}

// FromUpstream decides on a packet that the upstream sent to a caller.
func (g *Gate) FromUpstream(p *bramleyfall.Packet, now time.Time) bramleyfall.Action {
	key := p.Flow.Reverse()
	g.upstream.heard()
	action := bramleyfall.Action{Kind: bramleyfall.ActionReturn, Flow: key}
	f := g.flows[key]
	if f == nil {
		if p.Kind == bramleyfall.KindReset {
			return action
		}
		f = &flow{state: g.chart.Established, next: p.Sequence}
		g.flows[key] = f
		g.live++
		action.Opened = true
	}
	f.lastUse = now
	switch p.Kind {
	case bramleyfall.KindOpeningReply:
		if f.state == g.chart.Opening {
			f.reply, f.next = p.Sequence, p.End()
			action.Opened = true
		}
		g.fire(f, g.chart.Accepted, now)
	case bramleyfall.KindFinish:
		g.noteBroken(f, p, now)
		g.fire(f, g.chart.UpstreamFin, now)
	case bramleyfall.KindReset:
		g.noteBroken(f, p, now)
		g.fire(f, g.chart.Reset, now)
	}
	if p.Length > 0 {
		if int32(p.End()-f.next) > 0 {
			f.next = p.End()
		}
		if f.waiting && !f.asked.IsZero() {
			g.noteAnswer(key, now.Sub(f.asked), p.Length, now)
		}
		if f.waiting {
			g.work.answered(f.asked, now, g.busy, g.upstream.slots)
		}
		g.setWaiting(f, false, now)
		f.asked = time.Time{}
	}
	return action
}

// noteRequest notes a request. One that is repeated, because its answer was lost,
// isn't under way again.
func (g *Gate) noteRequest(f *flow, p *bramleyfall.Packet, now time.Time) {
	if f.heard && int32(p.End()-f.sent) <= 0 {
		return
	}
	f.sent, f.heard = p.End(), true
	g.setWaiting(f, true, now)
	if g.busy <= g.upstream.slots {
		f.asked = now
	}
}

// noteAnswer notes the first bytes of an answer to a request of a flow that found
// a free slot. Others wait for their turn, or are turned away when too many do.
func (g *Gate) noteAnswer(flow bramleyfall.Flow, took time.Duration, length uint32, now time.Time) {
	a := g.answers[flow.Destination]
	if a == nil {
		a = &answers{}
		g.answers[flow.Destination] = a
	}
	if a.error(took, length) {
		g.failure = Failure{Flow: flow, AnswerTime: took, UsualAnswerTime: time.Duration(a.took), Length: length, UsualLength: uint32(a.length)}
		g.outcomes.failed(now)
		return
	}
	g.outcomes.succeeded()
}

// LastFailure returns the most recent failure of the upstream.
func (g *Gate) LastFailure() Failure { return g.failure }

// noteBroken notes a request that found a free slot and that the upstream ended
// without a byte of answer. An end whose sequence number lies ahead has overtaken
// an answer.
func (g *Gate) noteBroken(f *flow, p *bramleyfall.Packet, now time.Time) {
	opening := f.state == g.chart.Opening || f.state == g.chart.HalfOpen
	if f.waiting && !f.asked.IsZero() && !opening && p.Length == 0 && int32(p.Sequence-f.next) <= 0 {
		g.failure = Failure{Flow: p.Flow.Reverse(), Aborted: true}
		g.outcomes.failed(now)
	}
}

// ReturnedByUpstream decides on a packet that the upstream did not accept.
func (g *Gate) ReturnedByUpstream(p *bramleyfall.Packet, now time.Time) bramleyfall.Action {
	g.upstream.heard()
	f := g.flows[p.Flow]
	if f == nil {
		return pass(p, bramleyfall.NoOwner)
	}
	if p.Kind != bramleyfall.KindOpening {
		if f.state == g.chart.Established {
			// A run that holds flows doesn't forget them: this is another run.
			g.upstream.assumeCold(now, g.limits().ColdFor)
		}
		g.forget(p.Flow, f, now)
		return pass(p, bramleyfall.NoOwner)
	}
	if f.state == g.chart.Opening {
		g.forget(p.Flow, f, now)
	}
	return pass(p, bramleyfall.NotRunFull)
}

func (g *Gate) limits() bramleyfall.ServiceLimits {
	if g.snapshot == nil {
		return bramleyfall.ServiceLimits{}
	}
	return g.snapshot.Services[g.config.Service]
}

func (g *Gate) forget(key bramleyfall.Flow, f *flow, now time.Time) {
	g.fire(f, g.chart.Reset, now)
	delete(g.flows, key)
}

func (g *Gate) fire(f *flow, event chart.ID, now time.Time) {
	next, _ := g.chart.Fire(f.state, event)
	if next == g.chart.Closed && f.state != g.chart.Closed {
		g.live--
		g.setWaiting(f, false, now)
	}
	f.state = next
}

func (g *Gate) setWaiting(f *flow, waiting bool, now time.Time) {
	if f.waiting == waiting {
		return
	}
	g.use.advance(now, g.busy)
	f.waiting = waiting
	if waiting {
		g.busy++
	} else {
		g.busy--
	}
	g.queue.note(now, g.busy > g.upstream.slots)
	if g.busy < g.upstream.slots {
		g.work.idle()
	}
}
