// Package placement decides, in a balancer, which upstream gets a new flow and
// where the packets of an open flow are sent.
//
// A cache of flow owners handles nearly all packets. On a cache miss, the agents are
// asked in stages whether their upstream holds the flow, and the packet is kept
// until one of them says so.
package placement

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// Config holds the settings of a Placer.
type Config struct {
	// Domain is the balancer's own failure domain.
	Domain bramleyfall.DomainName
	// RemoteCost is added to the cost of an upstream in another failure domain, as a
	// fraction of its slots: traffic between domains is charged for.
	RemoteCost float64
	// ColdCost is added in the same way for a cold upstream, which answers slowly.
	ColdCost float64
	// OpeningTimeout is the time within which an agent must answer an opening: one
	// round trip between failure domains plus a margin for jitter.
	OpeningTimeout time.Duration
	// SilentAfter is the time without any message after which an agent that was
	// sent something is considered silent. Agents report ten times a second.
	SilentAfter time.Duration
	// FlowLossTimeout is how long an agent must be silent before its flows are
	// considered lost. It applies to agents that were heard before, and to flows whose
	// requests may not be repeated: the agent may only be delayed or restarting, and a
	// reset would abort the work of its upstream while the caller waits for it.
	// UnheardFlowLossTimeout applies to the other flows at agents that were never heard.
	// For agents that withdrew their entry, both are replaced by OpeningTimeout.
	FlowLossTimeout, UnheardFlowLossTimeout time.Duration
	// ProbeInterval is the time between two probes of a silent agent.
	// UnheardProbeInterval applies to an agent that was never heard, until it has been
	// silent for UnheardFlowLossTimeout.
	ProbeInterval, UnheardProbeInterval time.Duration
	// MissingEntryRetention is how long after its last report an agent is kept whose
	// entry is missing from the store, unless it becomes silent earlier: the lease may
	// have lapsed in an outage while the agent still runs.
	MissingEntryRetention time.Duration
	// ListMaxAge is the age up to which a list is taken to contain all agents: watches
	// deliver the changes after it. If the last list is older, a flow that no known
	// agent holds is reset only after a newer list, or after ListTimeout, since an
	// unreachable store must not delay callers for longer.
	ListMaxAge, ListTimeout time.Duration
	// EntryRenewalTimeout is the time within which an agent whose entry has lapsed is
	// listed again if the store works: the agent notices within 2 s, and a watch
	// delivers its new entry within 0.25 s. The rest allows for a retry.
	EntryRenewalTimeout time.Duration
	// MinListInterval is the minimum time between two requests for a list.
	MinListInterval time.Duration
	// MaxQueriedAgents is the number of known agents up to which all of them are asked
	// for a flow that no service of its route holds. If there are more, an agent that
	// was not asked may hold the flow, so it is never reset.
	MaxQueriedAgents int
	// OwnDomainFirst makes lookups ask the agents of the balancer's own failure domain
	// before all others.
	OwnDomainFirst bool
	// MaxTries is the number of failed attempts after which an opening is refused.
	// Attempts that failed only for want of a slot stop counting when the opening is
	// offered as a last resort.
	MaxTries int
}

// DefaultConfig returns the default settings, which options may override.
func DefaultConfig() Config {
	return Config{
		RemoteCost:             0.25,
		ColdCost:               0.5,
		OpeningTimeout:         45 * time.Millisecond,
		SilentAfter:            250 * time.Millisecond,
		FlowLossTimeout:        1200 * time.Millisecond,
		UnheardFlowLossTimeout: 350 * time.Millisecond,
		ProbeInterval:          200 * time.Millisecond,
		UnheardProbeInterval:   40 * time.Millisecond,
		MissingEntryRetention:  20 * time.Second,
		ListMaxAge:             time.Second,
		ListTimeout:            1200 * time.Millisecond,
		EntryRenewalTimeout:    2750 * time.Millisecond,
		MinListInterval:        500 * time.Millisecond,
		MaxQueriedAgents:       256,
		OwnDomainFirst:         true,
		MaxTries:               5,
	}
}

// Option configures a Placer.
type Option func(*Config)

// WithDomain sets the balancer's own failure domain.
func WithDomain(name bramleyfall.DomainName) Option { return func(c *Config) { c.Domain = name } }

// Target is an agent that a packet or message is sent to.
type Target struct {
	Address bramleyfall.Endpoint
	Service bramleyfall.ServiceKey
	// EntryMissing is set if the agent's entry is missing from the store.
	EntryMissing bool
}

