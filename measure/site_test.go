package main

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// omniscientAim is the share of the service under an omniscient router that callers
// are to get on the same day.
const minShareOfOmniscient = 0.9

// classAim is the least share of a class of the whole day's service.
const minClassShare = 0.95

// TestDays plays days that end with the loss of all processes or of all power,
// after which all callers come back at the same moment, to cold upstreams.
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
				sim := (&variant{Router: routerDirect}).run(&scenario, 1)
				bound := (&variant{Router: routerOmniscient, Insight: ageSinceIssue}).run(&scenario, 1)
				t.Logf("%s: %.3f of %.3f", scenario.Name, sim.recorder.score(), bound.recorder.score())
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

// TestColdQueue plays the return after a loss of power: all callers come back at the
// same moment, and what waits long at a cold upstream is late.
func TestColdQueue(t *testing.T) {
	t.Parallel()
	var with, without []float64
	for _, scenario := range siteScenarios() {
		if scenario.Site != &sites[0] || !scenario.PowerLoss {
			continue
		}
		for seed := uint64(1); seed <= 3; seed++ {
			with = append(with, (&variant{Router: routerDirect}).run(&scenario, seed).recorder.score())
			without = append(without, (&variant{Router: routerDirect, Off: []string{"ColdQueue"}}).run(&scenario, seed).recorder.score())
		}
	}
	t.Logf("%.4f, without %.4f", mean(with), mean(without))
	if mean(with) <= mean(without) {
		t.Errorf("%.4f is no more than %.4f without", mean(with), mean(without))
	}
}

// A settings file that can't be played is refused by what is wrong with it.
func TestExperimentIsChecked(t *testing.T) {
	direct := variant{Name: "AsIs", Router: routerDirect}
	tests := []struct {
		name string
		e    experiment
		ok   bool
	}{
		{"as it should be", experiment{Seeds: 1, Variants: []variant{direct}}, true},
		{"no seed", experiment{Variants: []variant{direct}}, false},
		{"no variant", experiment{Seeds: 1}, false},
		{"unknown router", experiment{Seeds: 1, Variants: []variant{{Router: "Random"}}}, false},
		{"unknown mechanism", experiment{Seeds: 1, Variants: []variant{{Router: routerDirect, Off: []string{"Luck"}}}}, false},
		{"unknown insight", experiment{Seeds: 1, Variants: []variant{{Router: routerOmniscient}}}, false},
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
