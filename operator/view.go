package operator

import (
	"context"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/upstream"
)

// View is what a balancer knows at one moment.
type View struct {
	Revision bramleyfall.Revision
	NewestRevision   bramleyfall.Revision
	Services []bramleyfall.Service
	Domains  map[bramleyfall.DomainName]bramleyfall.Domain
	Members  []bramleyfall.Member
	Drained  map[bramleyfall.InstanceID]bool
	// PlatformError is nil while the platform answers.
	PlatformError error
}

// ServingAgents returns the agents that may receive flows of a service, were the
// domains in out taken out of service and the upstreams in drained drained.
func (v *View) ServingAgents(s *bramleyfall.Service, out map[bramleyfall.DomainName]bool, drained map[bramleyfall.InstanceID]bool) []bramleyfall.Member {
	var serving []bramleyfall.Member
	for _, m := range v.Members {
		if m.Role != bramleyfall.RoleAgent || m.State != bramleyfall.MemberServing {
			continue
		}
		if out[m.Domain] || drained[m.ID] || !configuration.Allows(s, m.ID) || !announces(&m, s.Name) {
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

// Control is the part of a balancer that statements act on.
type Control interface {
	// View returns what the balancer knows now. The error tells that it is too
	// busy to say.
	View(ctx context.Context) (View, error)
	// Entry returns the routing entry for a flow, or nil.
	Entry(flow bramleyfall.Flow) *upstream.Entry
	// Route decides on a packet of a flow as the packet path does.
	Route(flow bramleyfall.Flow, opening bool) (bramleyfall.HopList, bramleyfall.ResultCode)
	// FindChange returns an accepted change that the balancer knows by its id.
	FindChange(id bramleyfall.ChangeID) (bramleyfall.Change, bool)
	// RolloutStatus asks the fleet how far a revision is in force.
	RolloutStatus(revision bramleyfall.Revision) peer.Spread
	// ApplyChange takes an accepted change.
	ApplyChange(change bramleyfall.Change)
}