// Decision tells the balancer what to do with a packet. ActionPass sends it to all
// targets, ActionRefuse answers it with a reset, ActionDrop discards it. Decisions
// are valid until the next call of a method of the Placer.
type Decision struct {
	Kind    bramleyfall.ActionKind
	Code    bramleyfall.ResultCode
	Flow    bramleyfall.Flow
	Targets []Target
	// Lookup is set when the targets are only asked whether they hold the flow; Ack is
	// the caller's last acknowledgement. Tentative is set when the packet is forwarded
	// to an agent that cannot tell whether its upstream holds the flow.
	Lookup, Tentative bool
	Ack               uint32
	// Placed is set when an opening is sent to a chosen upstream.
	Placed bool
	// LastResort is set on an opening for which no upstream is known to have a free
	// slot. The chosen upstream may queue the request.
	LastResort bool
	Priority   bramleyfall.Priority
	Objective  time.Duration
	// Idempotent is set when requests of the flow may be repeated.
	Idempotent bool
	// Instance is the agent of the first target, Load its last reported load and
	// LoadAge the age of that report. They are for logs only.
	Instance bramleyfall.InstanceID
	Load     bramleyfall.Load
	LoadAge  time.Duration
	// Reset is the reset that answers a refused packet.
	Reset *bramleyfall.Segment
	// Raw is the packet if the decision is about a stored packet rather than the one
	// that was passed in.
	Raw []byte
}

// Placer makes the placement decisions of one balancer. It is not safe for
// concurrent use.
type Placer struct {
	config   Config
	snapshot *bramleyfall.Snapshot
	// listedAt is when the last list of the agents' entries was asked for, or zero.
	listedAt time.Time
	// incompleteUntil is the time until which the list may lack agents.
	incompleteUntil time.Time
	// wantsList is set when a flow waits for a newer list, nextList when one may
	// be asked for.
	wantsList bool
	nextList  time.Time
	former    map[bramleyfall.Endpoint][]bramleyfall.ServiceName
	upstreams map[bramleyfall.Endpoint]*upstream
	services  map[bramleyfall.ServiceName][]*upstream
	flows     map[bramleyfall.Flow]*placed
	openings  []opening
	lookups   []lookup
	nextSweep time.Time
	// targets and decisions back what a call returns.
	targets   []Target
	decisions []Decision
}

// placed is what the balancer knows of a flow.
type placed struct {
	owner   *upstream
	service bramleyfall.ServiceName
	// sequence is that of the opening.
	sequence uint32
	lastUse  time.Time
	// pending holds the opening while no agent has answered for it.
	pending []byte
	tried   []attempt
	must    bool
	// ack is the caller's last acknowledgement.
	ack uint32
	// search is what is known of a flow whose owner is looked for.
	search search
}

// attempt is an offer of an opening that failed.
type attempt struct {
	upstream *upstream
	code     bramleyfall.ResultCode
}

// opening is an entry of the queue of openings that wait for an agent's answer.
type opening struct {
	flow bramleyfall.Flow
	at   time.Time
	to   *upstream
}

// New returns a Placer without configuration or agents.
func New(options ...Option) *Placer {
	config := DefaultConfig()
	for _, o := range options {
		o(&config)
	}
	return &Placer{
		config:    config,
		former:    make(map[bramleyfall.Endpoint][]bramleyfall.ServiceName),
		upstreams: make(map[bramleyfall.Endpoint]*upstream),
		services:  make(map[bramleyfall.ServiceName][]*upstream),
		flows:     make(map[bramleyfall.Flow]*placed),
	}
}

// ListComplete records that the entries of all agents as of the given time have
// been added.
func (p *Placer) ListComplete(asOf time.Time) { p.listedAt = asOf }

// ListMayBeIncomplete records that the list may lack agents whose entries lapsed
// unnoticed.
func (p *Placer) ListMayBeIncomplete(now time.Time) {
	p.incompleteUntil = now.Add(p.config.EntryRenewalTimeout)
}

func (p *Placer) listed() bool { return !p.listedAt.IsZero() }

// RelistDue reports whether the agents' entries must be listed again. It returns
// true once per need and at most once per MinListInterval.
func (p *Placer) RelistDue(now time.Time) bool {
	if !p.wantsList || now.Before(p.nextList) {
		return false
	}
	p.wantsList, p.nextList = false, now.Add(p.config.MinListInterval)
	return true
}

// complete reports whether all agents that may hold a flow are known. A watch may
// be deaf and the process may have been paused: only a fresh list shows them all.
func (p *Placer) complete(s *search, now time.Time) bool {
	if now.Before(p.incompleteUntil) {
		return false
	}
	if s.since.Sub(p.listedAt) > p.config.ListMaxAge && now.Sub(s.since) < p.config.ListTimeout {
		p.wantsList = true
		return false
	}
	return true
}

