package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/admission"
)

func TestColdRate(t *testing.T) {
	tests := []struct {
		name     string
		rate     float64
		openings int
		admitted int
	}{
		{"no rate limit", 0, 12, 12},
		{"three per second", 3, 12, 3},
		{"a rate below one per second admits one", 0.2, 12, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.Configure(snapshot(2, test.rate), h.now)
			h.sendHeartbeat(bramleyfall.Heartbeat{ColdRemaining: 2 * time.Second})
			admitted := 0
			for n := range test.openings {
				h.advance(50 * time.Millisecond)
				if h.open(n, defaultMetadata) == bramleyfall.OK {
					admitted++
					h.request(n)
					h.answer(n)
				}
			}
			is.Equal(admitted, test.admitted)
		})
	}
}

// When a wave of requests exceeds the capacity of all upstreams, requests that can
// still be answered within the objective are queued at the upstream; all others are
// refused immediately.
func TestWaveAboveCapacity(t *testing.T) {
	tests := []struct {
		name           string
		objective      time.Duration
		processingTime time.Duration
		priority       bramleyfall.Priority
		lastResort     bool
		admitted       int
	}{
		{"another upstream may have a free slot", 120 * time.Millisecond, 20 * time.Millisecond, 2, false, 2},
		{"orders are queued while their answers meet the objective", 120 * time.Millisecond, 20 * time.Millisecond, 1, true, 2 + 6},
		{"feed requests are queued like orders in a burst", 120 * time.Millisecond, 20 * time.Millisecond, 2, true, 2 + 6},
		{"slow processing leaves little time for queueing", 120 * time.Millisecond, 60 * time.Millisecond, 1, true, 2 + 1},
		{"no request is queued whose answer would miss the objective", 120 * time.Millisecond, 120 * time.Millisecond, 1, true, 2},
		{"the queue is limited by QueuePerSlot", 10 * time.Second, 20 * time.Millisecond, 1, true, 2 + 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			for range 60 { // let the gate measure the processing time
				is.Equal(h.open(0, defaultMetadata), bramleyfall.OK)
				h.request(0)
				h.advance(test.processingTime)
				h.answer(0)
				h.FromUpstream(fromUpstream(0, bramleyfall.KindReset, 0, 0), h.now)
				h.sendHeartbeat(bramleyfall.Heartbeat{})
			}
			metadata := admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: test.priority, Objective: test.objective, LastResort: test.lastResort}
			admitted := 0
			for n := range 20 {
				if h.open(n+1, metadata) == bramleyfall.OK {
					admitted++
					h.request(n + 1)
				}
			}
			is.Equal(admitted, test.admitted)
		})
	}
}

// An upstream that has just started is slow, and all its callers reconnect at the
// same time, so its queue is shorter.
func TestColdUpstreamKeepsAShortQueue(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.sendHeartbeat(bramleyfall.Heartbeat{ColdRemaining: 2 * time.Second})
	metadata := admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: 1, Objective: 120 * time.Millisecond, LastResort: true}
	for n := range 20 {
		if h.open(n, metadata) == bramleyfall.OK {
			h.request(n)
		}
	}
	is.Equal(h.ActiveRequests(), 2+3)
}

// While no slot is free, the processing time is derived from the intervals between
// answers.
func TestWorkIsLearnedWhileNoSlotIsFree(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	metadata := admission.ForwardMetadata{Service: railbook.Key(), Version: 1, Priority: 1, Objective: 120 * time.Millisecond, LastResort: true}
	const processingTime, slots = 60 * time.Millisecond, 2
	var admitted []int
	next := 0
	sendRequest := func() {
		if h.open(next, metadata) == bramleyfall.OK {
			h.request(next)
			admitted = append(admitted, next)
		}
		next++
	}
	for range 20 {
		sendRequest()
	}
	is.Equal(h.ActiveRequests(), slots+6) // with the initial estimate of 20 ms
	for range 60 {
		h.advance(processingTime / slots)
		h.answer(admitted[0])
		admitted = admitted[1:]
		sendRequest()
		h.sendHeartbeat(bramleyfall.Heartbeat{})
	}
	for range 20 {
		sendRequest()
	}
	is.Equal(h.ActiveRequests(), slots+1)
}

// In a standing queue, which has lasted longer than a burst, part of the queue is
// reserved for orders.
func TestStandingQueueIsKeptForOrders(t *testing.T) {
	tests := []struct {
		name     string
		priority bramleyfall.Priority
		limit    int
	}{
		{"orders may use the whole queue", 1, 2 + 6},
		{"feed requests may use half of it", 2, 2 + 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			metadata := admission.ForwardMetadata{
				Service: railbook.Key(), Version: 1, Priority: test.priority, Objective: 120 * time.Millisecond, LastResort: true,
			}
			sendRequest := func(n int) {
				if h.open(n, metadata) == bramleyfall.OK {
					h.request(n)
				}
			}
			for n := range 3 { // one of them is queued
				sendRequest(n)
			}
			h.advance(600 * time.Millisecond)
			h.sendHeartbeat(bramleyfall.Heartbeat{})
			for n := range 20 {
				sendRequest(100 + n)
			}
			is.Equal(h.ActiveRequests(), test.limit)
			for n := range test.limit { // once it is empty, the next burst may use it whole
				h.FromUpstream(fromUpstream(n, bramleyfall.KindReset, 901, 0), h.now)
				h.FromUpstream(fromUpstream(100+n, bramleyfall.KindReset, 901, 0), h.now)
			}
			is.Equal(h.ActiveRequests(), 0)
			h.advance(600 * time.Millisecond)
			h.sendHeartbeat(bramleyfall.Heartbeat{})
			for n := range 20 {
				sendRequest(200 + n)
			}
			is.Equal(h.ActiveRequests(), 2+6)
		})
	}
}

// An upstream may have gone cold while its failure domain was out of service. It is
// assumed to be cold until its next heartbeat.
func TestColdAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.Configure(snapshot(2, 1, "Ikeja"), h.now)
	is.Equal(h.open(1, lastResortMetadata), bramleyfall.NotRunDomainOut)
	h.Configure(snapshot(2, 1), h.now)
	is.Equal(h.State(h.now), bramleyfall.UpstreamCold)
	is.Equal(h.open(2, defaultMetadata), bramleyfall.OK)
	is.Equal(h.open(3, defaultMetadata), bramleyfall.NotRunWarmUp)
	h.sendHeartbeat(bramleyfall.Heartbeat{})
	is.Equal(h.open(4, defaultMetadata), bramleyfall.OK)
}

// The newer of the two configurations decides whether an opening is allowed.
func TestNewerConfigurationDecides(t *testing.T) {
	other := bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}
	tests := []struct {
		name            string
		balancerVersion bramleyfall.ConfigVersion
		want            bramleyfall.ResultCode
	}{
		{"the balancer's configuration is older", 1, bramleyfall.WrongService},
		{"both have the same version", 2, bramleyfall.WrongService},
		{"the balancer has a newer configuration with a new route", 3, bramleyfall.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.Configure(snapshot(2, 0), h.now)
			p := opening(1)
			p.Flow.Destination = other
			metadata := defaultMetadata
			metadata.Version = test.balancerVersion
			is.New(t).Equal(h.FromBalancer(p, metadata, h.now).Code, test.want)
		})
	}
}
