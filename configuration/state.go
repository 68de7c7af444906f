// Package configuration holds an instance's replica of the operators'
// configuration: the latest change of each key, and the revision up to which no
// change is missing. Balancers and agents apply the changes and snapshots that
// they receive, in any order; a key never reverts to an older change. Package
// etcd commits changes, package peer distributes them.
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
	// MaxLogLength is the number of changes retained for peers that have an older
	// revision.
	MaxLogLength = 1000
)

// ServiceKey returns the key of a service's configuration.
func ServiceKey(name bramleyfall.ServiceName) string { return servicePrefix + string(name) }

// DomainKey returns the key of a failure domain's configuration.
func DomainKey(name bramleyfall.DomainName) string { return domainPrefix + string(name) }

// UpstreamKey returns the key of an upstream's configuration.
func UpstreamKey(id bramleyfall.UpstreamID) string { return upstreamPrefix + string(id) }

// State is a replica of the configuration. It is not safe for concurrent use.
// The zero value is not usable; call New.
type State struct {
	// latest holds the latest change of each key, including deletions.
	latest map[string]bramleyfall.Change
	// services, domains and drained hold the decoded values of latest.
	services map[bramleyfall.ServiceName]bramleyfall.Service
	domains  map[bramleyfall.DomainName]bramleyfall.Domain
	drained  map[bramleyfall.UpstreamID]bool
	// log holds recent changes by revision, including those beyond a gap.
	log map[bramleyfall.Revision]bramleyfall.Change
	// revision is the revision up to which all changes are known.
	revision bramleyfall.Revision
	// newest is the greatest revision received in a change or reported by
	// an instance.
	newest bramleyfall.Revision
}

// New returns an empty configuration at revision 0.
func New() *State {
	return &State{
		latest:   make(map[string]bramleyfall.Change),
		services: make(map[bramleyfall.ServiceName]bramleyfall.Service),
		domains:  make(map[bramleyfall.DomainName]bramleyfall.Domain),
		drained:  make(map[bramleyfall.UpstreamID]bool),
		log:      make(map[bramleyfall.Revision]bramleyfall.Change),
	}
}

// Revision returns the revision up to which all changes are known.
func (s *State) Revision() bramleyfall.Revision { return s.revision }

// NewestRevision returns the greatest revision known to exist, some of whose
// changes may still be missing.
func (s *State) NewestRevision() bramleyfall.Revision { return s.newest }

// ObserveRevision records that another instance has the given revision.
func (s *State) ObserveRevision(revision bramleyfall.Revision) { s.newest = max(s.newest, revision) }

// Apply applies a change and reports whether it modified the configuration. A
// change takes effect if it is newer than the latest change of its key, even if
// changes of other keys are still missing. A malformed change counts as known
// but has no effect; the error describes the fault.
func (s *State) Apply(c bramleyfall.Change) (bool, error) {
	if c.Revision == 0 {
		return false, bramleyfall.Errorf(bramleyfall.NotAccepted, "change %s has no revision", c.ID)
	}
	modified, err := s.applyIfNewer(c)
	s.ObserveRevision(c.Revision)
	if c.Revision > s.revision {
		s.log[c.Revision] = c
		s.advance()
	}
	return modified, err
}

// applyIfNewer applies a change that is newer than the latest change of its key.
func (s *State) applyIfNewer(c bramleyfall.Change) (bool, error) {
	if old, ok := s.latest[c.Key]; ok && old.Revision >= c.Revision {
		return false, nil
	}
	if err := s.setValue(c); err != nil {
		return false, err
	}
	s.latest[c.Key] = c
	return true, nil
}

// advance raises the revision over the logged changes that follow it without a
// gap and trims the log to MaxLogLength.
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

