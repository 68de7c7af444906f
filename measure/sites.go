package main

import "bramleyfall.example/bramleyfall"

// threeDomains holds the failure domains of a site. The first is out of service in the
// scenario PowerAndOut.
var threeDomains = []bramleyfall.DomainName{"first", "second", "third"}

const (
	// growthFactor is the factor by which the load of a grown site exceeds that of the
	// original site.
	growthFactor = 3.9
	// siteCallers and grownSiteCallers are the numbers of callers before and after the
	// growth.
	siteCallers      = 294
	grownSiteCallers = 1147
)

// siteServices returns an order service and a file service with the given numbers of
// upstreams.
func siteServices(orders, files, slots int) []service {
	const queuePerSlot, coldFor, coldFactor = 4, 2, 1.6
	return []service{
		{Name: "orders", Upstreams: orders, Slots: slots, QueueLimit: queuePerSlot * slots, ColdFor: coldFor, ColdFactor: coldFactor},
		{Name: "files", Upstreams: files, Slots: slots, QueueLimit: queuePerSlot * slots, ColdFor: coldFor, ColdFactor: coldFactor},
	}
}

// siteClasses returns three classes of requests: a feed on persistent flows, orders,
// which have twice the value of the others, and files. Service times and objectives are
// in milliseconds.
func siteClasses(feedServiceTime, feedObjective, orderServiceTime, orderObjective, lateFactor float64, persistentOrders bool) []class {
	const totalShare = 9.6
	const fileServiceTime, fileObjective, fileDeadline = 5, 500, 8000
	return []class{
		{
			Name: "Feed", Service: "orders", Priority: 2, Idempotent: true, Persistent: true, Share: 7 / totalShare,
			ServiceTime: feedServiceTime, Objective: feedObjective, Deadline: 1500, Value: 1, LateFactor: lateFactor,
		},
		{
			Name: "Order", Service: "orders", Priority: 1, Persistent: persistentOrders, Share: 2 / totalShare,
			ServiceTime: orderServiceTime, Objective: orderObjective, Deadline: 2000, Value: 2, LateFactor: lateFactor,
		},
		{
			Name: "File", Service: "files", Priority: 2, Idempotent: true, Share: 0.6 / totalShare,
			ServiceTime: fileServiceTime, Objective: fileObjective, Deadline: fileDeadline, Value: 1, LateFactor: lateFactor,
		},
	}
}

// sites holds the modelled deployments. They differ in what dominates their scores: at
// Nights, half of the score is the credit share of the worst windows; at Rails, the share
// of requests that were answered at all has a large weight; at Ice, most of the score is
// the credit share of the whole scenario.
var sites = []site{
	{
		Name: "Nights", Domains: threeDomains, Balancers: 5, Callers: siteCallers, Services: siteServices(7, 3, 2),
		Classes: siteClasses(15, 120, 20, 150, 0.1, false), CallerDelay: 1, DomainDelay: 3.5, Loss: 0.0015,
		Weights: weights{Overall: 0.35, WorstWindows: 0.5, WorstClass: 0.15},
	},
	{
		Name: "NightsGrown", Domains: threeDomains, Balancers: 20, Callers: grownSiteCallers, Services: siteServices(42, 10, 2),
		Classes: siteClasses(15, 250, 20, 250, 0.1, false), CallerDelay: 1, DomainDelay: 3.5, Loss: 0.0015,
		Weights: weights{Overall: 0.35, WorstWindows: 0.5, WorstClass: 0.15},
	},
	{
		Name: "Rails", Domains: threeDomains, Balancers: 5, Callers: siteCallers, Services: siteServices(7, 3, 5),
		Classes: siteClasses(30, 200, 39, 250, 0.3, true), CallerDelay: 3, DomainDelay: 4.4, Loss: 0.0015,
		Weights: weights{Overall: 0.4, WorstWindows: 0.15, WorstClass: 0.1, Availability: 0.35},
	},
	{
		Name: "RailsGrown", Domains: threeDomains, Balancers: 15, Callers: grownSiteCallers, Services: siteServices(34, 9, 3),
		Classes: siteClasses(30, 300, 39, 300, 0.3, true), CallerDelay: 3, DomainDelay: 4.4, Loss: 0.0015,
		Weights: weights{Overall: 0.4, WorstWindows: 0.15, WorstClass: 0.1, Availability: 0.35},
	},
	{
		Name: "Ice", Domains: threeDomains, Balancers: 7, Callers: siteCallers, Services: siteServices(7, 3, 2),
		Classes: siteClasses(15, 120, 20, 150, 0.3, false), CallerDelay: 1, DomainDelay: 3.4, Loss: 0.001,
		Weights: weights{Overall: 0.7, WorstWindows: 0.15, WorstClass: 0.15},
	},
	{
		Name: "IceGrown", Domains: threeDomains, Balancers: 16, Callers: grownSiteCallers, Services: siteServices(35, 9, 2),
		Classes: siteClasses(15, 200, 20, 200, 0.3, false), CallerDelay: 1, DomainDelay: 3.9, Loss: 0.001,
		Weights: weights{Overall: 0.7, WorstWindows: 0.15, WorstClass: 0.15},
	},
}

// Arrival rates for low, normal and high load, in requests per second, for sites that
// have not grown.
const (
	quietRate    = 240
	ordinaryRate = 393
	heavyRate    = 441
)

// siteScenarios returns the scenarios of all sites.
func siteScenarios() []siteScenario {
	var scenarios []siteScenario
	for i := range sites {
		site := &sites[i]
		growth := 1.0
		if site.Callers == grownSiteCallers {
			growth = growthFactor
		}
		scenarios = append(
			scenarios,
			siteScenario{Name: "Quiet", Site: site, Rate: quietRate * growth},
			siteScenario{Name: "PowerShort", Site: site, Rate: ordinaryRate * growth, Downtime: 0.86, PowerLoss: true},
			siteScenario{Name: "PowerLong", Site: site, Rate: heavyRate * growth, Downtime: 1.1, PowerLoss: true, RemovedUpstreams: 1},
			siteScenario{Name: "PowerAndOut", Site: site, Rate: 316 * growth, Downtime: 1.4, PowerLoss: true, DomainOut: threeDomains[0], RemovedUpstreams: 1},
			siteScenario{Name: "KillShort", Site: site, Rate: ordinaryRate * growth, Downtime: 0.57},
			siteScenario{Name: "KillLong", Site: site, Rate: heavyRate * growth, Downtime: 0.65},
		)
	}
	return scenarios
}
