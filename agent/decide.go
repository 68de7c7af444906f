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
	// tickEvery is the time between two ticks of the decision thread.
	tickEvery = 50 * time.Millisecond
	// sweepEvery is the time between two sweeps of the flow table.
	sweepEvery = 500 * time.Millisecond
	// noticeEvery is the least time between two notices of newer configuration
	// to one balancer.
	noticeEvery = 200 * time.Millisecond
	// malformedSample is the number of bad packets for each one that is logged.
	malformedSample = 100
)

// decider is the decision duty of the agent. It alone touches the gate and the
// announcer.
type decider struct {
	server     *server
	gate       *trace.Gate
	announcer  *peer.Announcer
	codec      geneve.Codec
	message    geneve.Message
	toNetwork  *geneve.Sender
	toUpstream *geneve.Sender
	buffers    sync.Pool
	noticed    map[bramleyfall.Endpoint]time.Time
	nextSweep  time.Time
	lastState  caller.UpstreamState
	applied    bramleyfall.Revision
	leaving    bool
	asksDrain  bool
	superseded bool
	counts     decisionCounts
}

type decisionCounts struct {
	actions   map[bramleyfall.ActionKind]*metrics.Counter
	malformed *metrics.Counter
	hints     *metrics.Counter
	received  *metrics.Counter
	opened    *metrics.Counter
}

func newDecisionCounts(t *telemetry.Telemetry) decisionCounts {
	c := decisionCounts{
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

// buffer returns an empty buffer for a packet.
func (d *decider) buffer() []byte {
	if b, ok := d.buffers.Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return make([]byte, 0, geneve.MaxPacket)
}

func (d *decider) recycle(b []byte) { d.buffers.Put(&b) }

// run decides until ctx ends.
func (d *decider) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-d.server.packets.Items():
			d.batch(in)
		case task := <-d.server.tasks.Items():
			task()
		case <-ticker.C:
			d.tick()
		}
		d.toNetwork.Flush()
		d.toUpstream.Flush()
	}
}

// batch decides on a packet and on those that wait behind it.
func (d *decider) batch(in inbound) {
	now := d.server.clock.Now()
	d.packet(in, now)
	for range geneve.BatchSize - 1 {
		select {
		case next := <-d.server.packets.Items():
			d.packet(next, now)
		default:
			return
		}
	}
}

func (d *decider) packet(in inbound, now time.Time) {
	defer d.recycle(in.data)
	m := &d.message
	if err := d.codec.Decode(in.data, m); err != nil {
		d.malformed(err.Error())
		return
	}
	if in.fromUpstream {
		d.act(d.gate.FromUpstream(&m.Packet, now))
		d.all(d.gate.Settle(now))
		return
	}
	d.counts.received.Inc()
	if !m.HasHops {
		d.malformed("a packet without a hop list came from the network")
		return
	}
	revision := m.List.Revision
	action := d.gate.FromCaller(&m.Packet, &m.List, now)
	d.act(action)
	d.afterPacket(action, revision, now)
}

func (d *decider) malformed(reason string) {
	d.counts.malformed.Inc()
	if d.counts.malformed.Get()%malformedSample == 1 {
		d.server.telemetry.Log.Warn().Str("Event", "MalformedPacket").Str("Reason", reason).Msg("")
	}
}

// afterPacket tells the balancer what it does not know yet.
func (d *decider) afterPacket(a bramleyfall.Action, revision bramleyfall.Revision, now time.Time) {
	l := &d.message.List
	if a.Kind == bramleyfall.ActionDeliver && d.gate.AllowHint(a.Flow, l, now) {
		d.counts.hints.Inc()
		d.notice(l.Balancer, &peerpb.Notice{
			FlowHash: a.Flow.Hash(), Owner: uint64(l.Current().Upstream), SentUnixNanos: now.UnixNano(),
		})
	}
	own := d.announcer.Revision()
	switch {
	case revision > own:
		d.announcer.Hurry(revision, now)
	case revision < own && now.Sub(d.noticed[l.Balancer]) > noticeEvery:
		d.noticed[l.Balancer] = now
		d.notice(l.Balancer, d.configurationNotice(own, now))
	}
}

