package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/etcd"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/virtual"
	"bramleyfall.example/bramleyfall/workload"
)

// The aim that the rates are scaled to.
const (
	aimChangesADay    = 11000
	aimReplacedADay   = 10000
	secondsADay       = 86400
	recordsAReplacing = 3
	// servicesWithAgents bounds the services that changes are made to, so that
	// some concern agents of small fleets.
	servicesWithAgents = 5
	// systemCall is the processor time in nanoseconds to send or receive one
	// datagram, from the bare relay of bench.
	systemCall = 4000
	// regionDelay is the one-way delay between failure domains.
	regionDelay = 5 * time.Millisecond
)

// grownFleet returns a fleet of balancers that know each other, as after a long
// run, with agents that announce themselves.
func grownFleet(balancers, agents int, seed uint64) *virtual.Cluster {
	f := virtual.NewCluster(virtual.NewScheduler(workload.Epoch), seed)
	f.MeasureCPU = true
	f.Delay = func(_, _ bramleyfall.DomainName) (time.Duration, bool) { return regionDelay, true }
	members := make([]*bramleyfall.Member, balancers)
	for i := range members {
		m := f.NewMember(fmt.Sprintf("balancer-%d", i), bramleyfall.RoleBalancer, virtual.DomainName(i%workload.Domains))
		members[i] = &m
	}
	for _, m := range members {
		f.AddBalancer(*m, nil, members)
	}
	for i := range agents {
		addAgent(f, i, 0)
	}
	return f
}

func addAgent(f *virtual.Cluster, n, generation int) *virtual.Agent {
	m := f.NewMember(fmt.Sprintf("service-%d-%d", n/4, n), bramleyfall.RoleAgent, virtual.DomainName(n%workload.Domains))
	m.Services = []bramleyfall.ServiceName{bramleyfall.ServiceName(fmt.Sprintf("service-%d", n/4))}
	b := f.Balancers[(n+generation*7)%len(f.Balancers)]
	a := f.AddAgent(m, []bramleyfall.Endpoint{b.Member.Control})
	a.Announcer.Announce(true, m.Boot)
	return a
}

func serviceChange(r bramleyfall.Revision, n int, at time.Time) bramleyfall.Change {
	value, err := json.Marshal(bramleyfall.Service{
		Name: bramleyfall.ServiceName(fmt.Sprintf("service-%d", n)), Addresses: []bramleyfall.ServiceAddress{workload.ServiceAddress(n)},
		Allowed: []string{fmt.Sprintf("service-%d-*", n)},
	})
	if err != nil {
		panic(err)
	}
	return bramleyfall.Change{
		Revision: r, ID: bramleyfall.ChangeID(fmt.Sprintf("c-%012d", r)), Key: configuration.ServiceKey(bramleyfall.ServiceName(fmt.Sprintf("service-%d", n))),
		Value: value, Actor: "operator", At: at,
	}
}

// rates are how often configuration and membership change.
type rates struct {
	changesADay      float64
	recordsPerSecond float64
}

// aimRates are the rates of the aim for a fleet of the given size.
func aimRates(balancers int) rates {
	scale := float64(balancers) / workload.Balancers
	return rates{changesADay: aimChangesADay, recordsPerSecond: aimReplacedADay * recordsAReplacing * scale / secondsADay}
}

// churn lets changes be accepted and instances be replaced. Replacements show
// as records at random balancers, as their watchers would learn of them. It
// returns the newest revision.
func churn(f *virtual.Cluster, r rates) *bramleyfall.Revision {
	revision := new(bramleyfall.Revision)
	if r.changesADay > 0 {
		f.Every(time.Second, time.Duration(float64(secondsADay*time.Second)/r.changesADay), func() bool {
			*revision++
			c := serviceChange(*revision, int(*revision)%servicesWithAgents, f.Now())
			for i := range min(3*workload.Domains, len(f.Balancers)) {
				if err := f.ApplyChange(f.Balancers[i], c); err != nil {
					panic(err)
				}
			}
			return true
		})
	}
	if r.recordsPerSecond > 0 {
		n := 0
		f.Every(time.Second, time.Duration(float64(time.Second)/r.recordsPerSecond), func() bool {
			n++
			m := f.NewMember(fmt.Sprintf("replaced-%d", n), bramleyfall.RoleAgent, virtual.DomainName(n%workload.Domains))
			m.Services = []bramleyfall.ServiceName{"service-1"}
			f.Balancers[n%len(f.Balancers)].Node.ApplyMember(m)
			return true
		})
	}
	return revision
}

