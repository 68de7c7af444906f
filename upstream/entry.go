package upstream

import (
	"cmp"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
)

// openAfter is the time for which an upstream that is new in the table gets no
// new flows: within it all balancers learn of the upstream, so that each of
// them finds the flows that it takes.
const openAfter = 2500 * time.Millisecond

// Builder builds routing entries and knows since when each upstream is in them.
// It is not safe for concurrent use.
type Builder struct {
	started time.Time
	present map[bramleyfall.ServiceName]map[presence]time.Time
	due     map[bramleyfall.ServiceName]time.Time
}

// presence is a run of an upstream in an entry.
type presence struct {
	upstream bramleyfall.InstanceKey
	boot     bramleyfall.BootID
}

// NewBuilder returns the builder of a balancer that started at the given time
// and forwards nothing at first. Upstreams that it learns of meanwhile are not
// new to the others.
func NewBuilder(started time.Time) *Builder {
	return &Builder{
		started: started,
		present: make(map[bramleyfall.ServiceName]map[presence]time.Time),
		due:     make(map[bramleyfall.ServiceName]time.Time),
	}
}

// DueForRebuild returns the services whose entries are to be built again at now, because
// an upstream is no longer new.
func (b *Builder) DueForRebuild(now time.Time) []bramleyfall.ServiceName {
	var names []bramleyfall.ServiceName
	for name, at := range b.due {
		if !now.Before(at) {
			names = append(names, name)
			delete(b.due, name)
		}
	}
	slices.Sort(names)
	return names
}

// Forget drops what is known of a service that was deleted.
func (b *Builder) Forget(name bramleyfall.ServiceName) {
	delete(b.present, name)
	delete(b.due, name)
}

// Build returns the routing entry of a service from the agents that announce
// it. Agents that operators do not allow, and those in failure domains out of
// service, are left out. Agents of a domain that was taken out a moment before
// now, and agents that are new in the table, get no new flows.
func (b *Builder) Build(service *bramleyfall.Service, state *configuration.State, agents []bramleyfall.Member, now time.Time) *Entry {
	agents = slices.SortedFunc(slices.Values(agents), func(a, b bramleyfall.Member) int { return cmp.Compare(a.ID, b.ID) })
	entry := &Entry{Name: service.Name, Revision: state.Revision()}
	before := b.present[service.Name]
	present := make(map[presence]time.Time, len(agents))
	for i := range agents {
		m := &agents[i]
		out := state.DomainState(m.Domain) == bramleyfall.DomainOut
		switch {
		case m.UpstreamBoot == 0, !configuration.Allows(service, m.ID), out && !state.DomainLingers(m.Domain, now):
			continue
		}
		p := presence{m.Key(), m.UpstreamBoot}
		present[p] = b.since(before, p, now)
		entry.IDs = append(entry.IDs, m.ID)
		entry.Candidates = append(entry.Candidates, Candidate{
			Upstream: p.upstream, Boot: p.boot, Address: m.Packets,
			AcceptsNewFlows: !out && m.State == bramleyfall.MemberServing && !state.Drained(m.ID) && b.aged(service.Name, present[p], now),
		})
	}
	b.present[service.Name] = present
	return entry
}

// since returns the time since when an upstream is in the entry.
func (b *Builder) since(before map[presence]time.Time, p presence, now time.Time) time.Time {
	if at, ok := before[p]; ok {
		return at
	}
	if now.Sub(b.started) < openAfter {
		return b.started
	}
	return now
}

// aged reports whether an upstream is no longer new, and notes when it will be.
func (b *Builder) aged(name bramleyfall.ServiceName, since, now time.Time) bool {
	at := since.Add(openAfter)
	if !now.Before(at) {
		return true
	}
	if due, ok := b.due[name]; !ok || at.Before(due) {
		b.due[name] = at
	}
	return false
}