// Ready reports whether the placer has a configuration and a list of agents.
func (p *Placer) Ready() bool { return p.snapshot != nil && p.listed() }

// Version returns the version of the current configuration, or zero if there is
// none.
func (p *Placer) Version() bramleyfall.ConfigVersion {
	if p.snapshot == nil {
		return 0
	}
	return p.snapshot.Version
}

// Flows returns the number of flows in the cache.
func (p *Placer) Flows() int { return len(p.flows) }

// Configure applies a newer configuration. Open flows stay at their upstreams: the
// former services of each route are remembered for lookups.
func (p *Placer) Configure(s *bramleyfall.Snapshot) {
	if p.snapshot != nil {
		for address, route := range p.snapshot.Routes {
			next := s.Routes[address]
			if next == nil {
				delete(p.former, address)
				continue
			}
			for _, t := range route.Targets {
				if !s.Allows(address, t.Service) {
					p.former[address] = appendNew(p.former[address], t.Service)
				}
			}
		}
	}
	p.snapshot = s
}

func appendNew(names []bramleyfall.ServiceName, name bramleyfall.ServiceName) []bramleyfall.ServiceName {
	for _, n := range names {
		if n == name {
			return names
		}
	}
	return append(names, name)
}

// begin forgets what the last call returned.
func (p *Placer) begin() {
	p.targets, p.decisions = p.targets[:0], p.decisions[:0]
}

func (p *Placer) decide(d Decision) { p.decisions = append(p.decisions, d) }

// FromCaller decides on a caller's packet that the fabric routed to the balancer.
func (p *Placer) FromCaller(packet *bramleyfall.Packet, now time.Time) []Decision {
	p.begin()
	if p.snapshot == nil || !p.listed() && packet.Kind == bramleyfall.KindOpening {
		p.decide(Decision{Kind: bramleyfall.ActionDrop, Code: bramleyfall.StaleInstance, Flow: packet.Flow})
		return p.decisions
	}
	route := p.snapshot.Routes[packet.Flow.Destination]
	if route == nil {
		p.decide(p.refuse(packet, bramleyfall.UnknownService))
		return p.decisions
	}
	f := p.flows[packet.Flow]
	if packet.Kind == bramleyfall.KindOpening {
		p.decide(p.open(packet, f, route, now))
		return p.decisions
	}
	if f == nil {
		f = &placed{}
		p.flows[packet.Flow] = f
	}
	f.lastUse = now
	if packet.HasAck {
		f.ack = packet.Ack
	}
	if int32(packet.Sequence-f.sequence) > 0 {
		f.pending = nil // its caller has an answer
	}
	silent := f.owner != nil && f.owner.silent(p.config.SilentAfter, now)
	if f.owner != nil {
		p.decide(p.forward(packet.Flow, f.owner, now))
	}
	if f.owner == nil || silent {
		p.find(packet, f, now)
	}
	return p.decisions
}

// forward sends a packet to the agent that holds its flow.
func (p *Placer) forward(flow bramleyfall.Flow, u *upstream, now time.Time) Decision {
	return Decision{Kind: bramleyfall.ActionPass, Flow: flow, Targets: p.to(u, now), Instance: u.Instance}
}

// to returns an agent as the only target of a decision.
func (p *Placer) to(u *upstream, now time.Time) []Target {
	u.sent(now)
	p.targets = append(p.targets, u.target())
	return p.targets[len(p.targets)-1:]
}

// refuse answers a packet with a reset. Nothing was run for an opening.
func (p *Placer) refuse(packet *bramleyfall.Packet, code bramleyfall.ResultCode) Decision {
	d := Decision{Kind: bramleyfall.ActionRefuse, Code: code, Flow: packet.Flow}
	if packet.Kind == bramleyfall.KindReset {
		d.Kind = bramleyfall.ActionDrop
		return d
	}
	d.Reset = &bramleyfall.Segment{Flow: packet.Flow.Reverse(), Sequence: packet.Ack, Reset: true}
	return d
}

// flowIdle is the time after which the owner of an idle flow is forgotten where
// the configuration sets none.
const flowIdle = time.Minute

// sweepEvery is the time between two sweeps of the flows.
const sweepEvery = 2 * time.Second

// sweep forgets idle flows and agents that are gone.
func (p *Placer) sweep(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(sweepEvery)
	idle := flowIdle
	if p.snapshot != nil && p.snapshot.IdleTimeout > 0 {
		idle = p.snapshot.IdleTimeout
	}
	for key, f := range p.flows {
		if now.Sub(f.lastUse) > idle {
			delete(p.flows, key)
		}
	}
	for _, u := range p.upstreams {
		if u.gone(&p.config, now) {
			p.drop(u)
		}
	}
}
