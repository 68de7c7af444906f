package bramleyfall

// Role is the kind of program that an instance runs.
type Role string

// Roles of the instances that participate in membership.
const (
	RoleBalancer Role = "Balancer"
	RoleAgent    Role = "Agent"
)

// MemberState is the state of an instance as seen by the other members. The
// state chart peer/instance.chart defines the transitions.
type MemberState string

// States of an instance.
const (
	MemberServing  MemberState = "Serving"
	MemberDraining MemberState = "Draining"
	MemberLost     MemberState = "Lost"
	MemberLeft     MemberState = "Left"
)

// Member is the membership record of an instance. Of two records, the one with
// the greater Boot, then the greater Version, supersedes the other.
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
	// UpstreamBoot is the boot ID of an agent's upstream.
	UpstreamBoot BootID
	// Home is the failure domain whose balancers monitor an agent.
	Home DomainName
}

// Replaces reports whether m supersedes old.
func (m *Member) Replaces(old *Member) bool {
	if m.Boot != old.Boot {
		return m.Boot > old.Boot
	}
	return m.Version > old.Version
}

// Key returns the key for the member's ID.
func (m *Member) Key() InstanceKey { return InstanceKeyFor(string(m.ID)) }
