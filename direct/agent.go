package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/admission"
	"bramleyfall.example/bramleyfall/directory"
	"bramleyfall.example/bramleyfall/telemetry"
	"bramleyfall.example/bramleyfall/tunnel"
)

const (
	// reportEvery is the time between two reports to a balancer that sent
	// something meanwhile. A balancer takes an agent for silent after more than
	// twice of it.
	reportEvery = 100 * time.Millisecond
	// checkEvery is the least time between two checks of the agent's entry that
	// balancers ask for: each of them notices that it is gone, and the call that
	// shows it takes milliseconds.
	checkEvery = 500 * time.Millisecond
	// agentLinger bounds the wait of a leaving agent for a moment without a
	agentLinger = 2500 * time.Millisecond
	// leaveCheck is the time between two looks for such a moment.
	leaveCheck = 5 * time.Millisecond
	// maxBalancers bounds the balancers that are remembered, and maxClaims the
	// flows that a balancer waits for word of.
	maxBalancers = 1 << 15
	maxClaims    = 1 << 14
)

// AgentConfig holds the settings of an Agent.
type AgentConfig struct {
	ID     bramleyfall.InstanceID
	Domain bramleyfall.DomainName
	// Service is the service of the upstream.
	Service bramleyfall.ServiceName
	// Packets is the address for messages from balancers. Its port is also the
	// destination port of packets to callers.
	Packets bramleyfall.Endpoint
	// Outbound is the address that the upstream sends its packets to. Upstream is
	// the address at which it receives packets.
	Outbound, Upstream bramleyfall.Endpoint
	// Control is the HTTP address for the upstream's heartbeats.
	Control bramleyfall.Endpoint
	// HTTP is the address of the liveness and readiness checks. Metrics is that of
	// the metrics and of the configuration for peers.
	HTTP, Metrics bramleyfall.Endpoint
	// HeartbeatEvery is the interval between the upstream's heartbeats.
	HeartbeatEvery time.Duration
}

// Agent delivers packets from balancers to its co-located upstream, and sends the
// upstream's packets directly to callers.
type Agent struct {
	config    AgentConfig
	clock     bramleyfall.Clock
	telemetry *telemetry.Telemetry
	wire      bramleyfall.PacketCodec
	tunnel    *net.UDPConn
	outbound  *net.UDPConn
	peers     *peers
	follower  *directory.ConfigurationWatcher
	announcer *directory.Announcer
	servers   []*http.Server
	counts    agentCounts

	// mu guards what follows: the decisions and the buffers for their messages.
	mu        sync.Mutex
	gate      *admission.Gate
	packet    bramleyfall.Packet
	buffer    []byte
	balancers []balancer
	numbers   map[bramleyfall.Endpoint]uint32
	claims    map[bramleyfall.Flow]uint32
	state     bramleyfall.UpstreamState
	entry     *bramleyfall.Announcement
	nextCheck time.Time
	// changed is the revision of the last change of the configuration.
	changed bramleyfall.Revision
}

// balancer is a balancer that sent something.
type balancer struct {
	address bramleyfall.Endpoint
	// due is set when it is to be sent a report.
	due bool
}

type agentCounts struct {
	packets, opened, passed, returned, malformed *metrics.Counter
}

// NewAgent opens the sockets of an agent. Control makes the handler of the
// upstream's heartbeats.
func NewAgent(config AgentConfig, clock bramleyfall.Clock, wire bramleyfall.PacketCodec, store bramleyfall.LongPollStore, source bramleyfall.ConfigurationSource, control func(bramleyfall.HeartbeatHandler) http.Handler, t *telemetry.Telemetry) (*Agent, error) {
	gate, err := admission.New(clock.Now(), admission.WithService(config.Service), admission.WithHeartbeatInterval(config.HeartbeatEvery))
	if err != nil {
		return nil, err
	}
	a := &Agent{
		config: config, clock: clock, telemetry: t, wire: wire, gate: gate, peers: newPeers(config.Metrics.Port),
		numbers: make(map[bramleyfall.Endpoint]uint32), claims: make(map[bramleyfall.Flow]uint32),
		state: bramleyfall.UpstreamUnknown,
		counts: agentCounts{
			packets:   t.Counter("bramleyfall_packets_total"),
			opened:    t.Counter("bramleyfall_flows_opened_total"),
			passed:    t.Counter("bramleyfall_openings_passed_total"),
			returned:  t.Counter("bramleyfall_packets_returned_total"),
			malformed: t.Counter("bramleyfall_malformed_messages_total"),
		},
	}
	configuration := &dependency{telemetry: t, name: "Configuration"}
	own := &dependency{telemetry: t, name: "OwnEntry"}
	a.follower = directory.NewConfigurationWatcher(source, a.peers.fetch, a.configured, configuration.health, directory.AgentWatchTimeout)
	a.announcer = directory.NewAnnouncer(store, own.health)
	if a.tunnel, err = listenUDP(config.Packets); err != nil {
		return nil, err
	}
	if a.outbound, err = listenUDP(config.Outbound); err != nil {
		return nil, err
	}
	t.Gauge("bramleyfall_flows", func() float64 { return float64(a.load().Flows) })
	t.Gauge("bramleyfall_requests_under_way", func() float64 { return float64(a.load().Busy) })
	return a, a.listen(control(a))
}

