package etcd

import (
	"maps"

	"bramleyfall.example/bramleyfall/etcd"
)

// backup is a copy of a store's state at one moment.
type backup struct {
	revision    int64
	keys        map[string]etcd.KeyValue
	leases      map[int64]lease
	lastLeaseID int64
}

// Backup copies the state for a later Restore.
func (s *Store) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.backup = &backup{revision: s.revision, keys: maps.Clone(s.keys), leases: make(map[int64]lease), lastLeaseID: s.lastLeaseID}
	for id, l := range s.leases {
		s.backup.leases[id] = *l
	}
}

// Restore replaces the state by that of the last Backup and ends all watches. Later
// writes get revisions and leases that have been assigned before.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backup
	s.revision, s.keys, s.lastLeaseID = b.revision, maps.Clone(b.keys), b.lastLeaseID
	s.leases = make(map[int64]*lease, len(b.leases))
	for id, l := range b.leases {
		l.expiresAt = s.clock.Now().Add(l.ttl)
		s.leases[id] = &l
	}
	for w := range s.watchers {
		close(w.events)
	}
	clear(s.watchers)
}
