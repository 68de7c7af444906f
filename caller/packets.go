package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// hintIntervalMillis is the minimum number of milliseconds between two owner
// hints for the same flow.
const hintIntervalMillis = 200

// handleKnownFlow decides on a caller's packet of a flow in the flow table.
func (ff *FlowFilter) handleKnownFlow(p *bramleyfall.Packet, f *flow, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	switch f.state {
	case ff.chart.Closed:
		return ff.handleClosedFlow(p, f, list, now)
	case ff.chart.Opening, ff.chart.HalfOpen:
		if p.Kind != bramleyfall.KindOpening && !ff.acknowledgesReply(p, f) {
			// The caller acknowledges the reply of another upstream.
			return ff.forward(p, list, bramleyfall.NoOwner)
		}
		if p.Kind != bramleyfall.KindOpening {
			ff.fire(f, ff.chart.Acknowledged)
		}
	}
	f.lastFromCaller = ff.millis(now)
	if seqAfter(p.End(), f.callerNextSeq) {
		f.callerNextSeq = p.End()
	}
	if p.Length > 0 {
		f.requestSeen = true
		ff.setPending(f, true)
	}
	switch p.Kind {
	case bramleyfall.KindFinish:
		ff.fire(f, ff.chart.CallerFin)
	case bramleyfall.KindReset:
		ff.fire(f, ff.chart.Reset)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow}
}

// acknowledgesReply reports whether p acknowledges the opening reply of this
// upstream.
func (ff *FlowFilter) acknowledgesReply(p *bramleyfall.Packet, f *flow) bool {
	return f.state == ff.chart.HalfOpen && p.HasAck && p.Ack == f.upstreamISN+1
}

// handleClosedFlow decides on a caller's packet of a closed flow. Late
// acknowledgements are still delivered to the upstream, new payload is forwarded
// and an opening reopens the flow.
func (ff *FlowFilter) handleClosedFlow(p *bramleyfall.Packet, f *flow, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	if p.Kind != bramleyfall.KindOpening {
		if p.Length > 0 && seqAfter(p.End(), f.callerNextSeq) {
			return ff.forward(p, list, bramleyfall.NoOwner)
		}
		return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow}
	}
	return ff.handleOpening(p, f.service, list, now)
}

// seqAfter reports whether sequence number a is after b, modulo 2^32.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// AllowHint reports whether to send an owner hint to the balancer that sent the
// packet, and if so records the time. Hints are sent only for established flows
// whose packet did not arrive at its first hop, and are rate-limited per flow.
func (ff *FlowFilter) AllowHint(key bramleyfall.Flow, list *bramleyfall.HopList, now time.Time) bool {
	f := ff.flows[key]
	if f == nil || list.Index == 0 && list.Page == 0 || f.state != ff.chart.Established {
		return false
	}
	at := ff.millis(now)
	if f.lastHint != 0 && at-f.lastHint < hintIntervalMillis {
		return false
	}
	f.lastHint = at
	return true
}

// FromUpstream implements bramleyfall.PacketFilter.
func (ff *FlowFilter) FromUpstream(p *bramleyfall.Packet, now time.Time) bramleyfall.Action {
	key := p.Flow.Reverse()
	ff.upstream.lastPacket = now
	f := ff.flows[key]
	if f == nil {
		return ff.handleUnknownFromUpstream(p, key, now)
	}
	f.lastFromUpstream = ff.millis(now)
	if seqAfter(p.End(), f.upstreamNextSeq) || f.upstreamNextSeq == 0 {
		f.upstreamNextSeq = p.End()
	}
	switch p.Kind {
	case bramleyfall.KindOpeningReply:
		ff.handleOpeningReply(p, f)
	case bramleyfall.KindFinish:
		ff.fire(f, ff.chart.UpstreamFin)
	case bramleyfall.KindReset:
		return ff.handleUpstreamReset(p, key, f, now)
	}
	if p.Length > 0 {
		ff.setPending(f, false)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionReturn, Flow: key}
}

// handleOpeningReply records the upstream's reply to an opening.
func (ff *FlowFilter) handleOpeningReply(p *bramleyfall.Packet, f *flow) {
	if f.state == ff.chart.Opening {
		f.upstreamISN = p.Sequence
	}
	ff.fire(f, ff.chart.Accepted)
}

// handleUpstreamReset sends the upstream's reset to the caller. A reset in response
// to an opening means that the upstream sheds load: no request was processed, and
// RetryAfter of the action is the time after which the caller should retry.
func (ff *FlowFilter) handleUpstreamReset(p *bramleyfall.Packet, key bramleyfall.Flow, f *flow, now time.Time) bramleyfall.Action {
	opening := f.state == ff.chart.Opening
	ff.fire(f, ff.chart.Reset)
	delete(ff.flows, key)
	if !opening {
		return bramleyfall.Action{Kind: bramleyfall.ActionReturn, Flow: key}
	}
	ff.upstream.recordShed(now)
	return bramleyfall.Action{
		Kind: bramleyfall.ActionRefuse, Code: bramleyfall.NotRunUnavailable, Flow: key,
		RetryAfter: bramleyfall.Duration(ff.config.RetryAfter),
		ToCaller: &bramleyfall.Segment{
			Flow: p.Flow, Sequence: p.Sequence, Ack: p.Ack, HasAck: p.HasAck, Reset: true,
		},
	}
}

// handleUnknownFromUpstream decides on an upstream's packet of a flow that is not
// in the flow table. During the recovery period such a packet shows that the
// upstream has the flow.
func (ff *FlowFilter) handleUnknownFromUpstream(p *bramleyfall.Packet, key bramleyfall.Flow, now time.Time) bramleyfall.Action {
	if a, ok := ff.completeCheck(p, key, now); ok {
		return a
	}
	if ff.initializing(now) {
		// The flow may be recovered a moment later. The upstream retransmits the packet.
		return drop(p, bramleyfall.StaleInstance)
	}
	s := ff.service(key)
	if s != nil && ff.upstream.recovering(now) && p.Kind != bramleyfall.KindReset {
		ff.recoverFlow(key, s, p, now)
		return bramleyfall.Action{Kind: bramleyfall.ActionReturn, Flow: key, Opened: true}
	}
	if p.Kind == bramleyfall.KindReset || p.Flow.Protocol != bramleyfall.TCP {
		return drop(p, bramleyfall.NoOwner)
	}
	return bramleyfall.Action{
		Kind: bramleyfall.ActionDrop, Code: bramleyfall.NoOwner, Flow: key, ToUpstream: resetFor(p),
	}
}
