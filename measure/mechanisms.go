package main

import (
	"time"

	"bramleyfall.example/bramleyfall/admission"
	"bramleyfall.example/bramleyfall/placement"
)

// configOverrides changes the settings of placers and gates.
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

// disabledTimeout is longer than any caller waits, so that the timeout never expires.
const disabledTimeout = time.Minute

// mechanismOverrides maps the name of each mechanism that an ablation can turn off to
// the overrides that turn it off. The comments describe the mechanisms.
var mechanismOverrides = map[string]configOverrides{
	// SecondOffers offers an opening that one upstream has refused to other upstreams.
	"SecondOffers": placementOverride(func(c *placement.Config) { c.MaxAttempts = 1 }),
	// Queue queues openings for a slot if none is free.
	"Queue": admissionOverride(func(c *admission.Config) { c.QueuePerSlot = 0 }),
	// QueueByObjective limits the expected queueing time by the latency objective.
	"QueueByObjective": admissionOverride(func(c *admission.Config) { c.ObjectiveShare, c.ColdObjectiveShare = 1000, 1000 }),
	// ColdQueue keeps the queues of cold upstreams shorter.
	"ColdQueue": admissionOverride(func(c *admission.Config) { c.ColdObjectiveShare = c.ObjectiveShare }),
	// QueueForOrders reserves half of a standing queue for orders.
	"QueueForOrders": admissionOverride(func(c *admission.Config) { c.LowPriorityQueueShare = 1 }),
	// RemoteCost prefers upstreams in the balancer's own failure domain.
	"RemoteCost": placementOverride(func(c *placement.Config) { c.RemoteCost = 0 }),
	// ColdCost prefers upstreams that are not cold.
	"ColdCost": placementOverride(func(c *placement.Config) { c.ColdCost = 0 }),
	// SilentGivenUp resets flows of agents that have been silent for too long.
	"SilentGivenUp": placementOverride(func(c *placement.Config) {
		c.FlowLossTimeout, c.UnheardFlowLossTimeout = disabledTimeout, disabledTimeout
	}),
	// HeldUpWaitedFor waits longer before it resets the flows of silent agents if the
	// agent has sent messages before or the requests are orders.
	"HeldUpWaitedFor": placementOverride(func(c *placement.Config) { c.FlowLossTimeout = c.UnheardFlowLossTimeout }),
	// OwnDomainFirst looks up a flow at the agents of the balancer's own failure domain
	// first.
	"OwnDomainFirst": placementOverride(func(c *placement.Config) { c.OwnDomainFirst = false }),
	// YoungDeny makes agents deny unknown flows if their upstream started together with
	// them or later.
	"YoungDeny": admissionOverride(func(c *admission.Config) { c.DenyUnknownFlowsIfNew = false }),
}

// overridesWithout returns the overrides that turn the named mechanisms off.
func overridesWithout(names []string) configOverrides {
	var overrides configOverrides
	for _, name := range names {
		overrides.placementOptions = append(overrides.placementOptions, mechanismOverrides[name].placementOptions...)
		overrides.admissionOptions = append(overrides.admissionOptions, mechanismOverrides[name].admissionOptions...)
	}
	return overrides
}
