package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/directory"
	"bramleyfall.example/bramleyfall/placement"
	"bramleyfall.example/bramleyfall/telemetry"
	"bramleyfall.example/bramleyfall/tunnel"
)

const (
	// balancerTickInterval is the interval between checks for openings that an agent
	// has not answered in time. It is a fraction of that time limit.
	balancerTickInterval = 20 * time.Millisecond
	// A stopping balancer forwards packets until it has received none from the
	// fabric for balancerQuietPeriod, because the fabric takes it out of rotation
	// only after two failed readiness checks. It forwards for minBalancerDrain at
	// least and maxBalancerDrain at most: the fabric keeps sending packets to it if
	// too few other balancers are ready.
	balancerQuietPeriod       = 250 * time.Millisecond
	minBalancerDrain          = 500 * time.Millisecond
	maxBalancerDrain          = 3 * time.Second
	balancerDrainPollInterval = 20 * time.Millisecond
)

// BalancerConfig holds the settings of a Balancer.
type BalancerConfig struct {
	ID     bramleyfall.InstanceID
	Domain bramleyfall.DomainName
	// Packets is the address to which the fabric routes callers' packets. Its port
	// is also the destination port of packets to callers.
	Packets bramleyfall.Endpoint
	// Tunnel is the address on which messages from agents are received.
	Tunnel bramleyfall.Endpoint
	// HTTP is the address of the liveness and readiness checks, Metrics that of the
	// metrics and of the configuration that peers fetch.
	HTTP, Metrics bramleyfall.Endpoint
}

// Balancer forwards callers' packets to agents.
type Balancer struct {
	config        BalancerConfig
	clock         bramleyfall.Clock
	telemetry     *telemetry.Telemetry
	codec         bramleyfall.PacketCodec
	callerConn    *net.UDPConn
	agentConn     *net.UDPConn
	peers         *peers
	configWatcher *directory.ConfigurationWatcher
	entryWatcher  *directory.EntryWatcher
	servers       []*http.Server
	draining      atomic.Bool
	metrics       balancerMetrics

	// mu guards the fields below.
	mu      sync.Mutex
	placer  *placement.Placer
	packet  bramleyfall.Packet
	message tunnel.Message
	buffer  []byte
	// lastChange is the revision of the last operator change in the configuration.
	lastChange bramleyfall.Revision
	// lastPacket is when the last packet from a caller was received.
	lastPacket time.Time
}

type balancerMetrics struct {
	packets, lookups, refused, malformed, unowned *metrics.Counter
	placing                                       *metrics.Histogram
	loadAge                                       *metrics.Histogram
}

// NewBalancer creates a balancer and opens its sockets.
func NewBalancer(config BalancerConfig, clock bramleyfall.Clock, codec bramleyfall.PacketCodec, store bramleyfall.LongPollStore, source bramleyfall.ConfigurationSource, t *telemetry.Telemetry) (*Balancer, error) {
	b := &Balancer{
		config: config, clock: clock, telemetry: t, codec: codec, peers: newPeers(config.Metrics.Port),
		placer: placement.New(placement.WithDomain(config.Domain)),
		metrics: balancerMetrics{
			packets:   t.Counter("bramleyfall_packets_total"),
			lookups:   t.Counter("bramleyfall_owner_lookups_total"),
			refused:   t.Counter("bramleyfall_refused_total"),
			malformed: t.Counter("bramleyfall_malformed_messages_total"),
			unowned:   t.Counter("bramleyfall_flows_without_owner_total"),
			placing:   t.Metrics.NewHistogram("bramleyfall_placing_seconds"),
			loadAge:   t.Metrics.NewHistogram("bramleyfall_load_age_seconds"),
		},
	}
	configuration := &dependency{telemetry: t, name: "Configuration"}
	entries := &dependency{telemetry: t, name: "AgentEntries"}
	b.configWatcher = directory.NewConfigurationWatcher(source, b.peers.fetch, b.applyConfiguration, configuration.recordOutcome, directory.BalancerWatchTimeout,
		directory.WithRejectionObserver(logRejected(t)), directory.WithClock(clock))
	b.entryWatcher = directory.NewEntryWatcher(store, clock, b, entries.recordOutcome)
	var err error
	if b.callerConn, err = listenUDP(config.Packets); err != nil {
		return nil, err
	}
	if b.agentConn, err = listenUDP(config.Tunnel); err != nil {
		return nil, err
	}
	t.Gauge("bramleyfall_flows", func() float64 { return float64(b.flows()) })
	t.SetReadinessCheck(b.ready)
	return b, b.listen()
}

