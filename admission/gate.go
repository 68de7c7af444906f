// Package admission decides, in an agent, which new flows the agent's upstream
// accepts and where packets of open flows go. It is deterministic: package direct
// passes in packets, heartbeats and the time, and carries out the decisions.
//
// The upstream knows which flows it owns and returns packets of all others, so a
// restarted agent needs no saved flow state.
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
	// the upstream is considered down.
	MissedHeartbeats int
	// QueuePerSlot is the maximum number of queued requests per slot. Requests are
	// queued only on flows that were opened as a last resort. The queue is in the
	// upstream, which can queue a few requests.
	QueuePerSlot float64
	// ObjectiveShare is the fraction of the latency objective within which a queued
	// request must be expected to be answered. The remainder allows for network delays.
	ObjectiveShare float64
	// ColdObjectiveShare replaces ObjectiveShare while the upstream is cold.
	ColdObjectiveShare float64
	// LowPriorityQueueShare is the fraction of a standing queue that low-priority
	// requests may use. The remainder is reserved for high-priority requests.
	LowPriorityQueueShare float64
	// DenyUnknownFlowsIfNew makes the gate report unknown flows as not owned if the
	// upstream started together with the gate or after it: such an upstream cannot own
	// flows that the gate has not seen.
	DenyUnknownFlowsIfNew bool
	// OpeningTimeout and RequestTimeout are the times after the delivery of an opening
	// or request at which the upstream is considered silent if it has sent no packet
	// or heartbeat since.
	OpeningTimeout, RequestTimeout time.Duration
	// SlotReservation is how long an admitted opening occupies a slot while the caller
	// does not complete the handshake. Callers normally complete the handshake and send
	// their request within this time.
	SlotReservation time.Duration
}

// DefaultConfig returns the default settings, which options may override.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:     time.Second,
		MissedHeartbeats:      3, // tolerates one lost and one late heartbeat
		QueuePerSlot:          4,
		ObjectiveShare:        0.65,
		ColdObjectiveShare:    0.4,
		LowPriorityQueueShare: 0.5,
		DenyUnknownFlowsIfNew: true,
		OpeningTimeout:        150 * time.Millisecond, // upstreams normally answer an opening within 1 ms
		RequestTimeout:        time.Second,            // the answer follows the processing, which may be slow
		SlotReservation:       100 * time.Millisecond, // several round trips to a caller
	}
}

// Option configures a Gate.
type Option func(*Config)

// WithService sets the service that the upstream serves.
func WithService(name bramleyfall.ServiceName) Option { return func(c *Config) { c.Service = name } }

// WithHeartbeatInterval sets the time between two heartbeats of the upstream.
func WithHeartbeatInterval(interval time.Duration) Option {
	return func(c *Config) { c.HeartbeatInterval = interval }
}

// Gate tracks the flows of one upstream and decides on their packets. It is not
// safe for concurrent use.
type Gate struct {
	config Config
	// chart is the state machine of a flow.
	chart    caller.FlowChart
	flows    map[bramleyfall.Flow]*flow
	snapshot *bramleyfall.Snapshot
	upstream upstream
	// coldOpenings counts the openings admitted while the upstream was cold.
	coldOpenings slidingWindow
	// meanActive is the recent mean of activeRequests.
	meanActive     decayingMean
	processingTime processingTime
	outcomes       outcomes
	lastFailure    Failure
	// answerStats holds the usual answers for each service address.
	answerStats map[bramleyfall.Endpoint]*answerStats
	// openFlows counts the flows that are not closed, activeRequests those of them
	// that are active.
	openFlows, activeRequests int
	queue                     queue
	draining                  bool
	// started is when the gate was created. The gate has no state of flows that were
	// opened before.
	started time.Time
}

// flow is the state of one flow.
type flow struct {
	state chart.ID
	// replySequence is the sequence number of the upstream's SYN+ACK.
	replySequence uint32
	// openingSequence is the sequence number of the caller's SYN.
	openingSequence uint32
	lastPacket      time.Time
	// ack is the caller's last acknowledgment number.
	ack uint32
	// nextFromUpstream is the sequence number that follows the upstream's data.
	nextFromUpstream uint32
	// nextFromCaller is the sequence number that follows the caller's requests. It is
	// valid if requestSeen is set.
	nextFromCaller uint32
	requestSeen    bool
	// active is set while a request is in progress or the admitted opening occupies a
	// slot.
	active bool
	// deliveredAt is when the request in progress was delivered, or zero if no slot
	// was free for it.
	deliveredAt time.Time
}

