package main

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/geneve"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/telemetry"
	"bramleyfall.example/bramleyfall/trace"
)

const (
	// tickInterval is the time between two ticks of the dispatcher.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is the time between two sweeps of the flow table.
	sweepInterval = 500 * time.Millisecond
	// minNoticeInterval is the minimum time between two notices of newer
	// configuration to the same balancer.
	minNoticeInterval = 200 * time.Millisecond
	// malformedLogSampling is the number of malformed packets per logged one.
	malformedLogSampling = 100
)

// dispatcher processes packets, control messages and health results in a single
// goroutine. No other goroutine accesses the filter or the announcer.
type dispatcher struct {
	server     *server
	filter     *trace.RecordingFilter
	announcer  *peer.Announcer
	codec      geneve.Codec
	message    geneve.Message
	toNetwork  *geneve.Sender
	toUpstream *geneve.Sender
	buffers    sync.Pool
	// lastNotice is the time of the last configuration notice to each balancer.
	lastNotice map[bramleyfall.Endpoint]time.Time
	nextSweep  time.Time
	lastState  caller.UpstreamState
	// appliedRevision is the newest known revision when the configuration was last
	// applied to the filter.
	appliedRevision bramleyfall.Revision
	// draining is set once the agent shuts down or has been superseded.
	draining bool
	// upstreamDraining is set while the upstream's health endpoint asks to drain.
	upstreamDraining bool
	// superseded is set once an agent with the same id has started later.
	superseded bool
	counters   dispatcherCounters
}

type dispatcherCounters struct {
	actions   map[bramleyfall.ActionKind]*metrics.Counter
	malformed *metrics.Counter
	hints     *metrics.Counter
	received  *metrics.Counter
	opened    *metrics.Counter
}

func newDispatcherCounters(t *telemetry.Telemetry) dispatcherCounters {
	c := dispatcherCounters{
		actions:   make(map[bramleyfall.ActionKind]*metrics.Counter),
		malformed: t.Counter("bramleyfall_malformed_packets_total"),
		hints:     t.Counter("bramleyfall_owner_hints_total"),
		received:  t.Counter("bramleyfall_packets_total"),
		opened:    t.Counter("bramleyfall_flows_opened_total"),
	}
	for _, kind := range []bramleyfall.ActionKind{
		bramleyfall.ActionDeliver, bramleyfall.ActionReturn, bramleyfall.ActionPass, bramleyfall.ActionNextPage,
		bramleyfall.ActionRefuse, bramleyfall.ActionReset, bramleyfall.ActionProbe, bramleyfall.ActionDrop,
	} {
		c.actions[kind] = t.Counter(`bramleyfall_actions_total{action="` + string(kind) + `"}`)
	}
	return c
}

// getBuffer returns an empty packet buffer from the pool.
func (d *dispatcher) getBuffer() []byte {
	if b, ok := d.buffers.Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return make([]byte, 0, geneve.MaxPacketSize)
}

func (d *dispatcher) putBuffer(b []byte) { d.buffers.Put(&b) }

// run processes packets and tasks until ctx is done.
func (d *dispatcher) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-d.server.packets.Items():
			d.processBatch(received)
		case task := <-d.server.tasks.Items():
			task()
		case <-ticker.C:
			d.tick()
		}
		d.toNetwork.Flush()
		d.toUpstream.Flush()
	}
}

// processBatch processes a packet and the packets that are queued behind it, up
// to one batch.
func (d *dispatcher) processBatch(received receivedPacket) {
	now := d.server.clock.Now()
	d.processPacket(received, now)
	for range geneve.BatchSize - 1 {
		select {
		case next := <-d.server.packets.Items():
			d.processPacket(next, now)
		default:
			return
		}
	}
}

func (d *dispatcher) processPacket(received receivedPacket, now time.Time) {
	defer d.putBuffer(received.data)
	m := &d.message
	if err := d.codec.Decode(received.data, m); err != nil {
		d.recordMalformed(err.Error())
		return
	}
	if received.fromUpstream {
		d.execute(d.filter.FromUpstream(&m.Packet, now))
		d.executeAll(d.filter.Settle(now))
		return
	}
	d.counters.received.Inc()
	if !m.HasHops {
		d.recordMalformed("packet from the network has no hop list")
		return
	}
	packetRevision := m.List.Revision
	action := d.filter.FromCaller(&m.Packet, &m.List, now)
	d.execute(action)
	d.sendNotices(action, packetRevision, now)
}

func (d *dispatcher) recordMalformed(reason string) {
	d.counters.malformed.Inc()
	if d.counters.malformed.Get()%malformedLogSampling == 1 {
		d.server.telemetry.Log.Warn().Str("Event", "MalformedPacket").Str("Reason", reason).Msg("")
	}
}

