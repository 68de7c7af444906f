package main

import "bramleyfall.example/bramleyfall"

// threeDomains are the failure domains of a site, the first of which may be out of
// service.
var threeDomains = []bramleyfall.DomainName{"first", "second", "third"}

const (
	// grownBy is the number by which the load of a site has grown.
	grownBy = 3.9
	// callers and grownCallers are the numbers of callers before and after.
	callers      = 294
	grownCallers = 1147
)

// services returns an order service and a file service of like upstreams.
func services(orders, files, slots int) []service {
	const queuePerSlot, coldFor, coldFactor = 4, 2, 1.6
	return []service{
		{Name: "orders", Upstreams: orders, Slots: slots, Queue: queuePerSlot * slots, ColdFor: coldFor, ColdFactor: coldFactor},
		{Name: "files", Upstreams: files, Slots: slots, Queue: queuePerSlot * slots, ColdFor: coldFor, ColdFactor: coldFactor},
	}
}

// classes returns a feed on lasting flows, orders, which are worth twice as much,
// and files, by the times of work and the objectives in milliseconds.
func classes(feedWork, feedObjective, orderWork, orderObjective, late float64, lastingOrders bool) []class {
	const all = 9.6
	const fileWork, fileObjective, fileDeadline = 5, 500, 8000
	return []class{
		{
			Name: "Feed", Service: "orders", Priority: 2, Idempotent: true, Lasting: true, Share: 7 / all,
			Work: feedWork, Objective: feedObjective, Deadline: 1500, Worth: 1, Late: late,
		},
		{
			Name: "Order", Service: "orders", Priority: 1, Lasting: lastingOrders, Share: 2 / all,
			Work: orderWork, Objective: orderObjective, Deadline: 2000, Worth: 2, Late: late,
		},
		{
			Name: "File", Service: "files", Priority: 2, Idempotent: true, Share: 0.6 / all,
			Work: fileWork, Objective: fileObjective, Deadline: fileDeadline, Worth: 1, Late: late,
		},
	}
}

// sites are the deployments that are modelled: half of what counts at Nights are
// the worst seconds, at Rails it is the share that is served at all, at Ice the
// whole day.
var sites = []site{
	{
		Name: "Nights", Domains: threeDomains, Balancers: 5, Callers: callers, Services: services(7, 3, 2),
		Classes: classes(15, 120, 20, 150, 0.1, false), CallerDelay: 1, DomainDelay: 3.5, Loss: 0.0015,
		Weights: weights{Whole: 0.35, Windows: 0.5, Class: 0.15},
	},
	{
		Name: "NightsGrown", Domains: threeDomains, Balancers: 20, Callers: grownCallers, Services: services(42, 10, 2),
		Classes: classes(15, 250, 20, 250, 0.1, false), CallerDelay: 1, DomainDelay: 3.5, Loss: 0.0015,
		Weights: weights{Whole: 0.35, Windows: 0.5, Class: 0.15},
	},
	{
		Name: "Rails", Domains: threeDomains, Balancers: 5, Callers: callers, Services: services(7, 3, 5),
		Classes: classes(30, 200, 39, 250, 0.3, true), CallerDelay: 3, DomainDelay: 4.4, Loss: 0.0015,
		Weights: weights{Whole: 0.4, Windows: 0.15, Class: 0.1, Nines: 0.35},
	},
	{
		Name: "RailsGrown", Domains: threeDomains, Balancers: 15, Callers: grownCallers, Services: services(34, 9, 3),
		Classes: classes(30, 300, 39, 300, 0.3, true), CallerDelay: 3, DomainDelay: 4.4, Loss: 0.0015,
		Weights: weights{Whole: 0.4, Windows: 0.15, Class: 0.1, Nines: 0.35},
	},
	{
		Name: "Ice", Domains: threeDomains, Balancers: 7, Callers: callers, Services: services(7, 3, 2),
		Classes: classes(15, 120, 20, 150, 0.3, false), CallerDelay: 1, DomainDelay: 3.4, Loss: 0.001,
		Weights: weights{Whole: 0.7, Windows: 0.15, Class: 0.15},
	},
	{
		Name: "IceGrown", Domains: threeDomains, Balancers: 16, Callers: grownCallers, Services: services(35, 9, 2),
		Classes: classes(15, 200, 20, 200, 0.3, false), CallerDelay: 1, DomainDelay: 3.9, Loss: 0.001,
		Weights: weights{Whole: 0.7, Windows: 0.15, Class: 0.15},
	},
}

// Rates of a quiet, an ordinary and a heavy day, in requests a second, before a
// site has grown.
const (
	quietRate    = 240
	ordinaryRate = 393
	heavyRate    = 441
)

// days returns what is played at each site.
func days() []day {
	var all []day
	for i := range sites {
		s := &sites[i]
		grown := 1.0
		if s.Callers == grownCallers {
			grown = grownBy
		}
		all = append(
			all,
			day{Name: "Quiet", Site: s, Rate: quietRate * grown},
			day{Name: "PowerShort", Site: s, Rate: ordinaryRate * grown, Down: 0.86, Power: true},
			day{Name: "PowerLong", Site: s, Rate: heavyRate * grown, Down: 1.1, Power: true, Gone: 1},
			day{Name: "PowerAndOut", Site: s, Rate: 316 * grown, Down: 1.4, Power: true, Out: threeDomains[0], Gone: 1},
			day{Name: "KillShort", Site: s, Rate: ordinaryRate * grown, Down: 0.57},
			day{Name: "KillLong", Site: s, Rate: heavyRate * grown, Down: 0.65},
		)
	}
	return all
}
