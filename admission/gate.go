// Package admission decides, beside an upstream, which flows it takes. The
// upstream itself knows what flows it holds: it returns any packet that isn't
// its own, so that an agent that was restarted loses nothing.
package admission

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/chart"
)

// Config holds the settings of a Gate.
type Config struct {
	// Service is the service of the upstream.
	Service bramleyfall.ServiceName
	// HeartbeatEvery is the time between two heartbeats of the upstream.
	HeartbeatEvery time.Duration
	// MissedHeartbeats is the number of heartbeats in a row without which the
	// upstream counts as away.
	MissedHeartbeats int
	// QueuePerSlot bounds the requests that may wait for each slot when no other
	// upstream takes an opening: upstreams queue a few themselves.
	QueuePerSlot float64
	// AnswerShare is the share of the objective within which the answer to a request
	// that waits for a slot is expected. The rest is left to the network.
	AnswerShare float64
	// ColdAnswerShare is that at a cold upstream.
	ColdAnswerShare float64
	// LessImportant is the part of a standing queue that is open to requests of lower
	// priority; the rest is kept for the important ones.
	LessImportant float64
	// YoungDeny is set where an upstream that started with the gate is taken to hold
	// no flow that the gate doesn't know.
	YoungDeny bool
	// OpeningWithin and RequestWithin are the times without any packet of the
	// upstream after which it counts as silent, from an opening and from a
	// request on.
	OpeningWithin, RequestWithin time.Duration
	// Reserve is the time within which an opened flow is expected to bring its
	// request; until then it holds a slot.
	Reserve time.Duration
}

// DefaultConfig returns the settings used where options set no others.
func DefaultConfig() Config {
	return Config{
		HeartbeatEvery:   time.Second,
		MissedHeartbeats: 3, // one may be lost, one may be late
		QueuePerSlot:     4,
		AnswerShare:      0.65,
		ColdAnswerShare:  0.4,
		LessImportant:    0.5,
		YoungDeny:        true,
		OpeningWithin:    150 * time.Millisecond, // an upstream answers an opening within a millisecond
		RequestWithin:    time.Second,            // it answers a request after its work, which may be slow
		Reserve:          100 * time.Millisecond, // several round trips to a caller
	}
}

// Option sets an option of a Gate.
type Option func(*Config)

// WithService sets the service of the upstream.
func WithService(name bramleyfall.ServiceName) Option { return func(c *Config) { c.Service = name } }

// WithHeartbeat sets the time between two heartbeats.
func WithHeartbeat(every time.Duration) Option { return func(c *Config) { c.HeartbeatEvery = every } }

// Gate owns the flows of one upstream. It is not safe for concurrent use.
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

// New returns the gate of an upstream that hasn't been heard of yet.
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

// Configure takes a newer configuration.
func (g *Gate) Configure(s *bramleyfall.Snapshot, now time.Time) {
	if g.snapshot != nil && g.out(g.snapshot) && !g.out(s) {
		// It may have gone cold while it got nothing.
		g.upstream.assumeCold(now, s.Services[g.config.Service].ColdFor)
	}
	g.snapshot = s
}

func (g *Gate) out(s *bramleyfall.Snapshot) bool { return s.Out[g.upstream.domain] }

// Version returns the version of the configuration, or zero.
func (g *Gate) Version() bramleyfall.ConfigVersion {
	if g.snapshot == nil {
		return 0
	}
	return g.snapshot.Version
}

// Leave stops taking new flows, since the agent is about to stop.
func (g *Gate) Leave() { g.leaving = true }

// Busy returns the number of requests under way.
func (g *Gate) Busy() int { return g.busy }

// Flows returns the number of open flows.
func (g *Gate) Flows() int { return g.live }

// Load returns what balancers are told.
func (g *Gate) Load(now time.Time) bramleyfall.Load {
	return bramleyfall.Load{
		State:       g.State(now),
		Slots:       uint16(g.upstream.slots),
		Busy:        uint16(min(g.busy, 1<<16-1)),
		Flows:       uint16(min(g.live, 1<<16-1)),
		Utilization: g.use.permille(now, g.busy, g.upstream.slots),
	}
}

// Offer is what a balancer says of a packet that it forwards.
type Offer struct {
	Service  bramleyfall.ServiceKey
	Version  bramleyfall.ConfigVersion
	Priority bramleyfall.Priority
	// Objective is the time within which callers want their answers, or zero.
	Objective time.Duration
	// Idempotent is set where the requests may be repeated.
	Idempotent bool
	// Must is set when all other upstreams have refused the opening.
	Must bool
	// Offered is set on a packet whose owner the balancer is looking for.
	Offered bool
}

// FromBalancer decides on a caller's packet: ActionDeliver hands it to the
// upstream, ActionPass back to the balancer, ActionDrop discards it.
func (g *Gate) FromBalancer(p *bramleyfall.Packet, o Offer, now time.Time) bramleyfall.Action {
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

// Holding tells whether the upstream holds a flow.
type Holding string

// What a gate knows of a flow.
const (
	Holds  Holding = "Holds"
	Denies Holding = "Denies"
	// MayHold means that the flow may have been open before the gate's start.
	MayHold Holding = "MayHold"
)

// Holding reports whether the upstream holds a flow of a service, by the caller's
// last acknowledgement.
func (g *Gate) Holding(flow bramleyfall.Flow, service bramleyfall.ServiceKey, ack uint32, now time.Time) Holding {
	f := g.flows[flow]
	switch {
	case f == nil && g.mayPredate(service, now):
		return MayHold
	case f == nil, f.state == g.chart.Opening, f.state == g.chart.HalfOpen && ack != f.reply+1:
		return Denies
	}
	return Holds
}

// mayPredate reports whether flows of a service may have been open before the
// gate's start.
func (g *Gate) mayPredate(service bramleyfall.ServiceKey, now time.Time) bool {
	if g.upstream.boot == 0 && now.Sub(g.started) > g.missedAfter() {
		return false // nobody is there
	}
	return service == g.config.Service.Key() && (!g.config.YoungDeny || !g.upstream.young) && now.Sub(g.started) <= g.lifetime()
}

// unknown decides on a packet of a flow that the gate doesn't hold. While flows
// from before its start may exist, the upstream is asked by the packet itself.
func (g *Gate) unknown(p *bramleyfall.Packet, o Offer, now time.Time) bramleyfall.Action {
	if p.Kind == bramleyfall.KindReset && o.Offered {
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
		g.failure = Failure{Flow: flow, Took: took, UsualTook: time.Duration(a.took), Length: length, UsualLength: uint32(a.length)}
		g.outcomes.failed(now)
		return
	}
	g.outcomes.succeeded()
}

// Failure returns what the upstream was last taken to have failed by.
func (g *Gate) Failure() Failure { return g.failure }

// noteBroken notes a request that found a free slot and that the upstream ended
// without a byte of answer. An end whose sequence number lies ahead has overtaken
// an answer.
func (g *Gate) noteBroken(f *flow, p *bramleyfall.Packet, now time.Time) {
	opening := f.state == g.chart.Opening || f.state == g.chart.HalfOpen
	if f.waiting && !f.asked.IsZero() && !opening && p.Length == 0 && int32(p.Sequence-f.next) <= 0 {
		g.failure = Failure{Flow: p.Flow.Reverse(), Broken: true}
		g.outcomes.failed(now)
	}
}

// Returned decides on a packet that the upstream didn't take.
func (g *Gate) Returned(p *bramleyfall.Packet, now time.Time) bramleyfall.Action {
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