func (b *Balancer) listen() error {
	handlers := []struct {
		address bramleyfall.Endpoint
		handler http.Handler
	}{
		{b.config.HTTP, b.telemetry.Handler()},
		{b.config.Metrics, b.peers.handler(b.telemetry)},
	}
	for _, h := range handlers {
		s, err := serveHTTP(h.address, h.handler, b.telemetry)
		if err != nil {
			return err
		}
		b.servers = append(b.servers, s)
	}
	return nil
}

func (b *Balancer) flows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placer.Flows()
}

// ready is the readiness check by which the fabric decides whether to route
// packets to the balancer.
func (b *Balancer) ready() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.draining.Load():
		return errors.New("leaving")
	case !b.placer.Ready():
		return errors.New("no configuration or no agents' entries yet")
	case b.placer.Isolated(b.clock.Now()):
		return errors.New("no agent answers")
	}
	return nil
}

// Run forwards packets until ctx is done, and then until the fabric has stopped
// sending packets or maxBalancerDrain has passed.
func (b *Balancer) Run(ctx context.Context) {
	background, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { loopRead(b.callerConn, b.handleCallerPacket) })
	tasks.Go(func() { loopRead(b.agentConn, b.handleAgentMessage) })
	tasks.Go(func() { loopTick(background, balancerTickInterval, b.tick) })
	tasks.Go(func() { b.configWatcher.Run(background) })
	tasks.Go(func() { b.entryWatcher.Run(background) })
	b.telemetry.Log.Info().Str("Event", "Started").Str("Domain", string(b.config.Domain)).
		Str("Packets", b.config.Packets.String()).Str("Tunnel", b.config.Tunnel.String()).Msg("")
	<-ctx.Done()
	b.draining.Store(true)
	b.telemetry.Log.Info().Str("Event", "Leaving").Int("Flows", b.flows()).Msg("")
	b.drain()
	cancel()
	_ = b.callerConn.Close()
	_ = b.agentConn.Close()
	for _, s := range b.servers {
		_ = s.Close()
	}
	tasks.Wait()
	b.telemetry.Log.Info().Str("Event", "Stopped").Msg("")
}

// drain waits until the fabric has stopped sending packets.
func (b *Balancer) drain() {
	started := b.clock.Now()
	for {
		time.Sleep(balancerDrainPollInterval)
		now := b.clock.Now()
		elapsed := now.Sub(started)
		b.mu.Lock()
		quiet := now.Sub(b.lastPacket) >= balancerQuietPeriod
		b.mu.Unlock()
		if elapsed >= maxBalancerDrain || elapsed >= minBalancerDrain && quiet {
			return
		}
	}
}

// handleCallerPacket processes a caller's packet that the fabric routed to the
// balancer.
func (b *Balancer) handleCallerPacket(data []byte, _ netip.AddrPort) {
	now := b.clock.Now()
	b.metrics.packets.Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastPacket = now
	if err := b.codec.Decode(data, &b.packet); err != nil {
		b.countMalformed(err)
		return
	}
	b.executeAll(b.placer.FromCaller(&b.packet, now), data, now)
}

// executeAll executes and logs decisions. Raw is the packet that is being
// processed, or nil.
func (b *Balancer) executeAll(decisions []placement.Decision, raw []byte, now time.Time) {
	for i := range decisions {
		d := &decisions[i]
		b.execute(d, raw, now)
		switch {
		case d.Lookup:
			b.telemetry.Decision(now).Str("Event", "Lookup").Str("Flow", d.Flow.String()).Int("Agents", len(d.Targets)).Msg("")
		case d.Placed, d.Kind == bramleyfall.ActionRefuse, d.Code == bramleyfall.StaleInstance && d.Instance != "":
			b.logDecision(d, now)
		}
	}
}

