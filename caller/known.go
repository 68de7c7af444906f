package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

// hintInterval is the least number of milliseconds between two owner hints of
// one flow.
const hintInterval = 200

// known decides on a caller's packet of a flow in the table.
func (g *FlowFilter) known(p *bramleyfall.Packet, f *flow, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	switch f.state {
	case g.chart.Closed:
		return g.afterClose(p, f, list, now)
	case g.chart.Opening, g.chart.HalfOpen:
		if p.Kind != bramleyfall.KindOpening && !g.acknowledges(p, f) {
			// The caller answers another upstream's reply.
			return g.passOn(p, list, bramleyfall.NoOwner)
		}
		if p.Kind != bramleyfall.KindOpening {
			g.fire(f, g.chart.Acknowledged)
		}
	}
	f.lastCaller = g.millis(now)
	if after(p.End(), f.nextCaller) {
		f.nextCaller = p.End()
	}
	if p.Length > 0 {
		f.asked = true
		g.setWaiting(f, true)
	}
	switch p.Kind {
	case bramleyfall.KindFinish:
		g.fire(f, g.chart.CallerFin)
	case bramleyfall.KindReset:
		g.fire(f, g.chart.Reset)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow}
}

// acknowledges reports whether p answers the opening reply of this upstream.
func (g *FlowFilter) acknowledges(p *bramleyfall.Packet, f *flow) bool {
	return f.state == g.chart.HalfOpen && p.HasAck && p.Ack == f.upstreamStart+1
}

// afterClose decides on a packet of a flow that both ends have closed. Late
// acknowledgements still go to the upstream.
func (g *FlowFilter) afterClose(p *bramleyfall.Packet, f *flow, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	if p.Kind != bramleyfall.KindOpening {
		if p.Length > 0 && after(p.End(), f.nextCaller) {
			return g.passOn(p, list, bramleyfall.NoOwner)
		}
		return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow}
	}
	return g.open(p, f.service, list, now)
}

// after reports whether sequence number a follows b.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// AllowHint reports whether the balancer that sent the packet should be told
// that this upstream owns the flow, and notes that it was told.
func (g *FlowFilter) AllowHint(key bramleyfall.Flow, list *bramleyfall.HopList, now time.Time) bool {
	f := g.flows[key]
	if f == nil || list.Index == 0 && list.Page == 0 || f.state != g.chart.Established {
		return false
	}
	at := g.millis(now)
	if f.lastHint != 0 && at-f.lastHint < hintInterval {
		return false
	}
	f.lastHint = at
	return true
}

// FromUpstream implements bramleyfall.PacketFilter.
func (g *FlowFilter) FromUpstream(p *bramleyfall.Packet, now time.Time) bramleyfall.Action {
	key := p.Flow.Reverse()
	g.upstream.lastPacket = now
	f := g.flows[key]
	if f == nil {
		return g.unknownFromUpstream(p, key, now)
	}
	f.lastUpstream = g.millis(now)
	if after(p.End(), f.nextUpstream) || f.nextUpstream == 0 {
		f.nextUpstream = p.End()
	}
	switch p.Kind {
	case bramleyfall.KindOpeningReply:
		g.upstreamAccepted(p, f)
	case bramleyfall.KindFinish:
		g.fire(f, g.chart.UpstreamFin)
	case bramleyfall.KindReset:
		return g.upstreamReset(p, key, f, now)
	}
	if p.Length > 0 {
		g.setWaiting(f, false)
	}
	return bramleyfall.Action{Kind: bramleyfall.ActionReturn, Flow: key}
}

func (g *FlowFilter) upstreamAccepted(p *bramleyfall.Packet, f *flow) {
	if f.state == g.chart.Opening {
		f.upstreamStart = p.Sequence
	}
	g.fire(f, g.chart.Accepted)
}

// upstreamReset hands a reset to the caller. A reset that answers an opening
// is a shed: nothing was run, and the caller is told when to come back.
func (g *FlowFilter) upstreamReset(p *bramleyfall.Packet, key bramleyfall.Flow, f *flow, now time.Time) bramleyfall.Action {
	opening := f.state == g.chart.Opening
	g.fire(f, g.chart.Reset)
	delete(g.flows, key)
	if !opening {
		return bramleyfall.Action{Kind: bramleyfall.ActionReturn, Flow: key}
	}
	g.upstream.shed(now)
	return bramleyfall.Action{
		Kind: bramleyfall.ActionRefuse, Code: bramleyfall.NotRunUnavailable, Flow: key,
		RetryAfter: bramleyfall.Duration(g.config.RetryAfter),
		ToCaller: &bramleyfall.Segment{
			Flow: p.Flow, Sequence: p.Sequence, Ack: p.Ack, HasAck: p.HasAck, Reset: true,
		},
	}
}

// unknownFromUpstream decides on an upstream's packet of a flow that the gate
// does not hold. While the agent looks for flows, it is the proof of one.
func (g *FlowFilter) unknownFromUpstream(p *bramleyfall.Packet, key bramleyfall.Flow, now time.Time) bramleyfall.Action {
	if a, ok := g.answerTrial(p, key, now); ok {
		return a
	}
	if g.starting(now) {
		// The flow may be adopted a moment later: the upstream repeats the packet.
		return drop(p, bramleyfall.StaleInstance)
	}
	s := g.service(key)
	if s != nil && g.upstream.adopting(now) && p.Kind != bramleyfall.KindReset {
		g.adopt(key, s, p, now)
		return bramleyfall.Action{Kind: bramleyfall.ActionReturn, Flow: key, Opened: true}
	}
	if p.Kind == bramleyfall.KindReset || p.Flow.Protocol != bramleyfall.TCP {
		return drop(p, bramleyfall.NoOwner)
	}
	return bramleyfall.Action{
		Kind: bramleyfall.ActionDrop, Code: bramleyfall.NoOwner, Flow: key, ToUpstream: answerReset(p),
	}
}
