package main

import (
	"time"

	"bramleyfall.example/bramleyfall/admission"
	"bramleyfall.example/bramleyfall/placement"
)

// policy changes what decisions are made by.
type configOverrides struct {
	placementOptions []placement.Option
	admissionOptions []admission.Option
}

func placementOverride(option placement.Option) configOverrides {
	return configOverrides{placementOptions: []placement.Option{option}}
}

func admissionOverride(option admission.Option) configOverrides {
	return configOverrides{admissionOptions: []admission.Option{option}}
}

// never is longer than any wait of a caller.
const disabledTimeout = time.Minute

// switches turn mechanisms off, by their names.
var mechanismOverrides = map[string]configOverrides{
	// SecondOffers has an opening that one upstream refused offered to others.
	"SecondOffers": placementOverride(func(c *placement.Config) { c.MaxTries = 1 }),
	// Queue lets openings wait for a slot when none is free.
	"Queue": admissionOverride(func(c *admission.Config) { c.QueuePerSlot = 0 }),
	// QueueByObjective bounds the wait by the objective.
	"QueueByObjective": admissionOverride(func(c *admission.Config) { c.ObjectiveShare, c.ColdObjectiveShare = 1000, 1000 }),
	// ColdQueue keeps the queue of a cold upstream shorter.
	"ColdQueue": admissionOverride(func(c *admission.Config) { c.ColdObjectiveShare = c.ObjectiveShare }),
	// QueueForOrders keeps half of a standing queue for orders.
	"QueueForOrders": admissionOverride(func(c *admission.Config) { c.LowPriorityQueueShare = 1 }),
	// RemoteCost prefers upstreams of the own failure domain.
	"RemoteCost": placementOverride(func(c *placement.Config) { c.RemoteCost = 0 }),
	// ColdCost prefers upstreams that aren't cold.
	"ColdCost": placementOverride(func(c *placement.Config) { c.ColdCost = 0 }),
	// SilentGivenUp ends flows whose agents are silent.
	"SilentGivenUp": placementOverride(func(c *placement.Config) {
		c.FlowLossTimeout, c.UnheardFlowLossTimeout = disabledTimeout, disabledTimeout
	}),
	// HeldUpWaitedFor waits longer for silent agents that were heard, or for orders.
	"HeldUpWaitedFor": placementOverride(func(c *placement.Config) { c.FlowLossTimeout = c.UnheardFlowLossTimeout }),
	// OwnDomainFirst asks the agents of the own failure domain first for a flow.
	"OwnDomainFirst": placementOverride(func(c *placement.Config) { c.OwnDomainFirst = false }),
	// YoungDeny has agents whose upstream started with them deny unknown flows.
	"YoungDeny": admissionOverride(func(c *admission.Config) { c.DenyUnknownFlowsIfNew = false }),
}

// without returns the policy with some mechanisms turned off.
func overridesWithout(names []string) configOverrides {
	var overrides configOverrides
	for _, name := range names {
		overrides.placementOptions = append(overrides.placementOptions, mechanismOverrides[name].placementOptions...)
		overrides.admissionOptions = append(overrides.admissionOptions, mechanismOverrides[name].admissionOptions...)
	}
	return overrides
}
