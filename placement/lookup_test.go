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
	h := newHarness(7)
	d := h.FromCaller(dataPacket(), h.now)
	is.Equal(actionKinds(d), []bramleyfall.ActionKind{bramleyfall.ActionPass})
	is.True(d[0].Lookup)
	is.Equal(len(d[0].Targets), 3)                      // the agents of railbook in the balancer's own failure domain
	is.Equal(len(h.FromCaller(dataPacket(), h.now)), 0) // the next packet is stored as well
	d = h.FlowOwned(flowOf(1), agent(4), h.now)
	is.Equal(len(d), 2) // both are forwarded to the owner
	is.Equal(string(d[1].Raw), "data")
	is.Equal(d[1].Targets[0].Address, agent(4))
	d = h.FromCaller(dataPacket(), h.now)
	is.True(!d[0].Lookup)
	is.Equal(d[0].Targets[0].Address, agent(4))
}

// Entries expire during an outage of the store and reappear some time after it. A
// balancer that starts in between learns of the agents without an entry and must query
// them too.
func TestFlowsOfAgentsWithoutAnEntry(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.EntryAdded(bramleyfall.Announcement{Instance: "agent-9", Service: railbook, Packets: agent(9)})
	h.EntryMissing("agent-9", h.now)
	h.Tick(h.now)
	is.Equal(h.AgentCount(), 2) // agent 9 still has time to answer
	h.FromCaller(dataPacket(), h.now)
	d := h.FlowNotOwned(flowOf(1), agent(0), h.now)
	is.Equal(countResets(d), 0)
	is.Equal(d[0].Targets[0].Address, agent(9))
	d = h.FlowOwned(flowOf(1), agent(9), h.now)
	is.Equal(string(d[0].Raw), "data")
}

// A watch may have stalled and the process may have been paused. A flow must therefore
// be reset only on the basis of a recent list.
func TestResetsNeedAFreshList(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.ListComplete(h.now.Add(-2 * time.Second))
	h.FromCaller(dataPacket(), h.now)
	is.Equal(countResets(h.FlowNotOwned(flowOf(1), agent(0), h.now)), 0)
	is.True(h.RefreshDue(h.now))
	is.True(!h.RefreshDue(h.now)) // requested only once
	h.EntryAdded(bramleyfall.Announcement{Instance: "agent-9", Boot: 1, Service: railbook, Domain: "Ikeja", Packets: agent(9)})
	h.ListComplete(h.now)
	d := h.Tick(h.now)
	is.Equal(d[0].Targets[0].Address, agent(9)) // the new list contains another agent
	is.Equal(countResets(h.FlowNotOwned(flowOf(1), agent(9), h.now)), 1)
}

// Entries may have expired unnoticed before a balancer started. Their agents are
// listed again shortly after, and until then none of their flows may be reset.
func TestNoResetsByAnIncompleteList(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.ListMayBeIncomplete(h.now)
	h.FromCaller(dataPacket(), h.now)
	is.Equal(countResets(h.FlowNotOwned(flowOf(1), agent(0), h.now)), 0)
	is.Equal(h.advance(1200*time.Millisecond), 0)
	h.FromCaller(dataPacket(), h.now) // the caller retransmits its packet
	is.Equal(countResets(h.FlowNotOwned(flowOf(1), agent(0), h.now)), 0)
	is.Equal(h.advance(1200*time.Millisecond), 0)
	h.EntryAdded(bramleyfall.Announcement{Instance: "agent-9", Boot: 1, Service: railbook, Domain: "Ikeja", Packets: agent(9)})
	d := h.Tick(h.now)
	is.Equal(d[0].Targets[0].Address, agent(9))
	h.now = h.now.Add(400 * time.Millisecond)
	is.Equal(countResets(h.FlowNotOwned(flowOf(1), agent(9), h.now)), 1) // EntryRenewalTimeout has passed
}

