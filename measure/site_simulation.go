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

// class is a kind of request.
type class struct {
	Name     string
	Service  bramleyfall.ServiceName
	Priority bramleyfall.Priority
	// Idempotent is set where callers repeat requests after any failure.
	Idempotent bool
	// Lasting is set where a flow carries many requests.
	Persistent bool
	// Share is the part of all requests.
	Share float64
	// Work is the mean time of a request in milliseconds, Objective and Deadline
	// those from the caller's first try, all in milliseconds.
	ServiceTime, Objective, Deadline float64
	// Worth is what an answer within the objective is worth, Late a later one.
	Value, LateFactor float64
	// Packets is the number of packets of an answer.
	Packets int
}

// service is a group of like upstreams.
type service struct {
	Name bramleyfall.ServiceName
	// Upstreams is the number of upstreams, dealt out over the failure domains.
	Upstreams, Slots, QueueLimit int
	// ColdFor is the time in seconds for which a started upstream needs ColdFactor
	// times as long.
	ColdFor, ColdFactor float64
}

// site is a deployment.
type site struct {
	Name      string
	Domains   []bramleyfall.DomainName
	Balancers int
	Services  []service
	Classes   []class
	Callers   int
	// CallerDelay and DomainDelay are one way, in milliseconds.
	CallerDelay, DomainDelay float64
	// Loss is the share of packets that a link loses.
	Loss    float64
	Weights weights
}

// weights are those of what counts at a site.
type weights struct {
	// Whole is that of the whole day, Windows of the two worst windows, Class of the
	// class that is served worst, and Nines of the share that is served at all, on a
	// logarithmic scale that ends at three nines.
	Overall, WorstWindows, WorstClass, Availability float64
}

// day is what happens at a site.
type siteScenario struct {
	Name string
	Site *site
	// Rate is the number of requests a second.
	Rate float64
	// Down is the time in seconds for which all processes are away, from the moment
	// fallAt on. With Power the upstreams are too.
	Downtime  float64
	PowerLoss bool
	// Out is a failure domain that is out of service, if any, and Gone the number of
	// upstreams of the first service that have left.
	DomainOut        bramleyfall.DomainName
	RemovedUpstreams int
}

const (
	scenarioDuration = 51 * time.Second
	// fallAt is when all processes end.
	stopAt = 34040 * time.Millisecond
	// windowTime is the length of a window of service.
	windowLength = 2 * time.Second
	// startWithin spreads the starts of processes, and startTime is what one needs.
	startSpread      = 200 * time.Millisecond
	processStartTime = 40 * time.Millisecond
	// beatWithin is the time in which an agent hears its upstream after a start.
	maxHeartbeatDelay = 40 * time.Millisecond
	// beatEvery is the time between two heartbeats.
	siteHeartbeatInterval = 770 * time.Millisecond
	// workSpread is the standard deviation of the logarithm of a request's work.
	serviceTimeSigma    = 0.5
	siteSameDomainDelay = 100 * time.Microsecond
	// jitter is the greatest part by which a delay is longer.
	maxJitter = 0.3
)

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// dayPlay is one run of a day.
type siteSimulation struct {
	*virtual.Queue
	site      *site
	scenario  *siteScenario
	random    *rand.Rand
	router    siteRouter
	upstreams []*siteUpstream
	callers   []*siteCaller
	flows     map[bramleyfall.Flow]*siteCallerFlow
	packets   []bramleyfall.Packet
	recorder  siteRecorder
	// balancers is the number in each failure domain that a domain's callers reach.
	balancersByDomain map[bramleyfall.DomainName][]int
	balancerUp        []bool
}

// dayWay carries packets from balancers to upstreams and back.
type siteRouter interface {
	receiveFromCaller(balancer int, p bramleyfall.Packet)
	receiveFromUpstream(index int, p bramleyfall.Packet)
	// fall ends all processes of the system; startBalancer and startAgent start one
	// that is of use after a time.
	stopAll()
	startBalancer(balancer int, entryListDelay time.Duration)
	startAgent(agent int, heartbeatDelay time.Duration)
}

func newSiteSimulation(scenario *siteScenario, seed uint64) *siteSimulation {
	site := scenario.Site
	sim := &siteSimulation{
		Queue: virtual.NewQueue(epoch), site: site, scenario: scenario, random: rand.New(rand.NewPCG(seed, 11)),
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

// setup returns what the direct mode is made of.
func (sim *siteSimulation) directConfig(overrides configOverrides) *directConfig {
	snapshot := &bramleyfall.Snapshot{
		Version: 1, Routes: make(map[bramleyfall.Endpoint]*bramleyfall.Route), IdleTimeout: 15 * time.Second,
		Services: make(map[bramleyfall.ServiceName]bramleyfall.ServiceLimits), Out: make(map[bramleyfall.DomainName]bool),
	}
	for i := range sim.site.Services {
		spec := &sim.site.Services[i]
		snapshot.Services[spec.Name] = bramleyfall.ServiceLimits{Name: spec.Name, Connections: 2000, ColdFor: seconds(spec.ColdFor)}
	}
	for n := range sim.site.Classes {
		c := &sim.site.Classes[n]
		address := classAddress(n)
		snapshot.Routes[address] = &bramleyfall.Route{
			Address: address, Targets: []bramleyfall.Target{{Service: c.Service, Weight: 1}}, Priority: c.Priority,
			Idempotent: c.Idempotent, Objective: millis(c.Objective),
		}
	}
	if sim.scenario.DomainOut != "" {
		snapshot.Out[sim.scenario.DomainOut] = true
	}
	config := &directConfig{
		snapshot: snapshot, heartbeatInterval: siteHeartbeatInterval, placementOptions: overrides.placementOptions, admissionOptions: overrides.admissionOptions,
		delay: sim.tunnelDelay, datagramLost: sim.packetLost,
	}
	for n := range sim.site.Balancers {
		config.balancers = append(config.balancers, sim.site.Domains[n%len(sim.site.Domains)])
	}
	for _, spec := range sim.upstreams {
		config.agents = append(config.agents, agentSpec{spec.domain, spec.service.Name, spec.service.Slots})
	}
	return config
}

// classAddress is that of the route of a class.
func classAddress(n int) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, byte(n + 1)}, Port: 443}
}

