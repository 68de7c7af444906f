// Package configuration holds the operators' configuration as an instance
// knows it: the newest change of each key, and the revision up to which no
// change is missing. It never goes back to an older change.
package configuration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	servicePrefix  = "service/"
	domainPrefix   = "domain/"
	upstreamPrefix = "upstream/"
	// MaxLogLength is the number of changes that are kept for peers that lag.
	MaxLogLength = 1000
)

// ServiceKey returns the key of a service's configuration.
func ServiceKey(name bramleyfall.ServiceName) string { return servicePrefix + string(name) }

// DomainKey returns the key of a failure domain's configuration.
func DomainKey(name bramleyfall.DomainName) string { return domainPrefix + string(name) }

// UpstreamKey returns the key of an upstream's configuration.
func UpstreamKey(id bramleyfall.UpstreamID) string { return upstreamPrefix + string(id) }

// State is a configuration. It is not safe for concurrent use. The zero value
// is not ready; use New.
type State struct {
	items    map[string]bramleyfall.Change
	services map[bramleyfall.ServiceName]bramleyfall.Service
	domains  map[bramleyfall.DomainName]bramleyfall.Domain
	drained  map[bramleyfall.UpstreamID]bool
	log      map[bramleyfall.Revision]bramleyfall.Change
	revision bramleyfall.Revision
	newest   bramleyfall.Revision
}

// New returns an empty configuration at revision 0.
func New() *State {
	return &State{
		items:    make(map[string]bramleyfall.Change),
		services: make(map[bramleyfall.ServiceName]bramleyfall.Service),
		domains:  make(map[bramleyfall.DomainName]bramleyfall.Domain),
		drained:  make(map[bramleyfall.UpstreamID]bool),
		log:      make(map[bramleyfall.Revision]bramleyfall.Change),
	}
}

// Revision returns the revision up to which all changes are known.
func (s *State) Revision() bramleyfall.Revision { return s.revision }

// NewestRevision returns the greatest revision heard of.
func (s *State) NewestRevision() bramleyfall.Revision { return s.newest }

// ObserveRevision notes that an instance has the given revision.
func (s *State) ObserveRevision(revision bramleyfall.Revision) { s.newest = max(s.newest, revision) }

// Apply takes a change and reports whether it altered the configuration. A
// change of a key takes effect as soon as it is newer than what is known of
// that key, even when changes of other keys are still missing. A malformed
// change counts as known but takes no effect; the error says what is wrong.
func (s *State) Apply(c bramleyfall.Change) (bool, error) {
	if c.Revision == 0 {
		return false, bramleyfall.Errorf(bramleyfall.NotAccepted, "change %s has no revision", c.ID)
	}
	altered, err := s.applyItem(c)
	s.ObserveRevision(c.Revision)
	if c.Revision > s.revision {
		s.log[c.Revision] = c
		s.advance()
	}
	return altered, err
}

func (s *State) applyItem(c bramleyfall.Change) (bool, error) {
	if old, ok := s.items[c.Key]; ok && old.Revision >= c.Revision {
		return false, nil
	}
	if err := s.setView(c); err != nil {
		return false, err
	}
	s.items[c.Key] = c
	return true, nil
}

// advance moves the revision over all changes that follow without a gap and
// trims the log.
func (s *State) advance() {
	for {
		if _, ok := s.log[s.revision+1]; !ok {
			return
		}
		s.revision++
		if s.revision > MaxLogLength {
			delete(s.log, s.revision-MaxLogLength)
		}
	}
}

func (s *State) setView(c bramleyfall.Change) error {
	switch {
	case strings.HasPrefix(c.Key, servicePrefix):
		return s.setService(bramleyfall.ServiceName(c.Key[len(servicePrefix):]), c)
	case strings.HasPrefix(c.Key, domainPrefix):
		return s.setDomain(bramleyfall.DomainName(c.Key[len(domainPrefix):]), c)
	case strings.HasPrefix(c.Key, upstreamPrefix):
		return s.setUpstream(bramleyfall.UpstreamID(c.Key[len(upstreamPrefix):]), c)
	}
	return bramleyfall.Errorf(bramleyfall.NotAccepted, "change %s has the unknown key %q", c.ID, c.Key)
}

