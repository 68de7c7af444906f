// Package caller decides, beside an upstream, what happens to the packets of
// its callers. A FlowFilter owns the upstream's flows: it admits openings within
// what the upstream can bear, delivers the packets of its own flows and passes
// all others on.
package caller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/chart"
)

// startGrace is the longest time for which a started agent holds packets of
// unknown flows until it knows its configuration and its upstream.
const startGrace = 5 * time.Second

// Config holds the settings of a FlowFilter.
type Config struct {
	// Upstream is the key that hop lists name the upstream by.
	Upstream bramleyfall.InstanceKey
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Connections is the number of flows that the upstream holds at once.
	Connections int
	// WarmUp is the time to full share where a service sets none.
	WarmUp time.Duration
	// SilentAfter is the time until a silent end is given up where a service
	// sets none.
	SilentAfter time.Duration
	// RetryAfter is what a refused caller is told.
	RetryAfter time.Duration
	// RecoveryPeriod is how long a started agent looks for flows of a running
	// upstream.
	RecoveryPeriod time.Duration
	// MaxLoadRatio is the ratio to the mean load of the peers above which an
	// opening is passed on.
	MaxLoadRatio float64
}

// DefaultConfig returns the settings used where options set no others.
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

// Option sets an option of a FlowFilter.
type Option func(*Config)

// WithUpstream sets the key that hop lists name the upstream by.
func WithUpstream(key bramleyfall.InstanceKey) Option {
	return func(c *Config) { c.Upstream = key }
}

// WithCapacity sets the slots and the connections of the upstream.
func WithCapacity(slots, connections int) Option {
	return func(c *Config) { c.Slots, c.Connections = slots, connections }
}

// WithWarmUp sets the default time to full share.
func WithWarmUp(d time.Duration) Option { return func(c *Config) { c.WarmUp = d } }

// WithSilentAfter sets the default time until a silent end is given up.
func WithSilentAfter(d time.Duration) Option { return func(c *Config) { c.SilentAfter = d } }

// WithRetryAfter sets what a refused caller is told.
func WithRetryAfter(d time.Duration) Option { return func(c *Config) { c.RetryAfter = d } }

// WithRecoveryPeriod sets how long flows of a running upstream are looked for.
func WithRecoveryPeriod(d time.Duration) Option { return func(c *Config) { c.RecoveryPeriod = d } }

// WithMaxLoadRatio sets the ratio to the mean above which openings are passed
// on. Zero turns passing on for balance off.
func WithMaxLoadRatio(f float64) Option { return func(c *Config) { c.MaxLoadRatio = f } }

// FlowFilter is a Gate. It is not safe for concurrent use.
type FlowFilter struct {
	config   Config
	flows    map[bramleyfall.Flow]*flow
	services serviceSet
	chart    FlowChart
	upstream lifecycle
	share    share
	trials   trials
	epoch    time.Time
	domain   bramleyfall.DomainState
	// lingerUntil is the time until which flows that wait for an answer are kept
	// in a failure domain out of service.
	lingerUntil time.Time
	// busy counts flows that wait for an answer of the upstream.
	busy int
	// live counts flows that are not closed.
	live int
}

var _ bramleyfall.PacketFilter = (*FlowFilter)(nil)

// NewFlowFilter returns a gate for an upstream that has not started yet. Its
// times count from now. The error names a fault in a state chart.
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
		config:   config,
		flows:    make(map[bramleyfall.Flow]*flow),
		chart:    flows,
		upstream: newLifecycle(states),
		share:    newShare(),
		trials:   newTrials(),
		epoch:    now,
		domain:   bramleyfall.DomainIn,
	}, nil
}

// flow is the state of one flow. Times are milliseconds since the epoch.
type flow struct {
	service      *service
	lastCaller   uint32
	lastUpstream uint32
	lastHint     uint32
	// upstreamStart is the sequence number of the upstream's SYN.
	upstreamStart uint32
	// nextCaller and nextUpstream are the sequence numbers that follow what
	// each end has sent.
	nextCaller   uint32
	nextUpstream uint32
	state        chart.ID
	waiting      bool
	// asked is set once the caller has sent payload.
	asked bool
}

