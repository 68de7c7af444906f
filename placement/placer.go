// Package placement decides, in a balancer, which upstream a flow opens at and
// where the packets of an open flow go.
//
// The cache of owners serves nearly all packets. On a miss the agents are asked in
// stages whether they hold the flow, and the packet waits for the one that does.
package placement

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// Config holds the settings of a Placer.
type Config struct {
	// Domain is the balancer's own failure domain.
	Domain bramleyfall.DomainName
	// RemoteCost is the use of slots by which an upstream of another failure
	// domain must be less loaded to be preferred: bytes between domains are paid
	// for.
	RemoteCost float64
	// ColdCost is the same for a cold upstream, which answers slowly.
	ColdCost float64
	// OpeningWithin is the time within which an agent answers for an opening: a
	// round trip between failure domains with room for jitter.
	OpeningWithin time.Duration
	// SilentAfter is the time without any message after which an agent that was
	// sent something counts as silent: an agent reports ten times a second.
	SilentAfter time.Duration
	// LostAfter is the time after which the flows of a silent agent are given up
	// that was heard before, where a caller waits, and of one where requests may not
	// be repeated: it may only be held up, or restarted, and a reset would end what
	// its upstream works on. GoneAfter is that for other flows at an agent that was
	// never heard.
	LostAfter, GoneAfter time.Duration
	// ProbeEvery is the time between two probes of a silent agent, FirstProbeEvery
	// that of one that was never heard, for GoneAfter.
	ProbeEvery, FirstProbeEvery time.Duration
	// UnlistedFor is how long an agent whose entry was removed from the store is
	// kept while it still answers: its lease may have lapsed in an outage.
	UnlistedFor time.Duration
	// FreshFor is the age up to which a list shows all agents: watches bring what
	// changes after it. Where the last list is older, a flow that no known
	// agent holds waits for another before it is reset, but not longer than
	// ListWithin: a store that is away must not hold callers up.
	FreshFor, ListWithin time.Duration
	// RelistWithin is the time in which an agent whose entry has lapsed is listed
	// again, with the store well: it notices within 2 s, and a watch brings its new
	// entry within 0.25 s, with room for a retry.
	RelistWithin time.Duration
	// ListEvery is the least time between two lists that are asked for.
	ListEvery time.Duration
	// MaxAsked is the number of agents up to which all are asked for a flow that
	// none of its route's services holds. Where there are more, it may be held by
	// one that isn't asked, and is never reset.
	MaxAsked int
	// OwnDomainFirst is set where the agents of the own failure domain are asked
	// for a flow before all others.
	OwnDomainFirst bool
	// MaxTries is the number of upstreams that an opening is offered to.
	MaxTries int
}

// DefaultConfig returns the settings used where options set no others.
func DefaultConfig() Config {
	return Config{
		RemoteCost:      0.25,
		ColdCost:        0.5,
		OpeningWithin:   45 * time.Millisecond,
		SilentAfter:     250 * time.Millisecond,
		LostAfter:       1200 * time.Millisecond,
		GoneAfter:       350 * time.Millisecond,
		ProbeEvery:      200 * time.Millisecond,
		FirstProbeEvery: 40 * time.Millisecond,
		UnlistedFor:     20 * time.Second,
		FreshFor:        time.Second,
		ListWithin:      1200 * time.Millisecond,
		RelistWithin:    2750 * time.Millisecond,
		ListEvery:       500 * time.Millisecond,
		MaxAsked:        256,
		OwnDomainFirst:  true,
		MaxTries:        5,
	}
}

// Option sets an option of a Placer.
type Option func(*Config)

// WithDomain sets the balancer's own failure domain.
func WithDomain(name bramleyfall.DomainName) Option { return func(c *Config) { c.Domain = name } }

// Target is an agent that a packet is sent to.
type Target struct {
	Address bramleyfall.Endpoint
	Service bramleyfall.ServiceKey
	// Unlisted is set where the agent has no entry in the store any more.
	Unlisted bool
}

// Decision says what is to be done with a packet. ActionPass sends it to all
// targets, ActionRefuse answers it with a reset, ActionDrop discards it.
// Decisions are valid until the next call of the Placer.
type Decision struct {
	Kind    bramleyfall.ActionKind
	Code    bramleyfall.ResultCode
	Flow    bramleyfall.Flow
	Targets []Target
	// Lookup is set when the targets are only asked whether they hold the flow,
	// by the caller's last acknowledgement. Offer is set when the target's
	// upstream is to be asked by the packet itself.
	Lookup, Offer bool
	Ack           uint32
	// Placed is set when an opening is offered to an upstream.
	Placed bool
	// Must is set on an opening that no upstream has a free slot for.
	Must      bool
	Priority  bramleyfall.Priority
	Objective time.Duration
	// Idempotent is set where the requests of an opening may be repeated.
	Idempotent bool
	// Instance is the agent of the first target, and Load what it said last, for
	// the log; LoadAge is how old that is.
	Instance bramleyfall.InstanceID
	Load     bramleyfall.Load
	LoadAge  time.Duration
	// Reset is the answer to a refused packet.
	Reset *bramleyfall.Segment
	// Raw is the packet, where the decision is not on one at hand.
	Raw []byte
}

// Placer decides for one balancer. It is not safe for concurrent use.
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

// New returns a Placer that knows nothing yet.
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

// Listed notes that all agents' entries were announced as they were at a time.
func (p *Placer) Listed(asOf time.Time) { p.listedAt = asOf }

// Incomplete notes that the list may lack agents whose entries lapsed unseen.
func (p *Placer) Incomplete(now time.Time) { p.incompleteUntil = now.Add(p.config.RelistWithin) }

func (p *Placer) listed() bool { return !p.listedAt.IsZero() }

// WantsList reports whether the agents' entries are to be listed again.
func (p *Placer) WantsList(now time.Time) bool {
	if !p.wantsList || now.Before(p.nextList) {
		return false
	}
	p.wantsList, p.nextList = false, now.Add(p.config.ListEvery)
	return true
}

// complete reports whether all agents that may hold a flow are known. A watch may
// be deaf and the process may have been paused: only a fresh list shows them all.
func (p *Placer) complete(s *search, now time.Time) bool {
	if now.Before(p.incompleteUntil) {
		return false
	}
	if s.since.Sub(p.listedAt) > p.config.FreshFor && now.Sub(s.since) < p.config.ListWithin {
		p.wantsList = true
		return false
	}
	return true
}

// Ready reports whether the placer knows a configuration and the agents.
func (p *Placer) Ready() bool { return p.snapshot != nil && p.listed() }

// Version returns the version of the configuration, or zero.
func (p *Placer) Version() bramleyfall.ConfigVersion {
	if p.snapshot == nil {
		return 0
	}
	return p.snapshot.Version
}

// Flows returns the number of flows whose owner is remembered.
func (p *Placer) Flows() int { return len(p.flows) }

// Configure takes a newer configuration. Open flows stay where they are: the
// services that a route went to before are remembered for them.
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

// FromCaller decides on a packet that the fabric handed to the balancer.
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