func (a *Agent) listen(control http.Handler) error {
	handlers := []struct {
		at      bramleyfall.Endpoint
		handler http.Handler
	}{
		{a.config.Control, control},
		{a.config.HTTP, a.telemetry.Handler()},
		{a.config.Metrics, a.peers.handler(a.telemetry)},
	}
	for _, h := range handlers {
		s, err := serveHTTP(h.at, h.handler, a.telemetry)
		if err != nil {
			return err
		}
		a.servers = append(a.servers, s)
	}
	return nil
}

func (a *Agent) load() bramleyfall.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Load(a.clock.Now())
}

// Run serves the upstream until ctx is done and no request is in progress, or the
// time limit for that has passed.
func (a *Agent) Run(ctx context.Context) {
	background, cancel := context.WithCancel(context.Background())
	var duties conc.WaitGroup
	duties.Go(func() { loopRead(a.tunnel, a.fromBalancer) })
	duties.Go(func() { loopRead(a.outbound, a.fromUpstream) })
	duties.Go(func() { loopTick(background, reportEvery, a.tick) })
	duties.Go(func() { a.follower.Run(background) })
	duties.Go(func() { a.announcer.Run(background) })
	a.telemetry.Log.Info().Str("Event", "Started").Str("Domain", string(a.config.Domain)).
		Str("Service", string(a.config.Service)).Str("Packets", a.config.Packets.String()).
		Str("Upstream", a.config.Upstream.String()).Msg("")
	<-ctx.Done()
	a.leave()
	cancel()
	_ = a.tunnel.Close()
	_ = a.outbound.Close()
	for _, s := range a.servers {
		_ = s.Close()
	}
	duties.Wait()
	a.telemetry.Log.Info().Str("Event", "Stopped").Msg("")
}

// leave takes no new flows and waits for a moment without a request under way.
func (a *Agent) leave() {
	a.mu.Lock()
	a.gate.Drain()
	a.report(true)
	gone := a.entry == nil
	a.mu.Unlock()
	a.telemetry.Log.Info().Str("Event", "Leaving").Bool("UpstreamGone", gone).Int("Busy", int(a.load().Busy)).Msg("")
	started := a.clock.Now()
	for a.load().Busy > 0 && a.clock.Now().Sub(started) < agentLinger {
		time.Sleep(leaveCheck)
	}
}

// number returns the number of a balancer, by which tags name it.
func (a *Agent) number(from bramleyfall.Endpoint) uint32 {
	n, ok := a.numbers[from]
	if !ok {
		if len(a.balancers) >= maxBalancers {
			clear(a.numbers)
			a.balancers = a.balancers[:0]
		}
		n = uint32(len(a.balancers))
		a.balancers = append(a.balancers, balancer{address: from})
		a.numbers[from] = n
	}
	return n
}

// offeredTag marks a packet that was offered to find the owner of its flow. The
// rest of a tag is the balancer's number plus one.
const offeredTag = 1 << 31

func tagOf(number uint32, offered bool) uint32 {
	tag := number + 1
	if offered {
		tag |= offeredTag
	}
	return tag
}

// fromBalancer takes a balancer's message.
func (a *Agent) fromBalancer(data []byte, sender netip.AddrPort) {
	now := a.clock.Now()
	a.counts.packets.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	var m tunnel.Message
	if err := tunnel.Decode(data, &m); err != nil {
		a.malformed(err)
		return
	}
	number := a.number(toEndpoint(sender))
	a.balancers[number].due = true
	a.follower.ObservePeerRevision(a.balancers[number].address, m.Changed)
	switch m.Kind {
	case tunnel.Probe:
		if m.Unlisted && !now.Before(a.nextCheck) {
			a.nextCheck = now.Add(checkEvery)
			a.announcer.RenewNow()
		}
		a.answer(number, &tunnel.Message{Kind: tunnel.Report})
	case tunnel.Lookup:
		a.lookup(&m, number, now)
	case tunnel.Forward, tunnel.Offer:
		if err := a.wire.Decode(m.Raw, &a.packet); err != nil {
			a.malformed(err)
			return
		}
		a.callerPacket(&m, number, now)
	}
}

// lookup tells a balancer whether the upstream holds a flow.
func (a *Agent) lookup(m *tunnel.Message, number uint32, now time.Time) {
	kind := tunnel.NotOwned
	switch a.gate.Ownership(m.Flow, m.Service, m.Ack, now) {
	case admission.Owned:
		kind = tunnel.Owned
	case admission.MayBeOwned:
		kind = tunnel.OwnershipUnknown
	}
	a.answer(number, &tunnel.Message{Kind: kind, Flow: m.Flow})
}

