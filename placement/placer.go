// Package placement decides, in a balancer, which upstream receives a new flow and
// where packets of open flows are forwarded. It is deterministic: package direct
// passes in packets, messages and the time, and carries out the decisions.
//
// A cache maps open flows to the agents whose upstreams own them and suffices for
// nearly all packets. On a cache miss, the agents are queried in stages, and packets
// of the flow are stored until an agent reports that its upstream owns the flow.
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
	// fraction of its slots, because traffic between failure domains is charged for.
	RemoteCost float64
	// ColdCost is added in the same way for a cold upstream, which responds slowly.
	ColdCost float64
	// OpeningTimeout is the time within which an agent must answer an opening: one
	// round trip between failure domains plus a margin for jitter.
	OpeningTimeout time.Duration
	// SilentAfter is the time for which an agent may leave messages unanswered before
	// it is considered silent. Agents report ten times a second.
	SilentAfter time.Duration
	// FlowLossTimeout is how long an agent must be silent before its flows are
	// considered lost. It applies to agents that have sent a message before, and to
	// flows whose requests are not idempotent: the agent may only be delayed or
	// restarting, and a reset would abort a request that the upstream is processing
	// and the caller is waiting for. UnheardFlowLossTimeout applies to idempotent
	// flows of agents that have never sent a message. For agents that withdrew their
	// entry, OpeningTimeout applies instead of both.
	FlowLossTimeout, UnheardFlowLossTimeout time.Duration
	// ProbeInterval is the time between two probes of a silent agent.
	// UnheardProbeInterval applies to an agent that has never sent a message, until it
	// has been silent for UnheardFlowLossTimeout.
	ProbeInterval, UnheardProbeInterval time.Duration
	// MissingEntryRetention is how long after its last report an agent whose entry is
	// missing from the store is kept, unless it becomes silent earlier: the lease may
	// have expired during an outage of the store while the agent still runs.
	MissingEntryRetention time.Duration
	// ListMaxAge is the age up to which a list of the agents' entries is assumed to be
	// complete, because watches deliver later changes. If the list is older than that
	// at the start of a lookup, a flow that no known agent owns is reset only after a
	// newer list has been read or after ListTimeout, because an unavailable store must
	// not delay callers for longer.
	ListMaxAge, ListTimeout time.Duration
	// EntryRenewalTimeout is the time within which an agent whose entry has expired is
	// listed again if the store is available: the agent notices within 2 s, and a
	// watch delivers its new entry within 0.25 s. The rest allows for a retry.
	EntryRenewalTimeout time.Duration
	// MinRefreshInterval is the minimum time between two refreshes of the list.
	MinRefreshInterval time.Duration
	// MaxQueriedAgents is the number of known agents up to which all of them are
	// queried for a flow that no agent of the route's services owns. If there are
	// more, an agent that was not queried may own the flow, so the flow is never
	// reset.
	MaxQueriedAgents int
	// OwnDomainFirst makes lookups query the agents of the balancer's own failure
	// domain before all others.
	OwnDomainFirst bool
	// MaxAttempts is the number of failed attempts after which an opening is refused.
	// Attempts that failed only for lack of a free slot no longer count once the
	// opening is placed as a last resort.
	MaxAttempts int
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
		MinRefreshInterval:     500 * time.Millisecond,
		MaxQueriedAgents:       256,
		OwnDomainFirst:         true,
		MaxAttempts:            5,
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
	// Lookup is set when the targets are only asked whether they own the flow;
	// Ack is then the caller's last acknowledgement number. Tentative is set when the
	// packet is forwarded to an agent that cannot tell whether its upstream owns the
	// flow.
	Lookup, Tentative bool
	Ack               uint32
	// Placed is set when an opening is sent to a selected upstream.
	Placed bool
	// LastResort is set on an opening for which no upstream is believed to have a free
	// slot. The selected upstream may queue the request.
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
	// Reset is the reset to send to the caller of a refused packet.
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
	// listAsOf is the time as of which the list of the agents' entries is complete, or
	// zero if there has been no list yet.
	listAsOf time.Time
	// listIncompleteUntil is the time until which the list may lack agents.
	listIncompleteUntil time.Time
	// refreshNeeded is set when a lookup needs a newer list. nextRefresh is the earliest
	// time at which one may be requested.
	refreshNeeded bool
	nextRefresh   time.Time
	// formerServices holds, by route address, the services that no longer receive new
	// flows but may still own open ones.
	formerServices map[bramleyfall.Endpoint][]bramleyfall.ServiceName
	upstreams      map[bramleyfall.Endpoint]*upstream
	services       map[bramleyfall.ServiceName][]*upstream
	flows          map[bramleyfall.Flow]*flowState
	openingTimers  []openingTimer
	lookupTimers   []lookupTimer
	nextSweep      time.Time
	// targets and decisions are the buffers for the results of a call.
	targets   []Target
	decisions []Decision
}

