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
	// reportInterval is the interval between load reports to a balancer that has
	// sent messages since the last one. A balancer treats an agent as silent only
	// after more than two intervals without a message.
	reportInterval = 100 * time.Millisecond
	// minRenewInterval is the minimum time between renewals of the agent's entry
	// that balancers cause by reporting it missing. Every balancer reports it, and
	// the store call that finds the lease expired takes milliseconds.
	minRenewInterval = 500 * time.Millisecond
	// agentDrainTimeout is the maximum time for which a stopping agent waits until
	// no request is in progress.
	agentDrainTimeout = 2500 * time.Millisecond
	// agentDrainPollInterval is the interval between checks for requests in progress.
	agentDrainPollInterval = 5 * time.Millisecond
	// maxBalancers is the size limit of Agent.balancers, and maxPendingOwned that of
	// Agent.pendingOwned.
	maxBalancers    = 1 << 15
	maxPendingOwned = 1 << 14
)

// AgentConfig holds the settings of an Agent.
type AgentConfig struct {
	ID     bramleyfall.InstanceID
	Domain bramleyfall.DomainName
	// Service is the service of the upstream.
	Service bramleyfall.ServiceName
	// Packets is the address on which messages from balancers are received. Its
	// port is also the destination port of packets to callers.
	Packets bramleyfall.Endpoint
	// Outbound is the address to which the upstream sends its packets, Upstream
	// the address on which it receives packets.
	Outbound, Upstream bramleyfall.Endpoint
	// Control is the HTTP address for the upstream's heartbeats.
	Control bramleyfall.Endpoint
	// HTTP is the address of the liveness and readiness checks, Metrics that of the
	// metrics and of the configuration that peers fetch.
	HTTP, Metrics bramleyfall.Endpoint
	// HeartbeatInterval is the interval between the upstream's heartbeats.
	HeartbeatInterval time.Duration
}

// Agent delivers packets from balancers to its co-located upstream, and sends the
// upstream's packets directly to callers.
type Agent struct {
	config        AgentConfig
	clock         bramleyfall.Clock
	telemetry     *telemetry.Telemetry
	codec         bramleyfall.PacketCodec
	tunnelConn    *net.UDPConn
	outboundConn  *net.UDPConn
	peers         *peers
	configWatcher *directory.ConfigurationWatcher
	announcer     *directory.Announcer
	servers       []*http.Server
	metrics       agentMetrics

	// mu guards the fields below.
	mu     sync.Mutex
	gate   *admission.Gate
	packet bramleyfall.Packet
	buffer []byte
	// balancers holds the balancers that have sent messages, and balancerIndexes
	// their indexes in it by address.
	balancers       []balancer
	balancerIndexes map[bramleyfall.Endpoint]uint32
	// pendingOwned holds flows that the upstream is not yet known to own. The value
	// is the index of the balancer that is sent Owned when the upstream sends a packet
	// on the flow.
	pendingOwned map[bramleyfall.Flow]uint32
	// state is the upstream state that was logged last.
	state bramleyfall.UpstreamState
	// entry is the entry that the announcer keeps in the store, or nil.
	entry *bramleyfall.Announcement
	// nextRenewal is when a balancer may next cause a renewal of the entry.
	nextRenewal time.Time
	// lastChange is the revision of the last operator change in the configuration.
	lastChange bramleyfall.Revision
}

// balancer is a balancer that has sent messages to the agent.
type balancer struct {
	address bramleyfall.Endpoint
	// reportDue is set if the balancer has sent a message since the agent last sent
	// it one.
	reportDue bool
}

type agentMetrics struct {
	packets, opened, passed, returned, malformed *metrics.Counter
}

