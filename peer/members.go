package peer

import (
	"cmp"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
)

// memberSet is what a balancer knows of all instances.
type memberSet struct {
	records  map[bramleyfall.InstanceID]*bramleyfall.Member
	services map[bramleyfall.ServiceName]map[bramleyfall.InstanceID]bool
	// balancers holds the balancers that are not lost, by failure domain and
	// sorted by id.
	balancers map[bramleyfall.DomainName][]*bramleyfall.Member
	// emptySince holds when a failure domain lost its last balancer, orphaned
	// those that have been without one for long.
	emptySince map[bramleyfall.DomainName]time.Time
	orphaned   map[bramleyfall.DomainName]bool
	// digests are the xors of the hashes of the live records in each bucket.
	digests [digestBuckets]uint64
	// departed holds since when instances are lost or have left.
	departed map[bramleyfall.InstanceID]time.Time
}

// digestBuckets is the number of parts in which memberships are compared.
const digestBuckets = 256

func bucketOf(m *bramleyfall.Member) int { return int(m.Key() % digestBuckets) }

// digest returns the hash of all records.
func (s *memberSet) digest() uint64 {
	sum := uint64(0)
	for _, d := range s.digests {
		sum ^= d
	}
	return sum
}

// differing returns the records in the buckets that differ from the digests of
// another instance, or all where it sent none.
func (s *memberSet) differing(digests []uint64) []*bramleyfall.Member {
	var out []*bramleyfall.Member
	for _, m := range s.records {
		if b := bucketOf(m); len(digests) == digestBuckets && digests[b] == s.digests[b] {
			continue
		}
		out = append(out, m)
	}
	return out
}

func newMemberSet() *memberSet {
	return &memberSet{
		records:   make(map[bramleyfall.InstanceID]*bramleyfall.Member),
		services:  make(map[bramleyfall.ServiceName]map[bramleyfall.InstanceID]bool),
		balancers: make(map[bramleyfall.DomainName][]*bramleyfall.Member),

		emptySince: make(map[bramleyfall.DomainName]time.Time),
		orphaned:   make(map[bramleyfall.DomainName]bool),
		departed:   make(map[bramleyfall.InstanceID]time.Time),
	}
}

// live reports whether a member can be sent packets or messages.
func live(m *bramleyfall.Member) bool {
	return m.State != bramleyfall.MemberLost && m.State != bramleyfall.MemberLeft
}

// merge takes a record if it is newer and reports whether it was. An instance
// that is not known and has departed is no news.
func (s *memberSet) merge(m bramleyfall.Member) bool {
	old := s.records[m.ID]
	if old != nil && !m.Replaces(old) || old == nil && !live(&m) {
		return false
	}
	if old != nil {
		s.remove(old)
	}
	s.add(&m)
	return true
}

func (s *memberSet) add(m *bramleyfall.Member) {
	s.records[m.ID] = m
	if live(m) {
		s.digests[bucketOf(m)] ^= recordHash(m)
	}
	if m.Role == bramleyfall.RoleBalancer {
		if live(m) {
			list := s.balancers[m.Domain]
			i, _ := slices.BinarySearchFunc(list, m, compareIDs)
			s.balancers[m.Domain] = slices.Insert(list, i, m)
		}
		return
	}
	for _, name := range m.Services {
		if s.services[name] == nil {
			s.services[name] = make(map[bramleyfall.InstanceID]bool)
		}
		s.services[name][m.ID] = true
	}
}

func (s *memberSet) remove(m *bramleyfall.Member) {
	delete(s.records, m.ID)
	if live(m) {
		s.digests[bucketOf(m)] ^= recordHash(m)
	}
	if m.Role == bramleyfall.RoleBalancer {
		list := s.balancers[m.Domain]
		if i, ok := slices.BinarySearchFunc(list, m, compareIDs); ok {
			s.balancers[m.Domain] = slices.Delete(list, i, i+1)
		}
		return
	}
	for _, name := range m.Services {
		delete(s.services[name], m.ID)
		if len(s.services[name]) == 0 {
			delete(s.services, name)
		}
	}
}

func compareIDs(a, b *bramleyfall.Member) int { return cmp.Compare(a.ID, b.ID) }

func recordHash(m *bramleyfall.Member) uint64 {
	return m.Key().Score(uint64(m.Boot)*31 + m.Version)
}

// liveBalancers returns the balancers of all domains that are not lost.
func (s *memberSet) liveBalancers() []*bramleyfall.Member {
	var all []*bramleyfall.Member
	for _, name := range s.domains() {
		all = append(all, s.balancers[name]...)
	}
	return all
}

