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

// newCluster returns a cluster of three failure domains with the given number of
// balancers and agents in each. It runs for 10 s, in which the instances discover
// each other.
func newCluster(balancers, agents int) *virtual.Cluster {
	c := virtual.NewCluster(virtual.NewScheduler(start), 1)
	var contacts []bramleyfall.Endpoint
	for d := range 3 {
		for i := range balancers {
			m := c.NewMember(fmt.Sprintf("balancer-%d-%d", d, i), bramleyfall.RoleBalancer, virtual.DomainName(d))
			c.AddBalancer(m, contacts, nil)
			if len(contacts) < 3 {
				contacts = append(contacts, m.Control)
			}
		}
	}
	for d := range 3 {
		for i := range agents {
			m := c.NewMember(fmt.Sprintf("railbook-%d-%d", d, i), bramleyfall.RoleAgent, virtual.DomainName(d))
			m.Services = []bramleyfall.ServiceName{"railbook"}
			c.AddAgent(m, contacts).Announcer.Announce(true, 1)
		}
	}
	c.Run(10 * time.Second)
	return c
}

// domainOutChange returns a change that takes domain-2 out of service.
func domainOutChange(r bramleyfall.Revision) bramleyfall.Change {
	value, err := json.Marshal(bramleyfall.Domain{Name: "domain-2", State: bramleyfall.DomainOut})
	if err != nil {
		panic(err)
	}
	return bramleyfall.Change{Revision: r, ID: "c-1", Key: configuration.DomainKey("domain-2"), Value: value}
}

// servingAgents returns the number of agents that the balancer routes to.
func servingAgents(b *virtual.Balancer) int { return len(b.Node.Serving("railbook")) }

func TestAllFindEachOther(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, 4)
	for _, b := range c.Balancers {
		is.Equal(len(b.Node.Members()), 9+12)
		is.Equal(servingAgents(b), 12)
	}
}

// TestInForceWithin6s checks that a change reaches all instances within the
// documented bound of 6 s although a fifth of the datagrams between failure domains
// is lost, one balancer is frozen while the change spreads, and another one starts
// after it and can learn of it only from its peers.
func TestInForceWithin6s(t *testing.T) {
	is := is.New(t)
	c := newCluster(5, 6)
	n := 0
	c.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
		n++
		return 4 * time.Millisecond, from == to || n%5 != 0
	}
	c.Balancers[3].Frozen = true
	is.NoErr(c.ApplyChange(c.Balancers[0], domainOutChange(1)))
	c.Run(5 * time.Second)
	c.Balancers[3].Frozen = false
	late := c.NewMember("late", bramleyfall.RoleBalancer, "domain-1")
	c.AddBalancer(late, []bramleyfall.Endpoint{c.Balancers[7].Member.Control}, nil)
	is.Equal(c.CountLagging(domainOutChange(1)), 2) // the balancer that was frozen and the new one
	c.Run(2 * time.Second)
	is.Equal(c.CountLagging(domainOutChange(1)), 0)
}

func TestDeadAgentIsJudgedAndForgotten(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, 3)
	c.Agents[4].Up = false
	c.Run(8 * time.Second)
	for _, b := range c.Balancers {
		is.Equal(servingAgents(b), 8)
	}
}

// TestOneCutPathIsNoDeath checks that no instance is declared dead while the network
// between two failure domains fails, since agents and balancers can still be reached
// from the third one.
func TestOneCutPathIsNoDeath(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, 3)
	c.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
		disconnected := from == "domain-0" && to == "domain-1" || from == "domain-1" && to == "domain-0"
		return time.Millisecond, !disconnected
	}
	c.Run(30 * time.Second)
	for _, b := range c.Balancers {
		is.Equal(servingAgents(b), 9)
		is.True(!b.Node.Partitioned())
	}
}

