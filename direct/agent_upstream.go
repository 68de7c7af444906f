package direct

import (
	"net/netip"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/tunnel"
)

// fromUpstream takes a packet that the upstream sent or didn't take.
func (a *Agent) fromUpstream(data []byte, _ netip.AddrPort) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.packet
	if err := a.wire.Decode(data, p); err != nil {
		a.malformed(err)
		return
	}
	if p.Returned {
		a.upstreamReturned(p, data, now)
		return
	}
	action := a.gate.FromUpstream(p, now)
	if action.Opened {
		if number, ok := a.claims[action.Flow]; ok {
			delete(a.claims, action.Flow)
			a.answer(number, &tunnel.Message{Kind: tunnel.Owned, Flow: action.Flow})
		}
		a.counts.opened.Inc()
	}
	a.write(a.tunnel, data, bramleyfall.Endpoint{IP: p.Flow.Destination.IP, Port: a.config.Packets.Port})
}

// upstreamReturned takes a packet that the upstream didn't take.
func (a *Agent) upstreamReturned(p *bramleyfall.Packet, data []byte, now time.Time) {
	a.counts.returned.Inc()
	tag := p.Tag
	action := a.gate.ReturnedByUpstream(p, now)
	delete(a.claims, p.Flow)
	a.telemetry.Decision(now).Str("Event", "UpstreamReturned").Str("Flow", p.Flow.String()).
		Str("Reason", action.Code.String()).Int("Busy", a.gate.ActiveRequests()).Msg("")
	number := tag&^offeredTag - 1
	if tag == 0 || int(number) >= len(a.balancers) {
		return // it was delivered by an agent that ran before
	}
	a.wire.SetTag(data, 0)
	a.passBack(p, number, tag&offeredTag != 0, action.Code, data)
}

// noteState logs a change of the upstream's state, and reports whether there was
// one.
func (a *Agent) noteState(now time.Time) bool {
	state := a.gate.State(now)
	if state == a.state {
		return false
	}
	id, boot := a.gate.UpstreamRun()
	a.telemetry.Log.Info().Str("Event", "UpstreamState").Str("Upstream", string(id)).Uint64("Boot", uint64(boot)).
		Str("Before", string(a.state)).Str("State", string(state)).Int("Busy", a.gate.ActiveRequests()).Int("Flows", a.gate.Flows()).Msg("")
	a.state = state
	if state == bramleyfall.UpstreamFailing {
		a.logFailing()
	}
	return true
}

// logFailing writes what the upstream was taken to fail by.
func (a *Agent) logFailing() {
	f := a.gate.LastFailure()
	a.telemetry.Log.Info().Str("Event", "UpstreamFailing").Str("Flow", f.Flow.String()).Bool("Broken", f.Aborted).
		Int64("TookMS", f.AnswerTime.Milliseconds()).Int64("UsualTookMS", f.UsualAnswerTime.Milliseconds()).
		Uint32("Length", f.Length).Uint32("UsualLength", f.UsualLength).Msg("")
}

// HandleHeartbeat implements bramleyfall.HeartbeatHandler. What it says is in force before
// it is acknowledged.
func (a *Agent) HandleHeartbeat(h bramleyfall.Heartbeat) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.Service != a.config.Service {
		a.malformed(bramleyfall.Errorf(bramleyfall.WrongService, "heartbeat of %s names service %s", h.Upstream, h.Service))
		return
	}
	news, lost := a.gate.Heartbeat(h, now)
	if !news {
		return
	}
	a.resetCallers(lost, bramleyfall.UpstreamRestart)
	if a.noteState(now) {
		a.report(true)
	}
	entry := bramleyfall.Announcement{
		Instance: a.config.ID, Upstream: h.Upstream, Boot: h.Boot, Service: h.Service,
		Domain: h.Domain, Packets: a.config.Packets, Slots: h.Slots,
	}
	if a.entry == nil || *a.entry != entry {
		a.entry = &entry
		a.announcer.SetEntry(&entry)
	}
}

// resetCallers tells the callers of flows that ended with their upstream, so
// that they open others before they have something to send.
func (a *Agent) resetCallers(lost []bramleyfall.Segment, reason bramleyfall.ResultCode) {
	if len(lost) == 0 {
		return
	}
	a.telemetry.Log.Info().Str("Event", "FlowsLost").Int("Flows", len(lost)).Str("Reason", reason.String()).Msg("")
	for i := range lost {
		a.buffer = a.wire.AppendReset(a.buffer[:0], &lost[i])
		a.write(a.tunnel, a.buffer, bramleyfall.Endpoint{IP: lost[i].Flow.Destination.IP, Port: a.config.Packets.Port})
	}
}

// HandleDeregistration implements bramleyfall.HeartbeatHandler.
func (a *Agent) HandleDeregistration(id bramleyfall.UpstreamID) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gate.UpstreamLeaving(id) {
		return
	}
	a.entry = nil
	a.announcer.SetEntry(nil)
	a.report(a.noteState(now))
}

// HandleMalformed implements bramleyfall.HeartbeatHandler.
func (a *Agent) HandleMalformed(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.malformed(err)
}
