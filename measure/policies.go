package main

import (
	"time"

	"bramleyfall.example/bramleyfall/admission"
	"bramleyfall.example/bramleyfall/placement"
)

// policy changes what decisions are made by.
type policy struct {
	placement []placement.Option
	admission []admission.Option
}

func placing(o placement.Option) policy { return policy{placement: []placement.Option{o}} }

func admitting(o admission.Option) policy { return policy{admission: []admission.Option{o}} }

// never is longer than any wait of a caller.
const never = time.Minute

// switches turn mechanisms off, by their names.
var switches = map[string]policy{
	// SecondOffers has an opening that one upstream refused offered to others.
	"SecondOffers": placing(func(c *placement.Config) { c.MaxAttempts = 1 }),
	// Queue lets openings wait for a slot when none is free.
	"Queue": admitting(func(c *admission.Config) { c.QueuePerSlot = 0 }),
	// QueueByObjective bounds the wait by the objective.
	"QueueByObjective": admitting(func(c *admission.Config) { c.ObjectiveShare, c.ColdObjectiveShare = 1000, 1000 }),
	// ColdQueue keeps the queue of a cold upstream shorter.
	"ColdQueue": admitting(func(c *admission.Config) { c.ColdObjectiveShare = c.ObjectiveShare }),
	// QueueForOrders keeps half of a standing queue for orders.
	"QueueForOrders": admitting(func(c *admission.Config) { c.LowPriorityQueueShare = 1 }),
	// RemoteCost prefers upstreams of the own failure domain.
	"RemoteCost": placing(func(c *placement.Config) { c.RemoteCost = 0 }),
	// ColdCost prefers upstreams that aren't cold.
	"ColdCost": placing(func(c *placement.Config) { c.ColdCost = 0 }),
	// SilentGivenUp ends flows whose agents are silent.
	"SilentGivenUp": placing(func(c *placement.Config) { c.FlowLossTimeout, c.UnheardFlowLossTimeout = never, never }),
	// HeldUpWaitedFor waits longer for silent agents that were heard, or for orders.
	"HeldUpWaitedFor": placing(func(c *placement.Config) { c.FlowLossTimeout = c.UnheardFlowLossTimeout }),
	// OwnDomainFirst asks the agents of the own failure domain first for a flow.
	"OwnDomainFirst": placing(func(c *placement.Config) { c.OwnDomainFirst = false }),
	// YoungDeny has agents whose upstream started with them deny unknown flows.
	"YoungDeny": admitting(func(c *admission.Config) { c.DenyUnknownFlowsIfNew = false }),
}

// without returns the policy with some mechanisms turned off.
func without(names []string) policy {
	var p policy
	for _, name := range names {
		p.placement = append(p.placement, switches[name].placement...)
		p.admission = append(p.admission, switches[name].admission...)
	}
	return p
}
