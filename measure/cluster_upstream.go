package main

import (
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
	"bramleyfall.example/bramleyfall/virtual"
)

// maxLoadPerSlot is the load limit of an upstream: it sheds requests if the number of
// running and queued requests reaches maxLoadPerSlot times its slots.
const maxLoadPerSlot = 4

// clusterUpstream simulates an upstream with its agent.
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
	// restarting is set while flows are reset because of a restart.
	restarting      bool
	appliedRevision bramleyfall.Revision
}

// clusterUpstreamFlow is the upstream's end of a flow.
type clusterUpstreamFlow struct {
	initialSequence uint32
	nextSequence    uint32
	// lastRequestID is the last request that was received. answered is set once it has
	// been answered.
	lastRequestID int
	answered      bool
}

// startProcess starts or restarts the upstream process. All flows are lost.
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

// applyConfiguration applies the configuration that the announcer has received, as the
// real agent does.
func (u *clusterUpstream) applyConfiguration() {
	state := u.agent.Announcer.State()
	if state.NewestRevision() == u.appliedRevision {
		return
	}
	u.appliedRevision = state.NewestRevision()
	u.filter.SetServices(state.AllowedServices(u.agent.Member.ID))
	now, domain := u.sim.Now(), u.agent.Member.Domain
	u.execute(u.filter.SetDomain(state.DomainState(domain), state.GraceUntil(domain, now), now))
	u.filter.SetDraining(state.Drained(u.agent.Member.ID), u.sim.Now())
	u.announce()
}

// execute executes the parts of actions that reset a flow at the caller or at the
// upstream.
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

// usableSlots returns the number of usable slots, which grows linearly while the
// upstream is cold.
func (u *clusterUpstream) usableSlots() int {
	n := int(float64(u.sim.deployment.slots) * float64(u.sim.Now().Sub(u.startedAt)) / float64(clusterColdTime))
	return max(1, min(n, u.sim.deployment.slots))
}

// receive handles a packet that was delivered to the upstream.
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

// handleRequest executes, queues or rejects a request. Retransmissions have no further
// effect, except that an answer is sent again.
func (u *clusterUpstream) handleRequest(m *message, f *clusterUpstreamFlow) {
	if m.requestID <= f.lastRequestID {
		// The packet is a retransmission, which TCP detects by the sequence number. Here
		// the request ID suffices, because the IDs of a caller's requests increase.
		if m.requestID == f.lastRequestID && f.answered {
			u.sendAnswer(m, f, outcomeAnswered)
		}
		return
	}
	f.lastRequestID, f.answered = m.requestID, false
	usableSlots := u.usableSlots()
	load := u.running + len(u.queue)
	if usableSlots < u.sim.deployment.slots && load >= 2*usableSlots {
		u.sim.recorder.coldFailures++
		u.sendAnswer(m, f, outcomeFailed)
		return
	}
	if load >= maxLoadPerSlot*u.sim.deployment.slots {
		u.sim.recorder.shed++
		u.sendAnswer(m, f, outcomeShed)
		return
	}
	start := func() { u.startRequest(m, f) }
	if u.running >= usableSlots {
		u.queue = append(u.queue, start)
		return
	}
	start()
}

func (u *clusterUpstream) startRequest(m *message, f *clusterUpstreamFlow) {
	u.running++
	boot := u.bootID
	u.sim.recorder.recordExecution(m.requestID)
	u.sim.After(clusterServiceTime, func() {
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

// sendToCaller sends a packet of the upstream to the caller, through the agent's flow
// filter if the router uses it.
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

// nextSequenceOf returns the sequence number of a packet of the upstream and advances
// the sequence number of its flow.
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
