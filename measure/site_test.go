package main

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// minShareOfOmniscient is the minimum ratio of the mean score to the mean score of an
// omniscient router in the same scenarios.
const minShareOfOmniscient = 0.9

// minClassShare is the minimum ratio of the credit share of each class to that of all
// requests.
const minClassShare = 0.95

// TestDays simulates scenarios in which all balancers and agents stop, or all power is
// lost. Afterwards all callers reconnect at the same time, after a power loss to cold
// upstreams.
func TestDays(t *testing.T) {
	for i := range sites {
		site := &sites[i]
		if site.Callers > siteCallers {
			continue // too long for a test
		}
		t.Run(site.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var scores, boundScores []float64
			for _, scenario := range siteScenarios() {
				if scenario.Site != site {
					continue
				}
				sim := (&variant{Router: siteRouterDirect}).run(&scenario, 1)
				bound := (&variant{Router: siteRouterOmniscient, Insight: ageSinceIssue}).run(&scenario, 1)
				t.Logf("%s: score %.3f, omniscient %.3f", scenario.Name, sim.recorder.score(), bound.recorder.score())
				scores, boundScores = append(scores, sim.recorder.score()), append(boundScores, bound.recorder.score())
				is.Equal(sim.recorder.duplicatedOrders, 0)
				for n := range sim.recorder.classes {
					is.True(sim.recorder.classes[n].share() >= minClassShare*sim.recorder.overall.share())
				}
			}
			is.True(mean(scores) >= minShareOfOmniscient*mean(boundScores))
		})
	}
}

// TestColdQueue checks that the mechanism ColdQueue improves the score after a power
// loss: all callers reconnect at the same time, and requests that are queued for long at
// a cold upstream are answered late.
func TestColdQueue(t *testing.T) {
	t.Parallel()
	var with, without []float64
	for _, scenario := range siteScenarios() {
		if scenario.Site != &sites[0] || !scenario.PowerLoss {
			continue
		}
		for seed := uint64(1); seed <= 3; seed++ {
			with = append(with, (&variant{Router: siteRouterDirect}).run(&scenario, seed).recorder.score())
			without = append(without, (&variant{Router: siteRouterDirect, Off: []string{"ColdQueue"}}).run(&scenario, seed).recorder.score())
		}
	}
	t.Logf("score %.4f, without ColdQueue %.4f", mean(with), mean(without))
	if mean(with) <= mean(without) {
		t.Errorf("score %.4f is not higher than %.4f without ColdQueue", mean(with), mean(without))
	}
}

// TestExperimentIsChecked checks that invalid settings files are rejected.
func TestExperimentIsChecked(t *testing.T) {
	direct := variant{Name: "AsIs", Router: siteRouterDirect}
	tests := []struct {
		name string
		e    experiment
		ok   bool
	}{
		{"valid settings", experiment{Seeds: 1, Variants: []variant{direct}}, true},
		{"no seed", experiment{Variants: []variant{direct}}, false},
		{"no variant", experiment{Seeds: 1}, false},
		{"unknown router", experiment{Seeds: 1, Variants: []variant{{Router: "Random"}}}, false},
		{"unknown mechanism", experiment{Seeds: 1, Variants: []variant{{Router: siteRouterDirect, Off: []string{"Luck"}}}}, false},
		{"unknown insight", experiment{Seeds: 1, Variants: []variant{{Router: siteRouterOmniscient}}}, false},
		{"unknown day", experiment{Seeds: 1, Variants: []variant{direct}, Days: []string{"Doomsday"}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := test.e.check(); (err == nil) != test.ok {
				t.Error(fmt.Sprint(err))
			}
		})
	}
}
