package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/placement"
)

func TestOwnerIsAskedForOnceAndThenRemembered(t *testing.T) {
	is := is.New(t)
	w := newWorld(7)
	d := w.FromCaller(data(), w.now)
	is.Equal(kinds(d), []bramleyfall.ActionKind{bramleyfall.ActionPass})
	is.True(d[0].Lookup)
	is.Equal(len(d[0].Targets), 3)                // all in its failure domain that may hold the flow
	is.Equal(len(w.FromCaller(data(), w.now)), 0) // the next packet waits as well
	d = w.FlowOwned(flowOf(1), agent(4), w.now)
	is.Equal(len(d), 2) // both are sent to the owner
	is.Equal(string(d[1].Raw), "data")
	is.Equal(d[1].Targets[0].Address, agent(4))
	d = w.FromCaller(data(), w.now)
	is.True(!d[0].Lookup)
	is.Equal(d[0].Targets[0].Address, agent(4))
}

// Entries lapse while the store is away, and are back some time later. A balancer
// that starts meanwhile hears of the agents without an entry, and asks them too.
func TestFlowsOfAgentsWithoutAnEntry(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.EntryAdded(bramleyfall.Announcement{Instance: "agent-9", Service: railbook, Packets: agent(9)})
	w.EntryMissing("agent-9", w.now)
	w.Tick(w.now)
	is.Equal(w.AgentCount(), 2) // it has time to answer
	w.FromCaller(data(), w.now)
	d := w.FlowNotOwned(flowOf(1), agent(0), w.now)
	is.Equal(resets(d), 0)
	is.Equal(d[0].Targets[0].Address, agent(9))
	d = w.FlowOwned(flowOf(1), agent(9), w.now)
	is.Equal(string(d[0].Raw), "data")
}

// A watch may be deaf and the process may have been paused: a flow is reset only
// by a fresh list.
func TestResetsNeedAFreshList(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.ListComplete(w.now.Add(-2 * time.Second))
	w.FromCaller(data(), w.now)
	is.Equal(resets(w.FlowNotOwned(flowOf(1), agent(0), w.now)), 0)
	is.True(w.RelistDue(w.now))
	is.True(!w.RelistDue(w.now)) // asked for once
	w.EntryAdded(bramleyfall.Announcement{Instance: "agent-9", Boot: 1, Service: railbook, Domain: "Ikeja", Packets: agent(9)})
	w.ListComplete(w.now)
	d := w.Tick(w.now)
	is.Equal(d[0].Targets[0].Address, agent(9)) // the list shows another
	is.Equal(resets(w.FlowNotOwned(flowOf(1), agent(9), w.now)), 1)
}

// Entries may have lapsed unseen before a balancer started: their agents are
// listed again in a moment, and until then no flow of theirs is reset.
func TestNoResetsByAnIncompleteList(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.ListMayBeIncomplete(w.now)
	w.FromCaller(data(), w.now)
	is.Equal(resets(w.FlowNotOwned(flowOf(1), agent(0), w.now)), 0)
	is.Equal(w.wait(1200*time.Millisecond), 0)
	w.FromCaller(data(), w.now) // its caller repeats it
	is.Equal(resets(w.FlowNotOwned(flowOf(1), agent(0), w.now)), 0)
	is.Equal(w.wait(1200*time.Millisecond), 0)
	w.EntryAdded(bramleyfall.Announcement{Instance: "agent-9", Boot: 1, Service: railbook, Domain: "Ikeja", Packets: agent(9)})
	d := w.Tick(w.now)
	is.Equal(d[0].Targets[0].Address, agent(9))
	w.now = w.now.Add(400 * time.Millisecond)
	is.Equal(resets(w.FlowNotOwned(flowOf(1), agent(9), w.now)), 1) // all had the time to be listed
}