// New returns a gate for an upstream from which no heartbeat has been received yet.
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
		answerStats: make(map[bramleyfall.Endpoint]*answerStats),
		meanActive:  newDecayingMean(now), started: now,
	}, nil
}

// Configure applies a newer configuration.
func (g *Gate) Configure(s *bramleyfall.Snapshot, now time.Time) {
	if g.snapshot != nil && g.outOfService(g.snapshot) && !g.outOfService(s) {
		// The upstream may have gone cold while it received no requests.
		g.upstream.assumeCold(now, s.Services[g.config.Service].ColdFor)
	}
	g.snapshot = s
}

func (g *Gate) outOfService(s *bramleyfall.Snapshot) bool { return s.Out[g.upstream.domain] }

// Version returns the version of the current configuration, or zero if there is
// none.
func (g *Gate) Version() bramleyfall.ConfigVersion {
	if g.snapshot == nil {
		return 0
	}
	return g.snapshot.Version
}

// Drain makes the gate refuse new flows because the agent is about to stop.
func (g *Gate) Drain() { g.draining = true }

// ActiveRequests returns the number of requests in progress. An admitted opening
// counts as one, until Sweep finds that its SlotReservation has ended.
func (g *Gate) ActiveRequests() int { return g.activeRequests }

// Flows returns the number of open flows.
func (g *Gate) Flows() int { return g.openFlows }

// Load returns the load that is reported to balancers.
func (g *Gate) Load(now time.Time) bramleyfall.Load {
	return bramleyfall.Load{
		State:       g.State(now),
		Slots:       uint16(min(g.upstream.slots, bramleyfall.MaxSlots)),
		Busy:        uint16(min(g.activeRequests, 1<<16-1)),
		Flows:       uint16(min(g.openFlows, 1<<16-1)),
		Utilization: g.meanActive.permille(now, g.activeRequests, g.upstream.slots),
	}
}

// ForwardMetadata is the metadata that a balancer adds to a forwarded packet.
type ForwardMetadata struct {
	Service  bramleyfall.ServiceKey
	Version  bramleyfall.ConfigVersion
	Priority bramleyfall.Priority
	// Objective is the target response time, or zero if there is none.
	Objective time.Duration
	// Idempotent reports whether requests of the flow may be repeated.
	Idempotent bool
	// LastResort is set on an opening for which no upstream is believed to have a free
	// slot. Its request may be queued, and a failing upstream may accept it.
	LastResort bool
	// Tentative is set when the balancer is still looking up the owner of the flow and
	// forwards the packet to find out whether the upstream owns it.
	Tentative bool
}

// FromBalancer decides on a caller's packet: ActionDeliver sends the packet to the
// upstream, ActionPass returns it to the balancer, ActionDrop discards it. Opened is
// set if the packet is an opening that was admitted just now, or a later packet of a
// flow that the gate knows.
func (g *Gate) FromBalancer(p *bramleyfall.Packet, metadata ForwardMetadata, now time.Time) bramleyfall.Action {
	f := g.flows[p.Flow]
	if p.Kind == bramleyfall.KindOpening {
		return g.handleOpening(p, f, metadata, now)
	}
	if f == nil {
		return g.handleUnknownFlow(p, metadata, now)
	}
	if f.state == g.chart.Opening || f.state == g.chart.HalfOpen {
		if f.state == g.chart.Opening || !p.HasAck || p.Ack != f.replySequence+1 {
			// The caller acknowledges the SYN+ACK of another upstream.
			return pass(p, bramleyfall.NoOwner)
		}
		g.fire(f, g.chart.Acknowledged, now)
	}
	f.lastPacket = now
	f.ack = p.Ack
	if p.Length > 0 && f.state != g.chart.Closed {
		g.recordRequest(f, p, now)
		g.upstream.packetDelivered(&g.upstream.requestUnansweredSince, now)
	}
	switch p.Kind {
	case bramleyfall.KindFinish:
		g.fire(f, g.chart.CallerFin, now)
	case bramleyfall.KindReset:
		g.fire(f, g.chart.Reset, now)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow, Opened: true}
}

