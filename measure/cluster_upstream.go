package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/virtual"
)

// queuePerSlot is the number of requests that wait for each slot.
const queuePerSlot = 4

// server is an upstream with its agent.
type clusterUpstream struct {
	sim       *clusterSimulation
	id        string
	service   string
	key       bramleyfall.InstanceKey
	filter    *caller.FlowFilter
	agent     *virtual.Agent
	startedAt time.Time
	bootID    bramleyfall.BootID
	flows     map[bramleyfall.Flow]*clusterUpstreamFlow
	running   int
	queue     []func()
	// died is set while flows end because of a restart.
	restarting      bool
	appliedRevision bramleyfall.Revision
}

// serverFlow is the upstream's end of a flow.
type clusterUpstreamFlow struct {
	initialSequence uint32
	nextSequence    uint32
	// last is the last request that was run, with its answer.
	lastRequestID int
	answered      bool
}

// boot starts a run of the upstream.
func (u *clusterUpstream) startProcess(startedAt time.Time) {
	u.startedAt = startedAt
	u.bootID = bramleyfall.BootID(startedAt.UnixNano()) + bramleyfall.BootID(u.key%1000)
	u.running, u.queue = 0, nil
	clear(u.flows)
	u.restarting = true
	u.execute(u.filter.UpstreamStarted(u.bootID, startedAt, u.sim.Now()))
	u.restarting = false
	u.filter.Sweep(u.sim.Now())
	u.announce()
}

func (u *clusterUpstream) announce() {
	state := u.filter.State()
	u.agent.Announcer.Announce(state == caller.UpstreamWarming || state == caller.UpstreamServing, u.filter.Boot())
}

// configure applies what the announcer has learned, as the agent does.
func (u *clusterUpstream) applyConfiguration() {
	state := u.agent.Announcer.State()
	if state.Newest() == u.appliedRevision {
		return
	}
	u.appliedRevision = state.Newest()
	u.filter.SetServices(state.ServicesOf(u.agent.Member.ID))
	now, domain := u.sim.Now(), u.agent.Member.Domain
	u.execute(u.filter.SetDomain(state.DomainState(domain), state.LingerUntil(domain, now), now))
	u.filter.SetDraining(state.Drained(u.agent.Member.ID), u.sim.Now())
	u.announce()
}

// act carries out the actions that concern callers and the upstream.
func (u *clusterUpstream) execute(actions []bramleyfall.Action) {
	for _, action := range actions {
		if action.ToUpstream != nil && action.ToUpstream.Reset {
			delete(u.flows, action.Flow)
		}
		if action.ToCaller != nil && action.ToCaller.Reset {
			u.sim.sendToCaller(&message{flow: action.Flow, kind: bramleyfall.KindReset, upstreamRestarted: u.restarting, refused: action.Kind == bramleyfall.ActionRefuse, retryAfter: time.Duration(action.RetryAfter)})
		}
	}
}

// usable returns the slots that a cold upstream can use.
func (u *clusterUpstream) usableSlots() int {
	n := int(float64(u.sim.spec.slots) * float64(u.sim.Now().Sub(u.startedAt)) / float64(coldDuration))
	return max(1, min(n, u.sim.spec.slots))
}

// take handles a packet that was delivered to the upstream.
func (u *clusterUpstream) receive(m *message) {
	sim := u.sim
	if m.service != u.service {
		sim.recorder.wrongService++
	}
	f := u.flows[m.flow]
	switch {
	case m.kind == bramleyfall.KindOpening:
		if f == nil {
			f = &clusterUpstreamFlow{initialSequence: sim.random.Uint32()}
			f.nextSequence = f.initialSequence + 1
			u.flows[m.flow] = f
		}
		u.sendToCaller(&message{flow: m.flow, kind: bramleyfall.KindOpeningReply, upstreamInitialSequence: f.initialSequence})
	case f == nil:
		u.sendToCaller(&message{flow: m.flow, kind: bramleyfall.KindReset})
	case m.kind == bramleyfall.KindFinish:
		delete(u.flows, m.flow)
		u.sendToCaller(&message{flow: m.flow, kind: bramleyfall.KindFinish})
	case m.requestID != 0:
		u.handleRequest(m, f)
	}
}

// request runs a request once, however often it is repeated.
func (u *clusterUpstream) handleRequest(m *message, f *clusterUpstreamFlow) {
	if m.requestID <= f.lastRequestID {
		// A repeated packet, as its sequence number tells TCP. Requests of a
		// caller are numbered in order.
		if m.requestID == f.lastRequestID && f.answered {
			u.sendAnswer(m, f, outcomeAnswered)
		}
		return
	}
	f.lastRequestID, f.answered = m.requestID, false
	usableSlots := u.usableSlots()
	load := u.running + len(u.queue)
	if usableSlots < u.sim.spec.slots && load >= 2*usableSlots {
		u.sim.recorder.coldFailures++
		u.sendAnswer(m, f, outcomeFailed)
		return
	}
	if load >= queuePerSlot*u.sim.spec.slots {
		u.sim.recorder.shed++
		u.sendAnswer(m, f, outcomeShed)
		return
	}
	start := func() { u.runRequest(m, f) }
	if u.running >= usableSlots {
		u.queue = append(u.queue, start)
		return
	}
	start()
}

func (u *clusterUpstream) runRequest(m *message, f *clusterUpstreamFlow) {
	u.running++
	boot := u.bootID
	u.sim.recorder.recordExecution(m.requestID)
	u.sim.After(serviceTime, func() {
		if boot != u.bootID {
			return
		}
		u.running--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			next()
		}
		f.answered = true
		u.sendAnswer(m, f, outcomeAnswered)
	})
}

func (u *clusterUpstream) sendAnswer(m *message, f *clusterUpstreamFlow, o outcome) {
	if u.flows[m.flow] != f {
		return
	}
	f.answered = true
	u.sendToCaller(&message{flow: m.flow, requestID: m.requestID, outcome: o, size: 100})
}

// reply sends a packet of the upstream to the caller, through the agent's gate
// where the router has one.
func (u *clusterUpstream) sendToCaller(m *message) {
	if !u.agent.Up {
		return
	}
	if !u.sim.router.usesAgentFilter() {
		u.sim.sendToCaller(m)
		return
	}
	action := u.filter.FromUpstream(&bramleyfall.Packet{
		Flow: m.flow.Reverse(), Kind: m.kind, HasAck: true, Sequence: u.nextSequenceOf(m), Ack: callerInitialSequence + 1, Length: m.size,
	}, u.sim.Now())
	if action.Kind == bramleyfall.ActionReturn {
		u.sim.sendToCaller(m)
		return
	}
	u.execute([]bramleyfall.Action{action})
}

func (u *clusterUpstream) nextSequenceOf(m *message) uint32 {
	if m.kind == bramleyfall.KindOpeningReply {
		return m.upstreamInitialSequence
	}
	if f := u.flows[m.flow]; f != nil {
		f.nextSequence += m.size
		return f.nextSequence - m.size
	}
	return 0
}