func (s *State) setService(name bramleyfall.ServiceName, c bramleyfall.Change) error {
	if c.Value == nil {
		delete(s.services, name)
		return nil
	}
	var service bramleyfall.Service
	if err := decode(c, &service); err != nil {
		return err
	}
	if service.Name != name {
		return bramleyfall.Errorf(bramleyfall.NotAccepted, "change %s names service %q under key %q", c.ID, service.Name, c.Key)
	}
	s.services[name] = service
	return nil
}

func (s *State) setDomain(name bramleyfall.DomainName, c bramleyfall.Change) error {
	if c.Value == nil {
		delete(s.domains, name)
		return nil
	}
	var domain bramleyfall.Domain
	if err := decode(c, &domain); err != nil {
		return err
	}
	s.domains[name] = domain
	return nil
}

func (s *State) setUpstream(id bramleyfall.UpstreamID, c bramleyfall.Change) error {
	var order bramleyfall.UpstreamSettings
	if c.Value != nil {
		if err := decode(c, &order); err != nil {
			return err
		}
	}
	if order.Drained {
		s.drained[id] = true
		return nil
	}
	delete(s.drained, id)
	return nil
}

func decode(c bramleyfall.Change, value any) error {
	d := json.NewDecoder(bytes.NewReader(c.Value))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return bramleyfall.Errorf(bramleyfall.NotAccepted, "change %s of %q: %v", c.ID, c.Key, err)
	}
	return nil
}

// ApplySnapshot takes a snapshot: the newest change of every key at revision. It
// returns the keys that it altered. A snapshot that is older than what is
// known changes nothing.
func (s *State) ApplySnapshot(changes []bramleyfall.Change, revision bramleyfall.Revision) []string {
	if revision < s.revision {
		return nil
	}
	var altered []string
	present := make(map[string]bool, len(changes))
	for _, c := range changes {
		present[c.Key] = true
		if ok, err := s.applyItem(c); err == nil && ok {
			altered = append(altered, c.Key)
		}
	}
	for key, c := range s.items {
		if present[key] || c.Revision > revision || c.Value == nil {
			continue
		}
		gone := bramleyfall.Change{Revision: revision, ID: "snapshot", Key: key}
		if ok, err := s.applyItem(gone); err == nil && ok {
			altered = append(altered, key)
		}
	}
	s.revision = revision
	s.ObserveRevision(revision)
	s.advance()
	return altered
}

// ChangesAfter returns the changes after revision, oldest first, and false when the
// log no longer holds all of them.
func (s *State) ChangesAfter(revision bramleyfall.Revision) ([]bramleyfall.Change, bool) {
	var changes []bramleyfall.Change
	for r := revision + 1; r <= s.revision; r++ {
		c, ok := s.log[r]
		if !ok {
			return nil, false
		}
		changes = append(changes, c)
	}
	return changes, true
}

