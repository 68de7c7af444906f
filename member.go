package bramleyfall

// Role tells what program an instance runs.
type Role string

// The roles of instances that take part in membership.
const (
	RoleBalancer Role = "Balancer"
	RoleAgent    Role = "Agent"
)

// MemberState is the state of an instance as the members know it. The state
// chart in peer/instance.chart gives the transitions.
type MemberState string

// The states of an instance.
const (
	MemberServing  MemberState = "Serving"
	MemberDraining MemberState = "Draining"
	MemberLost     MemberState = "Lost"
	MemberLeft     MemberState = "Left"
)

// Member is what the fleet knows about one instance. The record with the
// greater Boot, then the greater Version, replaces the other.
type Member struct {
	ID       InstanceID
	Role     Role
	Domain   DomainName
	Boot     BootID
	Version  uint64
	State    MemberState
	Packets  Endpoint
	Control  Endpoint
	Services []ServiceName
	// UpstreamBoot is the boot id of the upstream beside an agent.
	UpstreamBoot BootID
	// Home is the failure domain whose balancers watch an agent.
	Home DomainName
}

// Replaces reports whether m is newer knowledge than old.
func (m *Member) Replaces(old *Member) bool {
	if m.Boot != old.Boot {
		return m.Boot > old.Boot
	}
	return m.Version > old.Version
}

// Key returns the hash of the id that packets carry.
func (m *Member) Key() InstanceKey { return InstanceKeyFor(string(m.ID)) }