// A lookup that no agent answers ends with a decision that names an agent whose answer
// is missing.
func TestSearchWithoutAnswer(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.FromCaller(dataPacket(), h.now)
	var last []placement.Decision
	for range 80 {
		h.now = h.now.Add(20 * time.Millisecond)
		if d := h.Tick(h.now); len(d) > 0 {
			last = slices.Clone(d)
		}
	}
	is.Equal(len(last), 1)
	is.Equal(last[0].Kind, bramleyfall.ActionDrop)
	is.Equal(last[0].Code, bramleyfall.StaleInstance)
	is.Equal(string(last[0].Instance), "agent-0")
}

// Agents that cannot tell whether they own a flow are sent one of the stored packets
// tentatively. If all agents have restarted at once, sending all stored packets would
// saturate the links.
func TestOnePacketIsOffered(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	second := dataPacket()
	second.Raw = []byte("more data")
	h.FromCaller(dataPacket(), h.now)
	h.FromCaller(second, h.now)
	d := h.FlowMayBeOwned(flowOf(1), agent(0), h.now)
	is.Equal(len(d), 1)
	is.True(d[0].Tentative)
	is.Equal(string(d[0].Raw), "data")
	d = h.FlowOwned(flowOf(1), agent(0), h.now)
	is.Equal(len(d), 1) // the other packet
	is.True(!d[0].Tentative)
	is.Equal(string(d[0].Raw), "more data")
}

// An unavailable store must not delay callers for longer than ListTimeout.
func TestResetsWithoutAList(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.ListComplete(h.now.Add(-2 * time.Second))
	h.FromCaller(dataPacket(), h.now)
	is.Equal(countResets(h.FlowNotOwned(flowOf(1), agent(0), h.now)), 0)
	is.Equal(h.advance(time.Second), 0)
	is.Equal(h.advance(300*time.Millisecond), 1)
}

// Two packets of a flow are looked up while the answer of the owner is still on its
// way, so the other agents answer twice. The second answer of an agent must not be
// counted as that of another.
func TestDenialsCountOncePerAgent(t *testing.T) {
	is := is.New(t)
	h := newHarness(7)
	h.FromCaller(dataPacket(), h.now)
	h.now = h.now.Add(20 * time.Millisecond)
	is.Equal(len(h.Tick(h.now)[0].Targets), 4) // with the three of its own failure domain, all have been queried
	h.now = h.now.Add(180 * time.Millisecond)
	h.FromCaller(dataPacket(), h.now)
	for range 2 {
		for n := range 6 {
			d := h.FlowNotOwned(flowOf(1), agent(n), h.now)
			is.Equal(countResets(d), 0) // agent 6 has not answered yet
		}
	}
	d := h.FlowNotOwned(flowOf(1), agent(6), h.now)
	is.Equal(countResets(d), 1)
	is.Equal(d[0].Reset.Sequence, uint32(7000)) // within the caller's window
}

// A balancer that joined after a change of a route does not know the former services
// of the route. It must query all agents before it resets a flow.
func TestFlowsOfAFormerTargetAreFound(t *testing.T) {
	is := is.New(t)
	h := newHarness(3) // its only configuration routes to railbook
	h.EntryAdded(bramleyfall.Announcement{Instance: "drawhub-1", Service: drawhub, Packets: agent(9), Slots: 2})
	is.Equal(len(h.FromCaller(dataPacket(), h.now)[0].Targets), 1) // in its own failure domain
	d := h.FlowNotOwned(flowOf(1), agent(0), h.now)
	is.Equal(len(d[0].Targets), 2) // the other agents of railbook
	is.Equal(len(h.FlowNotOwned(flowOf(1), agent(1), h.now)), 0)
	d = h.FlowNotOwned(flowOf(1), agent(2), h.now)
	is.Equal(countResets(d), 0)
	is.Equal(d[0].Targets[0].Address, agent(9)) // all other agents are queried before the flow is reset
	d = h.FlowOwned(flowOf(1), agent(9), h.now)
	is.Equal(d[0].Targets[0].Address, agent(9))
}