// sendNotices sends the balancer that forwarded the packet an owner hint for the
// flow, if one is due, and a notice if the agent has newer configuration. If the
// packet carries the newer revision, the agent's next heartbeat is sent earlier to
// receive that configuration.
func (d *dispatcher) sendNotices(action bramleyfall.Action, packetRevision bramleyfall.Revision, now time.Time) {
	list := &d.message.List
	if action.Kind == bramleyfall.ActionDeliver && d.filter.AllowHint(action.Flow, list, now) {
		d.counters.hints.Inc()
		d.sendNotice(list.Balancer, &peerpb.Notice{
			FlowHash: action.Flow.Hash(), Owner: uint64(list.Current().Upstream), SentUnixNanos: now.UnixNano(),
		})
	}
	revision := d.announcer.Revision()
	switch {
	case packetRevision > revision:
		d.announcer.ExpediteHeartbeat(packetRevision, now)
	case packetRevision < revision && now.Sub(d.lastNotice[list.Balancer]) > minNoticeInterval:
		d.lastNotice[list.Balancer] = now
		d.sendNotice(list.Balancer, d.configurationNotice(revision, now))
	}
}

func (d *dispatcher) configurationNotice(revision bramleyfall.Revision, now time.Time) *peerpb.Notice {
	n := &peerpb.Notice{Revision: uint64(revision), SentUnixNanos: now.UnixNano()}
	domain := d.server.config.Domain
	if item, ok := d.announcer.State().LatestChange(configuration.DomainKey(domain)); ok {
		n.Domain = string(domain)
		n.DomainOut = d.announcer.State().DomainState(domain) == bramleyfall.DomainOut
		n.DomainRevision = uint64(item.Revision)
	}
	return n
}

func (d *dispatcher) sendNotice(to bramleyfall.Endpoint, n *peerpb.Notice) {
	body, err := proto.Marshal(n)
	if err != nil {
		return
	}
	sealed := d.server.config.Keys.Seal(peer.PurposeNotice, body)
	if err := d.codec.EncodeNotice(d.toNetwork.Next(), sealed); err == nil {
		d.toNetwork.Add(to)
	}
}

// execute executes an action on its held packet or, without one, on the packet in
// d.message.
func (d *dispatcher) execute(action bramleyfall.Action) {
	d.counters.actions[action.Kind].Inc()
	if action.Opened {
		d.counters.opened.Inc()
	}
	d.logPlacement(&action)
	m := &d.message
	raw := m.Packet.Raw
	list := &m.List
	if action.HeldPacket != nil {
		raw, list = action.HeldPacket, action.HeldHopList
	}
	switch action.Kind {
	case bramleyfall.ActionDeliver:
		d.sendPlain(d.toUpstream, d.server.config.Upstream, raw)
	case bramleyfall.ActionReturn:
		d.sendPlain(d.toNetwork, d.server.config.Fabric, raw)
	case bramleyfall.ActionPass:
		d.forward(list, list.Current().Address, raw)
	case bramleyfall.ActionNextPage:
		d.forward(list, list.Balancer, raw)
	}
	d.sendSegments(&action)
}

func (d *dispatcher) sendPlain(sender *geneve.Sender, to bramleyfall.Endpoint, raw []byte) {
	if err := d.codec.EncodePlain(sender.Next(), raw); err == nil {
		sender.Add(to)
	}
}

func (d *dispatcher) forward(list *bramleyfall.HopList, to bramleyfall.Endpoint, raw []byte) {
	if err := d.codec.Encode(d.toNetwork.Next(), list, raw); err == nil {
		d.toNetwork.Add(to)
	}
}

// sendSegments sends the segments that the action generates. The reset for a
// refused opening carries the reason and the time to wait before a retry.
func (d *dispatcher) sendSegments(action *bramleyfall.Action) {
	if action.ToUpstream != nil {
		if raw, err := encodeSegment(action.ToUpstream); err == nil {
			d.sendPlain(d.toUpstream, d.server.config.Upstream, raw)
		}
	}
	if action.ToCaller == nil {
		return
	}
	raw, err := encodeSegment(action.ToCaller)
	if err != nil {
		return
	}
	if action.Kind != bramleyfall.ActionRefuse {
		d.sendPlain(d.toNetwork, d.server.config.Fabric, raw)
		return
	}
	if err := d.codec.EncodeRefusal(d.toNetwork.Next(), action.Code, time.Duration(action.RetryAfter), raw); err == nil {
		d.toNetwork.Add(d.server.config.Fabric)
	}
}

func encodeSegment(s *bramleyfall.Segment) ([]byte, error) {
	return geneve.EncodeTCP(geneve.TCPFields{
		Flow: s.Flow, Sequence: s.Sequence, Ack: s.Ack, ACK: s.HasAck, Reset: s.Reset,
	})
}

// logPlacement logs openings that are accepted, forwarded or refused, and flows
// that are reset.
func (d *dispatcher) logPlacement(action *bramleyfall.Action) {
	opening := d.message.Packet.Kind == bramleyfall.KindOpening
	placed := action.Opened || action.Kind == bramleyfall.ActionRefuse || action.Kind == bramleyfall.ActionReset ||
		action.Kind == bramleyfall.ActionPass && opening && action.HeldPacket == nil
	if !placed {
		return
	}
	d.server.telemetry.Log.Info().Str("Event", string(action.Kind)).Str("Flow", action.Flow.String()).
		Str("Upstream", string(d.server.config.ID)).Str("Reason", action.Code.String()).
		Uint64("Revision", uint64(d.announcer.Revision())).Int("Flows", d.filter.Flows()).Int("Waiting", d.filter.PendingFlows()).Msg("")
}
