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
	Lasting bool
	// Share is the part of all requests.
	Share float64
	// Work is the mean time of a request in milliseconds, Objective and Deadline
	// those from the caller's first try, all in milliseconds.
	Work, Objective, Deadline float64
	// Worth is what an answer within the objective is worth, Late a later one.
	Worth, Late float64
	// Packets is the number of packets of an answer.
	Packets int
}

// service is a group of like upstreams.
type service struct {
	Name bramleyfall.ServiceName
	// Upstreams is the number of upstreams, dealt out over the failure domains.
	Upstreams, Slots, Queue int
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
	Whole, Windows, Class, Nines float64
}

// day is what happens at a site.
type day struct {
	Name string
	Site *site
	// Rate is the number of requests a second.
	Rate float64
	// Down is the time in seconds for which all processes are away, from the moment
	// fallAt on. With Power the upstreams are too.
	Down  float64
	Power bool
	// Out is a failure domain that is out of service, if any, and Gone the number of
	// upstreams of the first service that have left.
	Out  bramleyfall.DomainName
	Gone int
}

const (
	dayTime = 51 * time.Second
	// fallAt is when all processes end.
	fallAt = 34040 * time.Millisecond
	// windowTime is the length of a window of service.
	windowTime = 2 * time.Second
	// startWithin spreads the starts of processes, and startTime is what one needs.
	startWithin = 200 * time.Millisecond
	startTime   = 40 * time.Millisecond
	// beatWithin is the time in which an agent hears its upstream after a start.
	beatWithin = 40 * time.Millisecond
	// beatEvery is the time between two heartbeats.
	beatEvery = 770 * time.Millisecond
	// workSpread is the standard deviation of the logarithm of a request's work.
	workSpread = 0.5
	inDomain   = 100 * time.Microsecond
	// jitter is the greatest part by which a delay is longer.
	jitter = 0.3
)

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// dayPlay is one run of a day.
type dayPlay struct {
	*virtual.Scheduler
	site    *site
	day     *day
	random  *rand.Rand
	way     dayWay
	servers []*dayServer
	callers []*dayCaller
	flows   map[bramleyfall.Flow]*dayFlow
	packets []bramleyfall.Packet
	tally   dayTally
	// balancers is the number in each failure domain that a domain's callers reach.
	balancers map[bramleyfall.DomainName][]int
	up        []bool
}

// dayWay carries packets from balancers to upstreams and back.
type dayWay interface {
	fromCaller(balancer int, p bramleyfall.Packet)
	fromServer(server int, p bramleyfall.Packet)
	// fall ends all processes of the system; startBalancer and startAgent start one
	// that is of use after a time.
	fall()
	startBalancer(n int, after time.Duration)
	startAgent(n int, after time.Duration)
}

func newDayPlay(d *day, seed uint64) *dayPlay {
	s := d.Site
	p := &dayPlay{
		Scheduler: virtual.NewScheduler(epoch), site: s, day: d, random: rand.New(rand.NewPCG(seed, 11)),
		flows: make(map[bramleyfall.Flow]*dayFlow), balancers: make(map[bramleyfall.DomainName][]int),
	}
	for n := range s.Balancers {
		domain := s.Domains[n%len(s.Domains)]
		p.balancers[domain] = append(p.balancers[domain], n)
		p.up = append(p.up, true)
	}
	for i := range s.Services {
		upstreams := s.Services[i].Upstreams
		if i == 0 {
			upstreams -= d.Gone
		}
		for n := range upstreams {
			p.servers = append(p.servers, &dayServer{
				play: p, index: len(p.servers), service: &s.Services[i], domain: s.Domains[n%len(s.Domains)],
				flows: make(map[bramleyfall.Flow]*serving), boot: 1,
			})
		}
	}
	for n := range s.Callers {
		c := &dayCaller{play: p, index: n, domain: s.Domains[n%len(s.Domains)], idle: make(map[int][]*dayFlow), port: 1024}
		p.callers = append(p.callers, c)
	}
	p.tally = newDayTally(s, p.Now())
	return p
}

// setup returns what the direct mode is made of.
func (p *dayPlay) setup(o policy) *setup {
	s := &bramleyfall.Snapshot{
		Version: 1, Routes: make(map[bramleyfall.Endpoint]*bramleyfall.Route), IdleTimeout: 15 * time.Second,
		Services: make(map[bramleyfall.ServiceName]bramleyfall.ServiceLimits), Out: make(map[bramleyfall.DomainName]bool),
	}
	for i := range p.site.Services {
		v := &p.site.Services[i]
		s.Services[v.Name] = bramleyfall.ServiceLimits{Name: v.Name, Connections: 2000, ColdFor: seconds(v.ColdFor)}
	}
	for n := range p.site.Classes {
		c := &p.site.Classes[n]
		address := classAddress(n)
		s.Routes[address] = &bramleyfall.Route{
			Address: address, Targets: []bramleyfall.Target{{Service: c.Service, Weight: 1}}, Priority: c.Priority,
			Idempotent: c.Idempotent, Objective: millis(c.Objective),
		}
	}
	if p.day.Out != "" {
		s.Out[p.day.Out] = true
	}
	l := &setup{
		snapshot: s, beatEvery: beatEvery, placement: o.placement, admission: o.admission,
		delay: p.tunnelDelay, lost: p.lost,
	}
	for n := range p.site.Balancers {
		l.balancers = append(l.balancers, p.site.Domains[n%len(p.site.Domains)])
	}
	for _, v := range p.servers {
		l.agents = append(l.agents, agentSpec{v.domain, v.service.Name, v.service.Slots})
	}
	return l
}

