package upstream

import (
	"cmp"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
)

// propagationDelay is the time for which an upstream receives no new flows after
// it was added to an entry. Within this time all balancers learn of the upstream,
// so that each of them can route to the flows that it will own.
const propagationDelay = 2500 * time.Millisecond

// Builder builds routing entries and tracks when each upstream was added to them.
// It is not safe for concurrent use.
type Builder struct {
	started   time.Time
	firstSeen map[bramleyfall.ServiceName]map[candidateKey]time.Time
	rebuildAt map[bramleyfall.ServiceName]time.Time
}

// candidateKey identifies one run of an upstream: a restart gives a new key.
type candidateKey struct {
	upstream bramleyfall.InstanceKey
	boot     bramleyfall.BootID
}

// NewBuilder returns a Builder for a balancer that started at the given time and
// forwards no packets at first. Upstreams discovered within propagationDelay of
// the start count as seen at the start, because the other balancers already know
// them.
func NewBuilder(started time.Time) *Builder {
	return &Builder{
		started:   started,
		firstSeen: make(map[bramleyfall.ServiceName]map[candidateKey]time.Time),
		rebuildAt: make(map[bramleyfall.ServiceName]time.Time),
	}
}

// DueForRebuild returns the services whose entries must be rebuilt at now because
// the propagation delay of an upstream has elapsed. Each such time is returned
// only once.
func (b *Builder) DueForRebuild(now time.Time) []bramleyfall.ServiceName {
	var names []bramleyfall.ServiceName
	for name, at := range b.rebuildAt {
		if !now.Before(at) {
			names = append(names, name)
			delete(b.rebuildAt, name)
		}
	}
	slices.Sort(names)
	return names
}

// Forget removes the state of a deleted service.
func (b *Builder) Forget(name bramleyfall.ServiceName) {
	delete(b.firstSeen, name)
	delete(b.rebuildAt, name)
}

// Build returns the routing entry of a service for the agents that announce it.
// It omits agents whose upstream has never started, agents that the service does
// not allow and agents in failure domains out of service. Draining agents, agents
// whose domain is in the grace period after it was taken out of service, and agents
// that were added within propagationDelay are included but receive no new flows.
func (b *Builder) Build(service *bramleyfall.Service, state *configuration.State, agents []bramleyfall.Member, now time.Time) *Entry {
	agents = slices.SortedFunc(slices.Values(agents), func(a, b bramleyfall.Member) int { return cmp.Compare(a.ID, b.ID) })
	entry := &Entry{Name: service.Name, Revision: state.Revision()}
	previous := b.firstSeen[service.Name]
	firstSeen := make(map[candidateKey]time.Time, len(agents))
	for i := range agents {
		m := &agents[i]
		out := state.DomainState(m.Domain) == bramleyfall.DomainOut
		switch {
		case m.UpstreamBoot == 0, !configuration.Allows(service, m.ID), out && !state.DomainInGracePeriod(m.Domain, now):
			continue
		}
		key := candidateKey{m.Key(), m.UpstreamBoot}
		firstSeen[key] = b.firstSeenAt(previous, key, now)
		entry.IDs = append(entry.IDs, m.ID)
		entry.Candidates = append(entry.Candidates, Candidate{
			Upstream: key.upstream, Boot: key.boot, Address: m.Packets,
			AcceptsNewFlows: !out && m.State == bramleyfall.MemberServing && !state.Drained(m.ID) && b.propagated(service.Name, firstSeen[key], now),
		})
	}
	b.firstSeen[service.Name] = firstSeen
	return entry
}

// firstSeenAt returns the time at which an upstream was added to the entry.
func (b *Builder) firstSeenAt(previous map[candidateKey]time.Time, key candidateKey, now time.Time) time.Time {
	if at, ok := previous[key]; ok {
		return at
	}
	if now.Sub(b.started) < propagationDelay {
		return b.started
	}
	return now
}

// propagated reports whether propagationDelay has elapsed since an upstream was
// added. If not, it schedules a rebuild of the entry.
func (b *Builder) propagated(name bramleyfall.ServiceName, firstSeen, now time.Time) bool {
	at := firstSeen.Add(propagationDelay)
	if !now.Before(at) {
		return true
	}
	if next, ok := b.rebuildAt[name]; !ok || at.Before(next) {
		b.rebuildAt[name] = at
	}
	return false
}
