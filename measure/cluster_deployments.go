package main

import "time"

// deployment models one of the users' deployments for the cluster simulation.
type deployment struct {
	name string
	// interDomainDelay and callerDelay are the one-way delays between failure domains
	// and between callers and balancers.
	interDomainDelay, callerDelay time.Duration
	domains                       []string
	// balancers is the number of balancers per failure domain.
	balancers int
	services  []serviceSpec
	slots     int
}

// serviceSpec describes a service and its callers.
type serviceSpec struct {
	name      string
	upstreams int
	// persistentCallers is the number of callers that send all requests on one flow,
	// on average thinkTime after the previous answer. shortCallers is the number of
	// callers that open a flow for each request.
	persistentCallers, shortCallers int
	thinkTime                       time.Duration
}

const (
	// maxConnections is the connection limit of an upstream.
	maxConnections = 2000
	// clusterServiceTime is the time for which a request occupies a slot.
	clusterServiceTime = 20 * time.Millisecond
	// clusterColdTime is the time from the start of an upstream until it can use all its
	// slots, warmUp the warm-up time that operators configure for its service.
	clusterColdTime = 6 * time.Second
	warmUp          = 8 * time.Second
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