func classIndex(address bramleyfall.Endpoint) int { return int(address.IP[3]) - 1 }

func (sim *siteSimulation) packetLost() bool { return sim.random.Float64() < sim.site.Loss }

func (sim *siteSimulation) withJitter(d time.Duration) time.Duration {
	return time.Duration((1 + maxJitter*sim.random.Float64()) * float64(d))
}

func (sim *siteSimulation) tunnelDelay(balancer, agent int) time.Duration {
	if sim.site.Domains[balancer%len(sim.site.Domains)] == sim.upstreams[agent].domain {
		return sim.withJitter(siteSameDomainDelay)
	}
	return sim.withJitter(millis(sim.site.DomainDelay))
}

// run plays the day.
func (sim *siteSimulation) run() {
	for at := time.Duration(0); at < scenarioDuration; {
		at += time.Duration(sim.random.ExpFloat64() / sim.scenario.Rate * float64(time.Second))
		sim.After(at, sim.startRequest)
	}
	if sim.scenario.Downtime > 0 {
		sim.After(stopAt, sim.restartAll)
	}
	const settle = 10 * time.Second // all requests end
	sim.Run(scenarioDuration + settle)
}

// fall ends all processes and starts them again.
func (sim *siteSimulation) restartAll() {
	sim.router.stopAll()
	for n := range sim.balancerUp {
		sim.balancerUp[n] = false
		startAfter := seconds(sim.scenario.Downtime) + sim.startDelay()
		sim.After(startAfter, func() {
			sim.balancerUp[n] = true
			sim.router.startBalancer(n, entryListDelay)
		})
	}
	for n, u := range sim.upstreams {
		if sim.scenario.PowerLoss {
			u.crash()
			sim.After(seconds(sim.scenario.Downtime)+time.Duration(sim.random.Int64N(int64(startSpread/2))), u.start)
		}
		startAfter := seconds(sim.scenario.Downtime) + sim.startDelay()
		sim.After(startAfter, func() { sim.router.startAgent(n, time.Duration(sim.random.Int64N(int64(maxHeartbeatDelay)))) })
	}
}

func (sim *siteSimulation) startDelay() time.Duration {
	return processStartTime + time.Duration(sim.random.Int64N(int64(startSpread)))
}

// raw remembers a packet by the bytes that stand for it.
func (sim *siteSimulation) encodePacket(packet bramleyfall.Packet) []byte {
	sim.packets = append(sim.packets, packet)
	return binary.BigEndian.AppendUint32(nil, uint32(len(sim.packets)-1))
}

// packet implements ends.
func (sim *siteSimulation) decodePacket(raw []byte) bramleyfall.Packet {
	packet := sim.packets[binary.BigEndian.Uint32(raw)]
	packet.Raw = raw
	return packet
}

// deliver implements ends.
func (sim *siteSimulation) deliverToUpstream(index int, packet bramleyfall.Packet) bool {
	return sim.upstreams[index].receive(packet)
}

// heartbeat implements ends.
func (sim *siteSimulation) heartbeat(index int) (bramleyfall.Heartbeat, bool) {
	u := sim.upstreams[index]
	return bramleyfall.Heartbeat{
		Upstream: bramleyfall.UpstreamID(fmt.Sprintf("upstream-%d-%d", index, u.boot)), Boot: u.boot, Service: u.service.Name,
		Domain: u.domain, Slots: u.service.Slots, Sequence: u.nextHeartbeat(), ColdRemaining: max(0, u.coldUntil.Sub(sim.Now())),
	}, !u.down
}

// toCaller implements ends.
func (sim *siteSimulation) sendToCaller(packet bramleyfall.Packet) {
	if sim.packetLost() {
		return
	}
	sim.After(sim.withJitter(millis(sim.site.CallerDelay)), func() {
		if f := sim.flows[packet.Flow.Reverse()]; f != nil {
			f.receive(packet)
		}
	})
}

// send gives a caller's packet to the balancer that the fabric keeps its flow on.
func (sim *siteSimulation) sendToBalancer(domain bramleyfall.DomainName, packet bramleyfall.Packet) {
	if sim.packetLost() {
		return
	}
	packet.Raw = sim.encodePacket(packet)
	balancers := sim.balancersByDomain[domain]
	balancer := balancers[packet.Flow.Hash()%uint64(len(balancers))]
	sim.After(sim.withJitter(millis(sim.site.CallerDelay)), func() {
		if sim.balancerUp[balancer] {
			sim.router.receiveFromCaller(balancer, packet)
		}
	})
}

// work draws the time of a request.
func (sim *siteSimulation) drawServiceTime(c *class) time.Duration {
	return millis(c.ServiceTime * math.Exp(serviceTimeSigma*sim.random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
}