// flowState is what the balancer knows about a flow.
type flowState struct {
	owner   *upstream
	service bramleyfall.ServiceName
	// sequence is the sequence number of the caller's opening.
	sequence uint32
	lastUse  time.Time
	// openingPacket is the opening, until an agent reports that it owns the flow or
	// the caller's next packet shows that the opening was answered.
	openingPacket []byte
	attempts      []attempt
	// lastResort is set once no upstream is believed to have a free slot.
	lastResort bool
	// ack is the caller's last acknowledgement number.
	ack uint32
	// lookup is the state of the lookup of the owner, if one is in progress.
	lookup lookup
}

// attempt is a failed attempt to place an opening.
type attempt struct {
	upstream *upstream
	reason   bramleyfall.ResultCode
}

// openingTimer is an entry of the queue of placed openings that wait for an agent's
// answer.
type openingTimer struct {
	flow     bramleyfall.Flow
	sentAt   time.Time
	upstream *upstream
}

// New returns a Placer without configuration or agents.
func New(options ...Option) *Placer {
	config := DefaultConfig()
	for _, o := range options {
		o(&config)
	}
	return &Placer{
		config:         config,
		formerServices: make(map[bramleyfall.Endpoint][]bramleyfall.ServiceName),
		upstreams:      make(map[bramleyfall.Endpoint]*upstream),
		services:       make(map[bramleyfall.ServiceName][]*upstream),
		flows:          make(map[bramleyfall.Flow]*flowState),
	}
}

// ListComplete records that the entries of all agents as of the given time have
// been added.
func (p *Placer) ListComplete(asOf time.Time) { p.listAsOf = asOf }

// ListMayBeIncomplete records that the list may lack running agents whose entries have
// expired unnoticed. They are expected to be listed again within EntryRenewalTimeout.
func (p *Placer) ListMayBeIncomplete(now time.Time) {
	p.listIncompleteUntil = now.Add(p.config.EntryRenewalTimeout)
}

func (p *Placer) hasList() bool { return !p.listAsOf.IsZero() }

// RefreshDue reports whether the list of the agents' entries must be refreshed. It
// returns true once per need and at most once per MinRefreshInterval.
func (p *Placer) RefreshDue(now time.Time) bool {
	if !p.refreshNeeded || now.Before(p.nextRefresh) {
		return false
	}
	p.refreshNeeded, p.nextRefresh = false, now.Add(p.config.MinRefreshInterval)
	return true
}

// knowsAllAgents reports whether all agents that may own the flow of a lookup are
// known. A watch may have stalled and the process may have been paused, so only a
// recent list ensures this.
func (p *Placer) knowsAllAgents(l *lookup, now time.Time) bool {
	if now.Before(p.listIncompleteUntil) {
		return false
	}
	if l.firstStarted.Sub(p.listAsOf) > p.config.ListMaxAge && now.Sub(l.firstStarted) < p.config.ListTimeout {
		p.refreshNeeded = true
		return false
	}
	return true
}

// Ready reports whether the placer has a configuration and a list of agents.
func (p *Placer) Ready() bool { return p.snapshot != nil && p.hasList() }

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

// Configure applies a newer configuration. Open flows stay at their upstreams: lookups
// also query the former services of each route.
func (p *Placer) Configure(s *bramleyfall.Snapshot) {
	if p.snapshot != nil {
		for address, route := range p.snapshot.Routes {
			newRoute := s.Routes[address]
			if newRoute == nil {
				delete(p.formerServices, address)
				continue
			}
			for _, t := range route.Targets {
				if !s.Allows(address, t.Service) {
					p.formerServices[address] = appendUnique(p.formerServices[address], t.Service)
				}
			}
		}
	}
	p.snapshot = s
}

