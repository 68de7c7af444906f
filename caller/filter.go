// Package caller implements the packet filter of the agent next to an upstream.
// FlowFilter keeps the flow table of the upstream: it admits openings up to the
// capacity of the upstream, delivers the packets of the flows in its table and
// forwards all other packets. The agent does the I/O.
package caller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/chart"
)

// startupTimeout is the maximum time after its start for which an agent drops
// packets of unknown flows because it has not yet received its configuration or
// the boot id of its upstream.
const startupTimeout = 5 * time.Second

// Config holds the settings of a FlowFilter.
type Config struct {
	// Upstream is the key of the upstream in hop lists.
	Upstream bramleyfall.InstanceKey
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	// Connections is the maximum number of concurrent flows of the upstream.
	Connections int
	// WarmUp is the time after the start of the upstream until it receives its full
	// share of flows, for services that do not set their own.
	WarmUp time.Duration
	// SilentAfter is the time without a packet from one end after which a flow is
	// reset, for services that do not set their own.
	SilentAfter time.Duration
	// RetryAfter is how long a refused caller should wait before a retry.
	RetryAfter time.Duration
	// RecoveryPeriod is how long a restarted agent recovers the flows of an
	// upstream that was already running.
	RecoveryPeriod time.Duration
	// MaxLoadRatio is the ratio of the upstream's load to the mean load of the
	// upstream and its peers above which openings are forwarded. Zero disables
	// balancing by load.
	MaxLoadRatio float64
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Slots:          5,
		Connections:    2000,
		WarmUp:         20 * time.Second,
		SilentAfter:    15 * time.Second,
		RetryAfter:     time.Second,
		RecoveryPeriod: time.Minute,
		MaxLoadRatio:   1.05,
	}
}

// Option changes a setting of a FlowFilter.
type Option func(*Config)

// WithUpstream sets the key of the upstream in hop lists.
func WithUpstream(key bramleyfall.InstanceKey) Option {
	return func(c *Config) { c.Upstream = key }
}

// WithCapacity sets the number of slots and the connection limit of the
// upstream.
func WithCapacity(slots, connections int) Option {
	return func(c *Config) { c.Slots, c.Connections = slots, connections }
}

// WithWarmUp sets the default warm-up time.
func WithWarmUp(d time.Duration) Option { return func(c *Config) { c.WarmUp = d } }

// WithSilentAfter sets the default time without a packet from one end after
// which a flow is reset.
func WithSilentAfter(d time.Duration) Option { return func(c *Config) { c.SilentAfter = d } }

// WithRetryAfter sets how long a refused caller should wait before a retry.
func WithRetryAfter(d time.Duration) Option { return func(c *Config) { c.RetryAfter = d } }

// WithRecoveryPeriod sets how long a restarted agent recovers the flows of an
// upstream that was already running.
func WithRecoveryPeriod(d time.Duration) Option { return func(c *Config) { c.RecoveryPeriod = d } }

// WithMaxLoadRatio sets the ratio of the upstream's load to the mean load above
// which openings are forwarded. Zero disables balancing by load.
func WithMaxLoadRatio(ratio float64) Option { return func(c *Config) { c.MaxLoadRatio = ratio } }

// FlowFilter implements bramleyfall.PacketFilter. It is not safe for concurrent
// use.
type FlowFilter struct {
	config    Config
	flows     map[bramleyfall.Flow]*flow
	services  serviceSet
	chart     FlowChart
	upstream  lifecycle
	peerLoads peerLoads
	checks    ownershipChecks
	epoch     time.Time
	domain    bramleyfall.DomainState
	// graceUntil is the time until which flows awaiting a response are kept while
	// the failure domain is out of service.
	graceUntil time.Time
	// pendingFlows is the number of flows awaiting a response of the upstream.
	pendingFlows int
	// openFlows is the number of flows that are not closed.
	openFlows int
}

var _ bramleyfall.PacketFilter = (*FlowFilter)(nil)