// Ownership is what the gate knows about whether the upstream owns a flow.
type Ownership string

// The values of Ownership.
const (
	Owned    Ownership = "Holds"
	NotOwned Ownership = "Denies"
	// MayBeOwned means that the flow may have been opened before the gate started.
	MayBeOwned Ownership = "MayHold"
)

// Ownership reports whether the upstream owns a flow of a service. A half-open
// flow is owned only if ack, the caller's last acknowledgement, acknowledges the
// upstream's SYN+ACK.
func (g *Gate) Ownership(flow bramleyfall.Flow, service bramleyfall.ServiceKey, ack uint32, now time.Time) Ownership {
	f := g.flows[flow]
	switch {
	case f == nil && g.mayOwnOlderFlows(service, now):
		return MayBeOwned
	case f == nil, f.state == g.chart.Opening, f.state == g.chart.HalfOpen && ack != f.replySequence+1:
		return NotOwned
	}
	return Owned
}

// mayOwnOlderFlows reports whether the upstream may own flows of a service that were
// opened before the gate was created.
func (g *Gate) mayOwnOlderFlows(service bramleyfall.ServiceKey, now time.Time) bool {
	if g.upstream.bootID == 0 && now.Sub(g.started) > g.heartbeatTimeout() {
		return false // there is no upstream
	}
	return service == g.config.Service.Key() && (!g.config.DenyUnknownFlowsIfNew || !g.upstream.startedWithGate) && now.Sub(g.started) <= g.idleTimeout()
}

// handleUnknownFlow decides on a packet of a flow of which the gate has no state.
// While the upstream may own flows that predate the gate, the packet is delivered:
// the upstream returns it if it does not own the flow.
func (g *Gate) handleUnknownFlow(p *bramleyfall.Packet, metadata ForwardMetadata, now time.Time) bramleyfall.Action {
	if p.Kind == bramleyfall.KindReset && metadata.Tentative {
		return bramleyfall.Action{Kind: bramleyfall.ActionDrop, Code: bramleyfall.NoOwner, Flow: p.Flow}
	}
	if !g.mayOwnOlderFlows(metadata.Service, now) {
		return pass(p, bramleyfall.NoOwner)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow}
}

// idleTimeout returns the time after which an idle flow is discarded. A flow that
// predates the gate carries a packet within this time or no longer exists.
func (g *Gate) idleTimeout() time.Duration {
	const defaultIdleTimeout = time.Minute
	if g.snapshot == nil || g.snapshot.IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return g.snapshot.IdleTimeout
}

// pass returns the packet to the balancer.
func pass(p *bramleyfall.Packet, code bramleyfall.ResultCode) bramleyfall.Action {
	return bramleyfall.Action{Kind: bramleyfall.ActionPass, Code: code, Flow: p.Flow}
}

// FromUpstream decides on a packet that the upstream sent to a caller.
func (g *Gate) FromUpstream(p *bramleyfall.Packet, now time.Time) bramleyfall.Action {
	key := p.Flow.Reverse()
	g.upstream.packetReceived()
	action := bramleyfall.Action{Kind: bramleyfall.ActionReturn, Flow: key}
	f := g.flows[key]
	if f == nil {
		if p.Kind == bramleyfall.KindReset {
			return action
		}
		f = &flow{state: g.chart.Established, nextFromUpstream: p.Sequence}
		g.flows[key] = f
		g.openFlows++
		action.Opened = true
	}
	f.lastPacket = now
	switch p.Kind {
	case bramleyfall.KindOpeningReply:
		if f.state == g.chart.Opening {
			f.replySequence, f.nextFromUpstream = p.Sequence, p.End()
			action.Opened = true
		}
		g.fire(f, g.chart.Accepted, now)
	case bramleyfall.KindFinish:
		g.recordAbort(f, p, now)
		g.fire(f, g.chart.UpstreamFin, now)
	case bramleyfall.KindReset:
		g.recordAbort(f, p, now)
		g.fire(f, g.chart.Reset, now)
	}
	if p.Length > 0 {
		if int32(p.End()-f.nextFromUpstream) > 0 {
			f.nextFromUpstream = p.End()
		}
		if f.active && !f.deliveredAt.IsZero() {
			g.recordAnswer(key, now.Sub(f.deliveredAt), p.Length, now)
		}
		if f.active {
			g.processingTime.answered(f.deliveredAt, now, g.activeRequests, g.upstream.slots)
		}
		g.setActive(f, false, now)
		f.deliveredAt = time.Time{}
	}
	return action
}