func (d *decider) configurationNotice(own bramleyfall.Revision, now time.Time) *peerpb.Notice {
	n := &peerpb.Notice{Revision: uint64(own), SentUnixNanos: now.UnixNano()}
	domain := d.server.config.Domain
	if item, ok := d.announcer.State().Item(configuration.DomainKey(domain)); ok {
		n.Domain = string(domain)
		n.DomainOut = d.announcer.State().DomainState(domain) == bramleyfall.DomainOut
		n.DomainRevision = uint64(item.Revision)
	}
	return n
}

func (d *decider) notice(to bramleyfall.Endpoint, n *peerpb.Notice) {
	body, err := proto.Marshal(n)
	if err != nil {
		return
	}
	sealed := d.server.config.Keys.Seal(peer.PurposeNotice, body)
	if err := d.codec.EncodeNotice(d.toNetwork.Next(), sealed); err == nil {
		d.toNetwork.Add(to)
	}
}

// act carries out an action on the packet in d.message.
func (d *decider) act(a bramleyfall.Action) {
	d.counts.actions[a.Kind].Inc()
	if a.Opened {
		d.counts.opened.Inc()
	}
	d.log(&a)
	m := &d.message
	raw := m.Packet.Raw
	list := &m.List
	if a.HeldPacket != nil {
		raw, list = a.HeldPacket, a.HeldHopList
	}
	switch a.Kind {
	case bramleyfall.ActionDeliver:
		d.sendPlain(d.toUpstream, d.server.config.Upstream, raw)
	case bramleyfall.ActionReturn:
		d.sendPlain(d.toNetwork, d.server.config.Fabric, raw)
	case bramleyfall.ActionPass:
		d.pass(list, list.Current().Address, raw)
	case bramleyfall.ActionNextPage:
		d.pass(list, list.Balancer, raw)
	}
	d.segments(&a)
}

func (d *decider) sendPlain(s *geneve.Sender, to bramleyfall.Endpoint, raw []byte) {
	if err := d.codec.EncodePlain(s.Next(), raw); err == nil {
		s.Add(to)
	}
}

func (d *decider) pass(list *bramleyfall.HopList, to bramleyfall.Endpoint, raw []byte) {
	if err := d.codec.Encode(d.toNetwork.Next(), list, raw); err == nil {
		d.toNetwork.Add(to)
	}
}

// segments sends the segments that the action makes up. The reset of a refused
// opening carries the reason and when to come back.
func (d *decider) segments(a *bramleyfall.Action) {
	if a.ToUpstream != nil {
		if raw, err := encodeSegment(a.ToUpstream); err == nil {
			d.sendPlain(d.toUpstream, d.server.config.Upstream, raw)
		}
	}
	if a.ToCaller == nil {
		return
	}
	raw, err := encodeSegment(a.ToCaller)
	if err != nil {
		return
	}
	if a.Kind != bramleyfall.ActionRefuse {
		d.sendPlain(d.toNetwork, d.server.config.Fabric, raw)
		return
	}
	if err := d.codec.EncodeRefusal(d.toNetwork.Next(), a.Code, time.Duration(a.RetryAfter), raw); err == nil {
		d.toNetwork.Add(d.server.config.Fabric)
	}
}

func encodeSegment(s *bramleyfall.Segment) ([]byte, error) {
	return geneve.EncodeTCP(geneve.TCPFields{
		Flow: s.Flow, Sequence: s.Sequence, Ack: s.Ack, ACK: s.HasAck, Reset: s.Reset,
	})
}

// log writes a line for each placement: openings taken, passed on or refused,
// and flows given up.
func (d *decider) log(a *bramleyfall.Action) {
	opening := d.message.Packet.Kind == bramleyfall.KindOpening
	placed := a.Opened || a.Kind == bramleyfall.ActionRefuse || a.Kind == bramleyfall.ActionReset ||
		a.Kind == bramleyfall.ActionPass && opening && a.HeldPacket == nil
	if !placed {
		return
	}
	d.server.telemetry.Log.Info().Str("Event", string(a.Kind)).Str("Flow", a.Flow.String()).
		Str("Upstream", string(d.server.config.ID)).Str("Reason", a.Code.String()).
		Uint64("Revision", uint64(d.announcer.Revision())).Int("Flows", d.gate.Flows()).Int("Waiting", d.gate.PendingFlows()).Msg("")
}