// handleAgentMessage processes a message from an agent.
func (b *Balancer) handleAgentMessage(data []byte, sender netip.AddrPort) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var m tunnel.Message
	if err := tunnel.Decode(data, &m); err != nil {
		b.countMalformed(err)
		return
	}
	from := toEndpoint(sender)
	if b.placer.UpdateLoad(from, m.Service, m.Load, now) {
		b.telemetry.Log.Info().Str("Event", "UpstreamState").Str("Agent", string(b.placer.InstanceAt(from))).
			Str("State", string(m.Load.State)).Uint16("Busy", m.Load.Busy).Uint16("Slots", m.Load.Slots).Msg("")
	}
	b.configWatcher.ObservePeer(from, m.Changed, m.Version)
	switch m.Kind {
	case tunnel.Return:
		b.handleReturn(&m, from, now)
	case tunnel.Owned:
		b.telemetry.Decision(now).Str("Event", "Owned").Str("Flow", m.Flow.String()).
			Str("Agent", string(b.placer.InstanceAt(from))).Msg("")
		b.executeAll(b.placer.FlowOwned(m.Flow, from, now), nil, now)
	case tunnel.MayBeOwned:
		b.executeAll(b.placer.FlowMayBeOwned(m.Flow, from, now), nil, now)
	case tunnel.NotOwned:
		b.executeAll(b.placer.FlowNotOwned(m.Flow, from, now), nil, now)
	}
}

// handleReturn processes a packet that an agent returned.
func (b *Balancer) handleReturn(m *tunnel.Message, from bramleyfall.Endpoint, now time.Time) {
	if err := b.codec.Decode(m.Raw, &b.packet); err != nil {
		b.countMalformed(err)
		return
	}
	b.telemetry.Decision(now).Str("Event", "Returned").Str("Flow", b.packet.Flow.String()).
		Str("Agent", string(b.placer.InstanceAt(from))).Str("Reason", m.Code.String()).Msg("")
	b.executeAll(b.placer.ReturnedByAgent(&b.packet, from, m.Code, now), m.Raw, now)
}

// tick places openings elsewhere whose agents did not answer in time, continues
// lookups, refreshes the list of agents and sends probes.
func (b *Balancer) tick() {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executeAll(b.placer.Tick(now), nil, now)
	if b.placer.RefreshDue(now) {
		b.entryWatcher.Refresh()
	}
	for _, target := range b.placer.DueProbes(now) {
		b.send(&tunnel.Message{
			Kind: tunnel.Probe, Service: target.Service, Version: b.placer.Version(), Changed: b.lastChange, EntryMissing: target.EntryMissing,
		}, target.Address)
	}
}

// execute sends the packets and messages that a decision calls for.
func (b *Balancer) execute(d *placement.Decision, raw []byte, now time.Time) {
	switch d.Kind {
	case bramleyfall.ActionPass:
		b.message = tunnel.Message{
			Kind: messageKind(d), LastResort: d.LastResort, Version: b.placer.Version(), Changed: b.lastChange, Priority: d.Priority,
			Objective: d.Objective, Idempotent: d.Idempotent,
		}
		switch {
		case d.Lookup:
			b.metrics.lookups.Inc()
			b.message.Flow, b.message.Ack = d.Flow, d.Ack
		case d.Raw != nil:
			b.message.Raw = d.Raw
		default:
			b.message.Raw = raw
		}
		for _, target := range d.Targets {
			b.message.Service = target.Service
			b.send(&b.message, target.Address)
		}
		if d.Placed {
			b.metrics.loadAge.Update(d.LoadAge.Seconds())
			b.metrics.placing.Update(b.clock.Now().Sub(now).Seconds())
		}
	case bramleyfall.ActionRefuse:
		b.metrics.refused.Inc()
		if d.Code == bramleyfall.NoOwner {
			b.metrics.unowned.Inc()
		}
		b.buffer = b.codec.AppendReset(b.buffer[:0], d.Reset)
		caller := bramleyfall.Endpoint{IP: d.Flow.Source.IP, Port: b.config.Packets.Port}
		b.write(b.callerConn, caller)
	}
}

func messageKind(d *placement.Decision) tunnel.Kind {
	switch {
	case d.Lookup:
		return tunnel.Lookup
	case d.Tentative:
		return tunnel.TentativeForward
	}
	return tunnel.Forward
}

func (b *Balancer) send(m *tunnel.Message, to bramleyfall.Endpoint) {
	b.buffer = tunnel.Append(b.buffer[:0], m)
	b.write(b.agentConn, to)
}

// write sends the buffer as a datagram. If that fails, it counts the error only:
// the packet is lost as it could be in the network, and its sender retransmits it.
func (b *Balancer) write(conn *net.UDPConn, to bramleyfall.Endpoint) {
	if _, err := conn.WriteToUDPAddrPort(b.buffer, to.AddrPort()); err != nil {
		b.telemetry.Counter("bramleyfall_send_errors_total").Inc()
	}
}

