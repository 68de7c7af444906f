package main

import (
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"

	"bramleyfall.example/bramleyfall"
)

// defaultMaxLoadRatio is the default ratio of the load of an upstream to the mean load
// above which its flow filter forwards openings.
const defaultMaxLoadRatio = 1.05

// clusterScenarios maps the name of each scenario to the function that schedules its events
// at the start of the measured time.
var clusterScenarios = map[string]func(*clusterSimulation){
	"Steady":            func(*clusterSimulation) {},
	"BalancersReplaced": balancersReplaced,
	"ChangedTogether":   changedTogether,
	"ColdDomain":        coldDomain,
	"DomainOutAndBack":  domainOutAndBack,
	"PlatformAway":      platformAway,
}

var clusterScenarioNames = []string{"Steady", "BalancersReplaced", "ChangedTogether", "ColdDomain", "DomainOutAndBack", "PlatformAway"}

// trial is one run of a scenario with one deployment, router and seed.
type trial struct {
	deployment   deployment
	router       string
	scenario     string
	seed         uint64
	hints        int
	maxLoadRatio float64
	summary      string
	// answeredShares is the time series of the share of requests answered in time.
	answeredShares plotter.XYs
}

// run simulates the scenario and returns the simulation in its final state.
func (tr *trial) run() *clusterSimulation {
	sim := newClusterSimulation(tr)
	sim.startCallers()
	sim.Run(callerRampTime + 4*time.Second)
	sim.recorder.startMeasuring(sim.Now())
	bytesBefore := sim.controlBytes()
	clusterScenarios[tr.scenario](sim)
	sim.Every(time.Second, time.Second, func() bool {
		sim.recordImbalance()
		return true
	})
	sim.Run(measuredTime)
	sim.recorder.controlBytesPerSecond = float64(sim.controlBytes()-bytesBefore) / measuredTime.Seconds() / float64(len(sim.Balancers))
	tr.summarize(sim)
	return sim
}

func (si *clusterSimulation) controlBytes() uint64 {
	sum := uint64(0)
	for _, b := range si.Balancers {
		sum += b.Bytes
	}
	return sum
}

// flowTo returns a flow to the service of an upstream.
func flowTo(u *clusterUpstream) bramleyfall.Flow {
	for i, spec := range u.sim.deployment.services {
		if spec.name == u.service {
			return bramleyfall.Flow{Destination: serviceAddress(i).Endpoint, Protocol: bramleyfall.TCP}
		}
	}
	return bramleyfall.Flow{}
}

// balancersReplaced replaces all balancers one after another.
func balancersReplaced(sim *clusterSimulation) {
	for i, b := range sim.balancers {
		sim.After(time.Duration(i+1)*5*time.Second, func() {
			sim.startBalancer(fmt.Sprintf("%s-next", b.Member.ID), string(b.Member.Domain))
			sim.After(newBalancerDelay+time.Second, func() { sim.stopBalancer(b, true) })
		})
	}
}

// changedTogether drains and adds upstreams at the moment at which a balancer dies, and
// later undrains one at the moment at which another balancer dies.
func changedTogether(sim *clusterSimulation) {
	sim.After(5*time.Second, func() {
		sim.stopBalancer(sim.balancers[0], false)
		service := sim.deployment.services[0].name
		sim.setDrained(service+"-1", true)
		sim.setDrained(service+"-4", true)
		sim.startUpstream(service+"-new-1", service, sim.deployment.domains[0], false)
		sim.startUpstream(service+"-new-2", service, sim.deployment.domains[1], false)
	})
	sim.After(15*time.Second, func() {
		sim.stopBalancer(sim.balancers[2], false)
		sim.startBalancer("balancer-late", sim.deployment.domains[0])
		sim.setDrained(sim.deployment.services[0].name+"-1", false)
	})
}

// coldDomain restarts all upstreams of a failure domain at once.
func coldDomain(sim *clusterSimulation) {
	sim.After(5*time.Second, func() {
		for _, u := range sim.upstreams {
			if string(u.agent.Member.Domain) == sim.deployment.domains[0] {
				u.startProcess(sim.Now())
			}
		}
	})
}

// domainOutAndBack takes a failure domain out of service and returns it to service.
func domainOutAndBack(sim *clusterSimulation) {
	sim.After(5*time.Second, func() { sim.setDomain(sim.deployment.domains[1], bramleyfall.DomainOut) })
	sim.After(22*time.Second, func() { sim.setDomain(sim.deployment.domains[1], bramleyfall.DomainIn) })
}

// platformAway stops and starts balancers and starts an upstream while the platform is
// unavailable, so that no configuration change is possible.
func platformAway(sim *clusterSimulation) {
	sim.After(4*time.Second, func() { sim.stopBalancer(sim.balancers[1], false) })
	sim.After(8*time.Second, func() { sim.startBalancer("balancer-late", sim.deployment.domains[0]) })
	sim.After(12*time.Second, func() {
		service := sim.deployment.services[0].name
		sim.startUpstream(service+"-late", service, sim.deployment.domains[2], false)
	})
	sim.After(16*time.Second, func() { sim.stopBalancer(sim.balancers[3], true) })
}
