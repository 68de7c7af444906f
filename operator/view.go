package operator

import (
	"context"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/upstream"
)

// View is a snapshot of a balancer's configuration and membership.
type View struct {
	// Revision is the revision up to which the balancer knows all changes.
	// NewestRevision is the greatest one that it knows to exist.
	Revision       bramleyfall.Revision
	NewestRevision bramleyfall.Revision
	// LastChange is the ID of the change at Revision, or "" if it is unknown.
	LastChange bramleyfall.ChangeID
	Services   []bramleyfall.Service
	Domains    map[bramleyfall.DomainName]bramleyfall.Domain
	Members    []bramleyfall.Member
	Drained    map[bramleyfall.InstanceID]bool
	// PlatformError is nil while the platform responds.
	PlatformError error
}

// ServingAgents returns the agents that could receive flows of a service if the
// failure domains in outDomains were out of service and the upstreams in drained
// were drained.
func (v *View) ServingAgents(s *bramleyfall.Service, outDomains map[bramleyfall.DomainName]bool, drained map[bramleyfall.InstanceID]bool) []bramleyfall.Member {
	var serving []bramleyfall.Member
	for _, m := range v.Members {
		if m.Role != bramleyfall.RoleAgent || m.State != bramleyfall.MemberServing {
			continue
		}
		if outDomains[m.Domain] || drained[m.ID] || !configuration.Allows(s, m.ID) || !announces(&m, s.Name) {
			continue
		}
		serving = append(serving, m)
	}
	return serving
}

func announces(m *bramleyfall.Member, name bramleyfall.ServiceName) bool {
	for _, s := range m.Services {
		if s == name {
			return true
		}
	}
	return false
}

// OutDomains returns the failure domains that are out of service.
func (v *View) OutDomains() map[bramleyfall.DomainName]bool {
	out := make(map[bramleyfall.DomainName]bool)
	for name, d := range v.Domains {
		if d.State == bramleyfall.DomainOut {
			out[name] = true
		}
	}
	return out
}

// Control gives statements access to a balancer.
type Control interface {
	// View returns the balancer's current view. It returns an error if the balancer
	// is too busy to answer.
	View(ctx context.Context) (View, error)
	// Entry returns the routing entry for a flow, or nil.
	Entry(flow bramleyfall.Flow) *upstream.Entry
	// Route routes a packet of a flow as the packet path does. Opening is set for a
	// packet that opens the flow.
	Route(flow bramleyfall.Flow, opening bool) (bramleyfall.HopList, bramleyfall.ResultCode)
	// FindChange returns the accepted change with the given id if the balancer
	// retains it.
	FindChange(id bramleyfall.ChangeID) (bramleyfall.Change, bool)
	// Propagation queries all balancers for the instances at which a revision is
	// not yet in force.
	Propagation(revision bramleyfall.Revision) peer.Propagation
	// ApplyChange applies an accepted change to the balancer's configuration.
	ApplyChange(change bramleyfall.Change)
}