func appendUnique(names []bramleyfall.ServiceName, name bramleyfall.ServiceName) []bramleyfall.ServiceName {
	for _, n := range names {
		if n == name {
			return names
		}
	}
	return append(names, name)
}

// clearResults discards the results of the previous call.
func (p *Placer) clearResults() {
	p.targets, p.decisions = p.targets[:0], p.decisions[:0]
}

func (p *Placer) addDecision(d Decision) { p.decisions = append(p.decisions, d) }

// FromCaller decides on a caller's packet that the fabric routed to the balancer.
func (p *Placer) FromCaller(packet *bramleyfall.Packet, now time.Time) []Decision {
	p.clearResults()
	if p.snapshot == nil || !p.hasList() && packet.Kind == bramleyfall.KindOpening {
		p.addDecision(Decision{Kind: bramleyfall.ActionDrop, Code: bramleyfall.StaleInstance, Flow: packet.Flow})
		return p.decisions
	}
	route := p.snapshot.Routes[packet.Flow.Destination]
	if route == nil {
		p.addDecision(p.refuse(packet, bramleyfall.UnknownService))
		return p.decisions
	}
	f := p.flows[packet.Flow]
	if packet.Kind == bramleyfall.KindOpening {
		p.addDecision(p.open(packet, f, route, now))
		return p.decisions
	}
	if f == nil {
		f = &flowState{}
		p.flows[packet.Flow] = f
	}
	f.lastUse = now
	if packet.HasAck {
		f.ack = packet.Ack
	}
	if int32(packet.Sequence-f.sequence) > 0 {
		f.openingPacket = nil // the caller has received the answer to its opening
	}
	silent := f.owner != nil && f.owner.silent(p.config.SilentAfter, now)
	if f.owner != nil {
		p.addDecision(p.forward(packet.Flow, f.owner, now))
	}
	if f.owner == nil || silent {
		p.lookUpOwner(packet, f, now)
	}
	return p.decisions
}

// forward returns the decision to forward a packet to the agent that owns its flow.
func (p *Placer) forward(flow bramleyfall.Flow, u *upstream, now time.Time) Decision {
	return Decision{Kind: bramleyfall.ActionPass, Flow: flow, Targets: p.singleTarget(u, now), Instance: u.Instance}
}

// singleTarget returns an agent as the only target of a decision.
func (p *Placer) singleTarget(u *upstream, now time.Time) []Target {
	u.noteSent(now)
	p.targets = append(p.targets, u.target())
	return p.targets[len(p.targets)-1:]
}

// refuse returns the decision to answer a packet with a reset, or to drop it if it is
// a reset itself. A refused opening has not been delivered to any upstream.
func (p *Placer) refuse(packet *bramleyfall.Packet, code bramleyfall.ResultCode) Decision {
	d := Decision{Kind: bramleyfall.ActionRefuse, Code: code, Flow: packet.Flow}
	if packet.Kind == bramleyfall.KindReset {
		d.Kind = bramleyfall.ActionDrop
		return d
	}
	d.Reset = &bramleyfall.Segment{Flow: packet.Flow.Reverse(), Sequence: packet.Ack, Reset: true}
	return d
}

// defaultIdleTimeout is the time after which an idle flow is removed from the cache if
// the configuration does not set one.
const defaultIdleTimeout = time.Minute

// sweepInterval is the time between two removals of idle flows and expired agents.
const sweepInterval = 2 * time.Second

// sweep removes idle flows and expired agents.
func (p *Placer) sweep(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(sweepInterval)
	idleTimeout := defaultIdleTimeout
	if p.snapshot != nil && p.snapshot.IdleTimeout > 0 {
		idleTimeout = p.snapshot.IdleTimeout
	}
	for key, f := range p.flows {
		if now.Sub(f.lastUse) > idleTimeout {
			delete(p.flows, key)
		}
	}
	for _, u := range p.upstreams {
		if u.expired(&p.config, now) {
			p.removeUpstream(u)
		}
	}
}