// logDecision logs the placement of an opening, a refusal, or the end of a lookup that
// an agent did not answer.
func (b *Balancer) logDecision(d *placement.Decision, now time.Time) {
	e := b.telemetry.Decision(now).Str("Event", "Place").Str("Flow", d.Flow.String()).
		Str("Outcome", string(d.Kind)).Str("Reason", d.Code.String()).Uint64("Version", uint64(b.placer.Version()))
	if d.Instance != "" {
		e = e.Str("Agent", string(d.Instance)).Uint16("Busy", d.Load.Busy).Uint16("Slots", d.Load.Slots).
			Uint16("Utilization", d.Load.Utilization).Int64("LoadAgeMS", d.LoadAge.Milliseconds()).Bool("Must", d.LastResort)
	}
	e.Msg("")
}

func (b *Balancer) countMalformed(err error) {
	b.metrics.malformed.Inc()
	if b.metrics.malformed.Get()%malformedLogEvery == 1 {
		b.telemetry.Log.Warn().Str("Event", "Malformed").Str("Reason", err.Error()).Msg("")
	}
}

func (b *Balancer) applyConfiguration(s *bramleyfall.Snapshot) {
	b.peers.current.Store(s)
	b.mu.Lock()
	b.placer.Configure(s)
	b.lastChange = s.Changed
	b.mu.Unlock()
	logConfigured(b.telemetry, s)
}

// logRejected returns a function that logs that an older configuration than the one in
// force was read. It logs one line for each revision.
func logRejected(t *telemetry.Telemetry) directory.RejectionFunc {
	var logged bramleyfall.Revision
	return func(read, inForce *bramleyfall.Snapshot) {
		t.Counter("bramleyfall_older_configurations_total").Inc()
		if read.Revision == logged {
			return
		}
		logged = read.Revision
		t.Log.Warn().Str("Event", "OlderConfiguration").Uint64("Version", uint64(read.Version)).Uint64("Revision", read.Revision.Number()).Uint64("Era", uint64(read.Revision.Era())).
			Uint64("VersionInForce", uint64(inForce.Version)).Uint64("RevisionInForce", inForce.Revision.Number()).Uint64("EraInForce", uint64(inForce.Revision.Era())).Msg("")
	}
}

func logConfigured(t *telemetry.Telemetry, s *bramleyfall.Snapshot) {
	t.Log.Info().Str("Event", "Configured").Uint64("Version", uint64(s.Version)).
		Uint64("Revision", s.Revision.Number()).Uint64("Era", uint64(s.Revision.Era())).Int("Routes", len(s.Routes)).Int("DomainsOut", len(s.Out)).Msg("")
}

// ListComplete implements directory.EntryHandler.
func (b *Balancer) ListComplete(asOf time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.ListComplete(asOf)
}

// EntryAdded implements directory.EntryHandler.
func (b *Balancer) EntryAdded(a bramleyfall.Announcement) {
	b.mu.Lock()
	b.placer.EntryAdded(a)
	b.mu.Unlock()
	b.telemetry.Log.Info().Str("Event", "AgentListed").Str("Agent", string(a.Instance)).Str("Service", string(a.Service)).
		Str("Upstream", string(a.Upstream)).Uint64("Boot", uint64(a.Boot)).Msg("")
}

// EntryMissing implements directory.EntryHandler.
func (b *Balancer) EntryMissing(instance bramleyfall.InstanceID) {
	b.mu.Lock()
	b.placer.EntryMissing(instance, b.clock.Now())
	b.mu.Unlock()
	b.telemetry.Log.Info().Str("Event", "AgentUnlisted").Str("Agent", string(instance)).Msg("")
}

// EntryWithdrawn implements directory.EntryHandler.
func (b *Balancer) EntryWithdrawn(instance bramleyfall.InstanceID) {
	b.mu.Lock()
	b.placer.EntryWithdrawn(instance)
	b.mu.Unlock()
	b.telemetry.Log.Info().Str("Event", "AgentWithdrawn").Str("Agent", string(instance)).Msg("")
}

// ListMayBeIncomplete implements directory.EntryHandler.
func (b *Balancer) ListMayBeIncomplete(reason error) {
	b.mu.Lock()
	b.placer.ListMayBeIncomplete(b.clock.Now())
	b.mu.Unlock()
	b.telemetry.Log.Info().Str("Event", "ListIncomplete").Str("Reason", reason.Error()).Msg("")
}

// RecordMalformed implements directory.EntryHandler.
func (b *Balancer) RecordMalformed(err error) { b.countMalformed(err) }
