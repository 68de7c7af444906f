package main

import "time"

const (
	// startupWait is the time for which forwarding is suspended after the start,
	// while agents announce themselves.
	startupWait = 2500 * time.Millisecond
	// maxJoinWait is the maximum time for which forwarding is suspended after the
	// start to receive the membership from a peer.
	maxJoinWait = 6 * time.Second
	// partitionRecoveryTime is the time for which forwarding is suspended after
	// the end of a network partition, while the membership of the other side
	// arrives.
	partitionRecoveryTime = 3 * time.Second
)

// suspendReason is the reason why a balancer does not forward packets.
type suspendReason string

const (
	suspendNone        suspendReason = ""
	suspendStarting    suspendReason = "Starting"
	suspendPartitioned suspendReason = "CutOff"
)

// forwardingState is the state from which the controller determines whether the
// balancer's view of the deployment is complete enough to forward packets.
type forwardingState struct {
	started         time.Time
	lastPartitioned time.Time
	reason          suspendReason
	// otherDomainsGone is set while the platform responds and lists no contact of
	// another failure domain. The leases of those balancers have expired, so they
	// are down rather than partitioned.
	otherDomainsGone bool
}

// updateForwarding suspends forwarding while the balancer starts or is partitioned
// from all other failure domains or from all peers, and logs each change.
func (c *controller) updateForwarding(now time.Time) {
	reason := c.suspendReason(now)
	if reason == c.forwarding.reason {
		return
	}
	c.telemetry.Log.Warn().Str("Event", "Hold").Str("Reason", string(reason)).Str("Before", string(c.forwarding.reason)).Msg("")
	c.forwarding.reason = reason
	c.guard.SetSuspended(reason != suspendNone)
}

// suspendReason returns the reason to suspend forwarding at now, or suspendNone.
func (c *controller) suspendReason(now time.Time) suspendReason {
	age := now.Sub(c.forwarding.started)
	if age < startupWait || !c.node.Joined() && age < maxJoinWait {
		return suspendStarting
	}
	partitioned := c.node.Partitioned() && !c.forwarding.otherDomainsGone
	if partitioned || c.node.Isolated(now) && !c.node.NoLivePeers() {
		c.forwarding.lastPartitioned = now
	}
	if !c.forwarding.lastPartitioned.IsZero() && now.Sub(c.forwarding.lastPartitioned) < partitionRecoveryTime {
		return suspendPartitioned
	}
	return suspendNone
}
