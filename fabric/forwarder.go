// Package fabric speaks to the fabric on behalf of a balancer: it takes the
// packets that the fabric hands over and sends each to the first of its hops.
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
	// noUpstreamRetry is what a caller is told when a service has no upstream.
	noUpstreamRetry = 2 * time.Second
	// malformedSample is the number of bad packets for each one that is logged.
	malformedSample = 100
)

// Forwarder is the packet duty of a balancer: it reads, decides and writes in
// one thread.
type Forwarder struct {
	conn      *geneve.Conn
	table     *upstream.Table
	fabric    bramleyfall.Endpoint
	keys      *peer.Keys
	clock     bramleyfall.Clock
	fresh     *Freshness
	telemetry *telemetry.Telemetry
	recorder  bramleyfall.TraceRecorder
	notices   func(*peerpb.Notice)
	stopping  atomic.Bool

	codec   geneve.Codec
	message geneve.Message
	sender  *geneve.Sender
	counts  forwardCounts
}

// Option sets an option of a Forwarder.
type Option func(*Forwarder)

// WithAnswers sets the address that resets to callers are sent to.
func WithAnswers(to bramleyfall.Endpoint) Option { return func(f *Forwarder) { f.fabric = to } }

// WithNotices sets the keys that notices of agents are sealed with, and what is
// done with the notices.
func WithNotices(keys *peer.Keys, handle func(*peerpb.Notice)) Option {
	return func(f *Forwarder) { f.keys, f.notices = keys, handle }
}

// WithRecorder records a trace of the decisions.
func WithRecorder(r bramleyfall.TraceRecorder) Option { return func(f *Forwarder) { f.recorder = r } }

// WithClock sets the clock, which is the system's otherwise.
func WithClock(c bramleyfall.Clock) Option { return func(f *Forwarder) { f.clock = c } }

// WithFreshness drops packets while fresh says that the table may be out of
// date.
func WithFreshness(fresh *Freshness) Option { return func(f *Forwarder) { f.fresh = fresh } }

// NewForwarder returns a forwarder of the packets that arrive at conn.
func NewForwarder(conn *geneve.Conn, table *upstream.Table, t *telemetry.Telemetry, options ...Option) *Forwarder {
	f := &Forwarder{
		conn: conn, table: table, telemetry: t, counts: newForwardCounts(t),
		clock: bramleyfall.SystemClock(), keys: peer.NewKeys(), notices: func(*peerpb.Notice) {},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Close ends Run.
func (f *Forwarder) Close() error {
	f.stopping.Store(true)
	return f.conn.Close()
}

type forwardCounts struct {
	packets, bytes, openings, refused, malformed, unknown, stale, notices, badSeal *metrics.Counter
}

func newForwardCounts(t *telemetry.Telemetry) forwardCounts {
	return forwardCounts{
		packets:   t.Counter("bramleyfall_packets_total"),
		bytes:     t.Counter("bramleyfall_packet_bytes_total"),
		openings:  t.Counter("bramleyfall_openings_total"),
		refused:   t.Counter("bramleyfall_refused_total"),
		malformed: t.Counter("bramleyfall_malformed_packets_total"),
		unknown:   t.Counter("bramleyfall_unknown_service_packets_total"),
		stale:     t.Counter("bramleyfall_stale_packets_dropped_total"),
		notices:   t.Counter("bramleyfall_notices_total"),
		badSeal:   t.Counter("bramleyfall_bad_seals_total"),
	}
}

// Run forwards packets until Close.
func (f *Forwarder) Run() {
	f.sender = geneve.NewSender(f.conn)
	receiver := geneve.NewReceiver()
	for {
		n, err := receiver.Read(f.conn)
		if err != nil {
			if f.stopping.Load() {
				return
			}
			continue
		}
		if f.fresh != nil && f.fresh.Stale(f.clock.Now()) {
			f.counts.stale.Add(n)
			continue
		}
		for i := range n {
			f.packet(receiver.Data(i))
		}
		f.sender.Flush()
	}
}

func (f *Forwarder) packet(data []byte) {
	f.counts.packets.Inc()
	f.counts.bytes.Add(len(data))
	m := &f.message
	if err := f.codec.Decode(data, m); err != nil {
		f.malformed(err)
		return
	}
	if m.Notice != nil {
		f.notice(m.Notice)
		return
	}
	page := uint8(0)
	if m.HasHops {
		page = m.List.Page + 1
	}
	opening := m.Packet.Kind == bramleyfall.KindOpening
	code := f.table.Route(m.Packet.Flow, opening, page, &m.List)
	f.record(m, opening, page, code)
	if code != bramleyfall.OK {
		f.unrouted(code, opening)
		return
	}
	if opening {
		f.logOpening()
	}
	if err := f.codec.Encode(f.sender.Next(), &m.List, m.Packet.Raw); err != nil {
		f.malformed(err)
		return
	}
	f.sender.Add(m.List.Hops[0].Address)
}

func (f *Forwarder) record(m *geneve.Message, opening bool, page uint8, code bramleyfall.ResultCode) {
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
	f.counts.openings.Inc()
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

// malformed drops a bad packet, counts it and logs a sample.
func (f *Forwarder) malformed(err error) {
	f.counts.malformed.Inc()
	if f.counts.malformed.Get()%malformedSample == 1 {
		f.telemetry.Log.Warn().Str("Event", "MalformedPacket").Str("Reason", err.Error()).Msg("")
	}
}

// unrouted answers a packet that has nowhere to go. An opening is refused at
// once: no upstream received it.
func (f *Forwarder) unrouted(code bramleyfall.ResultCode, opening bool) {
	p := &f.message.Packet
	if code == bramleyfall.UnknownService {
		f.counts.unknown.Inc()
		if f.counts.unknown.Get()%malformedSample == 1 {
			f.telemetry.Log.Warn().Str("Event", "Drop").Str("Flow", p.Flow.String()).Str("Reason", code.String()).Msg("")
		}
		return
	}
	f.counts.refused.Inc()
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
	if err := f.encodeAnswer(f.sender.Next(), code, opening, raw); err == nil {
		f.sender.Add(f.fabric)
	}
}

func (f *Forwarder) encodeAnswer(buffer gopacket.SerializeBuffer, code bramleyfall.ResultCode, opening bool, raw []byte) error {
	if opening {
		return f.codec.EncodeRefusal(buffer, code, noUpstreamRetry, raw)
	}
	return f.codec.EncodePlain(buffer, raw)
}

// notice takes an agent's word about the owner of a flow or about newer
// configuration. Without a good seal it changes nothing.
func (f *Forwarder) notice(sealed []byte) {
	body, err := f.keys.Open(peer.PurposeNotice, sealed)
	var n peerpb.Notice
	if err == nil {
		err = proto.Unmarshal(body, &n)
	}
	if err != nil {
		f.counts.badSeal.Inc()
		return
	}
	f.counts.notices.Inc()
	if n.Owner != 0 {
		owner := bramleyfall.InstanceKey(n.Owner)
		f.table.SetHint(n.FlowHash, owner)
		if f.recorder != nil {
			f.recorder.Record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceHint, At: f.clock.Now(), Hash: n.FlowHash, Owner: owner})
		}
	}
	f.notices(&n)
}
