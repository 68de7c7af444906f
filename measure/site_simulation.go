package main

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/virtual"
)

// class describes a class of requests.
type class struct {
	Name     string
	Service  bramleyfall.ServiceName
	Priority bramleyfall.Priority
	// Idempotent is set if callers retry requests after any failure.
	Idempotent bool
	// Persistent is set if a flow carries many requests.
	Persistent bool
	// Share is the fraction of all requests.
	Share float64
	// ServiceTime is the mean service time. Objective is the latency objective and
	// Deadline the time after which the caller abandons the request, both from the
	// caller's first try. All are in milliseconds.
	ServiceTime, Objective, Deadline float64
	// Value is the credit for an answer within the objective. LateFactor is the fraction
	// of it that a later answer earns.
	Value, LateFactor float64
	// Packets is the number of packets per answer.
	Packets int
}

// service describes a group of identical upstreams.
type service struct {
	Name bramleyfall.ServiceName
	// Upstreams is the number of upstreams, which are distributed evenly over the failure
	// domains. QueueLimit is the maximum number of queued requests of an upstream.
	Upstreams, Slots, QueueLimit int
	// ColdFor is the time in seconds for which an upstream is cold after its start.
	// ColdFactor multiplies its service times during that time.
	ColdFor, ColdFactor float64
}

// site models a deployment for the site simulation.
type site struct {
	Name      string
	Domains   []bramleyfall.DomainName
	Balancers int
	Services  []service
	Classes   []class
	// Callers is the number of caller instances.
	Callers int
	// CallerDelay and DomainDelay are the one-way delays between callers and balancers
	// and between failure domains, in milliseconds.
	CallerDelay, DomainDelay float64
	// Loss is the fraction of packets that a link loses.
	Loss    float64
	Weights weights
}

// weights holds the weights of the components of the score of a site.
type weights struct {
	// Overall weights the credit share of the whole scenario, WorstWindows that of the
	// two worst windows, WorstClass that of the worst class, and Availability the share
	// of requests that were answered at all, on a logarithmic scale up to three nines.
	Overall, WorstWindows, WorstClass, Availability float64
}

// siteScenario describes the load on a site and an optional outage. Settings files and
// the output call it a day.
type siteScenario struct {
	Name string
	Site *site
	// Rate is the arrival rate in requests per second.
	Rate float64
	// Downtime is the time in seconds after stopAt for which all balancers and agents
	// are down. With PowerLoss, the upstreams are down as well.
	Downtime  float64
	PowerLoss bool
	// DomainOut is the failure domain that is out of service, if any. RemovedUpstreams
	// is the number of upstreams that have been removed from the first service.
	DomainOut        bramleyfall.DomainName
	RemovedUpstreams int
}

const (
	siteScenarioDuration = 51 * time.Second
	// stopAt is the time at which all balancers and agents stop.
	stopAt = 34040 * time.Millisecond
	// windowLength is the interval of the time series.
	windowLength = 2 * time.Second
	// startSpread is the time over which the starts of processes are spread,
	// processStartTime the time that one process needs to start.
	startSpread      = 200 * time.Millisecond
	processStartTime = 40 * time.Millisecond
	// maxHeartbeatDelay is the maximum time from the start of an agent to the first
	// heartbeat of its upstream.
	maxHeartbeatDelay = 40 * time.Millisecond
	// siteHeartbeatInterval is the time between two heartbeats of an upstream.
	siteHeartbeatInterval = 770 * time.Millisecond
	// serviceTimeSigma is the standard deviation of the logarithm of the service time.
	serviceTimeSigma = 0.5
	// siteSameDomainDelay is the one-way delay within a failure domain.
	siteSameDomainDelay = 100 * time.Microsecond
	// maxJitter is the maximum fraction by which jitter extends a delay.
	maxJitter = 0.3
)

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// siteSimulation simulates one scenario of a site.
type siteSimulation struct {
	*virtual.Scheduler
	site      *site
	scenario  *siteScenario
	random    *rand.Rand
	router    siteRouter
	upstreams []*siteUpstream
	callers   []*siteCaller
	flows     map[bramleyfall.Flow]*siteCallerFlow
	packets   []bramleyfall.Packet
	recorder  siteRecorder
	// balancersByDomain holds the indexes of the balancers in each failure domain. Callers
	// reach the balancers of their own failure domain.
	balancersByDomain map[bramleyfall.DomainName][]int
	balancerUp        []bool
}