// A search that nobody answers is told, with the agent that is waited for.
func TestSearchWithoutAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.FromCaller(data(), w.now)
	var last []placement.Decision
	for range 80 {
		w.now = w.now.Add(20 * time.Millisecond)
		if d := w.Tick(w.now); len(d) > 0 {
			last = slices.Clone(d)
		}
	}
	is.Equal(len(last), 1)
	is.Equal(last[0].Kind, bramleyfall.ActionDrop)
	is.Equal(last[0].Code, bramleyfall.StaleInstance)
	is.Equal(string(last[0].Instance), "agent-0")
}

// Agents that can't tell are offered one packet, not each that waits: when all
// agents have started at once, more would fill the links.
func TestOnePacketIsOffered(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	second := data()
	second.Raw = []byte("more data")
	w.FromCaller(data(), w.now)
	w.FromCaller(second, w.now)
	d := w.FlowMayBeOwned(flowOf(1), agent(0), w.now)
	is.Equal(len(d), 1)
	is.True(d[0].Tentative)
	is.Equal(string(d[0].Raw), "data")
	d = w.FlowOwned(flowOf(1), agent(0), w.now)
	is.Equal(len(d), 1) // the rest
	is.True(!d[0].Tentative)
	is.Equal(string(d[0].Raw), "more data")
}

// A store that is away doesn't hold callers up for long.
func TestResetsWithoutAList(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.ListComplete(w.now.Add(-2 * time.Second))
	w.FromCaller(data(), w.now)
	is.Equal(resets(w.FlowNotOwned(flowOf(1), agent(0), w.now)), 0)
	is.Equal(w.wait(time.Second), 0)
	is.Equal(w.wait(300*time.Millisecond), 1)
}

// Two packets of one flow are looked up while the owner's answer is still on its
// way: the others answer each of them.
func TestDenialsCountOncePerAgent(t *testing.T) {
	is := is.New(t)
	w := newWorld(7)
	w.FromCaller(data(), w.now)
	w.now = w.now.Add(20 * time.Millisecond)
	is.Equal(len(w.Tick(w.now)[0].Targets), 4) // with the own domain's three, all
	w.now = w.now.Add(180 * time.Millisecond)
	w.FromCaller(data(), w.now)
	for range 2 {
		for n := range 6 {
			d := w.FlowNotOwned(flowOf(1), agent(n), w.now)
			is.Equal(resets(d), 0) // the seventh hasn't answered
		}
	}
	d := w.FlowNotOwned(flowOf(1), agent(6), w.now)
	is.Equal(resets(d), 1)
	is.Equal(d[0].Reset.Sequence, uint32(7000)) // within the caller's window
}

// A balancer that joined after a change of a route doesn't know where the
// route's flows went before.
func TestFlowsOfAFormerTargetAreFound(t *testing.T) {
	is := is.New(t)
	w := newWorld(3) // its only configuration sends the route to railbook
	w.EntryAdded(bramleyfall.Announcement{Instance: "drawhub-1", Service: drawhub, Packets: agent(9), Slots: 2})
	is.Equal(len(w.FromCaller(data(), w.now)[0].Targets), 1) // in its failure domain
	d := w.FlowNotOwned(flowOf(1), agent(0), w.now)
	is.Equal(len(d[0].Targets), 2) // the others of the service
	is.Equal(len(w.FlowNotOwned(flowOf(1), agent(1), w.now)), 0)
	d = w.FlowNotOwned(flowOf(1), agent(2), w.now)
	is.Equal(resets(d), 0)
	is.Equal(d[0].Targets[0].Address, agent(9)) // all are asked before it is given up
	d = w.FlowOwned(flowOf(1), agent(9), w.now)
	is.Equal(d[0].Targets[0].Address, agent(9))
}

