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
type server struct {
	world   *world
	id      string
	service string
	key     bramleyfall.InstanceKey
	gate    *caller.FlowFilter
	agent   *virtual.Agent
	started time.Time
	bootID  bramleyfall.BootID
	flows   map[bramleyfall.Flow]*serverFlow
	running int
	waiting []func()
	// died is set while flows end because of a restart.
	died    bool
	applied bramleyfall.Revision
}

// serverFlow is the upstream's end of a flow.
type serverFlow struct {
	start uint32
	sent  uint32
	// last is the last request that was run, with its answer.
	last   int
	answer bool
}

// boot starts a run of the upstream.
func (s *server) boot(started time.Time) {
	s.started = started
	s.bootID = bramleyfall.BootID(started.UnixNano()) + bramleyfall.BootID(s.key%1000)
	s.running, s.waiting = 0, nil
	clear(s.flows)
	s.died = true
	s.act(s.gate.UpstreamStarted(s.bootID, started, s.world.Now()))
	s.died = false
	s.gate.Sweep(s.world.Now())
	s.announce()
}

func (s *server) announce() {
	state := s.gate.State()
	s.agent.Announcer.Announce(state == caller.UpstreamWarming || state == caller.UpstreamServing, s.gate.Boot())
}

// configure applies what the announcer has learned, as the agent does.
func (s *server) configure() {
	state := s.agent.Announcer.State()
	if state.NewestRevision() == s.applied {
		return
	}
	s.applied = state.NewestRevision()
	s.gate.SetServices(state.AllowedServices(s.agent.Member.ID))
	now, domain := s.world.Now(), s.agent.Member.Domain
	s.act(s.gate.SetDomain(state.DomainState(domain), state.GraceUntil(domain, now), now))
	s.gate.SetDraining(state.Drained(s.agent.Member.ID), s.world.Now())
	s.announce()
}

// act carries out the actions that concern callers and the upstream.
func (s *server) act(actions []bramleyfall.Action) {
	for _, a := range actions {
		if a.ToUpstream != nil && a.ToUpstream.Reset {
			delete(s.flows, a.Flow)
		}
		if a.ToCaller != nil && a.ToCaller.Reset {
			s.world.toCaller(&message{flow: a.Flow, kind: bramleyfall.KindReset, died: s.died, refused: a.Kind == bramleyfall.ActionRefuse, retry: time.Duration(a.RetryAfter)})
		}
	}
}

// usable returns the slots that a cold upstream can use.
func (s *server) usable() int {
	n := int(float64(s.world.spec.slots) * float64(s.world.Now().Sub(s.started)) / float64(coldTime))
	return max(1, min(n, s.world.spec.slots))
}

// take handles a packet that was delivered to the upstream.
func (s *server) take(m *message) {
	w := s.world
	if m.service != s.service {
		w.tally.wrongService++
	}
	f := s.flows[m.flow]
	switch {
	case m.kind == bramleyfall.KindOpening:
		if f == nil {
			f = &serverFlow{start: w.random.Uint32()}
			f.sent = f.start + 1
			s.flows[m.flow] = f
		}
		s.reply(&message{flow: m.flow, kind: bramleyfall.KindOpeningReply, start: f.start})
	case f == nil:
		s.reply(&message{flow: m.flow, kind: bramleyfall.KindReset})
	case m.kind == bramleyfall.KindFinish:
		delete(s.flows, m.flow)
		s.reply(&message{flow: m.flow, kind: bramleyfall.KindFinish})
	case m.request != 0:
		s.request(m, f)
	}
}

// request runs a request once, however often it is repeated.
func (s *server) request(m *message, f *serverFlow) {
	if m.request <= f.last {
		// A repeated packet, as its sequence number tells TCP. Requests of a
		// caller are numbered in order.
		if m.request == f.last && f.answer {
			s.answer(m, f, answered)
		}
		return
	}
	f.last, f.answer = m.request, false
	usable := s.usable()
	load := s.running + len(s.waiting)
	if usable < s.world.spec.slots && load >= 2*usable {
		s.world.tally.coldFailures++
		s.answer(m, f, failed)
		return
	}
	if load >= queuePerSlot*s.world.spec.slots {
		s.world.tally.shed++
		s.answer(m, f, shed)
		return
	}
	start := func() { s.runRequest(m, f) }
	if s.running >= usable {
		s.waiting = append(s.waiting, start)
		return
	}
	start()
}

func (s *server) runRequest(m *message, f *serverFlow) {
	s.running++
	boot := s.bootID
	s.world.tally.ran(m.request)
	s.world.After(work, func() {
		if boot != s.bootID {
			return
		}
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		f.answer = true
		s.answer(m, f, answered)
	})
}

func (s *server) answer(m *message, f *serverFlow, o outcome) {
	if s.flows[m.flow] != f {
		return
	}
	f.answer = true
	s.reply(&message{flow: m.flow, request: m.request, outcome: o, size: 100})
}

// reply sends a packet of the upstream to the caller, through the agent's gate
// where the router has one.
func (s *server) reply(m *message) {
	if !s.agent.Up {
		return
	}
	if !s.world.router.gated() {
		s.world.toCaller(m)
		return
	}
	a := s.gate.FromUpstream(&bramleyfall.Packet{
		Flow: m.flow.Reverse(), Kind: m.kind, HasAck: true, Sequence: s.sequence(m), Ack: callerStart + 1, Length: m.size,
	}, s.world.Now())
	if a.Kind == bramleyfall.ActionReturn {
		s.world.toCaller(m)
		return
	}
	s.act([]bramleyfall.Action{a})
}

func (s *server) sequence(m *message) uint32 {
	if m.kind == bramleyfall.KindOpeningReply {
		return m.start
	}
	if f := s.flows[m.flow]; f != nil {
		f.sent += m.size
		return f.sent - m.size
	}
	return 0
}
