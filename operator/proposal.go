package operator

import (
	"encoding/json"
	"path"
	"slices"
	"strings"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/etcd"
)

// splitProtocol splits "address/protocol".
func splitProtocol(text string) (address, protocol string, ok bool) { return strings.Cut(text, "/") }

// Propose converts a command to a proposed change. It returns an error if the
// command is invalid regardless of the configuration.
func Propose(s *Statement) (etcd.Proposal, error) {
	switch {
	case s.Create != nil:
		return proposeCreate(s.Create)
	case s.Add != nil:
		return proposeAdd(s.Add)
	case s.Remove != nil:
		return proposeRemove(s.Remove)
	case s.Allow != nil:
		return proposePermit(s.Allow, true)
	case s.Forbid != nil:
		return proposePermit(s.Forbid, false)
	case s.Drain != nil:
		return proposeDrain(s.Drain.Value, true)
	case s.Undrain != nil:
		return proposeDrain(s.Undrain.Value, false)
	case s.Take != nil:
		return proposeDomain(s.Take.Value, configuration.DomainTakenOut)
	case s.Return != nil:
		return proposeDomain(s.Return.Value, configuration.DomainReturned)
	case s.Set != nil:
		return proposeSet(s.Set)
	case s.Delete != nil:
		return proposeDelete(s.Delete.Value)
	}
	return etcd.Proposal{}, bramleyfall.Errorf(bramleyfall.BadStatement, "the statement is not a command")
}

// proposeUpdate returns a proposal that updates an existing service.
func proposeUpdate(name string, update func(*bramleyfall.Service) error) etcd.Proposal {
	return etcd.Proposal{
		Key: configuration.ServiceKey(bramleyfall.ServiceName(name)),
		Edit: func(current json.RawMessage) (json.RawMessage, error) {
			if current == nil {
				return nil, bramleyfall.Errorf(bramleyfall.NoService, "there is no service %s", name)
			}
			var service bramleyfall.Service
			if err := json.Unmarshal(current, &service); err != nil {
				return nil, err
			}
			if err := update(&service); err != nil {
				return nil, err
			}
			return json.Marshal(service)
		},
	}
}

// proposeValue returns a proposal that sets a key regardless of its current value.
func proposeValue(key string, value any) etcd.Proposal {
	return etcd.Proposal{
		Key:  key,
		Edit: func(json.RawMessage) (json.RawMessage, error) { return json.Marshal(value) },
	}
}

func parseServiceAddress(a *Address) (bramleyfall.ServiceAddress, error) {
	endpoint, protocol, err := parseAddress(a.Address)
	class := bramleyfall.TrafficClass(a.Class)
	if class == "" {
		class = bramleyfall.ClassOrders
	}
	return bramleyfall.ServiceAddress{Endpoint: endpoint, Protocol: protocol, Class: class}, err
}

func checkName(name string) error {
	if strings.ContainsAny(name, "/*?[]\\") || len(name) > 64 {
		return bramleyfall.Errorf(bramleyfall.BadStatement, "%q is not a name: up to 64 characters, none of / * ? [ ] \\", name)
	}
	return nil
}

func checkPattern(pattern string) error {
	if _, err := path.Match(pattern, ""); err != nil {
		return bramleyfall.Errorf(bramleyfall.BadStatement, "pattern %q: %v", pattern, err)
	}
	return nil
}

func proposeCreate(c *Create) (etcd.Proposal, error) {
	if err := checkName(c.Name); err != nil {
		return etcd.Proposal{}, err
	}
	address, err := parseServiceAddress(c.Address)
	if err != nil {
		return etcd.Proposal{}, err
	}
	for _, pattern := range c.Allow {
		if err := checkPattern(pattern); err != nil {
			return etcd.Proposal{}, err
		}
	}
	service := bramleyfall.Service{
		Name: bramleyfall.ServiceName(c.Name), Addresses: []bramleyfall.ServiceAddress{address}, Allowed: c.Allow,
	}
	return etcd.Proposal{
		Key: configuration.ServiceKey(service.Name),
		Edit: func(current json.RawMessage) (json.RawMessage, error) {
			if current != nil {
				return nil, bramleyfall.Errorf(bramleyfall.NotAccepted, "service %s exists already", c.Name)
			}
			return json.Marshal(service)
		},
	}, nil
}