// churnRates measures what balancers spend against how often configuration and
// membership change.
func churnRates(t *table) {
	const balancers, measured = 100, 60 * time.Second
	measure := func(against string, x float64, r rates) {
		f := grownFleet(balancers, 0, 7)
		churn(f, r)
		f.Run(5 * time.Second)
		costOf(f, time.Second)
		f.Run(measured)
		t.addCost("Balancer", against, x, costOf(f, measured))
	}
	for _, changes := range []float64{1000, 11000, 44000, 110000} {
		measure("ConfigurationChangesADay", changes, rates{changesADay: changes})
	}
	for _, records := range []float64{0.1, 0.35, 1, 3} {
		measure("MembershipChangesPerSecond", records, rates{recordsPerSecond: records})
	}
}

// cost is what a balancer spends for control a second.
type cost struct {
	bytes, messages, core float64
}

func costOf(f *virtual.Cluster, d time.Duration) cost {
	var bytes, messages uint64
	var busy time.Duration
	for _, b := range f.Balancers {
		bytes += b.Bytes
		messages += b.Messages
		busy += b.CPUTime
		b.Bytes, b.Messages, b.CPUTime = 0, 0, 0
	}
	n := float64(len(f.Balancers)) * d.Seconds()
	c := cost{bytes: float64(bytes) / n, messages: float64(messages) / n}
	nanoseconds := float64(busy.Nanoseconds())/n + c.messages*(datagramCost/2+systemCall)
	c.core = 100 * nanoseconds / float64(time.Second)
	return c
}

func (t *table) addCost(role, against string, x float64, c cost) {
	t.add(role, against, x, "ControlBytesPerSecond", c.bytes)
	t.add(role, against, x, "MessagesPerSecond", c.messages)
	t.add(role, against, x, "CorePercent", c.core)
}

// fleetSizes measures what balancers spend on each other against their number,
// with configuration and membership changing at the rates of the aim, and how
// long a change takes to be in force.
func fleetSizes(t *table, largest int) {
	const measured = 20 * time.Second
	for _, size := range []int{3, 30, 100, 300, 1000, 3600} {
		if size > largest {
			continue
		}
		f := grownFleet(size, 0, 1)
		churn(f, aimRates(size))
		f.Run(5 * time.Second)
		costOf(f, time.Second)
		f.Run(measured)
		t.addCost("Balancer", "Instances", float64(size), costOf(f, measured))
		t.add("Balancer", "Instances", float64(size), "InForceSeconds", inForce(f, 1_000_000).Seconds())
	}
}

// inForce has a change accepted and returns the time until all have it. The
// change skips to a revision of its own by a snapshot.
func inForce(f *virtual.Cluster, revision bramleyfall.Revision) time.Duration {
	const step, most = 20 * time.Millisecond, time.Minute
	for _, b := range f.Balancers {
		b.Node.ApplySnapshot(nil, revision-1)
	}
	start := f.Now()
	change := serviceChange(revision, 1, start)
	for i := range min(3*workload.Domains, len(f.Balancers)) {
		if err := f.ApplyChange(f.Balancers[i], change); err != nil {
			panic(err)
		}
	}
	for f.Now().Sub(start) < most {
		f.Run(step)
		if f.CountLagging(change) == 0 {
			break
		}
	}
	return f.Now().Sub(start)
}

