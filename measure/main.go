// Program measure plays both deployments through the decision code in virtual
// time, for three routers side by side, and prints what broke, how balanced the
// upstreams were and how much service was kept.
package main

import (
	"fmt"
	"os"
	"sync"

	"bramleyfall.example/bramleyfall/settings"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	s := settings.New("measure", "plays both deployments in virtual time and prints a line for each router and scenario")
	seed := s.Uint64("seed", 1, "seed of all random choices")
	scenario := s.String("scenario", "", "play only this scenario")
	router := s.String("router", "", "play only this router")
	deployment := s.String("deployment", "", "play only this deployment")
	hints := s.Int("hints", 65536, "owner hints of a balancer; 0 for none")
	maxLoadRatio := s.Float64("share", defaultMaxLoadRatio, "bounded-load factor; 0 for none")
	plotFolder := s.String("plot", "", "folder for pictures of the service kept in each second; none are drawn without")
	experimentFile := s.String("experiment", "", "settings file of an experiment that is played instead")
	validate := func() {
		if *scenario != "" && scenarios[*scenario] == nil {
			s.Fault("scenario", "%q is none of %v", *scenario, scenarioNames)
		}
	}
	return settings.Run(s, args, validate, func() error {
		if *experimentFile != "" {
			e, err := readExperiment(*experimentFile)
			if err != nil {
				return err
			}
			return e.run(os.Stdout, os.Stderr, *plotFolder)
		}
		trials := selectTrials(*scenario, *router, *deployment, trial{seed: *seed, hints: *hints, maxLoadRatio: *maxLoadRatio})
		runTrials(trials)
		for _, tr := range trials {
			fmt.Println(tr.summary)
		}
		if *plotFolder != "" {
			if err := plotTrials(*plotFolder, trials); err != nil {
				return err
			}
		}
		if *scenario == "" && *router == "" && *deployment == "" {
			runLoadTrials(*seed)
		}
		return nil
	})
}

// chosenPlays returns the plays of all deployments, routers and scenarios, or of
// the one that is named, with the settings of a common play.
func selectTrials(scenario, router, deployment string, common trial) []*trial {
	var trials []*trial
	for _, d := range deployments {
		for _, r := range clusterRouterNames {
			for _, name := range scenarioNames {
				if (scenario == "" || scenario == name) && (router == "" || router == r) && (deployment == "" || deployment == d.name) {
					tr := common
					tr.deployment, tr.router, tr.scenario = d, r, name
					trials = append(trials, &tr)
				}
			}
		}
	}
	return trials
}

// playLoads plays the waves of requests through each router.
func runLoadTrials(seed uint64) {
	for _, profile := range loadProfiles {
		for _, router := range loadRouterNames {
			sim := newLoadSimulation(profile, router, seed)
			sim.run()
			fmt.Println(sim)
		}
	}
}

// playAll runs the plays at the same time; each has its own world.
func runTrials(trials []*trial) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, 6)
	for _, tr := range trials {
		wg.Go(func() {
			semaphore <- struct{}{}
			tr.run()
			<-semaphore
		})
	}
	wg.Wait()
}