// NewAgent creates an agent and opens its sockets. The function control returns
// the HTTP handler that passes the upstream's heartbeats to the agent.
func NewAgent(config AgentConfig, clock bramleyfall.Clock, codec bramleyfall.PacketCodec, store bramleyfall.LongPollStore, source bramleyfall.ConfigurationSource, control func(bramleyfall.HeartbeatHandler) http.Handler, t *telemetry.Telemetry) (*Agent, error) {
	gate, err := admission.New(clock.Now(), admission.WithService(config.Service), admission.WithHeartbeatInterval(config.HeartbeatInterval))
	if err != nil {
		return nil, err
	}
	a := &Agent{
		config: config, clock: clock, telemetry: t, codec: codec, gate: gate, peers: newPeers(config.Metrics.Port),
		balancerIndexes: make(map[bramleyfall.Endpoint]uint32), pendingOwned: make(map[bramleyfall.Flow]uint32),
		state: bramleyfall.UpstreamUnknown,
		metrics: agentMetrics{
			packets:   t.Counter("bramleyfall_packets_total"),
			opened:    t.Counter("bramleyfall_flows_opened_total"),
			passed:    t.Counter("bramleyfall_openings_passed_total"),
			returned:  t.Counter("bramleyfall_packets_returned_total"),
			malformed: t.Counter("bramleyfall_malformed_messages_total"),
		},
	}
	configuration := &dependency{telemetry: t, name: "Configuration"}
	ownEntry := &dependency{telemetry: t, name: "OwnEntry"}
	a.configWatcher = directory.NewConfigurationWatcher(source, a.peers.fetch, a.applyConfiguration, configuration.recordOutcome, directory.AgentWatchTimeout,
		directory.WithRejectionObserver(logRejected(t)), directory.WithClock(clock))
	a.announcer = directory.NewAnnouncer(store, ownEntry.recordOutcome, directory.WithConflictObserver(logConflict(t)))
	if a.tunnelConn, err = listenUDP(config.Packets); err != nil {
		return nil, err
	}
	if a.outboundConn, err = listenUDP(config.Outbound); err != nil {
		return nil, err
	}
	t.Gauge("bramleyfall_flows", func() float64 { return float64(a.load().Flows) })
	t.Gauge("bramleyfall_requests_under_way", func() float64 { return float64(a.load().Busy) })
	return a, a.listen(control(a))
}