// NewFlowFilter returns a filter for an upstream that has not started yet. Flow
// timestamps are relative to now. It returns an error if a state chart is
// invalid.
func NewFlowFilter(now time.Time, options ...Option) (*FlowFilter, error) {
	config := DefaultConfig()
	for _, o := range options {
		o(&config)
	}
	flows, err := NewFlowChart()
	if err != nil {
		return nil, err
	}
	states, err := newUpstreamChart()
	if err != nil {
		return nil, err
	}
	return &FlowFilter{
		config:    config,
		flows:     make(map[bramleyfall.Flow]*flow),
		chart:     flows,
		upstream:  newLifecycle(states),
		peerLoads: newPeerLoads(),
		checks:    newOwnershipChecks(),
		epoch:     now,
		domain:    bramleyfall.DomainIn,
	}, nil
}

// flow is the state of one flow. Times are in milliseconds since
// FlowFilter.epoch.
type flow struct {
	service          *service
	lastFromCaller   uint32
	lastFromUpstream uint32
	lastHint         uint32
	// upstreamISN is the initial sequence number of the upstream.
	upstreamISN uint32
	// callerNextSeq and upstreamNextSeq are the next sequence numbers that each
	// end will send.
	callerNextSeq   uint32
	upstreamNextSeq uint32
	state           chart.ID
	pending         bool
	// requestSeen is set once the caller has sent payload.
	requestSeen bool
}

// service holds the settings that apply at one address of a service.
type service struct {
	name        bramleyfall.ServiceName
	class       bramleyfall.TrafficClass
	warmUp      time.Duration
	silentAfter time.Duration
}

type serviceAddress struct {
	endpoint bramleyfall.Endpoint
	protocol bramleyfall.Protocol
}

type serviceSet map[serviceAddress]*service

