// Package fabric forwards packets in a balancer. It receives the packets that the
// network fabric sends to the balancer, and those that agents return for further
// hops, looks up their route in the routing table and sends each to its first hop.
// The balancer program runs it and keeps the table up to date.
package fabric

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gopacket/gopacket"
	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/telemetry"
	"bramleyfall.example/bramleyfall/upstream"
)

const (
	// noUpstreamRetryAfter is the time after which a caller may retry when a service
	// has no upstream.
	noUpstreamRetryAfter = 2 * time.Second
	// malformedLogSampling is the number of malformed packets, or of packets for
	// unknown services, per logged one.
	malformedLogSampling = 100
)

// Forwarder reads, routes and writes packets, all in the goroutine that calls Run.
type Forwarder struct {
	conn         *geneve.Conn
	table        *upstream.Table
	fabric       bramleyfall.Endpoint
	keys         *peer.Keys
	clock        bramleyfall.Clock
	guard        *ForwardingGuard
	telemetry    *telemetry.Telemetry
	recorder     bramleyfall.TraceRecorder
	handleNotice func(*peerpb.Notice)
	closed       atomic.Bool

	codec    geneve.Codec
	message  geneve.Message
	sender   *geneve.Sender
	counters forwarderCounters
}

// Option changes a setting of a Forwarder.
type Option func(*Forwarder)

// WithFabric sets the address of the fabric, to which resets for callers are sent.
func WithFabric(address bramleyfall.Endpoint) Option {
	return func(f *Forwarder) { f.fabric = address }
}

// WithNotices sets the keys that authenticate notices of agents, and a handler for
// the notices. Run calls the handler in its goroutine.
func WithNotices(keys *peer.Keys, handle func(*peerpb.Notice)) Option {
	return func(f *Forwarder) { f.keys, f.handleNotice = keys, handle }
}

// WithRecorder records routing decisions and owner hints as trace events.
func WithRecorder(r bramleyfall.TraceRecorder) Option { return func(f *Forwarder) { f.recorder = r } }

// WithClock sets the clock. The default is the system clock.
func WithClock(c bramleyfall.Clock) Option { return func(f *Forwarder) { f.clock = c } }

// WithForwardingGuard drops packets while guard blocks forwarding.
func WithForwardingGuard(guard *ForwardingGuard) Option {
	return func(f *Forwarder) { f.guard = guard }
}

