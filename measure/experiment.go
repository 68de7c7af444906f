package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot/plotter"
)

// siteRouterName is the name of a router for site simulations in settings files.
type siteRouterName string

const (
	// siteRouterDirect is the direct mode.
	siteRouterDirect siteRouterName = "Direct"
	// siteRouterOmniscient is omniscientRouter, a bound for comparison.
	siteRouterOmniscient siteRouterName = "Omniscient"
)

// variant is one of the configurations that an experiment compares.
type variant struct {
	Name   string
	Router siteRouterName
	// Off lists the names of the mechanisms that are turned off.
	Off []string
	// Insight selects how an omniscient router determines the age of a request.
	Insight ageSource
}

// experiment is the content of a settings file.
type experiment struct {
	// Sites and Days list the names of the sites and of their scenarios to simulate. An
	// empty list selects all.
	Sites, Days []string
	// Seeds is the number of runs of each variant in each scenario.
	Seeds    int
	Variants []variant
}

// readExperiment reads and checks a settings file.
func readExperiment(path string) (*experiment, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	decoder := json.NewDecoder(f)
	decoder.DisallowUnknownFields()
	e := &experiment{}
	if err := decoder.Decode(e); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return e, errors.Wrap(e.check(), path)
}

func (e *experiment) check() error {
	if e.Seeds < 1 || len(e.Variants) == 0 {
		return errors.New("an experiment needs at least one seed and one variant")
	}
	for _, v := range e.Variants {
		switch {
		case v.Router != siteRouterDirect && v.Router != siteRouterOmniscient:
			return errors.Newf("variant %s: router %q is neither %s nor %s", v.Name, v.Router, siteRouterDirect, siteRouterOmniscient)
		case v.Router == siteRouterOmniscient && !slices.Contains([]ageSource{ageSinceIssue, ageSinceFirstPacket, ageFromRepeatCount}, v.Insight):
			return errors.Newf("variant %s: unknown insight %q", v.Name, v.Insight)
		}
		for _, name := range v.Off {
			if _, ok := mechanismOverrides[name]; !ok {
				return errors.Newf("variant %s: unknown mechanism %q", v.Name, name)
			}
		}
	}
	if len(e.scenarios()) == 0 {
		return errors.Newf("no day matches Days %v and Sites %v", e.Days, e.Sites)
	}
	return nil
}

// scenarios returns the selected scenarios.
func (e *experiment) scenarios() []siteScenario {
	return slices.DeleteFunc(siteScenarios(), func(scenario siteScenario) bool {
		return len(e.Sites) > 0 && !slices.Contains(e.Sites, scenario.Site.Name) || len(e.Days) > 0 && !slices.Contains(e.Days, scenario.Name)
	})
}

// run simulates a scenario once.
func (v *variant) run(scenario *siteScenario, seed uint64) *siteSimulation {
	sim := newSiteSimulation(scenario, seed)
	if v.Router == siteRouterOmniscient {
		sim.router = newOmniscientRouter(sim, v.Insight)
	} else {
		sim.router = newSiteDirectRouter(sim, overridesWithout(v.Off))
	}
	sim.run()
	return sim
}

// variantResult holds the results of a variant in a scenario: the scores and time series
// by seed, and the total counts of all seeds.
type variantResult struct {
	scores       []float64
	windowShares []plotter.XYs
	counts       requestCounts
}

// standardDeviation returns the standard deviation of a population.
func standardDeviation(values []float64) float64 {
	average, squares := mean(values), 0.0
	for _, v := range values {
		squares += (v - average) * (v - average)
	}
	return math.Sqrt(squares / float64(len(values)))
}

// run simulates all variants and prints a line for each variant and scenario, with its
// mean score and the difference from the score of the first variant, the baseline. It
// writes plots if plotFolder is not empty.
func (e *experiment) run(out, progress io.Writer, plotFolder string) error {
	startedAt := time.Now()
	scenarios := e.scenarios()
	for i := range scenarios {
		scenario := &scenarios[i]
		results := e.runScenario(scenario)
		for n, v := range e.Variants {
			r := &results[n]
			fmt.Fprintf(out, "Experiment Site=%s Day=%s Variant=%s Service=%.4f Spread=%.4f Difference=%+.4f Late=%d Failed=%d Seeds=%d\n",
				scenario.Site.Name, scenario.Name, v.Name, mean(r.scores), standardDeviation(r.scores), mean(r.scores)-mean(results[0].scores),
				r.counts.late/e.Seeds, r.counts.failed/e.Seeds, e.Seeds)
		}
		fmt.Fprintf(progress, "%d of %d days simulated in %.0f s\n", i+1, len(scenarios), time.Since(startedAt).Seconds())
		if plotFolder != "" {
			if err := e.plot(plotFolder, scenario, results); err != nil {
				return err
			}
		}
	}
	return nil
}

// runScenario simulates a scenario with all variants and seeds, several at a time.
func (e *experiment) runScenario(scenario *siteScenario) []variantResult {
	results := make([]variantResult, len(e.Variants))
	counts := make([][]requestCounts, len(e.Variants))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for n := range e.Variants {
		results[n].scores = make([]float64, e.Seeds)
		results[n].windowShares = make([]plotter.XYs, e.Seeds)
		counts[n] = make([]requestCounts, e.Seeds)
		for seed := range e.Seeds {
			wg.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				r := &e.Variants[n].run(scenario, uint64(seed+1)).recorder
				results[n].scores[seed], results[n].windowShares[seed] = r.score(), r.windowShares()
				counts[n][seed] = r.total()
			})
		}
	}
	wg.Wait()
	for n := range results {
		for _, c := range counts[n] {
			results[n].counts.add(c)
		}
	}
	return results
}

// plot plots the time series of the credit share of each variant for the first seed.
func (e *experiment) plot(folder string, scenario *siteScenario, results []variantResult) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var lines []any
	for n, v := range e.Variants {
		lines = append(lines, v.Name, results[n].windowShares[0])
	}
	name := scenario.Site.Name + "-" + scenario.Name
	return plotLines(filepath.Join(folder, "Day-"+name+".png"), name, "share of possible credit", lines)
}
