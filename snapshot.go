package bramleyfall

import "time"

// Priority ranks requests when capacity is short. Zero is the most important.
type Priority uint8

// ConfigVersion numbers the operators' configurations. Versions rise in uneven
// steps.
type ConfigVersion uint64

// Target is a service that a share of a route's new flows goes to.
type Target struct {
	Service ServiceName
	Weight  uint32
}

// Route sends the flows to one address to its targets.
type Route struct {
	Address  Endpoint
	Targets  []Target
	Priority Priority
	// Idempotent is set where callers may repeat a request that failed.
	Idempotent bool
	// Objective is the time within which callers want their answers.
	Objective time.Duration
}

// ServiceLimits is what each upstream of a service can bear.
type ServiceLimits struct {
	Name ServiceName
	// Connections is the number of flows that an upstream holds at once.
	Connections int
	// ColdFor is the time for which a started upstream is slow.
	ColdFor time.Duration
	// ColdRate is the number of requests a second that a cold upstream bears.
	ColdRate float64
}

// Snapshot is the whole configuration at one revision of the store. It is
// immutable once it is handed out.
type Snapshot struct {
	// Revision is the one of the store that a watch continues from.
	Revision Revision
	// Changed is the revision of the last change of the configuration or of the
	// failure domains in service that is known.
	Changed  Revision
	Version  ConfigVersion
	Routes   map[Endpoint]*Route
	Services map[ServiceName]ServiceLimits
	// Out holds the failure domains that operators have taken out of service.
	Out map[DomainName]bool
	// IdleTimeout is the time after which an idle flow may be forgotten.
	IdleTimeout time.Duration
}

// Allows reports whether new flows to an address may go to a service.
func (s *Snapshot) Allows(address Endpoint, service ServiceName) bool {
	route := s.Routes[address]
	if route == nil {
		return false
	}
	for _, t := range route.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}
