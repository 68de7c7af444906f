package virtual_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/virtual"
)

var start = time.Unix(1_800_000_000, 0)

// newFleet returns a fleet of three failure domains with the given number of
// balancers and agents in each, after the time in which they find each other.
func newFleet(balancers, agents int) *virtual.Fleet {
	f := virtual.NewFleet(virtual.NewQueue(start), 1)
	var contacts []bramleyfall.Endpoint
	for d := range 3 {
		for i := range balancers {
			m := f.NewMember(fmt.Sprintf("balancer-%d-%d", d, i), bramleyfall.RoleBalancer, virtual.DomainName(d))
			f.AddBalancer(m, contacts, nil)
			if len(contacts) < 3 {
				contacts = append(contacts, m.Control)
			}
		}
	}
	for d := range 3 {
		for i := range agents {
			m := f.NewMember(fmt.Sprintf("railbook-%d-%d", d, i), bramleyfall.RoleAgent, virtual.DomainName(d))
			m.Services = []bramleyfall.ServiceName{"railbook"}
			f.AddAgent(m, contacts).Announcer.Announce(true, 1)
		}
	}
	f.Run(10 * time.Second)
	return f
}

func change(r bramleyfall.Revision) bramleyfall.Change {
	value, err := json.Marshal(bramleyfall.Domain{Name: "domain-2", State: bramleyfall.DomainOut})
	if err != nil {
		panic(err)
	}
	return bramleyfall.Change{Revision: r, ID: "c-1", Key: configuration.DomainKey("domain-2"), Value: value}
}

func serving(b *virtual.Balancer) int { return len(b.Node.Serving("railbook")) }

func TestAllFindEachOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 4)
	for _, b := range f.Balancers {
		is.Equal(len(b.Node.Members()), 9+12)
		is.Equal(serving(b), 12)
	}
}

// TestInForceWithin6s checks the bound of the aim while a fifth of the
// datagrams between failure domains is lost, a balancer is frozen through the
// change, and another one starts while nobody but peers can tell it.
func TestInForceWithin6s(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 6)
	n := 0
	f.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
		n++
		return 4 * time.Millisecond, from == to || n%5 != 0
	}
	f.Balancers[3].Frozen = true
	is.NoErr(f.Accept(f.Balancers[0], change(1)))
	f.Run(5 * time.Second)
	f.Balancers[3].Frozen = false
	late := f.NewMember("late", bramleyfall.RoleBalancer, "domain-1")
	f.AddBalancer(late, []bramleyfall.Endpoint{f.Balancers[7].Member.Control}, nil)
	is.Equal(f.Lagging(change(1)), 2) // the frozen one and the new one
	f.Run(2 * time.Second)
	is.Equal(f.Lagging(change(1)), 0)
}

func TestDeadAgentIsJudgedAndForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 3)
	f.Agents[4].Up = false
	f.Run(8 * time.Second)
	for _, b := range f.Balancers {
		is.Equal(serving(b), 8)
	}
}

// TestOneCutPathIsNoDeath cuts the paths between two failure domains: agents
// and balancers still answer by the third.
func TestOneCutPathIsNoDeath(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 3)
	f.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
		cut := from == "domain-0" && to == "domain-1" || from == "domain-1" && to == "domain-0"
		return time.Millisecond, !cut
	}
	f.Run(30 * time.Second)
	for _, b := range f.Balancers {
		is.Equal(serving(b), 9)
		is.True(!b.Node.Partitioned())
	}
}

// TestCutDomainKnowsThatItIsCutOff cuts one of three failure domains off
// and heals the cut.
func TestCutDomainKnowsThatItIsCutOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 3)
	whole := f.Delay
	f.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
		return time.Millisecond, from == to || from != "domain-0" && to != "domain-0"
	}
	f.Run(20 * time.Second)
	for _, b := range f.Balancers {
		is.Equal(b.Node.Partitioned(), b.Member.Domain == "domain-0")
	}
	f.Delay = whole
	f.Run(30 * time.Second)
	for _, b := range f.Balancers {
		is.True(!b.Node.Partitioned())
		is.Equal(serving(b), 9)
	}
}

// TestRegionsServeOnThroughACut cuts 2 of 4 failure domains off for a while.
func TestRegionsServeOnThroughACut(t *testing.T) {
	is := is.New(t)
	f := virtual.NewFleet(virtual.NewQueue(start), 1)
	var contacts []bramleyfall.Endpoint
	for i := range 8 {
		m := f.NewMember(fmt.Sprintf("balancer-%d", i), bramleyfall.RoleBalancer, virtual.DomainName(i%4))
		f.AddBalancer(m, contacts, nil)
		contacts = append(contacts, m.Control)
	}
	f.Run(10 * time.Second)
	east := func(d bramleyfall.DomainName) bool { return d == virtual.DomainName(0) || d == virtual.DomainName(1) }
	f.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
		return time.Millisecond, east(from) == east(to)
	}
	f.Run(time.Minute)
	for _, b := range f.Balancers {
		is.Equal(b.Node.LostDomains(), 2)
		is.True(!b.Node.Partitioned())
	}
}

// TestAllLostKeepsTheTable lets all agents vanish at once: the last known ones
// stay.
func TestAllLostKeepsTheTable(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 2)
	for _, a := range f.Agents {
		a.Up = false
	}
	f.Run(30 * time.Second)
	for _, b := range f.Balancers {
		is.Equal(serving(b), 6)
	}
}

// TestAgentsFindOtherWatchers lets all balancers of a failure domain die.
func TestAgentsFindOtherWatchers(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3)
	f.Balancers[0].Up = false
	f.Run(30 * time.Second)
	for _, b := range f.Balancers[1:] {
		is.Equal(serving(b), 9)
	}
}

// TestPausedBalancerHoldsThePauseAgainstNobody freezes a balancer for longer
// than all timeouts.
func TestPausedBalancerHoldsThePauseAgainstNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 3)
	f.Balancers[1].Frozen = true
	f.Run(time.Minute)
	f.Balancers[1].Frozen = false
	f.Run(20 * time.Second)
	for _, b := range f.Balancers {
		is.Equal(serving(b), 9)
		is.Equal(b.Node.NoLivePeers(), false)
	}
}

func TestNewestRunOfAnIDWins(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1)
	old := f.Agents[0]
	m := f.NewMember(string(old.Member.ID), bramleyfall.RoleAgent, "domain-0")
	m.Services = old.Member.Services
	newer := f.AddAgent(m, []bramleyfall.Endpoint{f.Balancers[0].Member.Control})
	newer.Announcer.Announce(true, 2)
	f.Run(5 * time.Second)
	for _, b := range f.Balancers {
		for _, known := range b.Node.Serving("railbook") {
			if known.ID == m.ID {
				is.Equal(known.Boot, m.Boot)
			}
		}
	}
}

// TestDepartedInstancesAreForgotten lets agents leave and die, and looks again
// after more than two hours: the fleet does not grow with all that ever ran.
func TestDepartedInstancesAreForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 2)
	f.Agents[0].Up = false
	f.Agents[3].Up = false
	f.Run(30 * time.Second)
	for _, b := range f.Balancers {
		is.Equal(serving(b), 4)
		is.Equal(len(b.Node.Members()), 3+6) // operators can still see them
	}
	f.Run(2*time.Hour + 5*time.Minute)
	for _, b := range f.Balancers {
		is.Equal(serving(b), 4)
		is.Equal(len(b.Node.Members()), 3+4)
	}
}
