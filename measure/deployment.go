package main

import "time"

// deployment is one of the users' setups.
type deployment struct {
	name string
	// between and toCallers are the one-way delays between failure domains and
	// to the callers.
	interDomainDelay, callerDelay time.Duration
	domains                       []string
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
	persistentCallers, shortCallers int
	thinkTime                       time.Duration
}

const (
	maxConnections = 2000
	// work is the time that a request takes in a slot.
	serviceTime = 20 * time.Millisecond
	// coldTime is the time until a started upstream can use all its slots,
	// warmUp the time that operators set for it.
	coldDuration = 6 * time.Second
	warmUp       = 8 * time.Second
)

var deployments = []deployment{
	{
		name: "Ogunleye", interDomainDelay: 4 * time.Millisecond, callerDelay: 3 * time.Millisecond,
		domains: []string{"Ikeja", "Ibadan", "Ife"}, balancers: 2, slots: 5,
		services: []serviceSpec{
			{name: "railbook", upstreams: 7, persistentCallers: 700, shortCallers: 12, thinkTime: 1500 * time.Millisecond},
			{name: "drawhub", upstreams: 3, persistentCallers: 60, shortCallers: 6, thinkTime: time.Second},
		},
	},
	{
		name: "Federation", interDomainDelay: 3 * time.Millisecond, callerDelay: time.Millisecond,
		domains: []string{"Kochi", "Kozhikode", "Kollam"}, balancers: 2, slots: 2,
		services: []serviceSpec{
			{name: "dispatch", upstreams: 7, persistentCallers: 700, shortCallers: 6, thinkTime: 5 * time.Second},
			{name: "ledger", upstreams: 3, persistentCallers: 60, shortCallers: 3, thinkTime: 2 * time.Second},
		},
	},
}