// Snapshot returns the newest change of every key, oldest first, without keys that
// were deleted.
func (s *State) Snapshot() []bramleyfall.Change {
	changes := make([]bramleyfall.Change, 0, len(s.items))
	for _, c := range s.items {
		if c.Value != nil {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b bramleyfall.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}

// LatestChange returns the newest change of a key, which is a deletion if its value is
// nil.
func (s *State) LatestChange(key string) (bramleyfall.Change, bool) {
	c, ok := s.items[key]
	return c, ok
}

// ChangeByID returns a change of the log by its id.
func (s *State) ChangeByID(id bramleyfall.ChangeID) (bramleyfall.Change, bool) {
	for _, c := range s.log {
		if c.ID == id {
			return c, true
		}
	}
	return bramleyfall.Change{}, false
}

// Service returns a service by name.
func (s *State) Service(name bramleyfall.ServiceName) (bramleyfall.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns all services, sorted by name.
func (s *State) Services() []bramleyfall.Service {
	services := make([]bramleyfall.Service, 0, len(s.services))
	for _, v := range s.services {
		services = append(services, v)
	}
	slices.SortFunc(services, func(a, b bramleyfall.Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

// DomainState returns whether a failure domain is in service. A domain that
// operators never named is.
func (s *State) DomainState(name bramleyfall.DomainName) bramleyfall.DomainState {
	if d, ok := s.domains[name]; ok {
		return d.State
	}
	return bramleyfall.DomainIn
}

// DomainLingerTime is the time after the acceptance of a change that takes a failure
// domain out in which requests under way there may still be answered.
const DomainLingerTime = 2500 * time.Millisecond

// DomainLingers reports whether a failure domain was taken out so lately that
// requests under way there may still be answered. The time counts from the
// acceptance, so that an instance that learns of it late adds nothing.
func (s *State) DomainLingers(name bramleyfall.DomainName, now time.Time) bool {
	c, ok := s.items[DomainKey(name)]
	if !ok || s.DomainState(name) != bramleyfall.DomainOut {
		return false
	}
	age := now.Sub(c.At)
	return age < DomainLingerTime && age > -DomainLingerTime
}

// LingerUntil returns the time until which an agent of a failure domain lets
// requests under way finish; it is now where the domain does not linger.
func (s *State) LingerUntil(name bramleyfall.DomainName, now time.Time) time.Time {
	if !s.DomainLingers(name, now) {
		return now
	}
	until := s.items[DomainKey(name)].At.Add(DomainLingerTime)
	if most := now.Add(DomainLingerTime); until.After(most) {
		return most
	}
	return until
}

// Allows reports whether operators let the upstream serve the service.
func Allows(service *bramleyfall.Service, upstream bramleyfall.InstanceID) bool {
	for _, pattern := range service.Allowed {
		if ok, err := path.Match(pattern, string(upstream)); err == nil && ok {
			return true
		}
	}
	return false
}

// AllowedServices returns the services that operators let an upstream serve, by name.
func (s *State) AllowedServices(upstream bramleyfall.InstanceID) []bramleyfall.Service {
	return slices.DeleteFunc(s.Services(), func(service bramleyfall.Service) bool { return !Allows(&service, upstream) })
}

// Drained reports whether operators drain the upstream.
func (s *State) Drained(upstream bramleyfall.InstanceID) bool {
	return s.drained[bramleyfall.UpstreamID(upstream)]
}

// ServiceNameFromKey returns the service that a key configures, and false for other
// keys.
func ServiceNameFromKey(key string) (bramleyfall.ServiceName, bool) {
	name, ok := strings.CutPrefix(key, servicePrefix)
	return bramleyfall.ServiceName(name), ok
}

// ApplyValue takes the newest value of a key without the change that set it. The
// revision stays, so that the change is still asked for.
func (s *State) ApplyValue(c bramleyfall.Change) bool {
	altered, err := s.applyItem(c)
	s.ObserveRevision(c.Revision)
	return altered && err == nil
}

// DomainChange returns a change that sets the state of a failure domain.
func DomainChange(name bramleyfall.DomainName, state bramleyfall.DomainState, revision bramleyfall.Revision) (bramleyfall.Change, error) {
	value, err := json.Marshal(bramleyfall.Domain{Name: name, State: state})
	return bramleyfall.Change{Revision: revision, ID: "notice", Key: DomainKey(name), Value: value}, err
}

// Domains returns the failure domains that operators decided about, in a
// map of the caller's own.
func (s *State) Domains() map[bramleyfall.DomainName]bramleyfall.Domain { return maps.Clone(s.domains) }