// classAddress is that of the route of a class.
func classAddress(n int) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, byte(n + 1)}, Port: 443}
}

func classAt(e bramleyfall.Endpoint) int { return int(e.IP[3]) - 1 }

func (p *dayPlay) lost() bool { return p.random.Float64() < p.site.Loss }

func (p *dayPlay) jittered(d time.Duration) time.Duration {
	return time.Duration((1 + jitter*p.random.Float64()) * float64(d))
}

func (p *dayPlay) tunnelDelay(balancer, agent int) time.Duration {
	if p.site.Domains[balancer%len(p.site.Domains)] == p.servers[agent].domain {
		return p.jittered(inDomain)
	}
	return p.jittered(millis(p.site.DomainDelay))
}

// run plays the day.
func (p *dayPlay) run() {
	for at := time.Duration(0); at < dayTime; {
		at += time.Duration(p.random.ExpFloat64() / p.day.Rate * float64(time.Second))
		p.After(at, p.arrive)
	}
	if p.day.Down > 0 {
		p.After(fallAt, p.fall)
	}
	const settle = 10 * time.Second // all requests end
	p.Run(dayTime + settle)
}

// fall ends all processes and starts them again.
func (p *dayPlay) fall() {
	p.way.fall()
	for n := range p.up {
		p.up[n] = false
		at := seconds(p.day.Down) + p.startDelay()
		p.After(at, func() {
			p.up[n] = true
			p.way.startBalancer(n, listAfter)
		})
	}
	for n, s := range p.servers {
		if p.day.Power {
			s.crash()
			p.After(seconds(p.day.Down)+time.Duration(p.random.Int64N(int64(startWithin/2))), s.start)
		}
		at := seconds(p.day.Down) + p.startDelay()
		p.After(at, func() { p.way.startAgent(n, time.Duration(p.random.Int64N(int64(beatWithin)))) })
	}
}

func (p *dayPlay) startDelay() time.Duration {
	return startTime + time.Duration(p.random.Int64N(int64(startWithin)))
}

// raw remembers a packet by the bytes that stand for it.
func (p *dayPlay) raw(packet bramleyfall.Packet) []byte {
	p.packets = append(p.packets, packet)
	return binary.BigEndian.AppendUint32(nil, uint32(len(p.packets)-1))
}

// packet implements ends.
func (p *dayPlay) packet(raw []byte) bramleyfall.Packet {
	packet := p.packets[binary.BigEndian.Uint32(raw)]
	packet.Raw = raw
	return packet
}

// deliver implements ends.
func (p *dayPlay) deliver(server int, packet bramleyfall.Packet) bool {
	return p.servers[server].take(packet)
}

// heartbeat implements ends.
func (p *dayPlay) heartbeat(server int) (bramleyfall.Heartbeat, bool) {
	s := p.servers[server]
	return bramleyfall.Heartbeat{
		Upstream: bramleyfall.UpstreamID(fmt.Sprintf("upstream-%d-%d", server, s.boot)), Boot: s.boot, Service: s.service.Name,
		Domain: s.domain, Slots: s.service.Slots, Sequence: s.beat(), ColdRemaining: max(0, s.coldUntil.Sub(p.Now())),
	}, !s.down
}

// toCaller implements ends.
func (p *dayPlay) toCaller(packet bramleyfall.Packet) {
	if p.lost() {
		return
	}
	p.After(p.jittered(millis(p.site.CallerDelay)), func() {
		if f := p.flows[packet.Flow.Reverse()]; f != nil {
			f.take(packet)
		}
	})
}

// send gives a caller's packet to the balancer that the fabric keeps its flow on.
func (p *dayPlay) send(domain bramleyfall.DomainName, packet bramleyfall.Packet) {
	if p.lost() {
		return
	}
	packet.Raw = p.raw(packet)
	near := p.balancers[domain]
	n := near[packet.Flow.Hash()%uint64(len(near))]
	p.After(p.jittered(millis(p.site.CallerDelay)), func() {
		if p.up[n] {
			p.way.fromCaller(n, packet)
		}
	})
}

// work draws the time of a request.
func (p *dayPlay) work(c *class) time.Duration {
	return millis(c.Work * math.Exp(workSpread*p.random.NormFloat64()-workSpread*workSpread/2))
}
