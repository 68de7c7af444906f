package peer

import (
	"cmp"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
)

// memberSet holds the known records of all instances, indexed by service and
// failure domain.
type memberSet struct {
	records map[bramleyfall.InstanceID]*bramleyfall.Member
	// services holds the agents of each service, departed ones included.
	services map[bramleyfall.ServiceName]map[bramleyfall.InstanceID]bool
	// balancers holds the live balancers of each failure domain, sorted by id.
	// A domain whose balancers have all departed keeps an empty entry.
	balancers map[bramleyfall.DomainName][]*bramleyfall.Member
	// emptySince holds the time at which a failure domain was first seen
	// without live balancers.
	emptySince map[bramleyfall.DomainName]time.Time
	// orphaned holds the failure domains that have had no live balancer for
	// longer than the grace period.
	orphaned map[bramleyfall.DomainName]bool
	// digests holds, for each bucket, the XOR of the hashes of its live
	// records.
	digests [digestBuckets]uint64
	// departedAt holds the time at which an instance was first seen as lost or
	// left.
	departedAt map[bramleyfall.InstanceID]time.Time
}

// digestBuckets is the number of buckets that records are divided into for the
// anti-entropy comparison.
const digestBuckets = 256

func bucketOf(m *bramleyfall.Member) int { return int(m.Key() % digestBuckets) }

// digest returns the hash of all live records.
func (s *memberSet) digest() uint64 {
	sum := uint64(0)
	for _, d := range s.digests {
		sum ^= d
	}
	return sum
}

// differingRecords returns the records in the buckets whose digests differ from
// those of another instance, or all records if digests is missing.
func (s *memberSet) differingRecords(digests []uint64) []*bramleyfall.Member {
	var records []*bramleyfall.Member
	for _, m := range s.records {
		if b := bucketOf(m); len(digests) == digestBuckets && digests[b] == s.digests[b] {
			continue
		}
		records = append(records, m)
	}
	return records
}

func newMemberSet() *memberSet {
	return &memberSet{
		records:   make(map[bramleyfall.InstanceID]*bramleyfall.Member),
		services:  make(map[bramleyfall.ServiceName]map[bramleyfall.InstanceID]bool),
		balancers: make(map[bramleyfall.DomainName][]*bramleyfall.Member),

		emptySince: make(map[bramleyfall.DomainName]time.Time),
		orphaned:   make(map[bramleyfall.DomainName]bool),
		departedAt: make(map[bramleyfall.InstanceID]time.Time),
	}
}

// live reports whether a member is neither lost nor left, so that packets and
// messages can be sent to it.
func live(m *bramleyfall.Member) bool {
	return m.State != bramleyfall.MemberLost && m.State != bramleyfall.MemberLeft
}

// merge stores a record if it supersedes the existing one, and reports whether
// it did. A record of an unknown instance that has already departed is ignored.
func (s *memberSet) merge(m bramleyfall.Member) bool {
	existing := s.records[m.ID]
	if existing != nil && !m.Replaces(existing) || existing == nil && !live(&m) {
		return false
	}
	if existing != nil {
		s.remove(existing)
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

// liveBalancers returns the live balancers of all failure domains.
func (s *memberSet) liveBalancers() []*bramleyfall.Member {
	var all []*bramleyfall.Member
	for _, name := range s.domains() {
		all = append(all, s.balancers[name]...)
	}
	return all
}

// countBalancers returns the number of live balancers.
func (s *memberSet) countBalancers() int {
	count := 0
	for _, list := range s.balancers {
		count += len(list)
	}
	return count
}

// hasBalancerAt reports whether a live balancer has the given control address.
func (s *memberSet) hasBalancerAt(control bramleyfall.Endpoint) bool {
	for _, m := range s.liveBalancers() {
		if m.Control == control {
			return true
		}
	}
	return false
}

// domains returns the failure domains that have or had balancers, sorted.
func (s *memberSet) domains() []bramleyfall.DomainName {
	names := make([]bramleyfall.DomainName, 0, len(s.balancers))
	for name := range s.balancers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// topBalancers returns the n candidates with the highest rendezvous hashing
// scores for key, highest first.
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

// monitors returns up to n balancers that monitor the agent with the given id,
// the primary monitor first. They belong to the agent's failure domain or,
// if that has no live balancer, to any.
func (s *memberSet) monitors(id bramleyfall.InstanceID, domain bramleyfall.DomainName, n int) []*bramleyfall.Member {
	key := uint64(bramleyfall.InstanceKeyFor(string(id)))
	if own := s.balancers[domain]; len(own) > 0 {
		return topBalancers(own, key, n)
	}
	return topBalancers(s.liveBalancers(), key, n)
}

// evictDeparted removes the records of instances that departed longer ago than
// retention. Instances that still hold such a record cannot bring it back,
// since merge ignores departed instances that are unknown.
func (s *memberSet) evictDeparted(now time.Time, retention time.Duration) {
	for id, m := range s.records {
		if live(m) {
			delete(s.departedAt, id)
			continue
		}
		if s.departedAt[id].IsZero() {
			s.departedAt[id] = now
		}
		if now.Sub(s.departedAt[id]) > retention {
			s.remove(m)
			delete(s.departedAt, id)
		}
	}
}

// mayBeMonitored reports whether an agent may have a live monitor: the failure
// domain of its monitors has a live balancer, or lost its last one so recently
// that the agent may not have found other monitors yet.
func (s *memberSet) mayBeMonitored(m *bramleyfall.Member) bool {
	return m.Home == "" || !s.orphaned[m.Home]
}

// updateOrphaned updates the set of failure domains that have been without a
// live balancer for longer than gracePeriod, and reports whether the set
// changed.
func (s *memberSet) updateOrphaned(now time.Time, gracePeriod time.Duration) bool {
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
		if !s.orphaned[name] && now.Sub(s.emptySince[name]) > gracePeriod {
			s.orphaned[name] = true
			changed = true
		}
	}
	return changed
}

// IsReader reports whether this balancer is one of the given number of
// balancers in its failure domain that watch the platform. They are elected by
// rendezvous hashing.
func (n *Node) IsReader(readers int) bool {
	const electionKey = 0x9e3779b97f4a7c15
	for _, m := range topBalancers(n.members.balancers[n.self.Domain], electionKey, readers) {
		if m.ID == n.self.ID {
			return true
		}
	}
	return false
}

// Partitioned reports whether all other failure domains, at least two, have
// lost their balancers. It is then more likely that this domain is partitioned
// from the others than that it is the only one alive, so this balancer's view
// of the agents in other domains is not reliable. A region that still reaches
// another failure domain does not count as partitioned and continues to serve.
func (n *Node) Partitioned() bool {
	const minDomains = 3
	total := len(n.members.balancers)
	return total >= minDomains && n.LostDomains() == total-1
}

// LostDomains returns the number of failure domains without live balancers of
// which at least one balancer is lost.
func (n *Node) LostDomains() int {
	count := 0
	for name, list := range n.members.balancers {
		if len(list) == 0 && n.members.hasLostBalancer(name) {
			count++
		}
	}
	return count
}

// hasLostBalancer reports whether a balancer of the failure domain is lost. A
// balancer that shut down has left and is not lost.
func (s *memberSet) hasLostBalancer(name bramleyfall.DomainName) bool {
	for _, m := range s.records {
		if m.Role == bramleyfall.RoleBalancer && m.Domain == name && m.State == bramleyfall.MemberLost {
			return true
		}
	}
	return false
}
