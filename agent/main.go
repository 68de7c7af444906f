// Program agent runs beside one upstream. It announces the upstream, owns its
// flows, admits new ones within what the upstream can bear and passes all other
// packets on.
package main

import (
	"os"
	"time"

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
	UpstreamSide     bramleyfall.Endpoint
	Upstream         bramleyfall.Endpoint
	Health           string
	Balancers        []bramleyfall.Endpoint
	Services         []bramleyfall.ServiceName
	Keys             *peer.Keys
	Slots            int
	Connections      int
	WarmUp           time.Duration
	SilentAfter      time.Duration
	DrainTimeout     time.Duration
	Trace            string
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	s := settings.New("agent", "owns the flows of the upstream beside it")
	id := s.String("id", "", "name of the upstream, unique in the deployment")
	domain := s.String("domain", "", "failure domain of this instance")
	services := s.String("services", "", "services that the upstream can serve, separated by commas")
	packets := s.String("packets", "127.0.0.1:6081", "address for tunnelled packets (UDP)")
	control := s.String("control", "127.0.0.1:7000", "address for control traffic (UDP)")
	advertisePackets := s.String("advertise-packets", "", "address by which others reach --packets, if it differs")
	advertiseControl := s.String("advertise-control", "", "address by which others reach --control, if it differs")
	http := s.String("http", "127.0.0.1:7001", "address for /metrics, /live and /ready")
	fabric := s.String("fabric", "", "address of the fabric, for packets to callers")
	upstreamSide := s.String("upstream-side", "", "address that the upstream sends its tunnelled packets to (UDP)")
	upstream := s.String("upstream", "", "address of the upstream for tunnelled packets (UDP)")
	health := s.String("health", "", "URL of the upstream's health endpoint")
	balancers := s.String("balancers", "", "control addresses of balancers to announce to first")
	keys := s.String("fleet-keys", "", "fleet keys as id:secret, the sealing one first, separated by commas")
	slots := s.Int("slots", 5, "requests that the upstream runs at once")
	connections := s.Int("connections", 2000, "flows that the upstream holds at once")
	warmUp := s.Duration("warm-up", 20*time.Second, "time to full share after a start, where the service sets none")
	silentAfter := s.Duration("silent-after", 15*time.Second, "time until a silent flow is given up, where the service sets none")
	drainTimeout := s.Duration("drain-timeout", 10*time.Minute, "longest time for which SIGTERM waits for flows to end")
	trace := s.String("trace", "", "file to record a trace to")
	var c Config
	check := func() {
		s.Required("id", *id)
		s.Required("domain", *domain)
		s.Required("services", *services)
		s.Required("health", *health)
		if *slots < 1 || *connections < 1 {
			s.Fault("slots", "slots and connections must be at least 1")
		}
		if *warmUp < time.Second || *silentAfter < time.Second {
			s.Fault("warm-up", "warm-up and silent-after must be at least 1s")
		}
		c = Config{
			ID: bramleyfall.InstanceID(*id), Domain: bramleyfall.DomainName(*domain),
			Packets: s.Endpoint("packets", *packets), Control: s.Endpoint("control", *control),
			HTTP: s.Endpoint("http", *http), Fabric: s.Endpoint("fabric", *fabric),
			UpstreamSide: s.Endpoint("upstream-side", *upstreamSide), Upstream: s.Endpoint("upstream", *upstream),
			Health: *health, Balancers: s.Endpoints("balancers", *balancers),
			Keys: s.Keys("fleet-keys", *keys), Slots: *slots, Connections: *connections,
			WarmUp: *warmUp, SilentAfter: *silentAfter, DrainTimeout: *drainTimeout, Trace: *trace,
		}
		if len(c.Balancers) == 0 {
			s.Fault("balancers", "must be set")
		}
		for _, name := range s.Names(*services) {
			c.Services = append(c.Services, bramleyfall.ServiceName(name))
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
