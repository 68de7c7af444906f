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

const (
	// targetChangesPerDay is the number of configuration changes in the target
	// deployment.
	targetChangesPerDay = 11000
	// targetReplacementsPerDay is the number of instances that are replaced in the
	// target deployment. Smaller clusters replace proportionally fewer.
	targetReplacementsPerDay = 10000
	secondsPerDay            = 86400
	// recordsPerReplacement is the number of member records that the replacement of an
	// instance adds or changes.
	recordsPerReplacement = 3
	// changedServices is the number of services that are changed. It is small so that
	// some of the changes affect agents of small clusters.
	changedServices = 5
	// syscallNanoseconds is the processor time of the system call that sends or
	// receives one datagram. The value comes from the bare relay of program bench.
	syscallNanoseconds = 4000
	// domainDelay is the one-way delay between failure domains.
	domainDelay = 5 * time.Millisecond
)

// newCluster returns a cluster whose balancers know each other from the start, as
// after a long uptime, with agents that announce themselves.
func newCluster(balancers, agents int, seed uint64) *virtual.Cluster {
	cluster := virtual.NewCluster(virtual.NewScheduler(workload.Epoch), seed)
	cluster.MeasureCPU = true
	cluster.Delay = func(_, _ bramleyfall.DomainName) (time.Duration, bool) { return domainDelay, true }
	members := make([]*bramleyfall.Member, balancers)
	for i := range members {
		m := cluster.NewMember(fmt.Sprintf("balancer-%d", i), bramleyfall.RoleBalancer, virtual.DomainName(i%workload.Domains))
		members[i] = &m
	}
	for _, m := range members {
		cluster.AddBalancer(*m, nil, members)
	}
	for i := range agents {
		addAgent(cluster, i, 0)
	}
	return cluster
}

// addAgent starts the n-th agent. Each service has four agents.
func addAgent(cluster *virtual.Cluster, n, generation int) *virtual.Agent {
	m := cluster.NewMember(fmt.Sprintf("service-%d-%d", n/4, n), bramleyfall.RoleAgent, virtual.DomainName(n%workload.Domains))
	m.Services = []bramleyfall.ServiceName{bramleyfall.ServiceName(fmt.Sprintf("service-%d", n/4))}
	b := cluster.Balancers[(n+generation*7)%len(cluster.Balancers)]
	a := cluster.AddAgent(m, []bramleyfall.Endpoint{b.Member.Control})
	a.Announcer.Announce(true, m.Boot)
	return a
}

// serviceChange returns a change of the n-th service.
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

// changeRates are the rates of configuration changes and of member records that
// appear.
type changeRates struct {
	changesPerDay    float64
	recordsPerSecond float64
}

// targetRates returns the rates of the target deployment, with that of the member
// records scaled to the number of balancers.
func targetRates(balancers int) changeRates {
	scale := float64(balancers) / workload.Balancers
	return changeRates{changesPerDay: targetChangesPerDay, recordsPerSecond: targetReplacementsPerDay * recordsPerReplacement * scale / secondsPerDay}
}

// churn keeps changing configuration and membership at the given rates while the
// cluster runs. Each new member record appears at a different balancer, as if that
// balancer monitored the new instance. The result points to the revision of the
// latest change.
func churn(cluster *virtual.Cluster, r changeRates) *bramleyfall.Revision {
	revision := new(bramleyfall.Revision)
	if r.changesPerDay > 0 {
		cluster.Every(time.Second, time.Duration(float64(secondsPerDay*time.Second)/r.changesPerDay), func() bool {
			*revision++
			change := serviceChange(*revision, int(*revision)%changedServices, cluster.Now())
			for i := range min(3*workload.Domains, len(cluster.Balancers)) {
				if err := cluster.ApplyChange(cluster.Balancers[i], change); err != nil {
					panic(err)
				}
			}
			return true
		})
	}
	if r.recordsPerSecond > 0 {
		n := 0
		cluster.Every(time.Second, time.Duration(float64(time.Second)/r.recordsPerSecond), func() bool {
			n++
			m := cluster.NewMember(fmt.Sprintf("replaced-%d", n), bramleyfall.RoleAgent, virtual.DomainName(n%workload.Domains))
			m.Services = []bramleyfall.ServiceName{"service-1"}
			cluster.Balancers[n%len(cluster.Balancers)].Node.ApplyMember(m)
			return true
		})
	}
	return revision
}

