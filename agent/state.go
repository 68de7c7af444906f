package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// tick does what is due.
func (d *decider) tick() {
	now := d.server.clock.Now()
	d.all(d.gate.Settle(now))
	if now.After(d.nextSweep) {
		d.nextSweep = now.Add(sweepEvery)
		d.all(d.gate.Sweep(now))
	}
	d.announce()
	d.server.control.Send(d.announcer.Tick(now))
	d.server.flows.Store(int64(d.gate.Flows()))
	d.server.busy.Store(int64(d.gate.PendingFlows()))
}

// all carries out actions that no packet in d.message belongs to.
func (d *decider) all(actions []bramleyfall.Action) {
	d.message.Packet.Kind = bramleyfall.KindData
	for _, a := range actions {
		d.act(a)
	}
}

// announce tells the balancers the state of the upstream.
func (d *decider) announce() {
	state := d.gate.State()
	serving := !d.leaving && (state == caller.UpstreamWarming || state == caller.UpstreamServing)
	d.announcer.Announce(serving, d.gate.Boot())
	d.announcer.SetLoad(d.gate.Flows(), d.gate.PendingFlows())
	d.server.serving.Store(serving)
	if state != d.lastState {
		d.lastState = state
		d.server.telemetry.Log.Info().Str("Event", "Upstream").Str("State", string(state)).
			Uint64("Boot", uint64(d.gate.Boot())).Int("Flows", d.gate.Flows()).Msg("")
	}
}

// control takes a datagram of a balancer.
func (d *decider) control(datagram *peerpb.Datagram) {
	now := d.server.clock.Now()
	if d.announcer.Superseded(datagram) && !d.superseded {
		d.superseded = true
		d.server.telemetry.Log.Error().Str("Event", "Superseded").
			Str("Reason", "a newer instance announces itself under the same id; this one takes no new flows").Msg("")
		d.startDrain()
	}
	d.server.control.Send(d.announcer.Receive(datagram, now))
	d.configure(now)
}

// configure applies the configuration that the announcer holds.
func (d *decider) configure(now time.Time) {
	state := d.announcer.State()
	if state.Newest() == d.applied {
		return
	}
	d.applied = state.Newest()
	allowed := state.ServicesOf(d.server.config.ID)
	d.gate.SetServices(allowed)
	d.all(d.gate.SetDomain(state.DomainState(d.server.config.Domain), state.LingerUntil(d.server.config.Domain, now), now))
	d.drainAsAsked(now)
	d.server.telemetry.Log.Info().Str("Event", "Configured").Uint64("Revision", uint64(d.announcer.Revision())).
		Int("Services", len(allowed)).Str("Domain", string(state.DomainState(d.server.config.Domain))).Msg("")
}

// drainAsAsked drains while the operators, the upstream or a signal ask for it.
func (d *decider) drainAsAsked(now time.Time) {
	asked := d.leaving || d.asksDrain || d.announcer.State().Drained(d.server.config.ID)
	d.gate.SetDraining(asked, now)
}

func (d *decider) startDrain() {
	d.leaving = true
	d.drainAsAsked(d.server.clock.Now())
}

func (d *decider) leave() { d.server.control.Send(d.announcer.Leave()) }

// upstreamAnswers takes what the upstream says of itself.
func (d *decider) upstreamAnswers(h health) {
	now := d.server.clock.Now()
	d.all(d.gate.UpstreamStarted(h.Boot, time.Unix(0, int64(h.Boot)), now))
	d.asksDrain = h.Draining
	d.drainAsAsked(now)
}

// upstreamSilent notes that the upstream's health endpoint does not answer.
func (d *decider) upstreamSilent() { d.gate.UpstreamGone(false, d.server.clock.Now()) }

// upstreamDead notes that nobody listens at the upstream's health endpoint.
func (d *decider) upstreamDead() { d.gate.UpstreamGone(true, d.server.clock.Now()) }
