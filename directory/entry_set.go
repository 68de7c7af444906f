package directory

import (
	"slices"

	"bramleyfall.example/bramleyfall"
)

// listedEntry is an entry in the store and the revision of its last write.
type listedEntry struct {
	bramleyfall.Announcement
	key      string
	revision int64
}

// startedAfter reports whether the upstream of e started after that of other. The order
// in which entries were written does not show this: the store may write the entry of an
// agent that has ended after that of the agent that now uses its address.
func (e *listedEntry) startedAfter(other *listedEntry) bool {
	if e.Boot != other.Boot {
		return e.Boot > other.Boot
	}
	return e.revision > other.revision
}

// entrySet holds the agents' entries in the store. Several entries may have the same
// packet address for as long as the lease of an agent that has ended lasts.
type entrySet struct {
	byKey      map[string]*listedEntry
	byAddress  map[bramleyfall.Endpoint][]*listedEntry
	byInstance map[bramleyfall.InstanceID][]*listedEntry
}

func newEntrySet() entrySet {
	return entrySet{
		byKey: make(map[string]*listedEntry), byAddress: make(map[bramleyfall.Endpoint][]*listedEntry),
		byInstance: make(map[bramleyfall.InstanceID][]*listedEntry),
	}
}

// put adds an entry or replaces the one under its key.
func (s *entrySet) put(e *listedEntry) {
	s.remove(e.key)
	s.byKey[e.key] = e
	s.byAddress[e.Packets] = append(s.byAddress[e.Packets], e)
	s.byInstance[e.Instance] = append(s.byInstance[e.Instance], e)
}

// remove removes and returns the entry under a key, or returns nil if there is none.
func (s *entrySet) remove(key string) *listedEntry {
	e := s.byKey[key]
	if e == nil {
		return nil
	}
	delete(s.byKey, key)
	removeFrom(s.byAddress, e.Packets, e)
	removeFrom(s.byInstance, e.Instance, e)
	return e
}

func removeFrom[K comparable](index map[K][]*listedEntry, key K, e *listedEntry) {
	rest := slices.DeleteFunc(index[key], func(other *listedEntry) bool { return other == e })
	if len(rest) == 0 {
		delete(index, key)
		return
	}
	index[key] = rest
}

// holder returns the entry of the agent that uses an address, or nil if no entry has the
// address.
func (s *entrySet) holder(address bramleyfall.Endpoint) *listedEntry {
	var holder *listedEntry
	for _, e := range s.byAddress[address] {
		if holder == nil || e.startedAfter(holder) {
			holder = e
		}
	}
	return holder
}

// lists reports whether an instance has an entry.
func (s *entrySet) lists(instance bramleyfall.InstanceID) bool {
	return len(s.byInstance[instance]) > 0
}