// churnCosts measures the cost of a balancer as a function of the rates of
// configuration changes and membership changes.
func churnCosts(curves *curveSet) {
	const balancers, measured = 100, 60 * time.Second
	measure := func(against string, x float64, r changeRates) {
		cluster := newCluster(balancers, 0, 7)
		churn(cluster, r)
		cluster.Run(5 * time.Second)
		takeCost(cluster, time.Second)
		cluster.Run(measured)
		curves.addCost("Balancer", against, x, takeCost(cluster, measured))
	}
	for _, changes := range []float64{1000, 11000, 44000, 110000} {
		measure("ConfigurationChangesADay", changes, changeRates{changesPerDay: changes})
	}
	for _, records := range []float64{0.1, 0.35, 1, 3} {
		measure("MembershipChangesPerSecond", records, changeRates{recordsPerSecond: records})
	}
}

// cost is the mean cost of the control protocol for one balancer.
type cost struct {
	bytesPerSecond, messagesPerSecond float64
	// corePercent is the processor load in percent of one core.
	corePercent float64
}

// takeCost returns the cost of the last d, and resets the counters that it is computed
// from.
func takeCost(cluster *virtual.Cluster, d time.Duration) cost {
	var bytes, messages uint64
	var cpuTime time.Duration
	for _, b := range cluster.Balancers {
		bytes += b.Bytes
		messages += b.Messages
		cpuTime += b.CPUTime
		b.Bytes, b.Messages, b.CPUTime = 0, 0, 0
	}
	n := float64(len(cluster.Balancers)) * d.Seconds()
	c := cost{bytesPerSecond: float64(bytes) / n, messagesPerSecond: float64(messages) / n}
	// Each datagram is counted at its sender and at its receiver, and each of them does
	// half of the coding.
	nanoseconds := float64(cpuTime.Nanoseconds())/n + c.messagesPerSecond*(datagramNanoseconds/2+syscallNanoseconds)
	c.corePercent = 100 * nanoseconds / float64(time.Second)
	return c
}

func (c *curveSet) addCost(role, against string, x float64, perBalancer cost) {
	c.add(role, against, x, "ControlBytesPerSecond", perBalancer.bytesPerSecond)
	c.add(role, against, x, "MessagesPerSecond", perBalancer.messagesPerSecond)
	c.add(role, against, x, "CorePercent", perBalancer.corePercent)
}

// clusterSizes measures the cost of a balancer and the time until a change is in force
// as functions of the number of balancers. Configuration and membership change at the
// rates of the target deployment. There are no agents.
func clusterSizes(curves *curveSet, largest int) {
	const measured = 20 * time.Second
	for _, size := range []int{3, 30, 100, 300, 1000, 3600} {
		if size > largest {
			continue
		}
		cluster := newCluster(size, 0, 1)
		churn(cluster, targetRates(size))
		cluster.Run(5 * time.Second)
		takeCost(cluster, time.Second)
		cluster.Run(measured)
		curves.addCost("Balancer", "Instances", float64(size), takeCost(cluster, measured))
		curves.add("Balancer", "Instances", float64(size), "InForceSeconds", timeToInForce(cluster, 1_000_000).Seconds())
	}
}

// timeToInForce applies a change and returns the time until all instances have it, at
// most a minute. It first applies an empty snapshot that brings all balancers to the
// preceding revision, so that the revision can be ahead of those of earlier changes.
func timeToInForce(cluster *virtual.Cluster, revision bramleyfall.Revision) time.Duration {
	const step, timeout = 20 * time.Millisecond, time.Minute
	for _, b := range cluster.Balancers {
		b.Node.ApplySnapshot(nil, revision-1)
	}
	start := cluster.Now()
	change := serviceChange(revision, 1, start)
	for i := range min(3*workload.Domains, len(cluster.Balancers)) {
		if err := cluster.ApplyChange(cluster.Balancers[i], change); err != nil {
			panic(err)
		}
	}
	for cluster.Now().Sub(start) < timeout {
		cluster.Run(step)
		if cluster.CountLagging(change) == 0 {
			break
		}
	}
	return cluster.Now().Sub(start)
}

