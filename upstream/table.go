// Package upstream implements the routing table of a balancer. Builder turns the
// announcements of agents into entries; Table selects the hops of each packet by
// rendezvous hashing. The balancer program updates the table, package fabric
// forwards packets by it.
package upstream

import (
	"maps"
	"slices"
	"sync/atomic"

	"bramleyfall.example/bramleyfall"
)

// Candidate is an upstream that may serve a service.
type Candidate struct {
	Upstream bramleyfall.InstanceKey
	Boot     bramleyfall.BootID
	Address  bramleyfall.Endpoint
	// AcceptsNewFlows is set if the upstream may receive new flows. It is not set
	// for a draining upstream, which may still own flows.
	AcceptsNewFlows bool
}

// Entry is the routing entry of one service. It is immutable once in a Table.
type Entry struct {
	Name       bramleyfall.ServiceName
	Revision   bramleyfall.Revision
	Candidates []Candidate
	// IDs holds the id of each candidate. It is separate from Candidates because
	// routing a packet does not need it.
	IDs []bramleyfall.InstanceID
}

// IDOf returns the id of the candidate with the given key, or "" if there is none.
func (e *Entry) IDOf(key bramleyfall.InstanceKey) bramleyfall.InstanceID {
	for i := range e.Candidates {
		if e.Candidates[i].Upstream == key {
			return e.IDs[i]
		}
	}
	return ""
}

// address is the part of a flow that selects the service.
type address struct {
	endpoint bramleyfall.Endpoint
	protocol bramleyfall.Protocol
}

// entryRef holds the current entry of a service, so that a new entry replaces
// only one pointer.
type entryRef struct {
	key     bramleyfall.ServiceKey
	current atomic.Pointer[Entry]
}

// Table implements bramleyfall.Router. One goroutine may modify it while others
// call Route, Lookup and SetHint. Use NewTable to create one; the zero value is not
// usable.
type Table struct {
	addresses          atomic.Pointer[map[address]*entryRef]
	entries            map[bramleyfall.ServiceName]*entryRef
	publishedAddresses map[bramleyfall.ServiceName][]bramleyfall.ServiceAddress
	hints              *hintCache
	balancer           bramleyfall.Endpoint
}

var _ bramleyfall.Router = (*Table)(nil)

// Option changes a setting of a Table.
type Option func(*Table)

// WithHints adds a cache of size owner hints, rounded up to a power of two.
// Without this option the table stores no hints.
func WithHints(size int) Option {
	return func(t *Table) { t.hints = newHintCache(size) }
}

// WithBalancer sets the balancer address in hop lists, to which agents send their
// responses.
func WithBalancer(e bramleyfall.Endpoint) Option {
	return func(t *Table) { t.balancer = e }
}

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	t := &Table{
		entries:            make(map[bramleyfall.ServiceName]*entryRef),
		publishedAddresses: make(map[bramleyfall.ServiceName][]bramleyfall.ServiceAddress),
	}
	t.addresses.Store(&map[address]*entryRef{})
	for _, o := range options {
		o(t)
	}
	return t
}

// Set replaces the entry and the addresses of a service. Its cost grows with the
// number of services only if the addresses change, because it then copies the
// address map.
func (t *Table) Set(entry *Entry, addresses []bramleyfall.ServiceAddress) {
	ref, ok := t.entries[entry.Name]
	if !ok {
		ref = &entryRef{key: entry.Name.Key()}
		t.entries[entry.Name] = ref
	}
	ref.current.Store(entry)
	if !ok || !slices.Equal(t.publishedAddresses[entry.Name], addresses) {
		t.publish(entry.Name, addresses)
	}
}

// SetAll adds count services and copies the address map only once. It does not
// remove addresses that a service no longer has.
func (t *Table) SetAll(count int, service func(n int) (*Entry, []bramleyfall.ServiceAddress)) {
	next := maps.Clone(*t.addresses.Load())
	for n := range count {
		entry, addresses := service(n)
		ref, ok := t.entries[entry.Name]
		if !ok {
			ref = &entryRef{key: entry.Name.Key()}
			t.entries[entry.Name] = ref
		}
		ref.current.Store(entry)
		t.publishedAddresses[entry.Name] = slices.Clone(addresses)
		for _, a := range addresses {
			next[address{a.Endpoint, a.Protocol}] = ref
		}
	}
	t.addresses.Store(&next)
}

// Delete removes a service.
func (t *Table) Delete(name bramleyfall.ServiceName) {
	t.publish(name, nil)
	delete(t.entries, name)
	delete(t.publishedAddresses, name)
}

func (t *Table) publish(name bramleyfall.ServiceName, addresses []bramleyfall.ServiceAddress) {
	old := *t.addresses.Load()
	next := make(map[address]*entryRef, len(old)+len(addresses))
	own := t.entries[name]
	for a, ref := range old {
		if ref != own {
			next[a] = ref
		}
	}
	for _, a := range addresses {
		next[address{a.Endpoint, a.Protocol}] = own
	}
	t.publishedAddresses[name] = slices.Clone(addresses)
	t.addresses.Store(&next)
}

// Lookup returns the entry of the service to which flow is addressed, or nil if
// there is none.
func (t *Table) Lookup(flow bramleyfall.Flow) *Entry {
	ref := (*t.addresses.Load())[address{flow.Destination, flow.Protocol}]
	if ref == nil {
		return nil
	}
	return ref.current.Load()
}

// Route implements bramleyfall.Router. Openings visit only candidates that accept
// new flows, in descending order of rendezvous score. Other packets visit all
// candidates in that order, but the hinted owner first.
func (t *Table) Route(flow bramleyfall.Flow, opening bool, page uint8, list *bramleyfall.HopList) bramleyfall.ResultCode {
	ref := (*t.addresses.Load())[address{flow.Destination, flow.Protocol}]
	if ref == nil {
		return bramleyfall.UnknownService
	}
	entry := ref.current.Load()
	hash := flow.Hash()
	var ranks ranking
	ranks.fill(entry.Candidates, hash, opening)
	if !opening && t.hints != nil {
		ranks.promote(entry.Candidates, t.hints.get(hash))
	}
	first := int(page) * bramleyfall.MaxHops
	if first >= ranks.count {
		return bramleyfall.NoUpstream
	}
	list.Revision = entry.Revision
	list.Service = ref.key
	list.Balancer = t.balancer
	list.Index, list.Page, list.Must = 0, page, false
	ranks.copyTo(list, entry.Candidates, first)
	return bramleyfall.OK
}

// SetHint stores that owner owns the flow with the given hash.
func (t *Table) SetHint(hash uint64, owner bramleyfall.InstanceKey) {
	if t.hints != nil {
		t.hints.put(hash, owner)
	}
}