// siteRouter forwards packets between balancers and upstreams.
type siteRouter interface {
	receiveFromCaller(balancer int, p bramleyfall.Packet)
	receiveFromUpstream(index int, p bramleyfall.Packet)
	// stopAll stops all balancers and agents. startBalancer starts a balancer that knows
	// the agents after entryListDelay, startAgent an agent that knows the state of its
	// upstream after heartbeatDelay.
	stopAll()
	startBalancer(balancer int, entryListDelay time.Duration)
	startAgent(agent int, heartbeatDelay time.Duration)
}

func newSiteSimulation(scenario *siteScenario, seed uint64) *siteSimulation {
	site := scenario.Site
	sim := &siteSimulation{
		Scheduler: virtual.NewScheduler(epoch), site: site, scenario: scenario, random: rand.New(rand.NewPCG(seed, 11)),
		flows: make(map[bramleyfall.Flow]*siteCallerFlow), balancersByDomain: make(map[bramleyfall.DomainName][]int),
	}
	for n := range site.Balancers {
		domain := site.Domains[n%len(site.Domains)]
		sim.balancersByDomain[domain] = append(sim.balancersByDomain[domain], n)
		sim.balancerUp = append(sim.balancerUp, true)
	}
	for i := range site.Services {
		upstreams := site.Services[i].Upstreams
		if i == 0 {
			upstreams -= scenario.RemovedUpstreams
		}
		for n := range upstreams {
			sim.upstreams = append(sim.upstreams, &siteUpstream{
				sim: sim, index: len(sim.upstreams), service: &site.Services[i], domain: site.Domains[n%len(site.Domains)],
				flows: make(map[bramleyfall.Flow]*siteUpstreamFlow), boot: 1,
			})
		}
	}
	for n := range site.Callers {
		c := &siteCaller{sim: sim, index: n, domain: site.Domains[n%len(site.Domains)], idleFlows: make(map[int][]*siteCallerFlow), lastPort: 1024}
		sim.callers = append(sim.callers, c)
	}
	sim.recorder = newSiteRecorder(site, sim.Now())
	return sim
}

// directConfig returns the configuration for a directRouter.
func (si *siteSimulation) directConfig(overrides configOverrides) *directConfig {
	snapshot := &bramleyfall.Snapshot{
		Version: 1, Routes: make(map[bramleyfall.Endpoint]*bramleyfall.Route), IdleTimeout: 15 * time.Second,
		Services: make(map[bramleyfall.ServiceName]bramleyfall.ServiceLimits), Out: make(map[bramleyfall.DomainName]bool),
	}
	for i := range si.site.Services {
		s := &si.site.Services[i]
		snapshot.Services[s.Name] = bramleyfall.ServiceLimits{Name: s.Name, Connections: 2000, ColdFor: seconds(s.ColdFor)}
	}
	for n := range si.site.Classes {
		c := &si.site.Classes[n]
		address := classAddress(n)
		snapshot.Routes[address] = &bramleyfall.Route{
			Address: address, Targets: []bramleyfall.Target{{Service: c.Service, Weight: 1}}, Priority: c.Priority,
			Idempotent: c.Idempotent, Objective: millis(c.Objective),
		}
	}
	if si.scenario.DomainOut != "" {
		snapshot.Out[si.scenario.DomainOut] = true
	}
	config := &directConfig{
		snapshot: snapshot, heartbeatInterval: siteHeartbeatInterval, placementOptions: overrides.placementOptions, admissionOptions: overrides.admissionOptions,
		delay: si.tunnelDelay, datagramLost: si.packetLost,
	}
	for n := range si.site.Balancers {
		config.balancers = append(config.balancers, si.site.Domains[n%len(si.site.Domains)])
	}
	for _, u := range si.upstreams {
		config.agents = append(config.agents, agentSpec{u.domain, u.service.Name, u.service.Slots})
	}
	return config
}

// classAddress returns the address of the route of the n-th class.
func classAddress(n int) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, byte(n + 1)}, Port: 443}
}

func classIndex(address bramleyfall.Endpoint) int { return int(address.IP[3]) - 1 }

func (si *siteSimulation) packetLost() bool { return si.random.Float64() < si.site.Loss }

func (si *siteSimulation) withJitter(d time.Duration) time.Duration {
	return time.Duration((1 + maxJitter*si.random.Float64()) * float64(d))
}