// heartbeatCosts measures the cost of heartbeats for balancers and agents as a
// function of the number of agents that a balancer monitors.
func heartbeatCosts(curves *curveSet) {
	const balancers, measured = 21, 30 * time.Second
	for _, agents := range []int{21, 84, 182, 364} {
		cluster := newCluster(balancers, agents, 2)
		cluster.Run(time.Minute)
		takeCost(cluster, time.Second)
		for _, a := range cluster.Agents {
			a.Bytes, a.Messages = 0, 0
		}
		cluster.Run(measured)
		monitored := 3 * float64(agents) / balancers // three balancers monitor each agent
		curves.addCost("Balancer", "WatchedAgents", monitored, takeCost(cluster, measured))
		bytes, messages := 0.0, 0.0
		for _, a := range cluster.Agents {
			bytes += float64(a.Bytes)
			messages += float64(a.Messages)
		}
		n := float64(agents) * measured.Seconds()
		curves.add("Agent", "WatchedAgents", monitored, "ControlBytesPerSecond", bytes/n)
		curves.add("Agent", "WatchedAgents", monitored, "MessagesPerSecond", messages/n)
		curves.add("Agent", "WatchedAgents", monitored, "InForceSeconds", timeToInForce(cluster, 1_000_000).Seconds())
	}
}

// datagramLoss measures the time until a change is in force as a function of the
// percentage of datagrams that are lost between failure domains.
func datagramLoss(curves *curveSet) {
	for _, percent := range []int{0, 10, 20, 40} {
		cluster := newCluster(300, 0, 3)
		n := 0
		cluster.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
			n++
			return domainDelay, from == to || n%100 >= percent
		}
		cluster.Run(5 * time.Second)
		curves.add("Balancer", "LossPercent", float64(percent), "InForceSeconds", timeToInForce(cluster, 1_000_000).Seconds())
	}
}

// regionPartition measures the recovery after a partition of the network into two
// regions that lasts for an hour, while configuration changes are accepted and
// instances are replaced.
func regionPartition(curves *curveSet) {
	const eastDomains = 4
	inEast := make(map[bramleyfall.DomainName]bool)
	for d := range workload.Domains {
		inEast[virtual.DomainName(d)] = d < eastDomains
	}
	for _, size := range []int{14, 35, 70} {
		cluster := newCluster(size, 0, 4)
		cluster.MeasureCPU = false
		revision := churn(cluster, targetRates(size))
		cluster.Run(10 * time.Second)
		connected := cluster.Delay
		cluster.Delay = func(from, to bramleyfall.DomainName) (time.Duration, bool) {
			return domainDelay, inEast[from] == inEast[to]
		}
		cluster.Run(time.Hour)
		cluster.Delay = connected
		takeCost(cluster, time.Second)
		start := cluster.Now()
		var routable time.Duration
		for cluster.Now().Sub(start) < 5*time.Minute && !recovered(cluster, *revision) {
			cluster.Run(500 * time.Millisecond)
			if routable == 0 && !anyDomainLost(cluster) {
				routable = cluster.Now().Sub(start)
			}
		}
		took := cluster.Now().Sub(start)
		curves.add("Balancer", "InstancesAfterAnHourCut", float64(size), "RecoverySeconds", took.Seconds())
		curves.add("Balancer", "InstancesAfterAnHourCut", float64(size), "RoutableSeconds", routable.Seconds())
		curves.add("Balancer", "InstancesAfterAnHourCut", float64(size), "ControlBytesPerSecond", takeCost(cluster, took).bytesPerSecond)
	}
}

// recovered reports whether each balancer considers all balancers live and has at
// least the given revision.
func recovered(cluster *virtual.Cluster, revision bramleyfall.Revision) bool {
	for _, b := range cluster.Balancers {
		if b.Node.State().Revision() < revision {
			return false
		}
		if b.Node.LiveBalancerCount() < len(cluster.Balancers) {
			return false
		}
	}
	return true
}

// anyDomainLost reports whether any balancer considers all balancers of some failure
// domain lost.
func anyDomainLost(cluster *virtual.Cluster) bool {
	for _, b := range cluster.Balancers {
		if b.Node.LostDomains() > 0 {
			return true
		}
	}
	return false
}

