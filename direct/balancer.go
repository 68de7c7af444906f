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
	// balancerTick is the time between two looks at openings that wait for an
	// answer: a fraction of the time that they have.
	balancerTick = 20 * time.Millisecond
	// A leaving balancer forwards until nothing has come for quietFor, since the
	// fabric takes it out of rotation only after two misses of its readiness
	// check, but for leastLinger at least and mostLinger at most: the fabric goes
	// on sending where too few others are ready.
	quietFor    = 250 * time.Millisecond
	leastLinger = 500 * time.Millisecond
	mostLinger  = 3 * time.Second
	lingerCheck = 20 * time.Millisecond
)

// BalancerConfig holds the settings of a Balancer.
type BalancerConfig struct {
	ID     bramleyfall.InstanceID
	Domain bramleyfall.DomainName
	// Packets is the address at which the fabric delivers callers' packets. Its
	// port is also the destination port of packets to callers.
	Packets bramleyfall.Endpoint
	// Tunnel is the address for messages from agents.
	Tunnel bramleyfall.Endpoint
	// HTTP is the address of the liveness and readiness checks. Metrics is that of
	// the metrics and of the configuration for peers.
	HTTP, Metrics bramleyfall.Endpoint
}

// Balancer forwards callers' packets to agents.
type Balancer struct {
	config    BalancerConfig
	clock     bramleyfall.Clock
	telemetry *telemetry.Telemetry
	wire      bramleyfall.PacketCodec
	callers   *net.UDPConn
	agents    *net.UDPConn
	peers     *peers
	follower  *directory.ConfigurationWatcher
	roster    *directory.EntryWatcher
	servers   []*http.Server
	leaving   atomic.Bool
	counts    balancerCounts

	// mu guards what follows: the decisions and the buffers for their messages.
	mu      sync.Mutex
	placer  *placement.Placer
	packet  bramleyfall.Packet
	message tunnel.Message
	buffer  []byte
	// changed is the revision of the last change of the configuration.
	changed bramleyfall.Revision
	// lastPacket is when the last packet of a caller came.
	lastPacket time.Time
}

type balancerCounts struct {
	packets, asked, refused, malformed, unowned *metrics.Counter
	placing                                     *metrics.Histogram
	loadAge                                     *metrics.Histogram
}

// NewBalancer opens the sockets of a balancer.
func NewBalancer(config BalancerConfig, clock bramleyfall.Clock, wire bramleyfall.PacketCodec, store bramleyfall.LongPollStore, source bramleyfall.ConfigurationSource, t *telemetry.Telemetry) (*Balancer, error) {
	b := &Balancer{
		config: config, clock: clock, telemetry: t, wire: wire, peers: newPeers(config.Metrics.Port),
		placer: placement.New(placement.WithDomain(config.Domain)),
		counts: balancerCounts{
			packets:   t.Counter("bramleyfall_packets_total"),
			asked:     t.Counter("bramleyfall_owner_lookups_total"),
			refused:   t.Counter("bramleyfall_refused_total"),
			malformed: t.Counter("bramleyfall_malformed_messages_total"),
			unowned:   t.Counter("bramleyfall_flows_without_owner_total"),
			placing:   t.Metrics.NewHistogram("bramleyfall_placing_seconds"),
			loadAge:   t.Metrics.NewHistogram("bramleyfall_load_age_seconds"),
		},
	}
	configuration := &dependency{telemetry: t, name: "Configuration"}
	entries := &dependency{telemetry: t, name: "AgentEntries"}
	b.follower = directory.NewConfigurationWatcher(source, b.peers.fetch, b.configured, configuration.health, directory.BalancerWatchTimeout)
	b.roster = directory.NewEntryWatcher(store, clock, b, entries.health)
	var err error
	if b.callers, err = listenUDP(config.Packets); err != nil {
		return nil, err
	}
	if b.agents, err = listenUDP(config.Tunnel); err != nil {
		return nil, err
	}
	t.Gauge("bramleyfall_flows", func() float64 { return float64(b.flows()) })
	t.SetReady(b.ready)
	return b, b.listen()
}

func (b *Balancer) listen() error {
	handlers := []struct {
		at      bramleyfall.Endpoint
		handler http.Handler
	}{
		{b.config.HTTP, b.telemetry.Handler()},
		{b.config.Metrics, b.peers.handler(b.telemetry)},
	}
	for _, h := range handlers {
		s, err := serveHTTP(h.at, h.handler, b.telemetry)
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

// ready tells the fabric whether to hand packets over.
func (b *Balancer) ready() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.leaving.Load():
		return errors.New("leaving")
	case !b.placer.Ready():
		return errors.New("no configuration or no agents' entries yet")
	case b.placer.Isolated(b.clock.Now()):
		return errors.New("no agent answers")
	}
	return nil
}

