package upstream

import (
	"cmp"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
)

// BuildEntry returns the routing entry of a service from the agents that
// announce it. Agents that operators do not allow, and those in failure domains
// out of service, are left out. Agents of a domain that was taken out a moment
// before now get no new flows.
func BuildEntry(service *bramleyfall.Service, state *configuration.State, agents []bramleyfall.Member, now time.Time) *Entry {
	agents = slices.SortedFunc(slices.Values(agents), func(a, b bramleyfall.Member) int { return cmp.Compare(a.ID, b.ID) })
	entry := &Entry{Name: service.Name, Revision: state.Revision()}
	for i := range agents {
		m := &agents[i]
		if m.UpstreamBoot == 0 || !configuration.Allows(service, m.ID) {
			continue
		}
		out := state.DomainState(m.Domain) == bramleyfall.DomainOut
		if out && !state.DomainLingers(m.Domain, now) {
			continue
		}
		entry.Names = append(entry.Names, m.ID)
		entry.Candidates = append(entry.Candidates, Candidate{
			Upstream: m.Key(), Boot: m.UpstreamBoot, Address: m.Packets,
			Open: !out && m.State == bramleyfall.MemberServing && !state.Drained(m.ID),
		})
	}
	return entry
}
