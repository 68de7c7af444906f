package peer

import (
	"encoding/binary"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

// roles and states define the numeric codes in messages: the code of a value is
// its index.
var (
	roles  = []bramleyfall.Role{bramleyfall.RoleBalancer, bramleyfall.RoleAgent}
	states = []bramleyfall.MemberState{
		bramleyfall.MemberServing, bramleyfall.MemberDraining, bramleyfall.MemberLost, bramleyfall.MemberLeft,
	}
)

func fromEndpoint(e bramleyfall.Endpoint) *peerpb.Endpoint {
	return &peerpb.Endpoint{Ip: binary.BigEndian.Uint32(e.IP[:]), Port: uint32(e.Port)}
}

func toEndpoint(e *peerpb.Endpoint) bramleyfall.Endpoint {
	var endpoint bramleyfall.Endpoint
	if e == nil {
		return endpoint
	}
	binary.BigEndian.PutUint32(endpoint.IP[:], e.Ip)
	endpoint.Port = uint16(e.Port)
	return endpoint
}

func fromMember(m *bramleyfall.Member) *peerpb.Member {
	services := make([]string, len(m.Services))
	for i, s := range m.Services {
		services[i] = string(s)
	}
	return &peerpb.Member{
		Id: string(m.ID), Role: uint32(slices.Index(roles, m.Role)), Domain: string(m.Domain),
		Boot: uint64(m.Boot), Version: m.Version, State: uint32(slices.Index(states, m.State)),
		Packets: fromEndpoint(m.Packets), Control: fromEndpoint(m.Control),
		Services: services, UpstreamBoot: uint64(m.UpstreamBoot), Home: string(m.Home),
	}
}

// toMember converts a record. It returns false if the record is malformed.
func toMember(p *peerpb.Member) (bramleyfall.Member, bool) {
	if p == nil || p.Id == "" || int(p.Role) >= len(roles) || int(p.State) >= len(states) {
		return bramleyfall.Member{}, false
	}
	services := make([]bramleyfall.ServiceName, len(p.Services))
	for i, s := range p.Services {
		services[i] = bramleyfall.ServiceName(s)
	}
	return bramleyfall.Member{
		ID: bramleyfall.InstanceID(p.Id), Role: roles[p.Role], Domain: bramleyfall.DomainName(p.Domain),
		Boot: bramleyfall.BootID(p.Boot), Version: p.Version, State: states[p.State],
		Packets: toEndpoint(p.Packets), Control: toEndpoint(p.Control),
		Services: services, UpstreamBoot: bramleyfall.BootID(p.UpstreamBoot), Home: bramleyfall.DomainName(p.Home),
	}, true
}

func fromChange(c bramleyfall.Change) *peerpb.Change {
	return &peerpb.Change{
		Revision: uint64(c.Revision), Id: string(c.ID), Key: c.Key, Value: c.Value,
		Actor: c.Actor, AtUnixNanos: c.At.UnixNano(),
	}
}

func toChange(c *peerpb.Change) bramleyfall.Change {
	change := bramleyfall.Change{
		Revision: bramleyfall.Revision(c.Revision), ID: bramleyfall.ChangeID(c.Id), Key: c.Key,
		Actor: c.Actor, At: time.Unix(0, c.AtUnixNanos).UTC(),
	}
	if len(c.Value) > 0 {
		change.Value = c.Value
	}
	return change
}

func fromChanges(changes []bramleyfall.Change) []*peerpb.Change {
	out := make([]*peerpb.Change, len(changes))
	for i, c := range changes {
		out[i] = fromChange(c)
	}
	return out
}

func toChanges(changes []*peerpb.Change) []bramleyfall.Change {
	out := make([]bramleyfall.Change, len(changes))
	for i, c := range changes {
		out[i] = toChange(c)
	}
	return out
}
