package bramleyfall

import (
	"math"
	"time"
)

// MaxSlots is the largest number of slots of an upstream that messages between agents and
// balancers can represent.
const MaxSlots = math.MaxUint16

// Heartbeat is a status report from an upstream to its agent.
type Heartbeat struct {
	Upstream UpstreamID
	// Boot is the start time of this run of the upstream, by its own clock.
	Boot     BootID
	Service  ServiceName
	Domain   DomainName
	Slots    int
	Draining bool
	// ColdRemaining is the time until the upstream, after a start, reaches its
	// full speed.
	ColdRemaining time.Duration
	// Sequence increases with each heartbeat of a run.
	Sequence uint64
}

// HeartbeatHandler processes the messages from an upstream to its agent.
type HeartbeatHandler interface {
	// HandleHeartbeat processes a heartbeat. The heartbeat is acknowledged
	// after HandleHeartbeat returns.
	HandleHeartbeat(h Heartbeat)
	// HandleDeregistration processes an upstream's notice that it is shutting
	// down.
	HandleDeregistration(id UpstreamID)
	// HandleMalformed processes the error from decoding a heartbeat.
	HandleMalformed(err error)
}

// Announcement is an agent's entry in the store. It tells the balancers how to
// reach the agent's upstream.
type Announcement struct {
	Instance InstanceID
	Upstream UpstreamID
	Boot     BootID
	Service  ServiceName
	Domain   DomainName
	Packets  Endpoint
	Slots    int
}

// Load is the state and load of an upstream as its agent reports them to the
// balancers.
type Load struct {
	State UpstreamState
	// Slots is the number of requests that the upstream processes concurrently.
	Slots uint16
	// Busy is the number of requests in progress plus the number of opened flows
	// whose request has not arrived yet.
	Busy uint16
	// Flows is the number of open flows.
	Flows uint16
	// Utilization is the mean of Busy/Slots over the last second, in units of
	// 1/1000.
	Utilization uint16
}

// UpstreamState tells which new flows an upstream accepts.
type UpstreamState string

// States of an upstream.
const (
	// UpstreamUnknown means that the agent has not heard from the upstream yet.
	UpstreamUnknown UpstreamState = "Unknown"
	// UpstreamCold accepts new flows at a limited rate.
	UpstreamCold UpstreamState = "Cold"
	// UpstreamReady accepts new flows.
	UpstreamReady UpstreamState = "Ready"
	// UpstreamFailing aborts requests. It receives new flows only if no other
	// upstream accepts them.
	UpstreamFailing UpstreamState = "Failing"
	// UpstreamTrial was failing and receives single idempotent requests to test
	// whether it has recovered.
	UpstreamTrial UpstreamState = "Trial"
	// UpstreamDraining accepts no new flows.
	UpstreamDraining UpstreamState = "Draining"
	// UpstreamSilent does not respond to packets.
	UpstreamSilent UpstreamState = "Silent"
)