func proposeAdd(a *Add) (etcd.Proposal, error) {
	address, err := parseServiceAddress(a.Address)
	return proposeUpdate(a.Service, func(s *bramleyfall.Service) error {
		if slices.ContainsFunc(s.Addresses, func(other bramleyfall.ServiceAddress) bool { return sameAddress(other, address) }) {
			return bramleyfall.Errorf(bramleyfall.NotAccepted, "service %s has address %s already", s.Name, a.Address.Address)
		}
		s.Addresses = append(s.Addresses, address)
		return nil
	}), err
}

func sameAddress(a, b bramleyfall.ServiceAddress) bool {
	return a.Endpoint == b.Endpoint && a.Protocol == b.Protocol
}

func proposeRemove(r *Remove) (etcd.Proposal, error) {
	endpoint, protocol, err := parseAddress(r.Address)
	removed := bramleyfall.ServiceAddress{Endpoint: endpoint, Protocol: protocol}
	return proposeUpdate(r.Service, func(s *bramleyfall.Service) error {
		count := len(s.Addresses)
		s.Addresses = slices.DeleteFunc(s.Addresses, func(other bramleyfall.ServiceAddress) bool { return sameAddress(other, removed) })
		if len(s.Addresses) == count {
			return bramleyfall.Errorf(bramleyfall.NotAccepted, "service %s has no address %s", s.Name, r.Address)
		}
		return nil
	}), err
}

func proposePermit(p *Permit, allow bool) (etcd.Proposal, error) {
	return proposeUpdate(p.Service, func(s *bramleyfall.Service) error {
		present := slices.Contains(s.Allowed, p.Pattern)
		switch {
		case allow && !present:
			s.Allowed = append(s.Allowed, p.Pattern)
		case !allow && !present:
			return bramleyfall.Errorf(bramleyfall.NotAccepted, "service %s does not allow %q; it allows %s",
				s.Name, p.Pattern, strings.Join(s.Allowed, ", "))
		case !allow:
			s.Allowed = slices.DeleteFunc(s.Allowed, func(pattern string) bool { return pattern == p.Pattern })
		}
		return nil
	}), checkPattern(p.Pattern)
}

func proposeDrain(id string, drained bool) (etcd.Proposal, error) {
	settings := bramleyfall.UpstreamSettings{ID: bramleyfall.UpstreamID(id), Drained: drained}
	return proposeValue(configuration.UpstreamKey(settings.ID), settings), checkName(id)
}

func proposeDomain(name string, event configuration.DomainEvent) (etcd.Proposal, error) {
	return etcd.Proposal{
		Key: configuration.DomainKey(bramleyfall.DomainName(name)),
		Edit: func(current json.RawMessage) (json.RawMessage, error) {
			domain := bramleyfall.Domain{Name: bramleyfall.DomainName(name), State: bramleyfall.DomainIn}
			if current != nil {
				if err := json.Unmarshal(current, &domain); err != nil {
					return nil, err
				}
			}
			var err error
			if domain.State, err = configuration.NextDomainState(domain.State, event); err != nil {
				return nil, err
			}
			return json.Marshal(domain)
		},
	}, checkName(name)
}

func proposeSet(s *Set) (etcd.Proposal, error) {
	value, err := parseDuration(s.Value)
	return proposeUpdate(s.Service, func(service *bramleyfall.Service) error {
		if s.Property == "WarmUp" {
			service.WarmUp = value
			return nil
		}
		service.SilentAfter = value
		return nil
	}), err
}

func proposeDelete(name string) (etcd.Proposal, error) {
	return etcd.Proposal{
		Key: configuration.ServiceKey(bramleyfall.ServiceName(name)),
		Edit: func(current json.RawMessage) (json.RawMessage, error) {
			if current == nil {
				return nil, bramleyfall.Errorf(bramleyfall.NoService, "there is no service %s", name)
			}
			return nil, nil
		},
	}, nil
}
