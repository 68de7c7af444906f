package bramleyfall

import "time"

// Heartbeat is what an upstream says of itself to the agent beside it.
type Heartbeat struct {
	Upstream UpstreamID
	// Boot is when this run of the upstream started, by its own clock.
	Boot     BootID
	Service  ServiceName
	Domain   DomainName
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the upstream stays slow after its start.
	ColdRemaining time.Duration
	// Sequence rises with each heartbeat of a run.
	Sequence uint64
}

// HeartbeatHandler takes what the upstream beside an agent says of itself.
type HeartbeatHandler interface {
	// HandleHeartbeat takes a heartbeat. Its acknowledgement follows.
	HandleHeartbeat(h Heartbeat)
	// HandleDeregistration takes the word of an upstream that it ends.
	HandleDeregistration(id UpstreamID)
	// HandleMalformed takes the fault of a heartbeat that can't be read.
	HandleMalformed(err error)
}

// Announcement is an agent's entry in the store: where the upstream beside it
// is reached.
type Announcement struct {
	Instance InstanceID
	Upstream UpstreamID
	Boot     BootID
	Service  ServiceName
	Domain   DomainName
	Packets  Endpoint
	Slots    int
}

// Load is what an agent tells balancers of its upstream.
type Load struct {
	State UpstreamState
	// Slots is the number of requests that the upstream runs at once.
	Slots uint16
	// Busy is the number of requests under way, and openings whose request is
	// still to come.
	Busy uint16
	// Flows is the number of open flows.
	Flows uint16
	// Utilization is the mean of Busy over Slots in the last second, in 1/1000.
	Utilization uint16
}

// UpstreamState tells what an upstream takes.
type UpstreamState string

// The states of an upstream.
const (
	// UpstreamUnknown means that the agent has not heard from the upstream.
	UpstreamUnknown UpstreamState = "Unknown"
	// UpstreamCold takes new flows at a limited rate.
	UpstreamCold UpstreamState = "Cold"
	// UpstreamReady takes new flows.
	UpstreamReady UpstreamState = "Ready"
	// UpstreamFailing breaks requests off. It takes new flows only where nobody
	// else does.
	UpstreamFailing UpstreamState = "Failing"
	// UpstreamTrial was failing and takes single requests that may be repeated.
	UpstreamTrial UpstreamState = "Trial"
	// UpstreamDraining takes no new flows.
	UpstreamDraining UpstreamState = "Draining"
	// UpstreamSilent does not answer packets.
	UpstreamSilent UpstreamState = "Silent"
)