// service is a service that the upstream may serve, at one address.
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
// other services keep their owner but get no further packet delivered.
func (g *FlowFilter) SetServices(services []bramleyfall.Service) {
	g.services = make(serviceSet)
	for i := range services {
		s := &services[i]
		for _, a := range s.Addresses {
			g.services[serviceAddress{a.Endpoint, a.Protocol}] = &service{
				name:        s.Name,
				class:       a.Class,
				warmUp:      orDefault(time.Duration(s.WarmUp), g.config.WarmUp),
				silentAfter: orDefault(time.Duration(s.SilentAfter), g.config.SilentAfter),
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

func (g *FlowFilter) service(f bramleyfall.Flow) *service {
	return g.services[serviceAddress{f.Destination, f.Protocol}]
}

// Flows returns the number of flows that are not closed.
func (g *FlowFilter) Flows() int { return g.live }

// PendingFlows returns the number of flows that wait for an answer of the upstream.
func (g *FlowFilter) PendingFlows() int { return g.busy }

// State returns the state of the upstream.
func (g *FlowFilter) State() UpstreamState { return g.upstream.name() }

// Boot returns the boot id of the upstream, or zero while it is absent.
func (g *FlowFilter) Boot() bramleyfall.BootID { return g.upstream.boot }

// FromCaller implements bramleyfall.PacketFilter. It changes list when the action is
// ActionPass.
func (g *FlowFilter) FromCaller(p *bramleyfall.Packet, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	g.share.learn(list, g.config.Upstream, now)
	if list.Current().Upstream != g.config.Upstream {
		return drop(p, bramleyfall.WrongUpstream)
	}
	if g.starting(now) && p.Kind != bramleyfall.KindOpening {
		// The flow may be this upstream's: its sender repeats the packet.
		return drop(p, bramleyfall.StaleInstance)
	}
	s := g.service(p.Flow)
	f := g.flows[p.Flow]
	code := g.mayServe(s, list)
	lingers := code == bramleyfall.NotRunDomainOut && now.Before(g.lingerUntil) && p.Kind != bramleyfall.KindOpening
	if code != bramleyfall.OK && (!lingers || f == nil) {
		return g.passOn(p, list, code)
	}
	if f != nil {
		return g.known(p, f, list, now)
	}
	switch {
	case p.Kind == bramleyfall.KindOpening, g.opensUDP(p, list, now):
		return g.open(p, s, list, now)
	case p.Kind != bramleyfall.KindReset && p.Flow.Protocol == bramleyfall.TCP && g.upstream.adopting(now):
		return g.try(p, list, now)
	}
	return g.passOn(p, list, bramleyfall.NoOwner)
}

// mayServe reports whether packets with the list may be delivered at all: the
// service is one that the upstream serves, its failure domain is in service and
// the list names the run of the upstream that is there.
func (g *FlowFilter) mayServe(s *service, list *bramleyfall.HopList) bramleyfall.ResultCode {
	switch {
	case s == nil || s.name.Key() != list.Service:
		return bramleyfall.WrongService
	case g.domain == bramleyfall.DomainOut:
		return bramleyfall.NotRunDomainOut
	case list.Current().Boot != g.upstream.boot || g.upstream.boot == 0:
		return bramleyfall.WrongUpstream
	}
	return bramleyfall.OK
}

// opensUDP reports whether a UDP packet opens a flow because no upstream on its
// lists owns one.
func (g *FlowFilter) opensUDP(p *bramleyfall.Packet, list *bramleyfall.HopList, now time.Time) bool {
	return p.Flow.Protocol == bramleyfall.UDP && list.Last() && !list.More && !g.upstream.adopting(now)
}

func drop(p *bramleyfall.Packet, code bramleyfall.ResultCode) bramleyfall.Action {
	return bramleyfall.Action{Kind: bramleyfall.ActionDrop, Code: code, Flow: p.Flow}
}

// starting reports whether the agent has yet to learn its configuration or its
// upstream. A packet that was passed on then would end in a reset of a flow that
// may be adopted a moment later.
func (g *FlowFilter) starting(now time.Time) bool {
	ready := g.services != nil && g.upstream.boot != 0
	return !ready && now.Sub(g.epoch) < startGrace
}

// passOn sends the packet to the next hop. From the last hop an opening is
// refused and any other packet reset.
func (g *FlowFilter) passOn(p *bramleyfall.Packet, list *bramleyfall.HopList, code bramleyfall.ResultCode) bramleyfall.Action {
	if p.Kind == bramleyfall.KindOpening {
		return g.passOpening(p, list, code, fullLoad)
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
		Kind: bramleyfall.ActionReset, Code: code, Flow: p.Flow, ToCaller: answerReset(p),
	}
}

// answerReset returns the reset that answers p (RFC 9293, section 3.10.7.1).
func answerReset(p *bramleyfall.Packet) *bramleyfall.Segment {
	s := &bramleyfall.Segment{Flow: p.Flow.Reverse(), Reset: true}
	if p.HasAck {
		s.Sequence = p.Ack
		return s
	}
	s.HasAck = true
	s.Ack = p.End()
	return s
}

// millis returns now as stored in flows. It is never zero.
func (g *FlowFilter) millis(now time.Time) uint32 {
	return uint32(now.Sub(g.epoch).Milliseconds()) + 1
}

func (g *FlowFilter) fire(f *flow, event chart.ID) bool {
	next, ok := g.chart.Fire(f.state, event)
	if next == g.chart.Closed && f.state != g.chart.Closed {
		g.live--
		g.setWaiting(f, false)
	}
	f.state = next
	return ok
}

func (g *FlowFilter) setWaiting(f *flow, waiting bool) {
	if f.waiting == waiting {
		return
	}
	f.waiting = waiting
	if waiting {
		g.busy++
		return
	}
	g.busy--
}

// sortedFlows returns the flows in a fixed order, so that a gate does the same
// each time.
func (g *FlowFilter) sortedFlows() []bramleyfall.Flow {
	return slices.SortedFunc(maps.Keys(g.flows), func(a, b bramleyfall.Flow) int { return cmp.Compare(a.Hash(), b.Hash()) })
}
