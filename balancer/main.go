// Program balancer takes packets from the fabric and hands them to the agents
// beside the upstreams. It keeps no flow state. It also spreads configuration
// and membership among its peers and answers operators.
package main

import (
	"os"
	"strings"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/settings"
)

// Config holds the checked settings of the program.
type Config struct {
	ID               bramleyfall.InstanceID
	Domain           bramleyfall.DomainName
	Packets          bramleyfall.Endpoint
	Control          bramleyfall.Endpoint
	AdvertisePackets bramleyfall.Endpoint
	AdvertiseControl bramleyfall.Endpoint
	HTTP             bramleyfall.Endpoint
	Fabric           bramleyfall.Endpoint
	Platform         string
	Peers            []bramleyfall.Endpoint
	Keys             *peer.Keys
	Hints            int
	Trace            string
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	s := settings.New("balancer", "forwards packets from the fabric to the upstreams' agents")
	id := s.String("id", "", "name of this instance, unique in the deployment")
	domain := s.String("domain", "", "failure domain of this instance")
	packets := s.String("packets", "127.0.0.1:6081", "address for tunnelled packets (UDP)")
	control := s.String("control", "127.0.0.1:7000", "address for control traffic (UDP and TCP)")
	advertisePackets := s.String("advertise-packets", "", "address by which others reach --packets, if it differs")
	advertiseControl := s.String("advertise-control", "", "address by which others reach --control, if it differs")
	http := s.String("http", "127.0.0.1:7001", "address for /metrics, /live and /ready")
	fabric := s.String("fabric", "", "address of the fabric, for answers to callers")
	platform := s.String("platform", "", "URL of the platform's key-value service")
	peers := s.String("peers", "", "control addresses of other balancers, for a start while the platform is away")
	keys := s.String("fleet-keys", "", "fleet keys as id:secret, the sealing one first, separated by commas")
	hints := s.Int("hints", 65536, "number of flow owners to remember; 0 for none")
	trace := s.String("trace", "", "file to record a trace to")
	var c Config
	check := func() {
		s.Required("id", *id)
		s.Required("domain", *domain)
		s.Required("platform", *platform)
		if *platform != "" && !strings.HasPrefix(*platform, "http") {
			s.Fault("platform", "%q is not a URL such as http://127.0.0.1:2379", *platform)
		}
		if *hints < 0 || *hints > 1<<24 {
			s.Fault("hints", "must be from 0 to %d", 1<<24)
		}
		c = Config{
			ID: bramleyfall.InstanceID(*id), Domain: bramleyfall.DomainName(*domain),
			Packets: s.Endpoint("packets", *packets), Control: s.Endpoint("control", *control),
			HTTP: s.Endpoint("http", *http), Fabric: s.Endpoint("fabric", *fabric),
			Platform: strings.TrimSuffix(*platform, "/"), Peers: s.Endpoints("peers", *peers),
			Keys: s.Keys("fleet-keys", *keys), Hints: *hints, Trace: *trace,
		}
		c.AdvertisePackets, c.AdvertiseControl = c.Packets, c.Control
		if *advertisePackets != "" {
			c.AdvertisePackets = s.Endpoint("advertise-packets", *advertisePackets)
		}
		if *advertiseControl != "" {
			c.AdvertiseControl = s.Endpoint("advertise-control", *advertiseControl)
		}
	}
	return settings.Run(s, args, check, func() error { return serve(c) })
}