// Where not all agents can be asked, a flow that none of those asked holds may
// still be open.
func TestNoResetWithoutAskingAll(t *testing.T) {
	is := is.New(t)
	w := newWorld(40)
	for n := range 300 {
		w.EntryAdded(bramleyfall.Announcement{
			Instance: bramleyfall.InstanceID(fmt.Sprintf("drawhub-%d", n)), Service: drawhub, Packets: agent(100 + n), Slots: 2,
		})
	}
	asked := slices.Clone(w.FromCaller(data(), w.now)[0].Targets)
	for n := 0; n < len(asked); n++ {
		for _, d := range w.FlowNotOwned(flowOf(1), asked[n].Address, w.now) {
			is.Equal(d.Kind, bramleyfall.ActionPass)
			asked = append(asked, d.Targets...)
		}
	}
	is.Equal(len(asked), 40) // those of the route's service
}

// A failure domain loses power with the agents of some flows. Their callers are
// told as soon as the others have denied the flow and the rest stays silent.
func TestFlowsOfSilentAgents(t *testing.T) {
	tests := []struct {
		name   string
		silent int
		denied int
		after  time.Duration
		reset  bool
	}{
		{"all others deny and the rest is silent", 3, 4, 700 * time.Millisecond, true},
		{"the rest may still answer", 3, 4, 100 * time.Millisecond, false},
		{"one of the others has yet to answer", 3, 3, 700 * time.Millisecond, false},
		{"all are silent, so the balancer itself may be cut off", 7, 0, 2 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(7)
			w.FlowOwned(flowOf(1), agent(0), w.now)
			w.FromCaller(data(), w.now) // agent 0 doesn't answer from here on
			count := 0
			for elapsed := time.Duration(0); elapsed < test.after; elapsed += 20 * time.Millisecond {
				w.now = w.now.Add(20 * time.Millisecond)
				w.FromCaller(data(), w.now)
				for n := range 7 - test.silent {
					w.report(6-n, ready(0, 0))
				}
				for n := range test.denied {
					count += resets(w.FlowNotOwned(flowOf(1), agent(6-n), w.now))
				}
				count += resets(w.Tick(w.now))
			}
			is.Equal(count > 0, test.reset)
		})
	}
}

// A request that may not be repeated is lost for certain when its flow is reset,
// but not when the agent beside its upstream was only restarted.
func TestFlowsWaitForTheirAgent(t *testing.T) {
	tests := []struct {
		name              string
		idempotent, heard bool
		after             time.Duration
		reset             bool
	}{
		{"a feed whose agent was never heard opens another flow", true, false, 700 * time.Millisecond, true},
		{"a feed waits for an agent that is held up", true, true, 1100 * time.Millisecond, false},
		{"a feed doesn't wait for ever", true, true, 1900 * time.Millisecond, true},
		{"an order waits for a restart", false, false, 700 * time.Millisecond, false},
		{"an order waits for an agent that is held up", false, true, 1100 * time.Millisecond, false},
		{"an order doesn't wait for ever", false, true, 1900 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			s := snapshot(2, railbook)
			s.Routes[address].Idempotent = test.idempotent
			w.Configure(s)
			if test.heard {
				w.report(0, ready(0, 0))
			}
			w.FlowOwned(flowOf(1), agent(0), w.now)
			count := 0
			for elapsed := time.Duration(0); elapsed < test.after; elapsed += 20 * time.Millisecond {
				w.FromCaller(data(), w.now)
				w.report(1, ready(0, 0))
				w.report(2, ready(0, 0))
				count += resets(w.FlowNotOwned(flowOf(1), agent(1), w.now))
				count += resets(w.FlowNotOwned(flowOf(1), agent(2), w.now))
				count += resets(w.Tick(w.now))
				w.now = w.now.Add(20 * time.Millisecond)
			}
			is.Equal(count > 0, test.reset)
		})
	}
}

