package main

import "time"

// deployment is one of the users' setups.
type deployment struct {
	name string
	// between and toCallers are the one-way delays between failure domains and
	// to the callers.
	between, toCallers time.Duration
	domains            []string
	// balancers is the number in each failure domain.
	balancers int
	services  []serviceSpec
	slots     int
}

// serviceSpec is a service with its callers.
type serviceSpec struct {
	name      string
	upstreams int
	// lasting is the number of lasting flows that place a request each pause,
	// short the number of callers that open a flow for each request.
	lasting, short int
	pause          time.Duration
}

const (
	connections = 2000
	// work is the time that a request takes in a slot.
	work = 20 * time.Millisecond
	// coldTime is the time until a started upstream can use all its slots,
	// warmUp the time that operators set for it.
	coldTime = 6 * time.Second
	warmUp   = 8 * time.Second
)

var deployments = []deployment{
	{
		name: "Ogunleye", between: 4 * time.Millisecond, toCallers: 3 * time.Millisecond,
		domains: []string{"Ikeja", "Ibadan", "Ife"}, balancers: 2, slots: 5,
		services: []serviceSpec{
			{name: "railbook", upstreams: 7, lasting: 700, short: 12, pause: 1500 * time.Millisecond},
			{name: "drawhub", upstreams: 3, lasting: 60, short: 6, pause: time.Second},
		},
	},
	{
		name: "Federation", between: 3 * time.Millisecond, toCallers: time.Millisecond,
		domains: []string{"Kochi", "Kozhikode", "Kollam"}, balancers: 2, slots: 2,
		services: []serviceSpec{
			{name: "dispatch", upstreams: 7, lasting: 700, short: 6, pause: 5 * time.Second},
			{name: "ledger", upstreams: 3, lasting: 60, short: 3, pause: 2 * time.Second},
		},
	},
}
