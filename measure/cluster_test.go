package main

import (
	"testing"

	"github.com/matryer/is"
)

// TestPlannedChangesBreakNoFlow plays what must break nothing. Seed 2 once broke
// a flow in ChangedTogether and one in PlatformAway: an upstream that one
// balancer knew and another did not yet had taken a flow.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	for _, scenario := range []string{"Steady", "BalancersReplaced", "ChangedTogether", "PlatformAway"} {
		for _, d := range deployments {
			for seed := uint64(1); seed <= 3; seed++ {
				t.Run(scenario+"/"+d.name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					tr := &trial{deployment: d, router: routerBramleyfall, scenario: scenario, seed: seed, hints: 65536, maxLoadRatio: defaultMaxLoadRatio}
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

// TestDomainOutAndBackKeepsService holds the targets of the domain measures.
func TestDomainOutAndBackKeepsService(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			is := is.New(t)
			tr := &trial{deployment: d, router: routerBramleyfall, scenario: "DomainOutAndBack", seed: 1, hints: 65536, maxLoadRatio: defaultMaxLoadRatio}
			sim := tr.run()
			is.True(sim.recorder.minAnsweredShare(sim.Now()) >= 0.99)
			is.Equal(sim.recorder.duplicatedOrders, 0)
			is.Equal(sim.recorder.wrongService, 0)
		})
	}
}

// TestOnlyOrdersOfRestartedUpstreamsAreLost plays a domain whose upstreams restart
// without warning.
func TestOnlyOrdersOfRestartedUpstreamsAreLost(t *testing.T) {
	for _, d := range deployments {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(d.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				tr := &trial{deployment: d, router: routerBramleyfall, scenario: "ColdDomain", seed: seed, hints: 65536, maxLoadRatio: defaultMaxLoadRatio}
				sim := tr.run()
				is.Equal(sim.recorder.ordersLost, sim.recorder.lostToRestart)
				is.Equal(sim.recorder.duplicatedOrders, 0)
			})
		}
	}
}

// TestSteadyStateIsBalanced holds the target of the imbalance of connections.
func TestSteadyStateIsBalanced(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			is := is.New(t)
			tr := &trial{deployment: d, router: routerBramleyfall, scenario: "Steady", seed: 1, hints: 65536, maxLoadRatio: defaultMaxLoadRatio}
			is.True(mean(tr.run().recorder.flowImbalance) <= 1.10)
		})
	}
}
