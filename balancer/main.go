// Command balancer forwards packets from the fabric to the agents of the
// upstreams and keeps no flow state. It exchanges configuration and membership
// with other balancers and with agents, reads the configuration from the platform
// and serves operators' requests. Package upstream selects the agents.
package main

import (
	"os"
	"strings"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/settings"
)

// maxHints is the maximum value of the setting for owner hints.
const maxHints = 1 << 24

// Config holds the validated settings of the balancer.
type Config struct {
	settings.Instance
	Platform string
	Peers    []bramleyfall.Endpoint
	Hints    int
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "direct" {
		os.Exit(runDirect(os.Args[2:]))
	}
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	s := settings.New("balancer", "forwards packets from the fabric to the upstreams' agents")
	instance := s.InstanceFlags("this instance")
	platform := s.String("platform", "", "URL of the platform's key-value service")
	peers := s.String("peers", "", "control addresses of other balancers, to join them while the platform is unreachable")
	hints := s.Int("hints", 65536, "maximum number of flow owners to cache; 0 disables the cache")
	var c Config
	check := func() {
		if !strings.HasPrefix(*platform, "http") {
			s.AddError("platform", "%q is not a URL such as http://127.0.0.1:2379", *platform)
		}
		if *hints < 0 || *hints > maxHints {
			s.AddError("hints", "must be from 0 to %d", maxHints)
		}
		c = Config{
			Instance: instance.Check(),
			Platform: strings.TrimSuffix(*platform, "/"),
			Peers:    s.Endpoints("peers", *peers),
			Hints:    *hints,
		}
	}
	return settings.Run(s, args, check, func() error { return serve(c) })
}