// countBalancers returns the number of balancers that are not lost.
func (s *memberSet) countBalancers() int {
	count := 0
	for _, list := range s.balancers {
		count += len(list)
	}
	return count
}

// knowsControl reports whether a live balancer has the control address.
func (s *memberSet) knowsControl(e bramleyfall.Endpoint) bool {
	for _, m := range s.liveBalancers() {
		if m.Control == e {
			return true
		}
	}
	return false
}

// domains returns the domains that have or had balancers, sorted.
func (s *memberSet) domains() []bramleyfall.DomainName {
	names := make([]bramleyfall.DomainName, 0, len(s.balancers))
	for name := range s.balancers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// topBalancers returns the n members that come first in the rendezvous order
// for key.
func topBalancers(candidates []*bramleyfall.Member, key uint64, n int) []*bramleyfall.Member {
	top := make([]*bramleyfall.Member, 0, n+1)
	for _, m := range candidates {
		i, _ := slices.BinarySearchFunc(top, m.Key().Score(key), func(t *bramleyfall.Member, score uint64) int {
			return cmp.Compare(score, t.Key().Score(key))
		})
		if i >= n {
			continue
		}
		top = slices.Insert(top, i, m)
		if len(top) > n {
			top = top[:n]
		}
	}
	return top
}

// watchers returns the balancers that watch the agent with the given id: those
// of its own failure domain, or of any domain where its own has none.
func (s *memberSet) watchers(id bramleyfall.InstanceID, domain bramleyfall.DomainName, n int) []*bramleyfall.Member {
	key := uint64(bramleyfall.InstanceKeyFor(string(id)))
	if own := s.balancers[domain]; len(own) > 0 {
		return topBalancers(own, key, n)
	}
	return topBalancers(s.liveBalancers(), key, n)
}

// forget drops the records of instances that departed longer ago than keep.
// Others that still hold them do not bring them back.
func (s *memberSet) forget(now time.Time, keep time.Duration) {
	for id, m := range s.records {
		if live(m) {
			delete(s.departed, id)
			continue
		}
		if s.departed[id].IsZero() {
			s.departed[id] = now
		}
		if now.Sub(s.departed[id]) > keep {
			s.remove(m)
			delete(s.departed, id)
		}
	}
}

// reachable reports whether the agent's watchers can be alive: the failure
// domain whose balancers watch it has one, or lost its last one so lately that
// the agent may not have found others.
func (s *memberSet) reachable(m *bramleyfall.Member) bool {
	return m.Home == "" || !s.orphaned[m.Home]
}

// checkOrphans notes the failure domains that have been without a balancer for
// longer than grace, and reports whether their number changed.
func (s *memberSet) checkOrphans(now time.Time, grace time.Duration) bool {
	changed := false
	for name, list := range s.balancers {
		if len(list) > 0 {
			changed = changed || s.orphaned[name]
			delete(s.emptySince, name)
			delete(s.orphaned, name)
			continue
		}
		if s.emptySince[name].IsZero() {
			s.emptySince[name] = now
		}
		if !s.orphaned[name] && now.Sub(s.emptySince[name]) > grace {
			s.orphaned[name] = true
			changed = true
		}
	}
	return changed
}

// IsReader reports whether this balancer is among the first n of its failure
// domain, which watch the platform.
func (n *Node) IsReader(count int) bool {
	const electionKey = 0x9e3779b97f4a7c15
	for _, m := range topBalancers(n.members.balancers[n.self.Domain], electionKey, count) {
		if m.ID == n.self.ID {
			return true
		}
	}
	return false
}

// Partitioned reports whether the balancers of all other failure domains seem lost,
// where there are at least two. Then this domain is more likely cut off than the
// last one alive, and what this balancer thinks of the others' agents is not to
// be trusted. A region that still reaches another failure domain serves on.
func (n *Node) Partitioned() bool {
	const least = 3
	total := len(n.members.balancers)
	return total >= least && n.LostDomains() == total-1
}

// LostDomains returns the number of failure domains whose balancers all seem
// lost.
func (n *Node) LostDomains() int {
	gone := 0
	for name, list := range n.members.balancers {
		if len(list) == 0 && n.members.lostBalancer(name) {
			gone++
		}
	}
	return gone
}

// lostBalancer reports whether a balancer of the domain is lost, which one that
// left on its own is not.
func (s *memberSet) lostBalancer(name bramleyfall.DomainName) bool {
	for _, m := range s.records {
		if m.Role == bramleyfall.RoleBalancer && m.Domain == name && m.State == bramleyfall.MemberLost {
			return true
		}
	}
	return false
}