// pullSizes measures the size of the reply to a pull as a function of the number of
// changes that the requester lacks, in comparison to a snapshot of the whole
// configuration.
func pullSizes(curves *curveSet) {
	cluster := newCluster(1, 0, 5)
	node := cluster.Balancers[0].Node
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
		curves.add("Balancer", "ChangesBehind", float64(behind), "PullBytes", size(behind))
	}
	curves.add("Balancer", "Services", services, "SnapshotBytes", size(services))
	memberPullSizes(curves)
}

// memberCounts are the numbers of member records for the measurements of memory and
// pulls.
var memberCounts = []int{1000, 10000, workload.Balancers + workload.Upstreams}

// newMembers returns the records of count agents.
func newMembers(cluster *virtual.Cluster, count int) []*bramleyfall.Member {
	var known []*bramleyfall.Member
	for i := range count {
		m := cluster.NewMember(fmt.Sprintf("service-%d-%d", i/4, i), bramleyfall.RoleAgent, virtual.DomainName(i%workload.Domains))
		m.Services = []bramleyfall.ServiceName{bramleyfall.ServiceName(fmt.Sprintf("service-%d", i/4))}
		known = append(known, &m)
	}
	return known
}

// memberMemory measures the heap size of a balancer's membership.
func memberMemory(curves *curveSet) {
	for _, members := range memberCounts {
		cluster := newCluster(1, 0, 5)
		before := workload.HeapBytes()
		cluster.Balancers[0].Node.PreloadMembers(newMembers(cluster, members))
		curves.add("Balancer", "Members", float64(members), "Bytes", float64(workload.HeapBytes()-before))
		runtime.KeepAlive(cluster)
	}
}

// configurationMemory measures the heap size of a balancer's configuration.
func configurationMemory(curves *curveSet) {
	for _, services := range []int{100, 1000, 7700} {
		before := workload.HeapBytes()
		state := configuration.New()
		for n := range services {
			if _, err := state.Apply(serviceChange(bramleyfall.Revision(n+1), n, workload.Epoch)); err != nil {
				panic(err)
			}
		}
		curves.add("Balancer", "Services", float64(services), "ConfigurationBytes", float64(workload.HeapBytes()-before))
		runtime.KeepAlive(state)
	}
}

// memberPullSizes measures the size of a pull of the membership as a function of the
// number of records, when one record differs and when all records are requested.
func memberPullSizes(curves *curveSet) {
	for _, members := range memberCounts {
		cluster := newCluster(2, 0, 5)
		a, b := cluster.Balancers[0].Node, cluster.Balancers[1].Node
		known := newMembers(cluster, members)
		a.PreloadMembers(known)
		b.PreloadMembers(known[1:])
		all := proto.Size(a.HandlePull(&peerpb.PullRequest{Members: true}))
		request := b.MembershipPullRequest(cluster.Balancers[0].Member.Control)
		differing := proto.Size(request) + proto.Size(a.HandlePull(request))
		curves.add("Balancer", "Members", float64(members), "PullBytesOfAll", float64(all))
		curves.add("Balancer", "Members", float64(members), "PullBytesOfOneRecord", float64(differing))
	}
}

// platformLoad computes the number of balancers that watch the platform and the rates
// of their calls as functions of the number of balancers.
func platformLoad(curves *curveSet) {
	for _, size := range []int{3, 30, 300, 3600} {
		cluster := virtual.NewCluster(virtual.NewScheduler(workload.Epoch), 6)
		members := make([]*bramleyfall.Member, size)
		for i := range members {
			m := cluster.NewMember(fmt.Sprintf("balancer-%d", i), bramleyfall.RoleBalancer, virtual.DomainName(i%workload.Domains))
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
		// A reader keeps one watch open, which blocks and counts as a single call. Each
		// time it renews its lease, it also reads the contacts.
		curves.add("Platform", "Instances", float64(size), "Watches", float64(readers))
		curves.add("Platform", "Instances", float64(size), "PlatformReadsPerSecond", renewals)
		curves.add("Platform", "Instances", float64(size), "PlatformWritesPerSecond", renewals+targetChangesPerDay/float64(secondsPerDay))
	}
}