// SetServices replaces the services that the upstream may serve. Flows of
// removed services stay in the flow table, but their packets are no longer
// delivered.
func (ff *FlowFilter) SetServices(services []bramleyfall.Service) {
	ff.services = make(serviceSet)
	for i := range services {
		s := &services[i]
		for _, a := range s.Addresses {
			ff.services[serviceAddress{a.Endpoint, a.Protocol}] = &service{
				name:        s.Name,
				class:       a.Class,
				warmUp:      orDefault(time.Duration(s.WarmUp), ff.config.WarmUp),
				silentAfter: orDefault(time.Duration(s.SilentAfter), ff.config.SilentAfter),
			}
		}
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

func (ff *FlowFilter) service(f bramleyfall.Flow) *service {
	return ff.services[serviceAddress{f.Destination, f.Protocol}]
}

// Flows returns the number of flows that are not closed.
func (ff *FlowFilter) Flows() int { return ff.openFlows }

// PendingFlows returns the number of flows awaiting a response of the upstream.
func (ff *FlowFilter) PendingFlows() int { return ff.pendingFlows }

// State returns the state of the upstream.
func (ff *FlowFilter) State() UpstreamState { return ff.upstream.current() }

// Boot returns the boot id of the upstream, or zero before its first start.
func (ff *FlowFilter) Boot() bramleyfall.BootID { return ff.upstream.boot }

// FromCaller implements bramleyfall.PacketFilter. It updates list for the next
// hop if the action is ActionPass.
func (ff *FlowFilter) FromCaller(p *bramleyfall.Packet, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	ff.peerLoads.record(list, ff.config.Upstream, now)
	if list.Current().Upstream != ff.config.Upstream {
		return drop(p, bramleyfall.WrongUpstream)
	}
	if ff.initializing(now) && p.Kind != bramleyfall.KindOpening {
		// The flow may belong to this upstream. The caller retransmits the packet.
		return drop(p, bramleyfall.StaleInstance)
	}
	s := ff.service(p.Flow)
	f := ff.flows[p.Flow]
	code := ff.checkDestination(s, list)
	inGrace := code == bramleyfall.NotRunDomainOut && now.Before(ff.graceUntil) && p.Kind != bramleyfall.KindOpening
	if code != bramleyfall.OK && (!inGrace || f == nil) {
		return ff.forward(p, list, code)
	}
	if f != nil {
		return ff.handleKnownFlow(p, f, list, now)
	}
	switch {
	case p.Kind == bramleyfall.KindOpening, ff.opensUDPFlow(p, list, now):
		return ff.handleOpening(p, s, list, now)
	case p.Kind != bramleyfall.KindReset && p.Flow.Protocol == bramleyfall.TCP && ff.upstream.recovering(now):
		return ff.checkOwnership(p, list, now)
	}
	return ff.forward(p, list, bramleyfall.NoOwner)
}

// checkDestination returns OK if packets with the hop list may be delivered: the
// upstream serves the service, its failure domain is in service and the hop has
// the boot id of the running upstream. Otherwise it returns the reason.
func (ff *FlowFilter) checkDestination(s *service, list *bramleyfall.HopList) bramleyfall.ResultCode {
	switch {
	case s == nil || s.name.Key() != list.Service:
		return bramleyfall.WrongService
	case ff.domain == bramleyfall.DomainOut:
		return bramleyfall.NotRunDomainOut
	case list.Current().Boot != ff.upstream.boot || ff.upstream.boot == 0:
		return bramleyfall.WrongUpstream
	}
	return bramleyfall.OK
}

// opensUDPFlow reports whether a UDP packet opens a flow: it has reached the last
// hop of the last page, so no upstream owns its flow. During the recovery period
// the upstream may own the flow itself.
func (ff *FlowFilter) opensUDPFlow(p *bramleyfall.Packet, list *bramleyfall.HopList, now time.Time) bool {
	return p.Flow.Protocol == bramleyfall.UDP && list.Last() && !list.More && !ff.upstream.recovering(now)
}

func drop(p *bramleyfall.Packet, code bramleyfall.ResultCode) bramleyfall.Action {
	return bramleyfall.Action{Kind: bramleyfall.ActionDrop, Code: code, Flow: p.Flow}
}

// initializing reports whether the agent has not yet received its configuration
// or the boot id of its upstream. Forwarding packets in this state would lead to
// resets of flows that could be recovered a moment later.
func (ff *FlowFilter) initializing(now time.Time) bool {
	ready := ff.services != nil && ff.upstream.boot != 0
	return !ready && now.Sub(ff.epoch) < startupTimeout
}

// forward sends the packet to the next hop or the next page of hops. If there is
// none, it refuses an opening and answers any other TCP packet with a reset.
func (ff *FlowFilter) forward(p *bramleyfall.Packet, list *bramleyfall.HopList, code bramleyfall.ResultCode) bramleyfall.Action {
	if p.Kind == bramleyfall.KindOpening {
		return ff.forwardOpening(p, list, code, loadUnavailable)
	}
	if !list.Last() {
		list.Index++
		return bramleyfall.Action{Kind: bramleyfall.ActionPass, Code: code, Flow: p.Flow}
	}
	if list.More {
		return bramleyfall.Action{Kind: bramleyfall.ActionNextPage, Code: code, Flow: p.Flow}
	}
	if p.Kind == bramleyfall.KindReset || p.Flow.Protocol != bramleyfall.TCP {
		return drop(p, bramleyfall.NoOwner)
	}
	return bramleyfall.Action{
		Kind: bramleyfall.ActionReset, Code: code, Flow: p.Flow, ToCaller: resetFor(p),
	}
}

// resetFor returns the reset sent in response to p (RFC 9293, section 3.10.7.1).
func resetFor(p *bramleyfall.Packet) *bramleyfall.Segment {
	s := &bramleyfall.Segment{Flow: p.Flow.Reverse(), Reset: true}
	if p.HasAck {
		s.Sequence = p.Ack
		return s
	}
	s.HasAck = true
	s.Ack = p.End()
	return s
}

// millis converts now to the timestamp format of flow. The result is never zero.
func (ff *FlowFilter) millis(now time.Time) uint32 {
	return uint32(now.Sub(ff.epoch).Milliseconds()) + 1
}

func (ff *FlowFilter) fire(f *flow, event chart.ID) bool {
	next, ok := ff.chart.Fire(f.state, event)
	if next == ff.chart.Closed && f.state != ff.chart.Closed {
		ff.openFlows--
		ff.setPending(f, false)
	}
	f.state = next
	return ok
}

func (ff *FlowFilter) setPending(f *flow, pending bool) {
	if f.pending == pending {
		return
	}
	f.pending = pending
	if pending {
		ff.pendingFlows++
		return
	}
	ff.pendingFlows--
}

// sortedFlows returns the flows ordered by hash, which keeps decisions
// deterministic.
func (ff *FlowFilter) sortedFlows() []bramleyfall.Flow {
	return slices.SortedFunc(maps.Keys(ff.flows), func(a, b bramleyfall.Flow) int { return cmp.Compare(a.Hash(), b.Hash()) })
}
