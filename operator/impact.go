package operator

import (
	"fmt"
	"maps"
	"strings"

	"bramleyfall.example/bramleyfall"
)

// Impact is the predicted effect of a command on the services.
type Impact struct {
	Table
	// Unserved lists the services that would lose their last upstream in service.
	Unserved []string
}

// PredictImpact returns the predicted effect of a command on each service whose
// number of serving agents it would change.
func PredictImpact(s *Statement, v *View) Impact {
	outDomains, drained := v.OutDomains(), maps.Clone(v.Drained)
	if drained == nil {
		drained = make(map[bramleyfall.InstanceID]bool)
	}
	switch {
	case s.Take != nil:
		outDomains[bramleyfall.DomainName(s.Take.Value)] = true
	case s.Return != nil:
		delete(outDomains, bramleyfall.DomainName(s.Return.Value))
	case s.Drain != nil:
		drained[bramleyfall.InstanceID(s.Drain.Value)] = true
	case s.Undrain != nil:
		delete(drained, bramleyfall.InstanceID(s.Undrain.Value))
	}
	impact := Impact{Table: Table{Columns: []string{"Service", "ServingNow", "ServingThen", "ShareMoved"}}}
	for i := range v.Services {
		impact.addService(s, v, &v.Services[i], outDomains, drained)
	}
	return impact
}

func (i *Impact) addService(s *Statement, v *View, service *bramleyfall.Service, outDomains map[bramleyfall.DomainName]bool, drained map[bramleyfall.InstanceID]bool) {
	updated := applyForbid(s, service)
	current := v.ServingAgents(service, v.OutDomains(), v.Drained)
	predicted := v.ServingAgents(&updated, outDomains, drained)
	if s.Delete != nil && s.Delete.Value == string(service.Name) {
		predicted = nil
	}
	if len(current) == len(predicted) {
		return
	}
	movedPercent := 100.0
	if larger := max(len(current), len(predicted)); larger > 0 {
		movedPercent = 100 * float64(abs(len(current)-len(predicted))) / float64(larger)
	}
	i.Rows = append(i.Rows, []string{
		string(service.Name), fmt.Sprint(len(current)), fmt.Sprint(len(predicted)), fmt.Sprintf("%.0f%%", movedPercent),
	})
	if len(predicted) == 0 && len(current) > 0 && s.Delete == nil {
		i.Unserved = append(i.Unserved, string(service.Name))
	}
}

func abs(n int) int { return max(n, -n) }

// applyForbid returns the service without the pattern that a forbid command
// removes, or a plain copy for other commands.
func applyForbid(s *Statement, service *bramleyfall.Service) bramleyfall.Service {
	updated := *service
	if s.Forbid == nil || s.Forbid.Service != string(service.Name) {
		return updated
	}
	updated.Allowed = nil
	for _, pattern := range service.Allowed {
		if pattern != s.Forbid.Pattern {
			updated.Allowed = append(updated.Allowed, pattern)
		}
	}
	return updated
}

// checkImpact rejects a command that would assign an address to a second service
// and, unless force is set, one that would leave a service without any upstream
// in service.
func checkImpact(s *Statement, v *View, force bool) error {
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
	var text, serviceName string
	switch {
	case s.Create != nil:
		text, serviceName = s.Create.Address.Address, s.Create.Name
	case s.Add != nil:
		text, serviceName = s.Add.Address.Address, s.Add.Service
	default:
		return nil
	}
	endpoint, protocol, err := parseAddress(text)
	if err != nil {
		return err
	}
	for _, service := range v.Services {
		for _, a := range service.Addresses {
			if string(service.Name) != serviceName && a.Endpoint == endpoint && a.Protocol == protocol {
				return bramleyfall.Errorf(bramleyfall.NotAccepted, "address %s belongs to service %s", text, service.Name)
			}
		}
	}
	return nil
}

// checkTarget rejects a command on an upstream or a failure domain of which no
// instance is known, which is most likely a typing error.
func checkTarget(s *Statement, v *View, force bool) error {
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