func (a *Agent) listen(control http.Handler) error {
	handlers := []struct {
		address bramleyfall.Endpoint
		handler http.Handler
	}{
		{a.config.Control, control},
		{a.config.HTTP, a.telemetry.Handler()},
		{a.config.Metrics, a.peers.handler(a.telemetry)},
	}
	for _, h := range handlers {
		s, err := serveHTTP(h.address, h.handler, a.telemetry)
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

// Run serves the upstream until ctx is done, and then until no request is in
// progress or agentDrainTimeout has passed.
func (a *Agent) Run(ctx context.Context) {
	background, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { loopRead(a.tunnelConn, a.handleBalancerMessage) })
	tasks.Go(func() { loopRead(a.outboundConn, a.handleUpstreamPacket) })
	tasks.Go(func() { loopTick(background, reportInterval, a.tick) })
	tasks.Go(func() { a.configWatcher.Run(background) })
	tasks.Go(func() { a.announcer.Run(background) })
	a.telemetry.Log.Info().Str("Event", "Started").Str("Domain", string(a.config.Domain)).
		Str("Service", string(a.config.Service)).Str("Packets", a.config.Packets.String()).
		Str("Upstream", a.config.Upstream.String()).Msg("")
	<-ctx.Done()
	a.drain()
	cancel()
	_ = a.tunnelConn.Close()
	_ = a.outboundConn.Close()
	for _, s := range a.servers {
		_ = s.Close()
	}
	tasks.Wait()
	a.telemetry.Log.Info().Str("Event", "Stopped").Msg("")
}

// drain makes the agent refuse new flows and waits until no request is in progress.
func (a *Agent) drain() {
	a.mu.Lock()
	a.gate.Drain()
	a.sendReports(true)
	noEntry := a.entry == nil
	a.mu.Unlock()
	a.telemetry.Log.Info().Str("Event", "Leaving").Bool("UpstreamGone", noEntry).Int("Busy", int(a.load().Busy)).Msg("")
	started := a.clock.Now()
	for a.load().Busy > 0 && a.clock.Now().Sub(started) < agentDrainTimeout {
		time.Sleep(agentDrainPollInterval)
	}
}

// balancerIndex returns the index of a balancer in a.balancers, which packet tags
// refer to. If the list is full, it is cleared first.
func (a *Agent) balancerIndex(from bramleyfall.Endpoint) uint32 {
	i, ok := a.balancerIndexes[from]
	if !ok {
		if len(a.balancers) >= maxBalancers {
			clear(a.balancerIndexes)
			a.balancers = a.balancers[:0]
		}
		i = uint32(len(a.balancers))
		a.balancers = append(a.balancers, balancer{address: from})
		a.balancerIndexes[from] = i
	}
	return i
}

// tentativeTag is set in the tag of a packet that a balancer forwarded tentatively
// to find the owner of its flow. The lower bits of a tag are the balancer's index
// plus one.
const tentativeTag = 1 << 31

// tagOf returns the tag of a packet that the balancer with the given index
// forwarded.
func tagOf(index uint32, tentative bool) uint32 {
	tag := index + 1
	if tentative {
		tag |= tentativeTag
	}
	return tag
}

// handleBalancerMessage processes a message from a balancer.
func (a *Agent) handleBalancerMessage(data []byte, sender netip.AddrPort) {
	now := a.clock.Now()
	a.metrics.packets.Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	var m tunnel.Message
	if err := tunnel.Decode(data, &m); err != nil {
		a.countMalformed(err)
		return
	}
	index := a.balancerIndex(toEndpoint(sender))
	a.balancers[index].reportDue = true
	a.configWatcher.ObservePeer(a.balancers[index].address, m.Changed, m.Version)
	switch m.Kind {
	case tunnel.Probe:
		if m.EntryMissing && !now.Before(a.nextRenewal) {
			a.nextRenewal = now.Add(minRenewInterval)
			a.announcer.ReportMissing()
		}
		a.send(index, &tunnel.Message{Kind: tunnel.Report})
	case tunnel.Lookup:
		a.handleLookup(&m, index, now)
	case tunnel.Forward, tunnel.TentativeForward:
		if err := a.codec.Decode(m.Raw, &a.packet); err != nil {
			a.countMalformed(err)
			return
		}
		a.handleCallerPacket(&m, index, now)
	}
}

// handleLookup tells a balancer whether the upstream owns a flow.
func (a *Agent) handleLookup(m *tunnel.Message, index uint32, now time.Time) {
	kind := tunnel.NotOwned
	switch a.gate.Ownership(m.Flow, m.Service, m.Ack, now) {
	case admission.Owned:
		kind = tunnel.Owned
	case admission.MayBeOwned:
		kind = tunnel.MayBeOwned
	}
	a.send(index, &tunnel.Message{Kind: kind, Flow: m.Flow})
}

// handleCallerPacket processes a caller's packet that a balancer forwarded.
func (a *Agent) handleCallerPacket(m *tunnel.Message, index uint32, now time.Time) {
	p := &a.packet
	tentative := m.Kind == tunnel.TentativeForward
	action := a.gate.FromBalancer(p, admission.ForwardMetadata{
		Service: m.Service, Version: m.Version, Priority: m.Priority, Objective: m.Objective, LastResort: m.LastResort,
		Idempotent: m.Idempotent, Tentative: tentative,
	}, now)
	if p.Kind == bramleyfall.KindOpening {
		a.logOpening(&action, m, index, now)
	}
	switch action.Kind {
	case bramleyfall.ActionDeliver:
		a.codec.SetTag(m.Raw, tagOf(index, tentative))
		a.write(a.outboundConn, m.Raw, a.config.Upstream)
		switch {
		case p.Kind == bramleyfall.KindOpening || !action.Opened:
			a.notifyWhenOwned(p.Flow, index)
		case tentative:
			a.send(index, &tunnel.Message{Kind: tunnel.Owned, Flow: p.Flow})
		}
	case bramleyfall.ActionPass:
		a.returnPacket(p, index, tentative, action.Code, m.Raw)
	}
}

// notifyWhenOwned makes the agent send Owned to a balancer once the upstream is
// known to own a flow. If pendingOwned is full, it is cleared first.
func (a *Agent) notifyWhenOwned(flow bramleyfall.Flow, index uint32) {
	if len(a.pendingOwned) >= maxPendingOwned {
		clear(a.pendingOwned)
	}
	a.pendingOwned[flow] = index
}

// returnPacket returns a packet that the upstream does not take to the balancer
// that forwarded it. After a tentative forward, the balancer still has the packet
// and is only told that the upstream does not own the flow.
func (a *Agent) returnPacket(p *bramleyfall.Packet, index uint32, tentative bool, code bramleyfall.ResultCode, raw []byte) {
	if tentative {
		a.send(index, &tunnel.Message{Kind: tunnel.NotOwned, Flow: p.Flow})
		return
	}
	a.metrics.passed.Inc()
	a.send(index, &tunnel.Message{Kind: tunnel.Return, Code: code, Raw: raw})
}

// send sends a message to a balancer and adds the service, the configuration's
// version and the upstream's load to it.
func (a *Agent) send(index uint32, m *tunnel.Message) {
	b := &a.balancers[index]
	b.reportDue = false
	m.Service = a.config.Service.Key()
	m.Version, m.Changed = a.gate.Version(), a.lastChange
	m.Load = a.gate.Load(a.clock.Now())
	_, m.Boot = a.gate.UpstreamRun()
	a.buffer = tunnel.Append(a.buffer[:0], m)
	a.write(a.tunnelConn, a.buffer, b.address)
}

// write sends a datagram. If that fails, it counts the error only: the packet is
// lost as it could be in the network, and its sender retransmits it.
func (a *Agent) write(conn *net.UDPConn, data []byte, to bramleyfall.Endpoint) {
	if _, err := conn.WriteToUDPAddrPort(data, to.AddrPort()); err != nil {
		a.telemetry.Counter("bramleyfall_send_errors_total").Inc()
	}
}

// tick removes flows that have timed out, resets the callers of flows that ended
// with the upstream, and sends load reports.
func (a *Agent) tick() {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetCallers(a.gate.Sweep(now), bramleyfall.FlowSilent)
	a.sendReports(a.updateState(now))
}

// sendReports sends load reports to all balancers, or else only to those whose
// report is due.
func (a *Agent) sendReports(all bool) {
	for i := range a.balancers {
		if all || a.balancers[i].reportDue {
			a.send(uint32(i), &tunnel.Message{Kind: tunnel.Report})
		}
	}
}

// logConflict returns a function that logs that the store holds another entry than
// expected.
func logConflict(t *telemetry.Telemetry) directory.ConflictFunc {
	return func(expected, found bramleyfall.KeyValue) {
		t.Counter("bramleyfall_entry_conflicts_total").Inc()
		t.Log.Info().Str("Event", "EntryConflict").Uint64("ExpectedRevision", bramleyfall.Revision(expected.ModRevision).Number()).
			Int64("Lease", int64(expected.Lease)).Uint64("Revision", bramleyfall.Revision(found.ModRevision).Number()).
			Int64("EntryLease", int64(found.Lease)).Msg("")
	}
}

func (a *Agent) countMalformed(err error) {
	a.metrics.malformed.Inc()
	if a.metrics.malformed.Get()%malformedLogEvery == 1 {
		a.telemetry.Log.Warn().Str("Event", "Malformed").Str("Reason", err.Error()).Msg("")
	}
}

func (a *Agent) applyConfiguration(s *bramleyfall.Snapshot) {
	a.peers.current.Store(s)
	a.mu.Lock()
	a.gate.Configure(s, a.clock.Now())
	a.lastChange = s.Changed
	a.mu.Unlock()
	logConfigured(a.telemetry, s)
}

// logOpening logs the decision on an opening. A retransmitted opening of an
// admitted flow is not logged again.
func (a *Agent) logOpening(action *bramleyfall.Action, m *tunnel.Message, index uint32, now time.Time) {
	if action.Kind == bramleyfall.ActionDeliver && !action.Opened {
		return // retransmitted
	}
	load := a.gate.Load(now)
	a.telemetry.Decision(now).Str("Event", "Admit").Str("Flow", action.Flow.String()).Str("Outcome", string(action.Kind)).
		Str("Reason", action.Code.String()).Str("State", string(load.State)).Uint16("Busy", load.Busy).
		Uint16("Slots", load.Slots).Bool("Must", m.LastResort).Uint64("Version", uint64(a.gate.Version())).
		Str("Balancer", a.balancers[index].address.String()).Msg("")
}