// callerPacket takes a caller's packet that a balancer forwarded.
func (a *Agent) callerPacket(m *tunnel.Message, number uint32, now time.Time) {
	p := &a.packet
	offered := m.Kind == tunnel.Offer
	action := a.gate.FromBalancer(p, admission.ForwardMetadata{
		Service: m.Service, Version: m.Version, Priority: m.Priority, Objective: m.Objective, LastResort: m.LastResort,
		Idempotent: m.Idempotent, Tentative: offered,
	}, now)
	if p.Kind == bramleyfall.KindOpening {
		a.logOpening(&action, m, number, now)
	}
	switch action.Kind {
	case bramleyfall.ActionDeliver:
		a.wire.SetTag(m.Raw, tagOf(number, offered))
		a.write(a.outbound, m.Raw, a.config.Upstream)
		switch {
		case p.Kind == bramleyfall.KindOpening || !action.Opened:
			a.claim(p.Flow, number)
		case offered:
			a.answer(number, &tunnel.Message{Kind: tunnel.Owned, Flow: p.Flow})
		}
	case bramleyfall.ActionPass:
		a.passBack(p, number, offered, action.Code, m.Raw)
	}
}

// claim notes that a balancer waits for word of a flow.
func (a *Agent) claim(flow bramleyfall.Flow, number uint32) {
	if len(a.claims) >= maxClaims {
		clear(a.claims)
	}
	a.claims[flow] = number
}

// passBack tells a balancer that a packet isn't for this upstream.
func (a *Agent) passBack(p *bramleyfall.Packet, number uint32, offered bool, code bramleyfall.ResultCode, raw []byte) {
	if offered {
		a.answer(number, &tunnel.Message{Kind: tunnel.NotOwned, Flow: p.Flow})
		return
	}
	a.counts.passed.Inc()
	a.answer(number, &tunnel.Message{Kind: tunnel.Return, Code: code, Raw: raw})
}

// answer sends a message with the upstream's load to a balancer.
func (a *Agent) answer(number uint32, m *tunnel.Message) {
	b := &a.balancers[number]
	b.due = false
	m.Service = a.config.Service.Key()
	m.Version, m.Changed = a.gate.Version(), a.changed
	m.Load = a.gate.Load(a.clock.Now())
	_, m.Boot = a.gate.UpstreamRun()
	a.buffer = tunnel.Append(a.buffer[:0], m)
	a.write(a.tunnel, a.buffer, b.address)
}

// write sends a datagram. One that can't be sent is lost like any other; its
// sender repeats it.
func (a *Agent) write(conn *net.UDPConn, data []byte, to bramleyfall.Endpoint) {
	if _, err := conn.WriteToUDPAddrPort(data, to.AddrPort()); err != nil {
		a.telemetry.Counter("bramleyfall_send_errors_total").Inc()
	}
}

// tick sends the reports that are due.
func (a *Agent) tick() {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetCallers(a.gate.Sweep(now), bramleyfall.FlowSilent)
	a.report(a.noteState(now))
}

// report sends reports to the balancers that are due one, or to all.
func (a *Agent) report(all bool) {
	for n := range a.balancers {
		if all || a.balancers[n].due {
			a.answer(uint32(n), &tunnel.Message{Kind: tunnel.Report})
		}
	}
}

func (a *Agent) malformed(err error) {
	a.counts.malformed.Inc()
	if a.counts.malformed.Get()%malformedSample == 1 {
		a.telemetry.Log.Warn().Str("Event", "Malformed").Str("Reason", err.Error()).Msg("")
	}
}

func (a *Agent) configured(s *bramleyfall.Snapshot) {
	a.peers.current.Store(s)
	a.mu.Lock()
	a.gate.Configure(s, a.clock.Now())
	a.changed = s.Changed
	a.mu.Unlock()
	logConfigured(a.telemetry, s)
}

// logOpening writes the line of an opening that was admitted or passed on.
func (a *Agent) logOpening(action *bramleyfall.Action, m *tunnel.Message, number uint32, now time.Time) {
	if action.Kind == bramleyfall.ActionDeliver && !action.Opened {
		return // a copy
	}
	load := a.gate.Load(now)
	a.telemetry.Decision(now).Str("Event", "Admit").Str("Flow", action.Flow.String()).Str("Outcome", string(action.Kind)).
		Str("Reason", action.Code.String()).Str("State", string(load.State)).Uint16("Busy", load.Busy).
		Uint16("Slots", load.Slots).Bool("Must", m.LastResort).Uint64("Version", uint64(a.gate.Version())).
		Str("Balancer", a.balancers[number].address.String()).Msg("")
}