// NewForwarder returns a Forwarder that routes the packets arriving at conn by
// table.
func NewForwarder(conn *geneve.Conn, table *upstream.Table, t *telemetry.Telemetry, options ...Option) *Forwarder {
	f := &Forwarder{
		conn: conn, table: table, telemetry: t, counters: newForwarderCounters(t),
		clock: bramleyfall.SystemClock(), keys: peer.NewKeys(), handleNotice: func(*peerpb.Notice) {},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Close closes the connection and makes Run return.
func (f *Forwarder) Close() error {
	f.closed.Store(true)
	return f.conn.Close()
}

type forwarderCounters struct {
	packets, bytes, openings, refused, malformed, unknownService, blocked, notices, badSeal *metrics.Counter
}

func newForwarderCounters(t *telemetry.Telemetry) forwarderCounters {
	return forwarderCounters{
		packets:        t.Counter("bramleyfall_packets_total"),
		bytes:          t.Counter("bramleyfall_packet_bytes_total"),
		openings:       t.Counter("bramleyfall_openings_total"),
		refused:        t.Counter("bramleyfall_refused_total"),
		malformed:      t.Counter("bramleyfall_malformed_packets_total"),
		unknownService: t.Counter("bramleyfall_unknown_service_packets_total"),
		blocked:        t.Counter("bramleyfall_stale_packets_dropped_total"),
		notices:        t.Counter("bramleyfall_notices_total"),
		badSeal:        t.Counter("bramleyfall_bad_seals_total"),
	}
}

// Run forwards packets until Close.
func (f *Forwarder) Run() {
	f.sender = geneve.NewSender(f.conn)
	receiver := geneve.NewReceiver()
	for {
		n, err := receiver.Read(f.conn)
		if err != nil {
			if f.closed.Load() {
				return
			}
			continue
		}
		if f.guard != nil && f.guard.Blocked(f.clock.Now()) {
			f.counters.blocked.Add(n)
			continue
		}
		for i := range n {
			f.processPacket(receiver.Data(i))
		}
		f.sender.Flush()
	}
}

func (f *Forwarder) processPacket(data []byte) {
	f.counters.packets.Inc()
	f.counters.bytes.Add(len(data))
	m := &f.message
	if err := f.codec.Decode(data, m); err != nil {
		f.dropMalformed(err)
		return
	}
	if m.Notice != nil {
		f.processNotice(m.Notice)
		return
	}
	page := uint8(0)
	if m.HasHops { // an agent returned the packet after all hops of this page
		page = m.List.Page + 1
	}
	opening := m.Packet.Kind == bramleyfall.KindOpening
	code := f.table.Route(m.Packet.Flow, opening, page, &m.List)
	f.recordRoute(m, opening, page, code)
	if code != bramleyfall.OK {
		f.handleUnrouted(code, opening)
		return
	}
	if opening {
		f.logOpening()
	}
	if err := f.codec.Encode(f.sender.Next(), &m.List, m.Packet.Raw); err != nil {
		f.dropMalformed(err)
		return
	}
	f.sender.Add(m.List.Hops[0].Address)
}

func (f *Forwarder) recordRoute(m *geneve.Message, opening bool, page uint8, code bramleyfall.ResultCode) {
	if f.recorder == nil {
		return
	}
	flow := m.Packet.Flow
	e := bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceRoute, At: f.clock.Now(), Flow: &flow, Opening: opening, Page: page, Code: code,
	}
	if code == bramleyfall.OK {
		for _, h := range m.List.Hops[:m.List.Count] {
			e.Hops = append(e.Hops, h.Upstream)
		}
	}
	f.recorder.Record(e)
}

func (f *Forwarder) logOpening() {
	f.counters.openings.Inc()
	l := &f.message.List
	flow := f.message.Packet.Flow
	entry := f.table.Lookup(flow)
	if entry == nil {
		return
	}
	f.telemetry.Log.Info().Str("Event", "Route").Str("Flow", flow.String()).
		Str("Upstream", string(entry.IDOf(l.Hops[0].Upstream))).Str("Service", string(entry.Name)).
		Uint8("Hops", l.Count).Uint64("Revision", uint64(l.Revision)).Str("Reason", "Rendezvous").Msg("")
}

// dropMalformed counts a malformed packet and logs one in malformedLogSampling.
func (f *Forwarder) dropMalformed(err error) {
	f.counters.malformed.Inc()
	if f.counters.malformed.Get()%malformedLogSampling == 1 {
		f.telemetry.Log.Warn().Str("Event", "MalformedPacket").Str("Reason", err.Error()).Msg("")
	}
}

// handleUnrouted handles a packet for which the table has no route. A packet to an
// unknown service is dropped. Otherwise a TCP packet is answered with a reset. The
// reset for an opening carries a refusal, since no upstream has received the opening
// and the caller can safely retry.
func (f *Forwarder) handleUnrouted(code bramleyfall.ResultCode, opening bool) {
	p := &f.message.Packet
	if code == bramleyfall.UnknownService {
		f.counters.unknownService.Inc()
		if f.counters.unknownService.Get()%malformedLogSampling == 1 {
			f.telemetry.Log.Warn().Str("Event", "Drop").Str("Flow", p.Flow.String()).Str("Reason", code.String()).Msg("")
		}
		return
	}
	f.counters.refused.Inc()
	f.telemetry.Log.Info().Str("Event", "Refuse").Str("Flow", p.Flow.String()).Str("Reason", code.String()).Msg("")
	if p.Kind == bramleyfall.KindReset || p.Flow.Protocol != bramleyfall.TCP {
		return
	}
	reset := geneve.TCPFields{Flow: p.Flow.Reverse(), Reset: true, Sequence: p.Ack, ACK: !p.HasAck}
	if !p.HasAck {
		reset.Ack = p.End()
	}
	raw, err := geneve.EncodeTCP(reset)
	if err != nil {
		return
	}
	if err := f.encodeReset(f.sender.Next(), code, opening, raw); err == nil {
		f.sender.Add(f.fabric)
	}
}

func (f *Forwarder) encodeReset(buffer gopacket.SerializeBuffer, code bramleyfall.ResultCode, opening bool, raw []byte) error {
	if opening {
		return f.codec.EncodeRefusal(buffer, code, noUpstreamRetryAfter, raw)
	}
	return f.codec.EncodePlain(buffer, raw)
}

// processNotice handles an agent's notice of the owner of a flow or of newer
// configuration. Notices without a valid seal are counted and ignored.
func (f *Forwarder) processNotice(sealed []byte) {
	body, err := f.keys.Open(peer.PurposeNotice, sealed)
	var n peerpb.Notice
	if err == nil {
		err = proto.Unmarshal(body, &n)
	}
	if err != nil {
		f.counters.badSeal.Inc()
		return
	}
	f.counters.notices.Inc()
	if n.Owner != 0 {
		owner := bramleyfall.InstanceKey(n.Owner)
		f.table.SetHint(n.FlowHash, owner)
		if f.recorder != nil {
			f.recorder.Record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceHint, At: f.clock.Now(), Hash: n.FlowHash, Owner: owner})
		}
	}
	f.handleNotice(&n)
}
