// Package upstream chooses the upstreams that a balancer offers a packet to.
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
	// AcceptsNewFlows is set when the upstream may receive new flows. An upstream that is
	// draining is not open but may still own flows.
	AcceptsNewFlows bool
}

// Entry is the routing entry of one service. It is immutable once in a Table.
type Entry struct {
	Name       bramleyfall.ServiceName
	Revision   bramleyfall.Revision
	Candidates []Candidate
	// IDs holds the id of each candidate, apart from what packets need.
	IDs []bramleyfall.InstanceID
}

// IDOf returns the id of the candidate with the given key.
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

// slot holds the current entry of a service, so that a change of one service
// replaces one pointer.
type slot struct {
	key     bramleyfall.ServiceKey
	current atomic.Pointer[Entry]
}

// Table is a Router. One goroutine may change it while others route. The zero
// value is not ready; use NewTable.
type Table struct {
	addresses atomic.Pointer[map[address]*slot]
	slots     map[bramleyfall.ServiceName]*slot
	published map[bramleyfall.ServiceName][]bramleyfall.ServiceAddress
	hints     *hintCache
	balancer  bramleyfall.Endpoint
}

var _ bramleyfall.Router = (*Table)(nil)

// Option sets an option of a Table.
type Option func(*Table)

// WithHints gives the table a cache of size owner hints, rounded up to a power
// of two. Without it the table keeps no hints.
func WithHints(size int) Option {
	return func(t *Table) { t.hints = newHintCache(size) }
}

// WithBalancer sets the address that agents answer to.
func WithBalancer(e bramleyfall.Endpoint) Option {
	return func(t *Table) { t.balancer = e }
}

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	t := &Table{
		slots:     make(map[bramleyfall.ServiceName]*slot),
		published: make(map[bramleyfall.ServiceName][]bramleyfall.ServiceAddress),
	}
	t.addresses.Store(&map[address]*slot{})
	for _, o := range options {
		o(t)
	}
	return t
}

// Set replaces the entry and the addresses of a service. The cost grows with
// the candidates of that service, unless its addresses change.
func (t *Table) Set(entry *Entry, addresses []bramleyfall.ServiceAddress) {
	s, ok := t.slots[entry.Name]
	if !ok {
		s = &slot{key: entry.Name.Key()}
		t.slots[entry.Name] = s
	}
	s.current.Store(entry)
	if !ok || !slices.Equal(t.published[entry.Name], addresses) {
		t.publish(entry.Name, addresses)
	}
}

// SetAll sets count services at once, as Set does for each.
func (t *Table) SetAll(count int, service func(n int) (*Entry, []bramleyfall.ServiceAddress)) {
	next := maps.Clone(*t.addresses.Load())
	for n := range count {
		entry, addresses := service(n)
		s, ok := t.slots[entry.Name]
		if !ok {
			s = &slot{key: entry.Name.Key()}
			t.slots[entry.Name] = s
		}
		s.current.Store(entry)
		t.published[entry.Name] = slices.Clone(addresses)
		for _, a := range addresses {
			next[address{a.Endpoint, a.Protocol}] = s
		}
	}
	t.addresses.Store(&next)
}

// Delete removes a service.
func (t *Table) Delete(name bramleyfall.ServiceName) {
	t.publish(name, nil)
	delete(t.slots, name)
	delete(t.published, name)
}

func (t *Table) publish(name bramleyfall.ServiceName, addresses []bramleyfall.ServiceAddress) {
	old := *t.addresses.Load()
	next := make(map[address]*slot, len(old)+len(addresses))
	own := t.slots[name]
	for a, s := range old {
		if s != own {
			next[a] = s
		}
	}
	for _, a := range addresses {
		next[address{a.Endpoint, a.Protocol}] = own
	}
	t.published[name] = slices.Clone(addresses)
	t.addresses.Store(&next)
}

// Lookup returns the entry of the service that flow is addressed to, or nil.
func (t *Table) Lookup(flow bramleyfall.Flow) *Entry {
	s := (*t.addresses.Load())[address{flow.Destination, flow.Protocol}]
	if s == nil {
		return nil
	}
	return s.current.Load()
}

// Route implements Router. An opening is offered to open candidates only, in
// the order of their rendezvous scores. Other packets visit all candidates in
// that order, a hinted owner first.
func (t *Table) Route(flow bramleyfall.Flow, opening bool, page uint8, list *bramleyfall.HopList) bramleyfall.ResultCode {
	s := (*t.addresses.Load())[address{flow.Destination, flow.Protocol}]
	if s == nil {
		return bramleyfall.UnknownService
	}
	entry := s.current.Load()
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
	list.Service = s.key
	list.Balancer = t.balancer
	list.Index, list.Page, list.Must = 0, page, false
	ranks.copyTo(list, entry.Candidates, first)
	return bramleyfall.OK
}

// SetHint remembers that owner holds the flow with the given hash.
func (t *Table) SetHint(hash uint64, owner bramleyfall.InstanceKey) {
	if t.hints != nil {
		t.hints.put(hash, owner)
	}
}