// setValue updates the decoded value of the key.
func (s *State) setValue(c bramleyfall.Change) error {
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
	var settings bramleyfall.UpstreamSettings
	if c.Value != nil {
		if err := decode(c, &settings); err != nil {
			return err
		}
	}
	if settings.Drained {
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

// ApplySnapshot applies a snapshot, which holds the latest change of every key
// at revision, and returns the modified keys. A key that is not in the snapshot
// is deleted unless its latest change is newer than the snapshot. A snapshot
// older than Revision has no effect.
func (s *State) ApplySnapshot(changes []bramleyfall.Change, revision bramleyfall.Revision) []string {
	if revision < s.revision {
		return nil
	}
	var modified []string
	present := make(map[string]bool, len(changes))
	for _, c := range changes {
		present[c.Key] = true
		if ok, err := s.applyIfNewer(c); err == nil && ok {
			modified = append(modified, c.Key)
		}
	}
	for key, c := range s.latest {
		if present[key] || c.Revision > revision || c.Value == nil {
			continue
		}
		deletion := bramleyfall.Change{Revision: revision, ID: "snapshot", Key: key}
		if ok, err := s.applyIfNewer(deletion); err == nil && ok {
			modified = append(modified, key)
		}
	}
	s.revision = revision
	s.ObserveRevision(revision)
	s.advance()
	return modified
}

// ChangesAfter returns the changes after revision in ascending order, or false
// if the log does not hold all of them.
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

// Snapshot returns the latest change of every key that is not deleted, in
// ascending order of revision.
func (s *State) Snapshot() []bramleyfall.Change {
	changes := make([]bramleyfall.Change, 0, len(s.latest))
	for _, c := range s.latest {
		if c.Value != nil {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b bramleyfall.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}

// LatestChange returns the latest change of a key. It is a deletion if its Value
// is nil.
func (s *State) LatestChange(key string) (bramleyfall.Change, bool) {
	c, ok := s.latest[key]
	return c, ok
}

// ChangeByID returns the change with the given id if it is in the log.
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
// operators never configured is in service.
func (s *State) DomainState(name bramleyfall.DomainName) bramleyfall.DomainState {
	if d, ok := s.domains[name]; ok {
		return d.State
	}
	return bramleyfall.DomainIn
}

// DomainGracePeriod is the time for which the upstreams of a failure domain may
// still answer requests in progress after a change that takes the domain out of
// service was accepted.
const DomainGracePeriod = 2500 * time.Millisecond

// DomainInGracePeriod reports whether a failure domain was taken out of service
// less than DomainGracePeriod ago. The time counts from the acceptance of the
// change, so that an instance that receives the change late does not extend it.
func (s *State) DomainInGracePeriod(name bramleyfall.DomainName, now time.Time) bool {
	c, ok := s.latest[DomainKey(name)]
	if !ok || s.DomainState(name) != bramleyfall.DomainOut {
		return false
	}
	age := now.Sub(c.At)
	return age < DomainGracePeriod && age > -DomainGracePeriod
}

// GraceUntil returns the time until which an agent of a failure domain lets
// requests in progress finish. It is now if the domain is not in its grace period.
func (s *State) GraceUntil(name bramleyfall.DomainName, now time.Time) time.Time {
	if !s.DomainInGracePeriod(name, now) {
		return now
	}
	until := s.latest[DomainKey(name)].At.Add(DomainGracePeriod)
	if limit := now.Add(DomainGracePeriod); until.After(limit) {
		return limit
	}
	return until
}

// Allows reports whether operators allow the upstream to serve the service.
func Allows(service *bramleyfall.Service, upstream bramleyfall.InstanceID) bool {
	for _, pattern := range service.Allowed {
		if ok, err := path.Match(pattern, string(upstream)); err == nil && ok {
			return true
		}
	}
	return false
}

// AllowedServices returns the services that operators allow the upstream to
// serve, sorted by name.
func (s *State) AllowedServices(upstream bramleyfall.InstanceID) []bramleyfall.Service {
	return slices.DeleteFunc(s.Services(), func(service bramleyfall.Service) bool { return !Allows(&service, upstream) })
}

// Drained reports whether operators have drained the upstream.
func (s *State) Drained(upstream bramleyfall.InstanceID) bool {
	return s.drained[bramleyfall.UpstreamID(upstream)]
}

// ServiceNameFromKey returns the service that a key configures, or false if it
// is not the key of a service.
func ServiceNameFromKey(key string) (bramleyfall.ServiceName, bool) {
	name, ok := strings.CutPrefix(key, servicePrefix)
	return bramleyfall.ServiceName(name), ok
}

// ApplyValue applies a value that was received without the full change that set
// it, and reports whether it modified the configuration. It does not advance
// Revision, so that the change itself is still requested.
func (s *State) ApplyValue(c bramleyfall.Change) bool {
	modified, err := s.applyIfNewer(c)
	s.ObserveRevision(c.Revision)
	return modified && err == nil
}

// DomainChange returns a change for ApplyValue that sets the state of a failure
// domain.
func DomainChange(name bramleyfall.DomainName, state bramleyfall.DomainState, revision bramleyfall.Revision) (bramleyfall.Change, error) {
	value, err := json.Marshal(bramleyfall.Domain{Name: name, State: state})
	return bramleyfall.Change{Revision: revision, ID: "notice", Key: DomainKey(name), Value: value}, err
}

// Domains returns a copy of the configuration of failure domains. It lacks
// domains that operators never configured.
func (s *State) Domains() map[bramleyfall.DomainName]bramleyfall.Domain { return maps.Clone(s.domains) }