// tunnelDelay returns the one-way delay between a balancer and an agent.
func (si *siteSimulation) tunnelDelay(balancer, agent int) time.Duration {
	if si.site.Domains[balancer%len(si.site.Domains)] == si.upstreams[agent].domain {
		return si.withJitter(siteSameDomainDelay)
	}
	return si.withJitter(millis(si.site.DomainDelay))
}

// run simulates the scenario.
func (si *siteSimulation) run() {
	for at := time.Duration(0); at < siteScenarioDuration; {
		at += time.Duration(si.random.ExpFloat64() / si.scenario.Rate * float64(time.Second))
		si.After(at, si.issueRequest)
	}
	if si.scenario.Downtime > 0 {
		si.After(stopAt, si.restartAll)
	}
	const settle = 10 * time.Second // longer than the deadlines of all requests
	si.Run(siteScenarioDuration + settle)
}

// restartAll stops all balancers and agents and starts them again after the downtime of
// the scenario.
func (si *siteSimulation) restartAll() {
	si.router.stopAll()
	for n := range si.balancerUp {
		si.balancerUp[n] = false
		startAfter := seconds(si.scenario.Downtime) + si.startDelay()
		si.After(startAfter, func() {
			si.balancerUp[n] = true
			si.router.startBalancer(n, entryListDelay)
		})
	}
	for n, u := range si.upstreams {
		if si.scenario.PowerLoss {
			u.crash()
			si.After(seconds(si.scenario.Downtime)+time.Duration(si.random.Int64N(int64(startSpread/2))), u.start)
		}
		startAfter := seconds(si.scenario.Downtime) + si.startDelay()
		si.After(startAfter, func() { si.router.startAgent(n, time.Duration(si.random.Int64N(int64(maxHeartbeatDelay)))) })
	}
}

// startDelay returns the random time that a process needs to start.
func (si *siteSimulation) startDelay() time.Duration {
	return processStartTime + time.Duration(si.random.Int64N(int64(startSpread)))
}

// encodePacket stores a packet and returns an encoded reference to it.
func (si *siteSimulation) encodePacket(packet bramleyfall.Packet) []byte {
	si.packets = append(si.packets, packet)
	return binary.BigEndian.AppendUint32(nil, uint32(len(si.packets)-1))
}

// decodePacket implements environment.
func (si *siteSimulation) decodePacket(raw []byte) bramleyfall.Packet {
	packet := si.packets[binary.BigEndian.Uint32(raw)]
	packet.Raw = raw
	return packet
}

// deliverToUpstream implements environment.
func (si *siteSimulation) deliverToUpstream(index int, packet bramleyfall.Packet) bool {
	return si.upstreams[index].receive(packet)
}

// heartbeat implements environment.
func (si *siteSimulation) heartbeat(index int) (bramleyfall.Heartbeat, bool) {
	u := si.upstreams[index]
	return bramleyfall.Heartbeat{
		Upstream: bramleyfall.UpstreamID(fmt.Sprintf("upstream-%d-%d", index, u.boot)), Boot: u.boot, Service: u.service.Name,
		Domain: u.domain, Slots: u.service.Slots, Sequence: u.nextHeartbeat(), ColdRemaining: max(0, u.coldUntil.Sub(si.Now())),
	}, !u.down
}

// sendToCaller implements environment.
func (si *siteSimulation) sendToCaller(packet bramleyfall.Packet) {
	if si.packetLost() {
		return
	}
	si.After(si.withJitter(millis(si.site.CallerDelay)), func() {
		if f := si.flows[packet.Flow.Reverse()]; f != nil {
			f.receive(packet)
		}
	})
}

// sendToBalancer sends a packet of a caller to the balancer of the caller's failure
// domain that the fabric selects by the flow's hash.
func (si *siteSimulation) sendToBalancer(domain bramleyfall.DomainName, packet bramleyfall.Packet) {
	if si.packetLost() {
		return
	}
	packet.Raw = si.encodePacket(packet)
	balancers := si.balancersByDomain[domain]
	balancer := balancers[packet.Flow.Hash()%uint64(len(balancers))]
	si.After(si.withJitter(millis(si.site.CallerDelay)), func() {
		if si.balancerUp[balancer] {
			si.router.receiveFromCaller(balancer, packet)
		}
	})
}

// drawServiceTime returns a random service time for a request, which is distributed
// log-normally around the mean of its class.
func (si *siteSimulation) drawServiceTime(c *class) time.Duration {
	return millis(c.ServiceTime * math.Exp(serviceTimeSigma*si.random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
}
