package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// tick runs the periodic work: the filter's timers, state announcements, heartbeats
// to the balancers, and the metrics.
func (d *dispatcher) tick() {
	now := d.server.clock.Now()
	d.executeAll(d.filter.Settle(now))
	if now.After(d.nextSweep) {
		d.nextSweep = now.Add(sweepInterval)
		d.executeAll(d.filter.Sweep(now))
	}
	d.announceState()
	d.server.control.Send(d.announcer.Tick(now))
	d.server.openFlows.Store(int64(d.filter.Flows()))
	d.server.pendingFlows.Store(int64(d.filter.PendingFlows()))
}

// executeAll executes actions that do not refer to the packet in d.message. It
// resets the packet kind, so that logPlacement takes none of them for an opening.
func (d *dispatcher) executeAll(actions []bramleyfall.Action) {
	d.message.Packet.Kind = bramleyfall.KindData
	for _, action := range actions {
		d.execute(action)
	}
}

// announceState updates the announced state and load of the upstream.
func (d *dispatcher) announceState() {
	state := d.filter.State()
	serving := !d.draining && (state == caller.UpstreamWarming || state == caller.UpstreamServing)
	d.announcer.Announce(serving, d.filter.Boot())
	d.announcer.SetLoad(d.filter.Flows(), d.filter.PendingFlows())
	d.server.serving.Store(serving)
	if state != d.lastState {
		d.lastState = state
		d.server.telemetry.Log.Info().Str("Event", "Upstream").Str("State", string(state)).
			Uint64("Boot", uint64(d.filter.Boot())).Int("Flows", d.filter.Flows()).Msg("")
	}
}

// handleDatagram processes a control datagram from a balancer.
func (d *dispatcher) handleDatagram(datagram *peerpb.Datagram) {
	now := d.server.clock.Now()
	if d.announcer.Superseded(datagram) && !d.superseded {
		d.superseded = true
		d.server.telemetry.Log.Error().Str("Event", "Superseded").
			Str("Reason", "an instance with the same id has started later; this one accepts no new flows").Msg("")
		d.startDrain()
	}
	d.server.control.Send(d.announcer.Receive(datagram, now))
	d.applyConfiguration(now)
}

// applyConfiguration applies the configuration that the announcer received to the
// filter.
func (d *dispatcher) applyConfiguration(now time.Time) {
	state := d.announcer.State()
	if state.NewestRevision() == d.appliedRevision {
		return
	}
	d.appliedRevision = state.NewestRevision()
	allowed := state.AllowedServices(d.server.config.ID)
	d.filter.SetServices(allowed)
	d.executeAll(d.filter.SetDomain(state.DomainState(d.server.config.Domain), state.GraceUntil(d.server.config.Domain, now), now))
	d.updateDraining(now)
	d.server.telemetry.Log.Info().Str("Event", "Configured").Uint64("Revision", uint64(d.announcer.Revision())).
		Int("Services", len(allowed)).Str("Domain", string(state.DomainState(d.server.config.Domain))).Msg("")
}

// updateDraining sets whether the upstream drains: it does while the agent itself,
// the upstream or the operators request it.
func (d *dispatcher) updateDraining(now time.Time) {
	draining := d.draining || d.upstreamDraining || d.announcer.State().Drained(d.server.config.ID)
	d.filter.SetDraining(draining, now)
}

func (d *dispatcher) startDrain() {
	d.draining = true
	d.updateDraining(d.server.clock.Now())
}

func (d *dispatcher) announceLeave() { d.server.control.Send(d.announcer.Leave()) }

// handleHealth processes a successful health check.
func (d *dispatcher) handleHealth(status healthStatus) {
	now := d.server.clock.Now()
	d.executeAll(d.filter.UpstreamStarted(status.Boot, time.Unix(0, int64(status.Boot)), now))
	d.upstreamDraining = status.Draining
	d.updateDraining(now)
}

// upstreamUnresponsive records that the upstream's health checks fail.
func (d *dispatcher) upstreamUnresponsive() { d.filter.UpstreamGone(false, d.server.clock.Now()) }

// upstreamTerminated records that the upstream's health endpoint refused or closed
// a connection, which means that its process has ended.
func (d *dispatcher) upstreamTerminated() { d.filter.UpstreamGone(true, d.server.clock.Now()) }