// heartbeats measures what watched agents cost a balancer, and an agent.
func heartbeats(t *table) {
	const balancers, measured = 21, 30 * time.Second
	for _, agents := range []int{21, 84, 182, 364} {
		f := grownFleet(balancers, agents, 2)
		f.Run(time.Minute)
		costOf(f, time.Second)
		for _, a := range f.Agents {
			a.Bytes, a.Messages = 0, 0
		}
		f.Run(measured)
		watched := 3 * float64(agents) / balancers
		t.addCost("Balancer", "WatchedAgents", watched, costOf(f, measured))
		bytes, messages := 0.0, 0.0
		for _, a := range f.Agents {
			bytes += float64(a.Bytes)
			messages += float64(a.Messages)
		}
		n := float64(agents) * measured.Seconds()
		t.add("Agent", "WatchedAgents", watched, "ControlBytesPerSecond", bytes/n)
		t.add("Agent", "WatchedAgents", watched, "MessagesPerSecond", messages/n)
		t.add("Agent", "WatchedAgents", watched, "InForceSeconds", inForce(f, 1_000_000).Seconds())
	}
}

// losses measures how long a change takes against the share of datagrams that
// is lost between failure domains.
func losses(t *table) {
	for _, percent := range []int{0, 10, 20, 40} {
		f := grownFleet(300, 0, 3)
		n := 0
		f.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
			n++
			return regionDelay, from == to || n%100 >= percent
		}
		f.Run(5 * time.Second)
		t.add("Balancer", "LossPercent", float64(percent), "InForceSeconds", inForce(f, 1_000_000).Seconds())
	}
}

// regionCut cuts two regions for an hour, while changes are accepted on one
// side and instances are replaced on both, and measures the recovery.
func regionCut(t *table) {
	const east = 4
	region := make(map[bramleyfall.DomainName]bool)
	for d := range workload.Domains {
		region[virtual.DomainName(d)] = d < east
	}
	for _, size := range []int{14, 35, 70} {
		f := grownFleet(size, 0, 4)
		f.MeasureCPU = false
		revision := churn(f, aimRates(size))
		f.Run(10 * time.Second)
		whole := f.Delay
		f.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
			return regionDelay, region[from] == region[to]
		}
		f.Run(time.Hour)
		f.Delay = whole
		costOf(f, time.Second)
		start := f.Now()
		var routable time.Duration
		for f.Now().Sub(start) < 5*time.Minute && !recovered(f, *revision) {
			f.Run(500 * time.Millisecond)
			if routable == 0 && !anyDomainLost(f) {
				routable = f.Now().Sub(start)
			}
		}
		took := f.Now().Sub(start)
		t.add("Balancer", "InstancesAfterAnHourCut", float64(size), "RecoverySeconds", took.Seconds())
		t.add("Balancer", "InstancesAfterAnHourCut", float64(size), "RoutableSeconds", routable.Seconds())
		t.add("Balancer", "InstancesAfterAnHourCut", float64(size), "ControlBytesPerSecond", costOf(f, took).bytes)
	}
}

// recovered reports whether all balancers call each other live and have the
// revision.
func recovered(f *virtual.Cluster, revision bramleyfall.Revision) bool {
	for _, b := range f.Balancers {
		if b.Node.State().Revision() < revision {
			return false
		}
		if b.Node.LiveBalancerCount() < len(f.Balancers) {
			return false
		}
	}
	return true
}

// anyDomainLost reports whether a balancer misses all balancers of a failure
// domain.
func anyDomainLost(f *virtual.Cluster) bool {
	for _, b := range f.Balancers {
		if b.Node.LostDomains() > 0 {
			return true
		}
	}
	return false
}

// catchUp measures the bytes of a pull from the point where two instances part
// against those of a whole snapshot.
func catchUp(t *table) {
	f := grownFleet(1, 0, 5)
	node := f.Balancers[0].Node
	const services = 7700
	for r := range bramleyfall.Revision(services) {
		if err := node.ApplyChange(serviceChange(r+1, int(r), workload.Epoch)); err != nil {
			panic(err)
		}
	}
	size := func(behind uint64) float64 {
		return float64(proto.Size(node.HandlePull(&peerpb.PullRequest{Revision: services - behind})))
	}
	for _, behind := range []uint64{1, 10, 100, 458, 1000} {
		t.add("Balancer", "ChangesBehind", float64(behind), "PullBytes", size(behind))
	}
	t.add("Balancer", "Services", services, "SnapshotBytes", size(services))
	memberPulls(t)
}

