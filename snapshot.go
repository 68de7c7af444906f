package bramleyfall

import (
	"math"
	"time"
)

// Priority ranks requests when capacity is scarce. Zero is the highest priority.
type Priority uint8

// ConfigVersion is the version of the operators' configuration. Versions
// increase, but not by a fixed step.
type ConfigVersion uint64

// Target is a service that receives a weighted share of a route's new flows.
type Target struct {
	Service ServiceName
	Weight  uint32
}

// Route distributes the new flows to an address over its targets.
type Route struct {
	Address  Endpoint
	Targets  []Target
	Priority Priority
	// Idempotent is set if callers may repeat a failed request.
	Idempotent bool
	// Objective is the target response time.
	Objective time.Duration
}

// ServiceLimits holds the capacity limits of each upstream of a service.
type ServiceLimits struct {
	Name ServiceName
	// Connections is the maximum number of concurrent flows of an upstream.
	Connections int
	// ColdFor is the time after its start for which an upstream is slow.
	ColdFor time.Duration
	// ColdRate is the maximum request rate of a cold upstream, in requests per
	// second.
	ColdRate float64
}

// Snapshot is the complete configuration at one revision of the store. It must
// not be modified once it is published.
type Snapshot struct {
	// Revision is the store revision from which a watch continues.
	Revision Revision
	// Changed is the store revision of the last known change of the configuration
	// or of the set of failure domains in service.
	Changed  Revision
	Version  ConfigVersion
	Routes   map[Endpoint]*Route
	Services map[ServiceName]ServiceLimits
	// Out holds the failure domains that operators have taken out of service.
	Out map[DomainName]bool
	// IdleTimeout is the time after which the state of an idle flow may be
	// discarded.
	IdleTimeout time.Duration
}

const (
	// MaxInterval limits the durations in a configuration, so that sums of them do not
	// overflow.
	MaxInterval = 24 * time.Hour
	// MaxColdRate limits the request rate of a cold upstream, in requests per second.
	MaxColdRate = 1e6
)

// Validate returns an error with code MalformedMessage if the snapshot, which another
// process sent, has a route without an address or target, or a number out of its range.
func (s *Snapshot) Validate() error {
	if s.Version == 0 || s.Revision > math.MaxInt64 || s.Changed > math.MaxInt64 || !validInterval(s.IdleTimeout) {
		return Errorf(MalformedMessage, "version, revision or idle timeout is missing or out of range")
	}
	for address, route := range s.Routes {
		if route == nil || route.Address != address || len(route.Targets) == 0 || !validInterval(route.Objective) {
			return Errorf(MalformedMessage, "route to %s has no address, target or valid objective", address)
		}
	}
	for name, limits := range s.Services {
		if !validInterval(limits.ColdFor) || !(limits.ColdRate >= 0 && limits.ColdRate <= MaxColdRate) {
			return Errorf(MalformedMessage, "limits of service %s are out of range", name)
		}
	}
	return nil
}

func validInterval(d time.Duration) bool { return d >= 0 && d <= MaxInterval }

// Allows reports whether service may receive new flows to address.
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
