// Package placement decides, in a balancer, which upstream a flow opens at and
// where the packets of an open flow go.
//
// The cache of owners serves nearly all packets. On a miss the packet is
// offered to every agent that may hold the flow, and the one that does says so.
package placement

import (
	"slices"
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
	// where a caller waits, and OrderLostAfter that of flows whose requests may
	// not be repeated: a reset loses them, while an agent that was only restarted
	// is back by then.
	LostAfter, OrderLostAfter time.Duration
	// ProbeEvery is the time between two probes of a silent agent.
	ProbeEvery time.Duration
	// UnlistedFor is how long an agent whose entry was removed from the store is
	// kept while it still answers: its lease may have lapsed in an outage.
	UnlistedFor time.Duration
	// MaxAsked is the number of agents up to which all are asked for a flow
	// without a known owner. Where there are more, only those of the route's
	// services are.
	MaxAsked int
	// MaxTries is the number of upstreams that an opening is offered to.
	MaxTries int
}

// DefaultConfig returns the settings used where options set no others.
func DefaultConfig() Config {
	return Config{
		RemoteCost:     0.25,
		ColdCost:       0.5,
		OpeningWithin:  45 * time.Millisecond,
		SilentAfter:    250 * time.Millisecond,
		LostAfter:      350 * time.Millisecond,
		OrderLostAfter: 1200 * time.Millisecond,
		ProbeEvery:     200 * time.Millisecond,
		UnlistedFor:    20 * time.Second,
		MaxAsked:       64,
		MaxTries:       5,
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
}

// Decision says what is to be done with a packet. ActionPass sends it to all
// targets, ActionRefuse answers it with a reset, ActionDrop discards it. It is
// valid until the next call of the Placer.
type Decision struct {
	Kind    bramleyfall.ActionKind
	Code    bramleyfall.ResultCode
	Flow    bramleyfall.Flow
	Targets []Target
	// Ask is set when the owner of the flow is looked for.
	Ask bool
	// Must is set on an opening that no upstream has a free slot for.
	Must      bool
	Priority  bramleyfall.Priority
	Objective time.Duration
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
	config    Config
	snapshot  *bramleyfall.Snapshot
	former    map[bramleyfall.Endpoint][]bramleyfall.ServiceName
	upstreams map[bramleyfall.Endpoint]*upstream
	services  map[bramleyfall.ServiceName][]*upstream
	flows     map[bramleyfall.Flow]*placed
	openings  []opening
	lookups   []lookup
	targets   []Target
	nextSweep time.Time
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
	// asked counts the agents that were asked for the flow; denied holds those
	// that have said since that they don't hold it.
	asked  int
	denied []bramleyfall.Endpoint
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

// lookup is an entry of the queue of flows whose owner is looked for.
type lookup struct {
	flow bramleyfall.Flow
	at   time.Time
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

// Ready reports whether the placer knows a configuration.
func (p *Placer) Ready() bool { return p.snapshot != nil }

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

// FromCaller decides on a packet that the fabric handed to the balancer.
func (p *Placer) FromCaller(packet *bramleyfall.Packet, now time.Time) Decision {
	if p.snapshot == nil {
		return Decision{Kind: bramleyfall.ActionDrop, Code: bramleyfall.StaleInstance, Flow: packet.Flow}
	}
	route := p.snapshot.Routes[packet.Flow.Destination]
	if route == nil {
		return p.refuse(packet, bramleyfall.UnknownService)
	}
	f := p.flows[packet.Flow]
	if packet.Kind == bramleyfall.KindOpening {
		return p.open(packet, f, route, now)
	}
	if f == nil {
		f = &placed{}
		p.flows[packet.Flow] = f
	}
	f.lastUse = now
	if packet.HasAck {
		f.ack = packet.Ack
	}
	if f.owner != nil && !f.owner.silent(p.config.SilentAfter, now) {
		return p.forward(packet.Flow, f.owner, now)
	}
	return p.ask(packet.Flow, f, route, now)
}

// forward sends a packet to the agent that holds its flow.
func (p *Placer) forward(flow bramleyfall.Flow, u *upstream, now time.Time) Decision {
	u.sent(now)
	p.targets = append(p.targets[:0], u.target())
	return Decision{Kind: bramleyfall.ActionPass, Flow: flow, Targets: p.targets, Instance: u.Instance}
}

// ask offers a packet to all agents that may hold its flow. They answer whether
// they do.
func (p *Placer) ask(flow bramleyfall.Flow, f *placed, route *bramleyfall.Route, now time.Time) Decision {
	p.targets = p.targets[:0]
	if len(p.upstreams) <= p.config.MaxAsked {
		for _, upstreams := range p.services {
			p.askEach(upstreams, now)
		}
	} else {
		for _, t := range route.Targets {
			p.askEach(p.services[t.Service], now)
		}
		for _, name := range p.former[route.Address] {
			p.askEach(p.services[name], now)
		}
	}
	if f.asked == 0 {
		p.lookups = append(p.lookups, lookup{flow, now})
	}
	f.asked, f.denied = len(p.targets), f.denied[:0]
	if len(p.targets) == 0 {
		return Decision{Kind: bramleyfall.ActionDrop, Code: bramleyfall.NoUpstream, Flow: flow}
	}
	return Decision{Kind: bramleyfall.ActionPass, Code: bramleyfall.NoOwner, Flow: flow, Targets: p.targets, Ask: true}
}

func (p *Placer) askEach(upstreams []*upstream, now time.Time) {
	for _, u := range upstreams {
		u.sent(now)
		p.targets = append(p.targets, u.target())
	}
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

// Owned notes that an agent's upstream holds a flow.
func (p *Placer) Owned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) {
	u := p.upstreams[from]
	if u == nil {
		return
	}
	f := p.flows[flow]
	if f == nil {
		f = &placed{lastUse: now}
		p.flows[flow] = f
	}
	f.owner = u
	f.pending, f.tried, f.asked = nil, nil, 0
}

// NotOwned notes that an agent's upstream doesn't hold a flow. When no agent is
// left that may, its upstream is gone and the caller is told at once, so that it
// can open another.
func (p *Placer) NotOwned(flow bramleyfall.Flow, from bramleyfall.Endpoint, now time.Time) Decision {
	f := p.flows[flow]
	if f == nil || f.asked == 0 {
		return Decision{Kind: bramleyfall.ActionDrop, Code: bramleyfall.NoOwner, Flow: flow}
	}
	if f.owner != nil && f.owner.Packets == from {
		f.owner = nil
	}
	if !slices.Contains(f.denied, from) {
		f.denied = append(f.denied, from)
	}
	if !p.lost(flow, f, now) {
		return Decision{Kind: bramleyfall.ActionDrop, Code: bramleyfall.NoOwner, Flow: flow}
	}
	return p.resetLost(flow, f)
}

// lost reports whether no agent is left that may hold a flow: each has denied it
// or is silent. When all are silent, it is the balancer that is cut off.
func (p *Placer) lost(flow bramleyfall.Flow, f *placed, now time.Time) bool {
	if f.asked < len(p.upstreams) || len(f.denied) == 0 {
		return false
	}
	after := p.config.LostAfter
	if route := p.snapshot.Routes[flow.Destination]; route != nil && !route.Idempotent {
		after = p.config.OrderLostAfter
	}
	for _, u := range p.upstreams {
		if !slices.Contains(f.denied, u.Packets) && !u.silent(after, now) {
			return false
		}
	}
	return true
}

func (p *Placer) resetLost(flow bramleyfall.Flow, f *placed) Decision {
	ack := f.ack
	delete(p.flows, flow)
	return Decision{
		Kind: bramleyfall.ActionRefuse, Code: bramleyfall.NoOwner, Flow: flow,
		Reset: &bramleyfall.Segment{Flow: flow.Reverse(), Sequence: ack, Reset: true},
	}
}

// checkLookups resets the flows whose last possible owners have gone silent
// since their packet was offered.
func (p *Placer) checkLookups(now time.Time, decided func(Decision)) {
	kept := p.lookups[:0]
	for _, l := range p.lookups {
		f := p.flows[l.flow]
		switch {
		case f == nil || f.asked == 0:
		case p.lost(l.flow, f, now):
			decided(p.resetLost(l.flow, f))
		case now.Sub(l.at) < lookupFor:
			kept = append(kept, l)
		default:
			f.asked = 0
		}
	}
	p.lookups = kept
}

// lookupFor is how long the owner of a flow is looked for: longer than a silent
// agent is waited for.
const lookupFor = 1500 * time.Millisecond

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
