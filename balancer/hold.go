package main

import "time"

const (
	// startHold is the time after the start in which agents announce themselves.
	startHold = 2500 * time.Millisecond
	// joinLimit is the longest time for which a started balancer waits for the
	// membership of a peer.
	joinLimit = 6 * time.Second
	// cutHold is the time after the end of a cut in which the membership of the
	// other side arrives.
	cutHold = 3 * time.Second
)

// holdReason tells why a balancer does not forward.
type holdReason string

const (
	holdNone     holdReason = ""
	holdStarting holdReason = "Starting"
	holdCutOff   holdReason = "CutOff"
)

// holdJudge judges whether the balancer knows enough to forward.
type holdJudge struct {
	started time.Time
	lastCut time.Time
	reason  holdReason
	// othersDead is set while the platform answers and holds no contact point of
	// another failure domain: their leases have lapsed.
	othersDead bool
}

// judge holds forwarding while the balancer starts or is cut off from all other
// failure domains, and logs each change.
func (c *controller) judge(now time.Time) {
	reason := c.holdReason(now)
	if reason == c.hold.reason {
		return
	}
	c.telemetry.Log.Warn().Str("Event", "Hold").Str("Reason", string(reason)).Str("Before", string(c.hold.reason)).Msg("")
	c.hold.reason = reason
	c.fresh.Hold(reason != holdNone)
}

func (c *controller) holdReason(now time.Time) holdReason {
	age := now.Sub(c.hold.started)
	if age < startHold || !c.node.Joined() && age < joinLimit {
		return holdStarting
	}
	cutOff := c.node.CutOff() && !c.hold.othersDead
	if cutOff || c.node.Isolated(now) && !c.node.Alone() {
		c.hold.lastCut = now
	}
	if !c.hold.lastCut.IsZero() && now.Sub(c.hold.lastCut) < cutHold {
		return holdCutOff
	}
	return holdNone
}