// Run forwards packets until ctx is done and the fabric has stopped sending, or
// the time limit for that has passed.
func (b *Balancer) Run(ctx context.Context) {
	background, cancel := context.WithCancel(context.Background())
	var duties conc.WaitGroup
	duties.Go(func() { loopRead(b.callers, b.fromCaller) })
	duties.Go(func() { loopRead(b.agents, b.fromAgent) })
	duties.Go(func() { loopTick(background, balancerTick, b.tick) })
	duties.Go(func() { b.follower.Run(background) })
	duties.Go(func() { b.roster.Run(background) })
	b.telemetry.Log.Info().Str("Event", "Started").Str("Domain", string(b.config.Domain)).
		Str("Packets", b.config.Packets.String()).Str("Tunnel", b.config.Tunnel.String()).Msg("")
	<-ctx.Done()
	b.leaving.Store(true)
	b.telemetry.Log.Info().Str("Event", "Leaving").Int("Flows", b.flows()).Msg("")
	b.linger()
	cancel()
	_ = b.callers.Close()
	_ = b.agents.Close()
	for _, s := range b.servers {
		_ = s.Close()
	}
	duties.Wait()
	b.telemetry.Log.Info().Str("Event", "Stopped").Msg("")
}

// linger waits until the fabric has stopped sending.
func (b *Balancer) linger() {
	started := b.clock.Now()
	for {
		time.Sleep(lingerCheck)
		now := b.clock.Now()
		elapsed := now.Sub(started)
		b.mu.Lock()
		quiet := now.Sub(b.lastPacket) >= quietFor
		b.mu.Unlock()
		if elapsed >= mostLinger || elapsed >= leastLinger && quiet {
			return
		}
	}
}

// fromCaller takes a packet that the fabric handed over.
func (b *Balancer) fromCaller(data []byte, _ netip.AddrPort) {
	now := b.clock.Now()
	b.counts.packets.Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastPacket = now
	if err := b.wire.Decode(data, &b.packet); err != nil {
		b.malformed(err)
		return
	}
	b.all(b.placer.FromCaller(&b.packet, now), data, now)
}

// all carries out decisions; raw is the packet at hand, if there is one.
func (b *Balancer) all(decisions []placement.Decision, raw []byte, now time.Time) {
	for i := range decisions {
		d := &decisions[i]
		b.act(d, raw, now)
		switch {
		case d.Lookup:
			b.telemetry.Decision(now).Str("Event", "Lookup").Str("Flow", d.Flow.String()).Int("Agents", len(d.Targets)).Msg("")
		case d.Placed, d.Kind == bramleyfall.ActionRefuse, d.Code == bramleyfall.StaleInstance && d.Instance != "":
			b.logPlaced(d, now)
		}
	}
}

// fromAgent takes an agent's message.
func (b *Balancer) fromAgent(data []byte, sender netip.AddrPort) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var m tunnel.Message
	if err := tunnel.Decode(data, &m); err != nil {
		b.malformed(err)
		return
	}
	from := toEndpoint(sender)
	if b.placer.UpdateLoad(from, m.Service, m.Load, now) {
		b.telemetry.Log.Info().Str("Event", "UpstreamState").Str("Agent", string(b.placer.InstanceAt(from))).
			Str("State", string(m.Load.State)).Uint16("Busy", m.Load.Busy).Uint16("Slots", m.Load.Slots).Msg("")
	}
	b.follower.ObservePeerRevision(from, m.Changed)
	switch m.Kind {
	case tunnel.Return:
		b.returned(&m, from, now)
	case tunnel.Owned:
		b.telemetry.Decision(now).Str("Event", "Owned").Str("Flow", m.Flow.String()).
			Str("Agent", string(b.placer.InstanceAt(from))).Msg("")
		b.all(b.placer.FlowOwned(m.Flow, from, now), nil, now)
	case tunnel.OwnershipUnknown:
		b.all(b.placer.FlowMayBeOwned(m.Flow, from, now), nil, now)
	case tunnel.NotOwned:
		b.all(b.placer.FlowNotOwned(m.Flow, from, now), nil, now)
	}
}