// recordRequest marks the flow as active. A retransmission of an earlier request,
// whose answer was lost, is ignored.
func (g *Gate) recordRequest(f *flow, p *bramleyfall.Packet, now time.Time) {
	if f.requestSeen && int32(p.End()-f.nextFromCaller) <= 0 {
		return
	}
	f.nextFromCaller, f.requestSeen = p.End(), true
	g.setActive(f, true, now)
	if g.activeRequests <= g.upstream.slots {
		f.deliveredAt = now
	}
}

// recordAnswer records the first segment of an answer to a request that found a
// free slot. Other requests are not recorded: the upstream queues them, which delays
// their answers, or rejects them when its queue is full.
func (g *Gate) recordAnswer(flow bramleyfall.Flow, elapsed time.Duration, length uint32, now time.Time) {
	stats := g.answerStats[flow.Destination]
	if stats == nil {
		stats = &answerStats{}
		g.answerStats[flow.Destination] = stats
	}
	if stats.observe(elapsed, length) {
		g.lastFailure = Failure{Flow: flow, AnswerTime: elapsed, UsualAnswerTime: time.Duration(stats.meanTime), Length: length, UsualLength: uint32(stats.meanLength)}
		g.outcomes.failed(now)
		return
	}
	g.outcomes.succeeded()
}

// LastFailure returns the most recent failure of the upstream.
func (g *Gate) LastFailure() Failure { return g.lastFailure }

// recordAbort records a failure if the upstream closes or resets a flow without
// answering a request that found a free slot. A FIN or RST with a sequence number
// beyond the received data has overtaken an answer and is no failure.
func (g *Gate) recordAbort(f *flow, p *bramleyfall.Packet, now time.Time) {
	inHandshake := f.state == g.chart.Opening || f.state == g.chart.HalfOpen
	if f.active && !f.deliveredAt.IsZero() && !inHandshake && p.Length == 0 && int32(p.Sequence-f.nextFromUpstream) <= 0 {
		g.lastFailure = Failure{Flow: p.Flow.Reverse(), Aborted: true}
		g.outcomes.failed(now)
	}
}

// ReturnedByUpstream decides on a packet that the upstream did not accept.
func (g *Gate) ReturnedByUpstream(p *bramleyfall.Packet, now time.Time) bramleyfall.Action {
	g.upstream.packetReceived()
	f := g.flows[p.Flow]
	if f == nil {
		return pass(p, bramleyfall.NoOwner)
	}
	if p.Kind != bramleyfall.KindOpening {
		if f.state == g.chart.Established {
			// A running upstream does not lose its flows, so it must have restarted.
			g.upstream.assumeCold(now, g.limits().ColdFor)
		}
		g.removeFlow(p.Flow, f, now)
		return pass(p, bramleyfall.NoOwner)
	}
	if f.state == g.chart.Opening {
		g.removeFlow(p.Flow, f, now)
	}
	return pass(p, bramleyfall.NotRunFull)
}

func (g *Gate) limits() bramleyfall.ServiceLimits {
	if g.snapshot == nil {
		return bramleyfall.ServiceLimits{}
	}
	return g.snapshot.Services[g.config.Service]
}

func (g *Gate) removeFlow(key bramleyfall.Flow, f *flow, now time.Time) {
	g.fire(f, g.chart.Reset, now)
	delete(g.flows, key)
}

// fire applies an event to the state machine of a flow.
func (g *Gate) fire(f *flow, event chart.ID, now time.Time) {
	next, _ := g.chart.Fire(f.state, event)
	if next == g.chart.Closed && f.state != g.chart.Closed {
		g.openFlows--
		g.setActive(f, false, now)
	}
	f.state = next
}

// setActive updates the flow and the counts and averages that depend on it.
func (g *Gate) setActive(f *flow, active bool, now time.Time) {
	if f.active == active {
		return
	}
	g.meanActive.advance(now, g.activeRequests)
	f.active = active
	if active {
		g.activeRequests++
	} else {
		g.activeRequests--
	}
	g.queue.update(now, g.activeRequests > g.upstream.slots)
	if g.activeRequests < g.upstream.slots {
		g.processingTime.slotFree()
	}
}