// If there are too many agents to query all, a flow that none of the queried agents
// owns may still be open and must not be reset.
func TestNoResetWithoutAskingAll(t *testing.T) {
	is := is.New(t)
	h := newHarness(40)
	for n := range 300 {
		h.EntryAdded(bramleyfall.Announcement{
			Instance: bramleyfall.InstanceID(fmt.Sprintf("drawhub-%d", n)), Service: drawhub, Packets: agent(100 + n), Slots: 2,
		})
	}
	queried := slices.Clone(h.FromCaller(dataPacket(), h.now)[0].Targets)
	for n := 0; n < len(queried); n++ {
		for _, d := range h.FlowNotOwned(flowOf(1), queried[n].Address, h.now) {
			is.Equal(d.Kind, bramleyfall.ActionPass)
			queried = append(queried, d.Targets...)
		}
	}
	is.Equal(len(queried), 40) // the agents of the route's service
}

// A failure domain loses power together with the agents of some flows. The callers
// must receive a reset as soon as all other agents have reported that they do not own
// the flow and the lost agents have been silent for long enough.
func TestFlowsOfSilentAgents(t *testing.T) {
	tests := []struct {
		name         string
		silentAgents int
		nonOwners    int
		waited       time.Duration
		reset        bool
	}{
		{"all others are not the owner and the rest is silent for long enough", 3, 4, 700 * time.Millisecond, true},
		{"the silent agents may still answer", 3, 4, 100 * time.Millisecond, false},
		{"one of the others has not answered", 3, 3, 700 * time.Millisecond, false},
		{"all are silent, so the balancer itself may be isolated", 7, 0, 2 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(7)
			h.FlowOwned(flowOf(1), agent(0), h.now)
			h.FromCaller(dataPacket(), h.now) // agent 0 does not answer from here on
			count := 0
			for elapsed := time.Duration(0); elapsed < test.waited; elapsed += 20 * time.Millisecond {
				h.now = h.now.Add(20 * time.Millisecond)
				h.FromCaller(dataPacket(), h.now)
				for n := range 7 - test.silentAgents {
					h.report(6-n, ready(0, 0))
				}
				for n := range test.nonOwners {
					count += countResets(h.FlowNotOwned(flowOf(1), agent(6-n), h.now))
				}
				count += countResets(h.Tick(h.now))
			}
			is.Equal(count > 0, test.reset)
		})
	}
}

// A request that is not idempotent is lost for good if its flow is reset, but survives
// a restart of the agent. Its flow must not be reset while the agent may only be
// restarting.
func TestFlowsWaitForTheirAgent(t *testing.T) {
	tests := []struct {
		name              string
		idempotent, heard bool
		waited            time.Duration
		reset             bool
	}{
		{"an idempotent request does not wait long for an agent never heard from", true, false, 700 * time.Millisecond, true},
		{"an idempotent request waits for a delayed agent", true, true, 1100 * time.Millisecond, false},
		{"an idempotent request does not wait forever", true, true, 1900 * time.Millisecond, true},
		{"a non-idempotent request waits for a restarting agent", false, false, 700 * time.Millisecond, false},
		{"a non-idempotent request waits for a delayed agent", false, true, 1100 * time.Millisecond, false},
		{"a non-idempotent request does not wait forever", false, true, 1900 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(3)
			s := newSnapshot(2, railbook)
			s.Routes[address].Idempotent = test.idempotent
			h.Configure(s)
			if test.heard {
				h.report(0, ready(0, 0))
			}
			h.FlowOwned(flowOf(1), agent(0), h.now)
			count := 0
			for elapsed := time.Duration(0); elapsed < test.waited; elapsed += 20 * time.Millisecond {
				h.FromCaller(dataPacket(), h.now)
				h.report(1, ready(0, 0))
				h.report(2, ready(0, 0))
				count += countResets(h.FlowNotOwned(flowOf(1), agent(1), h.now))
				count += countResets(h.FlowNotOwned(flowOf(1), agent(2), h.now))
				count += countResets(h.Tick(h.now))
				h.now = h.now.Add(20 * time.Millisecond)
			}
			is.Equal(count > 0, test.reset)
		})
	}
}