// memberCounts are the sizes of memberships that are measured.
var memberCounts = []int{1000, 10000, workload.Balancers + workload.Upstreams}

func manyMembers(f *virtual.Cluster, count int) []*bramleyfall.Member {
	var known []*bramleyfall.Member
	for i := range count {
		m := f.NewMember(fmt.Sprintf("service-%d-%d", i/4, i), bramleyfall.RoleAgent, virtual.DomainName(i%workload.Domains))
		m.Services = []bramleyfall.ServiceName{bramleyfall.ServiceName(fmt.Sprintf("service-%d", i/4))}
		known = append(known, &m)
	}
	return known
}

// memberMemory measures the memory of a balancer's membership.
func memberMemory(t *table) {
	for _, members := range memberCounts {
		f := grownFleet(1, 0, 5)
		before := workload.HeapBytes()
		f.Balancers[0].Node.PreloadMembers(manyMembers(f, members))
		t.add("Balancer", "Members", float64(members), "Bytes", float64(workload.HeapBytes()-before))
		runtime.KeepAlive(f)
	}
}

// configurationMemory measures the memory of a balancer's configuration.
func configurationMemory(t *table) {
	for _, services := range []int{100, 1000, 7700} {
		before := workload.HeapBytes()
		state := configuration.New()
		for n := range services {
			if _, err := state.Apply(serviceChange(bramleyfall.Revision(n+1), n, workload.Epoch)); err != nil {
				panic(err)
			}
		}
		t.add("Balancer", "Services", float64(services), "ConfigurationBytes", float64(workload.HeapBytes()-before))
		runtime.KeepAlive(state)
	}
}

// memberPulls measures the bytes of a pull of membership against its size, where
// one record differs and where all are asked for.
func memberPulls(t *table) {
	for _, members := range memberCounts {
		f := grownFleet(2, 0, 5)
		a, b := f.Balancers[0].Node, f.Balancers[1].Node
		known := manyMembers(f, members)
		a.PreloadMembers(known)
		b.PreloadMembers(known[1:])
		all := proto.Size(a.HandlePull(&peerpb.PullRequest{Members: true}))
		request := b.MembershipPullRequest(f.Balancers[0].Member.Control)
		differing := proto.Size(request) + proto.Size(a.HandlePull(request))
		t.add("Balancer", "Members", float64(members), "PullBytesOfAll", float64(all))
		t.add("Balancer", "Members", float64(members), "PullBytesOfOneRecord", float64(differing))
	}
}

// platformLoad counts the readers of the platform against the fleet's size and
// the calls that they make.
func platformLoad(t *table) {
	for _, size := range []int{3, 30, 300, 3600} {
		f := virtual.NewCluster(virtual.NewScheduler(workload.Epoch), 6)
		members := make([]*bramleyfall.Member, size)
		for i := range members {
			m := f.NewMember(fmt.Sprintf("balancer-%d", i), bramleyfall.RoleBalancer, virtual.DomainName(i%workload.Domains))
			members[i] = &m
		}
		readers := 0
		for _, m := range members {
			node := peer.NewNode(*m, configuration.New(), workload.Epoch)
			node.PreloadMembers(members)
			if node.IsReader(etcd.ReadersPerDomain) {
				readers++
			}
		}
		renewals := float64(readers) / (etcd.ContactTTL / 3).Seconds()
		// A reader holds one watch, which waits and counts as one call, and with
		// each renewal of its lease reads the contact points.
		t.add("Platform", "Instances", float64(size), "Watches", float64(readers))
		t.add("Platform", "Instances", float64(size), "PlatformReadsPerSecond", renewals)
		t.add("Platform", "Instances", float64(size), "PlatformWritesPerSecond", renewals+aimChangesADay/float64(secondsADay))
	}
}