// After a start of all, questions are lost that reach an agent before it has
// started. It is asked once more as soon as it is heard.
func TestAgentThatHasJustStartedIsAskedAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.report(0, ready(0, 0))
	w.FromCaller(data(), w.now)
	is.Equal(resets(w.FlowNotOwned(flowOf(1), agent(0), w.now)), 0)
	w.now = w.now.Add(100 * time.Millisecond)
	is.Equal(lookups(w.Tick(w.now), agent(1)), 0)
	w.report(1, ready(0, 0))
	w.now = w.now.Add(20 * time.Millisecond)
	is.Equal(lookups(w.Tick(w.now), agent(1)), 1)
	w.now = w.now.Add(20 * time.Millisecond)
	is.Equal(lookups(w.Tick(w.now), agent(1)), 0)
	is.Equal(resets(w.FlowNotOwned(flowOf(1), agent(1), w.now)), 1)
}

// lookups counts the questions to an agent.
func lookups(decisions []placement.Decision, to bramleyfall.Endpoint) int {
	n := 0
	for _, d := range decisions {
		for _, target := range d.Targets {
			if d.Lookup && target.Address == to {
				n++
			}
		}
	}
	return n
}

// An agent whose upstream has ended removes its entry and says so. A flow that all
// others deny doesn't wait for it, unless it answers.
func TestWithdrawnAgentIsNotWaitedFor(t *testing.T) {
	tests := []struct {
		name      string
		withdrawn bool
		after     time.Duration
		resets    int
	}{
		{"it has withdrawn", true, 80 * time.Millisecond, 1},
		{"it has withdrawn, and may answer yet", true, 20 * time.Millisecond, 0},
		{"its entry has lapsed", false, 80 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(2)
			w.report(0, ready(0, 0))
			w.EntryMissing("agent-1", w.now)
			if test.withdrawn {
				w.EntryWithdrawn("agent-1")
			}
			w.FromCaller(data(), w.now)
			count := resets(w.FlowNotOwned(flowOf(1), agent(0), w.now))
			for elapsed := time.Duration(0); elapsed < test.after; elapsed += 20 * time.Millisecond {
				w.now = w.now.Add(20 * time.Millisecond)
				count += resets(w.Tick(w.now))
			}
			is.Equal(count, test.resets)
		})
	}
}

// The upstream of a flow is most often in the balancer's own failure domain: its
// agents are asked first, the others when those have denied the flow or don't
// answer at once.
func TestOwnDomainIsAskedFirst(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	d := w.FromCaller(data(), w.now)
	is.Equal(len(d[0].Targets), 3)
	for _, target := range d[0].Targets[:2] {
		is.Equal(len(w.FlowNotOwned(flowOf(1), target.Address, w.now)), 0)
	}
	w.now = w.now.Add(20 * time.Millisecond)
	is.Equal(len(w.Tick(w.now)[0].Targets), 6) // one is late
	w.now = w.now.Add(520 * time.Millisecond)
	d = w.FromCaller(data(), w.now) // the caller repeats its packet
	is.Equal(len(d[0].Targets), 7)  // all but the two that have denied it
}

// After a restart of all agents none can tell whether its upstream holds a flow.
// The packet is offered to a few at a time.
func TestUnsureAgentsAreOfferedThePacketInTurn(t *testing.T) {
	is := is.New(t)
	w := newWorld(30)
	asked := slices.Clone(w.FromCaller(data(), w.now)[0].Targets)
	offers := 0
	for _, target := range asked {
		for _, d := range w.FlowMayBeOwned(flowOf(1), target.Address, w.now) {
			is.True(d.Tentative)
			is.Equal(string(d.Raw), "data")
			offers++
		}
	}
	is.Equal(len(asked), 10)
	is.Equal(offers, 3)
	next := w.FlowNotOwned(flowOf(1), asked[0].Address, w.now) // it came back
	is.Equal(len(next), 1)
	is.Equal(next[0].Targets[0].Address, asked[3].Address)
	is.Equal(len(w.FlowOwned(flowOf(1), asked[1].Address, w.now)), 0) // it has the packet already
}