// TestCutDomainKnowsThatItIsCutOff checks that only the balancers of an isolated
// failure domain consider themselves partitioned, and that all recover after the
// partition heals.
func TestCutDomainKnowsThatItIsCutOff(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, 3)
	connected := c.Delay
	c.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
		return time.Millisecond, from == to || from != "domain-0" && to != "domain-0"
	}
	c.Run(20 * time.Second)
	for _, b := range c.Balancers {
		is.Equal(b.Node.Partitioned(), b.Member.Domain == "domain-0")
	}
	c.Delay = connected
	c.Run(30 * time.Second)
	for _, b := range c.Balancers {
		is.True(!b.Node.Partitioned())
		is.Equal(servingAgents(b), 9)
	}
}

// TestRegionsServeOnThroughACut checks that no balancer considers itself partitioned
// after a partition into two regions of two failure domains each, so that both regions
// continue to serve.
func TestRegionsServeOnThroughACut(t *testing.T) {
	is := is.New(t)
	c := virtual.NewCluster(virtual.NewScheduler(start), 1)
	var contacts []bramleyfall.Endpoint
	for i := range 8 {
		m := c.NewMember(fmt.Sprintf("balancer-%d", i), bramleyfall.RoleBalancer, virtual.DomainName(i%4))
		c.AddBalancer(m, contacts, nil)
		contacts = append(contacts, m.Control)
	}
	c.Run(10 * time.Second)
	inEast := func(d bramleyfall.DomainName) bool { return d == virtual.DomainName(0) || d == virtual.DomainName(1) }
	c.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
		return time.Millisecond, inEast(from) == inEast(to)
	}
	c.Run(time.Minute)
	for _, b := range c.Balancers {
		is.Equal(b.Node.LostDomains(), 2)
		is.True(!b.Node.Partitioned())
	}
}

// TestAllLostKeepsTheTable checks that balancers keep the last known agents when all
// agents fail at once.
func TestAllLostKeepsTheTable(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, 2)
	for _, a := range c.Agents {
		a.Up = false
	}
	c.Run(30 * time.Second)
	for _, b := range c.Balancers {
		is.Equal(servingAgents(b), 6)
	}
}

// TestAgentsFindOtherWatchers checks that the agents of a failure domain whose
// balancers have all failed are monitored by balancers of other domains.
func TestAgentsFindOtherWatchers(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 3)
	c.Balancers[0].Up = false
	c.Run(30 * time.Second)
	for _, b := range c.Balancers[1:] {
		is.Equal(servingAgents(b), 9)
	}
}

// TestPausedBalancerHoldsThePauseAgainstNobody checks that a balancer that was
// suspended for longer than all timeouts does not declare its peers and agents dead
// when it resumes.
func TestPausedBalancerHoldsThePauseAgainstNobody(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, 3)
	c.Balancers[1].Frozen = true
	c.Run(time.Minute)
	c.Balancers[1].Frozen = false
	c.Run(20 * time.Second)
	for _, b := range c.Balancers {
		is.Equal(servingAgents(b), 9)
		is.Equal(b.Node.NoLivePeers(), false)
	}
}

func TestNewestRunOfAnIDWins(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 1)
	old := c.Agents[0]
	m := c.NewMember(string(old.Member.ID), bramleyfall.RoleAgent, "domain-0")
	m.Services = old.Member.Services
	newer := c.AddAgent(m, []bramleyfall.Endpoint{c.Balancers[0].Member.Control})
	newer.Announcer.Announce(true, 2)
	c.Run(5 * time.Second)
	for _, b := range c.Balancers {
		for _, known := range b.Node.Serving("railbook") {
			if known.ID == m.ID {
				is.Equal(known.Boot, m.Boot)
			}
		}
	}
}

// TestDepartedInstancesAreForgotten checks that the records of failed agents are
// removed after two hours, so that the membership does not grow with every instance
// that ever ran.
func TestDepartedInstancesAreForgotten(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 2)
	c.Agents[0].Up = false
	c.Agents[3].Up = false
	c.Run(30 * time.Second)
	for _, b := range c.Balancers {
		is.Equal(servingAgents(b), 4)
		is.Equal(len(b.Node.Members()), 3+6) // still listed for operators
	}
	c.Run(2*time.Hour + 5*time.Minute)
	for _, b := range c.Balancers {
		is.Equal(servingAgents(b), 4)
		is.Equal(len(b.Node.Members()), 3+4)
	}
}
