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
	only := s.String("scenario", "", "play only this scenario")
	router := s.String("router", "", "play only this router")
	deployment := s.String("deployment", "", "play only this deployment")
	hints := s.Int("hints", 65536, "owner hints of a balancer; 0 for none")
	share := s.Float64("share", defaultShare, "bounded-load factor; 0 for none")
	folder := s.String("plot", "", "folder for pictures of the service kept in each second; none are drawn without")
	file := s.String("experiment", "", "settings file of an experiment that is played instead")
	check := func() {
		if *only != "" && scenarios[*only] == nil {
			s.AddError("scenario", "%q is none of %v", *only, scenarioNames)
		}
	}
	return settings.Run(s, args, check, func() error {
		if *file != "" {
			e, err := readExperiment(*file)
			if err != nil {
				return err
			}
			return e.run(os.Stdout, os.Stderr, *folder)
		}
		plays := chosenPlays(*only, *router, *deployment, play{seed: *seed, hints: *hints, share: *share})
		playAll(plays)
		for _, p := range plays {
			fmt.Println(p.result)
		}
		if *folder != "" {
			if err := drawAll(*folder, plays); err != nil {
				return err
			}
		}
		if *only == "" && *router == "" && *deployment == "" {
			playLoads(*seed)
		}
		return nil
	})
}

// chosenPlays returns the plays of all deployments, routers and scenarios, or of
// the one that is named, with the settings of a common play.
func chosenPlays(scenario, router, deployment string, common play) []*play {
	var plays []*play
	for _, d := range deployments {
		for _, r := range routerNames {
			for _, name := range scenarioNames {
				if (scenario == "" || scenario == name) && (router == "" || router == r) && (deployment == "" || deployment == d.name) {
					p := common
					p.deployment, p.router, p.scenario = d, r, name
					plays = append(plays, &p)
				}
			}
		}
	}
	return plays
}

// playLoads plays the waves of requests through each router.
func playLoads(seed uint64) {
	for _, w := range waves {
		for _, router := range loadRouterNames {
			p := newLoadPlay(w, router, seed)
			p.run()
			fmt.Println(p)
		}
	}
}

// playAll runs the plays at the same time; each has its own world.
func playAll(plays []*play) {
	var group sync.WaitGroup
	slots := make(chan struct{}, 6)
	for _, p := range plays {
		group.Go(func() {
			slots <- struct{}{}
			p.run()
			<-slots
		})
	}
	group.Wait()
}
