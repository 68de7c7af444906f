package direct

import (
	"net/netip"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/tunnel"
)

// handleUpstreamPacket processes a packet that the upstream sent or returned.
func (a *Agent) handleUpstreamPacket(data []byte, _ netip.AddrPort) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.packet
	if err := a.codec.Decode(data, p); err != nil {
		a.countMalformed(err)
		return
	}
	if p.Returned {
		a.handleReturnedPacket(p, data, now)
		return
	}
	action := a.gate.FromUpstream(p, now)
	if action.Opened {
		if index, ok := a.pendingOwned[action.Flow]; ok {
			delete(a.pendingOwned, action.Flow)
			a.send(index, &tunnel.Message{Kind: tunnel.Owned, Flow: action.Flow})
		}
		a.metrics.opened.Inc()
	}
	a.write(a.tunnelConn, data, bramleyfall.Endpoint{IP: p.Flow.Destination.IP, Port: a.config.Packets.Port})
}

// handleReturnedPacket processes a packet that the upstream did not accept.
func (a *Agent) handleReturnedPacket(p *bramleyfall.Packet, data []byte, now time.Time) {
	a.metrics.returned.Inc()
	tag := p.Tag
	action := a.gate.ReturnedByUpstream(p, now)
	delete(a.pendingOwned, p.Flow)
	a.telemetry.Decision(now).Str("Event", "UpstreamReturned").Str("Flow", p.Flow.String()).
		Str("Reason", action.Code.String()).Int("Busy", a.gate.ActiveRequests()).Msg("")
	index := tag&^tentativeTag - 1
	if tag == 0 || int(index) >= len(a.balancers) {
		return // delivered before the agent was restarted
	}
	a.codec.SetTag(data, 0)
	a.returnPacket(p, index, tag&tentativeTag != 0, action.Code, data)
}

// updateState logs the upstream's state if it has changed, and reports whether it
// has.
func (a *Agent) updateState(now time.Time) bool {
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

// logFailing logs the failure that made the upstream count as failing.
func (a *Agent) logFailing() {
	f := a.gate.LastFailure()
	a.telemetry.Log.Info().Str("Event", "UpstreamFailing").Str("Flow", f.Flow.String()).Bool("Broken", f.Aborted).
		Int64("TookMS", f.AnswerTime.Milliseconds()).Int64("UsualTookMS", f.UsualAnswerTime.Milliseconds()).
		Uint32("Length", f.Length).Uint32("UsualLength", f.UsualLength).Msg("")
}

// HandleHeartbeat implements bramleyfall.HeartbeatHandler. The heartbeat has taken
// effect when HandleHeartbeat returns, before it is acknowledged.
func (a *Agent) HandleHeartbeat(h bramleyfall.Heartbeat) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.Service != a.config.Service {
		a.countMalformed(bramleyfall.Errorf(bramleyfall.WrongService, "heartbeat of %s names service %s", h.Upstream, h.Service))
		return
	}
	isNew, resets := a.gate.Heartbeat(h, now)
	if !isNew {
		return
	}
	a.resetCallers(resets, bramleyfall.UpstreamRestart)
	if a.updateState(now) {
		a.sendReports(true)
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

// resetCallers sends resets to the callers of flows that ended with their
// upstream, so that they open new flows before they send their next request.
func (a *Agent) resetCallers(resets []bramleyfall.Segment, reason bramleyfall.ResultCode) {
	if len(resets) == 0 {
		return
	}
	a.telemetry.Log.Info().Str("Event", "FlowsLost").Int("Flows", len(resets)).Str("Reason", reason.String()).Msg("")
	for i := range resets {
		a.buffer = a.codec.AppendReset(a.buffer[:0], &resets[i])
		a.write(a.tunnelConn, a.buffer, bramleyfall.Endpoint{IP: resets[i].Flow.Destination.IP, Port: a.config.Packets.Port})
	}
}

// HandleDeregistration implements bramleyfall.HeartbeatHandler.
func (a *Agent) HandleDeregistration(id bramleyfall.UpstreamID) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gate.Deregister(id) {
		return
	}
	a.entry = nil
	a.announcer.SetEntry(nil)
	a.sendReports(a.updateState(now))
}

// HandleMalformed implements bramleyfall.HeartbeatHandler.
func (a *Agent) HandleMalformed(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.countMalformed(err)
}