// After a restart of all programs, queries that reach an agent before it has started
// are lost. The query must be repeated once the agent's first message arrives.
func TestAgentThatHasJustStartedIsAskedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.report(0, ready(0, 0))
	h.FromCaller(dataPacket(), h.now)
	is.Equal(countResets(h.FlowNotOwned(flowOf(1), agent(0), h.now)), 0)
	h.now = h.now.Add(100 * time.Millisecond)
	is.Equal(countLookups(h.Tick(h.now), agent(1)), 0)
	h.report(1, ready(0, 0))
	h.now = h.now.Add(20 * time.Millisecond)
	is.Equal(countLookups(h.Tick(h.now), agent(1)), 1)
	h.now = h.now.Add(20 * time.Millisecond)
	is.Equal(countLookups(h.Tick(h.now), agent(1)), 0)
	is.Equal(countResets(h.FlowNotOwned(flowOf(1), agent(1), h.now)), 1)
}

// countLookups counts the queries to an agent.
func countLookups(decisions []placement.Decision, to bramleyfall.Endpoint) int {
	count := 0
	for _, d := range decisions {
		for _, target := range d.Targets {
			if d.Lookup && target.Address == to {
				count++
			}
		}
	}
	return count
}

// An agent whose upstream has ended withdraws its entry. A flow that no other agent
// owns must not wait for that agent longer than OpeningTimeout, unless the agent still
// sends messages.
func TestWithdrawnAgentIsNotWaitedFor(t *testing.T) {
	tests := []struct {
		name      string
		withdrawn bool
		waited    time.Duration
		resets    int
	}{
		{"withdrawn, OpeningTimeout passed", true, 80 * time.Millisecond, 1},
		{"withdrawn, OpeningTimeout not passed", true, 20 * time.Millisecond, 0},
		{"entry expired", false, 80 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			h.report(0, ready(0, 0))
			h.EntryMissing("agent-1", h.now)
			if test.withdrawn {
				h.EntryWithdrawn("agent-1")
			}
			h.FromCaller(dataPacket(), h.now)
			count := countResets(h.FlowNotOwned(flowOf(1), agent(0), h.now))
			for elapsed := time.Duration(0); elapsed < test.waited; elapsed += 20 * time.Millisecond {
				h.now = h.now.Add(20 * time.Millisecond)
				count += countResets(h.Tick(h.now))
			}
			is.Equal(count, test.resets)
		})
	}
}

// The upstream of a flow is usually in the balancer's own failure domain. The agents
// of this domain are queried first, all others once those have reported that they do
// not own the flow or have not answered in time.
func TestOwnDomainIsAskedFirst(t *testing.T) {
	is := is.New(t)
	h := newHarness(9)
	d := h.FromCaller(dataPacket(), h.now)
	is.Equal(len(d[0].Targets), 3)
	for _, target := range d[0].Targets[:2] {
		is.Equal(len(h.FlowNotOwned(flowOf(1), target.Address, h.now)), 0)
	}
	h.now = h.now.Add(20 * time.Millisecond)
	is.Equal(len(h.Tick(h.now)[0].Targets), 6) // one agent has not answered in time
	h.now = h.now.Add(520 * time.Millisecond)
	d = h.FromCaller(dataPacket(), h.now) // the caller retransmits its packet
	is.Equal(len(d[0].Targets), 7)        // all but the two that do not own the flow
}

// After a restart of all agents, none of them can tell whether its upstream owns a
// flow. The packet is forwarded tentatively to a few agents at a time.
func TestUnsureAgentsAreOfferedThePacketInTurn(t *testing.T) {
	is := is.New(t)
	h := newHarness(30)
	queried := slices.Clone(h.FromCaller(dataPacket(), h.now)[0].Targets)
	forwarded := 0
	for _, target := range queried {
		for _, d := range h.FlowMayBeOwned(flowOf(1), target.Address, h.now) {
			is.True(d.Tentative)
			is.Equal(string(d.Raw), "data")
			forwarded++
		}
	}
	is.Equal(len(queried), 10)
	is.Equal(forwarded, 3)
	next := h.FlowNotOwned(flowOf(1), queried[0].Address, h.now) // the agent returns the packet
	is.Equal(len(next), 1)
	is.Equal(next[0].Targets[0].Address, queried[3].Address)
	is.Equal(len(h.FlowOwned(flowOf(1), queried[1].Address, h.now)), 0) // the owner already has the packet
}