func (b *Balancer) returned(m *tunnel.Message, from bramleyfall.Endpoint, now time.Time) {
	if err := b.wire.Decode(m.Raw, &b.packet); err != nil {
		b.malformed(err)
		return
	}
	b.telemetry.Decision(now).Str("Event", "Returned").Str("Flow", b.packet.Flow.String()).
		Str("Agent", string(b.placer.InstanceAt(from))).Str("Reason", m.Code.String()).Msg("")
	b.all(b.placer.ReturnedByAgent(&b.packet, from, m.Code, now), m.Raw, now)
}

// tick places openings again that no agent answered for, and probes agents.
func (b *Balancer) tick() {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all(b.placer.Tick(now), nil, now)
	if b.placer.RelistDue(now) {
		b.roster.Refresh()
	}
	for _, target := range b.placer.DueProbes(now) {
		b.send(&tunnel.Message{
			Kind: tunnel.Probe, Service: target.Service, Version: b.placer.Version(), Changed: b.changed, Unlisted: target.EntryMissing,
		}, target.Address)
	}
}

// act carries out a decision on a packet.
func (b *Balancer) act(d *placement.Decision, raw []byte, now time.Time) {
	switch d.Kind {
	case bramleyfall.ActionPass:
		b.message = tunnel.Message{
			Kind: kindOf(d), LastResort: d.LastResort, Version: b.placer.Version(), Changed: b.changed, Priority: d.Priority,
			Objective: d.Objective, Idempotent: d.Idempotent,
		}
		switch {
		case d.Lookup:
			b.counts.asked.Inc()
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
			b.counts.loadAge.Update(d.LoadAge.Seconds())
			b.counts.placing.Update(b.clock.Now().Sub(now).Seconds())
		}
	case bramleyfall.ActionRefuse:
		b.counts.refused.Inc()
		if d.Code == bramleyfall.NoOwner {
			b.counts.unowned.Inc()
		}
		b.buffer = b.wire.AppendReset(b.buffer[:0], d.Reset)
		caller := bramleyfall.Endpoint{IP: d.Flow.Source.IP, Port: b.config.Packets.Port}
		b.write(b.callers, caller)
	}
}

func kindOf(d *placement.Decision) tunnel.Kind {
	switch {
	case d.Lookup:
		return tunnel.Lookup
	case d.Tentative:
		return tunnel.Offer
	}
	return tunnel.Forward
}

func (b *Balancer) send(m *tunnel.Message, to bramleyfall.Endpoint) {
	b.buffer = tunnel.Append(b.buffer[:0], m)
	b.write(b.agents, to)
}

// write sends the buffer. A datagram that can't be sent is lost like any other;
// its sender repeats it.
func (b *Balancer) write(conn *net.UDPConn, to bramleyfall.Endpoint) {
	if _, err := conn.WriteToUDPAddrPort(b.buffer, to.AddrPort()); err != nil {
		b.telemetry.Counter("bramleyfall_send_errors_total").Inc()
	}
}

// logPlaced writes the line of an opening that was placed or refused.
func (b *Balancer) logPlaced(d *placement.Decision, now time.Time) {
	e := b.telemetry.Decision(now).Str("Event", "Place").Str("Flow", d.Flow.String()).
		Str("Outcome", string(d.Kind)).Str("Reason", d.Code.String()).Uint64("Version", uint64(b.placer.Version()))
	if d.Instance != "" {
		e = e.Str("Agent", string(d.Instance)).Uint16("Busy", d.Load.Busy).Uint16("Slots", d.Load.Slots).
			Uint16("Utilization", d.Load.Utilization).Int64("LoadAgeMS", d.LoadAge.Milliseconds()).Bool("Must", d.LastResort)
	}
	e.Msg("")
}

func (b *Balancer) malformed(err error) {
	b.counts.malformed.Inc()
	if b.counts.malformed.Get()%malformedSample == 1 {
		b.telemetry.Log.Warn().Str("Event", "Malformed").Str("Reason", err.Error()).Msg("")
	}
}

func (b *Balancer) configured(s *bramleyfall.Snapshot) {
	b.peers.current.Store(s)
	b.mu.Lock()
	b.placer.Configure(s)
	b.changed = s.Changed
	b.mu.Unlock()
	logConfigured(b.telemetry, s)
}

func logConfigured(t *telemetry.Telemetry, s *bramleyfall.Snapshot) {
	t.Log.Info().Str("Event", "Configured").Uint64("Version", uint64(s.Version)).
		Uint64("Revision", uint64(s.Revision)).Int("Routes", len(s.Routes)).Int("DomainsOut", len(s.Out)).Msg("")
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
func (b *Balancer) RecordMalformed(err error) { b.malformed(err) }
