// Program measure compares the load balancer with other routers. It runs the decision
// code in discrete-event simulations (package virtual), which send no packets: on both
// deployments, under load profiles, and in outages of modelled sites as settings files of
// experiments describe. It prints broken flows, load imbalance and the share of requests
// answered in time. The programs bench and slopes measure processor time.
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
	s := settings.New("measure", "simulates both deployments in virtual time and prints a line for each router and scenario")
	seed := s.Uint64("seed", 1, "seed of the random numbers")
	scenario := s.String("scenario", "", "simulate only this scenario")
	router := s.String("router", "", "simulate only this router")
	deployment := s.String("deployment", "", "simulate only this deployment")
	hints := s.Int("hints", 65536, "owner hints per balancer; 0 disables them")
	maxLoadRatio := s.Float64("share", defaultMaxLoadRatio, "ratio of the load of an upstream to the mean load above which openings are forwarded; 0 disables balancing by load")
	plotFolder := s.String("plot", "", "folder for plots of the share of requests answered in time; empty for no plots")
	experimentFile := s.String("experiment", "", "settings file of an experiment to run instead")
	validate := func() {
		if *scenario != "" && clusterScenarios[*scenario] == nil {
			s.AddError("scenario", "%q is not one of %v", *scenario, clusterScenarioNames)
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

// selectTrials returns the trials of all combinations of deployment, router and
// scenario, restricted to the given names unless they are empty. The other settings are
// those of common.
func selectTrials(scenario, router, deployment string, common trial) []*trial {
	var trials []*trial
	for _, d := range deployments {
		for _, r := range clusterRouterNames {
			for _, name := range clusterScenarioNames {
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

// runLoadTrials simulates all load profiles with each router and prints the results.
func runLoadTrials(seed uint64) {
	for _, profile := range loadProfiles {
		for _, router := range loadRouterNames {
			sim := newLoadSimulation(profile, router, seed)
			sim.run()
			fmt.Println(sim)
		}
	}
}

// runTrials runs up to six trials concurrently, each in its own simulation.
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
