package main

import (
	"testing"

	"github.com/matryer/is"
)

// TestPlannedChangesBreakNoFlow simulates scenarios that must not break a flow. With
// seed 2, a flow used to break in ChangedTogether and another in PlatformAway: an
// upstream that one balancer already knew and another did not know yet had accepted a
// flow.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	for _, scenario := range []string{"Steady", "BalancersReplaced", "ChangedTogether", "PlatformAway"} {
		for _, d := range deployments {
			for seed := uint64(1); seed <= 3; seed++ {
				t.Run(scenario+"/"+d.name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					tr := &trial{deployment: d, router: clusterRouterBramleyfall, scenario: scenario, seed: seed, hints: 65536, maxLoadRatio: defaultMaxLoadRatio}
					sim := tr.run()
					is.Equal(sim.recorder.brokenFlows, 0)
					is.Equal(sim.recorder.ordersLost, 0)
					is.Equal(sim.recorder.duplicatedOrders, 0)
					is.Equal(sim.recorder.wrongService, 0)
				})
			}
		}
	}
}

// TestDomainOutAndBackKeepsService checks the targets for taking a failure domain out of
// service and returning it: 99% of the requests of each second are answered in time, no
// order is duplicated and no packet reaches the wrong service.
func TestDomainOutAndBackKeepsService(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			is := is.New(t)
			tr := &trial{deployment: d, router: clusterRouterBramleyfall, scenario: "DomainOutAndBack", seed: 1, hints: 65536, maxLoadRatio: defaultMaxLoadRatio}
			sim := tr.run()
			is.True(sim.recorder.minAnsweredShare(sim.Now()) >= 0.99)
			is.Equal(sim.recorder.duplicatedOrders, 0)
			is.Equal(sim.recorder.wrongService, 0)
		})
	}
}

// TestOnlyOrdersOfRestartedUpstreamsAreLost restarts all upstreams of a failure domain
// without warning. Only orders that were outstanding at these upstreams may be lost.
func TestOnlyOrdersOfRestartedUpstreamsAreLost(t *testing.T) {
	for _, d := range deployments {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(d.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				tr := &trial{deployment: d, router: clusterRouterBramleyfall, scenario: "ColdDomain", seed: seed, hints: 65536, maxLoadRatio: defaultMaxLoadRatio}
				sim := tr.run()
				is.Equal(sim.recorder.ordersLost, sim.recorder.lostToRestart)
				is.Equal(sim.recorder.duplicatedOrders, 0)
			})
		}
	}
}

// TestSteadyStateIsBalanced checks the target for the imbalance of open flows.
func TestSteadyStateIsBalanced(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			is := is.New(t)
			tr := &trial{deployment: d, router: clusterRouterBramleyfall, scenario: "Steady", seed: 1, hints: 65536, maxLoadRatio: defaultMaxLoadRatio}
			is.True(mean(tr.run().recorder.flowImbalance) <= 1.10)
		})
	}
}
