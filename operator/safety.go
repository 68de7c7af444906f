package operator

import (
	"fmt"
	"maps"
	"strings"

	"bramleyfall.example/bramleyfall"
)

// Impact is what a command would do to the services.
type Impact struct {
	Table
	// Unserved holds the services that would have no upstream in service.
	Unserved []string
}

// PredictImpact returns what a command would change for each service that it
// concerns.
func PredictImpact(s *Statement, v *View) Impact {
	out, drained := v.OutDomains(), maps.Clone(v.Drained)
	if drained == nil {
		drained = make(map[bramleyfall.InstanceID]bool)
	}
	switch {
	case s.Take != nil:
		out[bramleyfall.DomainName(s.Take.Value)] = true
	case s.Return != nil:
		delete(out, bramleyfall.DomainName(s.Return.Value))
	case s.Drain != nil:
		drained[bramleyfall.InstanceID(s.Drain.Value)] = true
	case s.Undrain != nil:
		delete(drained, bramleyfall.InstanceID(s.Undrain.Value))
	}
	impact := Impact{Table: Table{Columns: []string{"Service", "ServingNow", "ServingThen", "ShareMoved"}}}
	for i := range v.Services {
		impact.addService(s, v, &v.Services[i], out, drained)
	}
	return impact
}

func (i *Impact) addService(s *Statement, v *View, service *bramleyfall.Service, out map[bramleyfall.DomainName]bool, drained map[bramleyfall.InstanceID]bool) {
	next := edited(s, service)
	now := v.ServingAgents(service, v.OutDomains(), v.Drained)
	then := v.ServingAgents(&next, out, drained)
	if s.Delete != nil && s.Delete.Value == string(service.Name) {
		then = nil
	}
	if len(now) == len(then) {
		return
	}
	moved := 100.0
	if most := max(len(now), len(then)); most > 0 {
		moved = 100 * float64(abs(len(now)-len(then))) / float64(most)
	}
	i.Rows = append(i.Rows, []string{
		string(service.Name), fmt.Sprint(len(now)), fmt.Sprint(len(then)), fmt.Sprintf("%.0f%%", moved),
	})
	if len(then) == 0 && len(now) > 0 && s.Delete == nil {
		i.Unserved = append(i.Unserved, string(service.Name))
	}
}

func abs(n int) int { return max(n, -n) }

// edited returns the service as the command would leave it.
func edited(s *Statement, service *bramleyfall.Service) bramleyfall.Service {
	next := *service
	if s.Forbid == nil || s.Forbid.Service != string(service.Name) {
		return next
	}
	next.Allowed = nil
	for _, pattern := range service.Allowed {
		if pattern != s.Forbid.Pattern {
			next.Allowed = append(next.Allowed, pattern)
		}
	}
	return next
}

// checkSafe refuses a command that leaves a service without any upstream, and
// one that would give an address to two services.
func checkSafe(s *Statement, v *View, force bool) error {
	if err := checkAddressFree(s, v); err != nil {
		return err
	}
	if unserved := PredictImpact(s, v).Unserved; len(unserved) > 0 && !force {
		return bramleyfall.Errorf(bramleyfall.Unsafe, "the command leaves %s without any upstream in service; use --force to do it all the same",
			strings.Join(unserved, ", "))
	}
	return nil
}

func checkAddressFree(s *Statement, v *View) error {
	var text, owner string
	switch {
	case s.Create != nil:
		text, owner = s.Create.Address.Address, s.Create.Name
	case s.Add != nil:
		text, owner = s.Add.Address.Address, s.Add.Service
	default:
		return nil
	}
	endpoint, protocol, err := parseAddress(text)
	if err != nil {
		return err
	}
	for _, service := range v.Services {
		for _, a := range service.Addresses {
			if string(service.Name) != owner && a.Endpoint == endpoint && a.Protocol == protocol {
				return bramleyfall.Errorf(bramleyfall.NotAccepted, "address %s belongs to service %s", text, service.Name)
			}
		}
	}
	return nil
}

// knownTarget refuses a command about an upstream or a domain that nobody has
// heard of, which is most likely a typing error.
func knownTarget(s *Statement, v *View, force bool) error {
	if force {
		return nil
	}
	if s.Drain != nil && !v.hasMember(func(m *bramleyfall.Member) bool { return string(m.ID) == s.Drain.Value }) {
		return bramleyfall.Errorf(bramleyfall.NotAccepted, "no upstream %s is known; use --force to drain it all the same", s.Drain.Value)
	}
	if s.Take != nil && !v.hasMember(func(m *bramleyfall.Member) bool { return string(m.Domain) == s.Take.Value }) {
		return bramleyfall.Errorf(bramleyfall.NotAccepted, "no instance of failure domain %s is known; use --force to take it out all the same", s.Take.Value)
	}
	return nil
}

func (v *View) hasMember(match func(*bramleyfall.Member) bool) bool {
	for i := range v.Members {
		if match(&v.Members[i]) {
			return true
		}
	}
	return false
}
