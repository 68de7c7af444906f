package main

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/plot/plotter"
)

// clusterRecorder records the results of a trial. The counts cover the measured time,
// except for duplicated orders, packets of the wrong service and the number of requests,
// which cover the whole trial.
type clusterRecorder struct {
	callers      map[[4]byte]*clusterCaller
	requestCount int
	measuring    bool
	brokenFlows  int
	ordersLost   int
	// lostToRestart is the number of lost orders whose upstream was restarted.
	lostToRestart    int
	duplicatedOrders int
	wrongService     int
	coldFailures     int
	shed             int
	refused          int
	// firstHops counts packets that a balancer sent to the first hop of a list, extraHops
	// packets that an agent forwarded to the next hop or returned for the next page.
	firstHops, extraHops int
	executed             map[int]bool
	// windows holds the counts of each second of the measured time.
	windows   map[int64]*secondCounts
	startedAt time.Time
	// flowImbalance and requestImbalance hold the ratio of maximum to mean over the
	// upstreams of each service: of open flows, and of running and queued requests.
	flowImbalance         []float64
	requestImbalance      []float64
	controlBytesPerSecond float64
}

// secondCounts counts the requests issued in a second and those of them that were
// answered in time.
type secondCounts struct{ issued, answeredInTime int }

// startMeasuring starts the measured time.
func (r *clusterRecorder) startMeasuring(now time.Time) {
	r.measuring, r.startedAt = true, now
	r.brokenFlows, r.ordersLost, r.lostToRestart, r.coldFailures, r.shed, r.refused, r.firstHops, r.extraHops = 0, 0, 0, 0, 0, 0, 0, 0
	r.windows = make(map[int64]*secondCounts)
}

func (r *clusterRecorder) recordBrokenFlow() {
	if r.measuring {
		r.brokenFlows++
	}
}

func (r *clusterRecorder) recordLostOrder() {
	if r.measuring {
		r.ordersLost++
	}
}

func (r *clusterRecorder) recordLostToRestart() {
	if r.measuring {
		r.lostToRestart++
	}
}

func (r *clusterRecorder) recordFirstHop() { r.firstHops++ }
func (r *clusterRecorder) recordExtraHop() { r.extraHops++ }

// recordExecution records that an upstream started to execute a request.
func (r *clusterRecorder) recordExecution(requestID int) {
	if r.executed == nil {
		r.executed = make(map[int]bool)
	}
	if r.executed[requestID] {
		r.duplicatedOrders++
	}
	r.executed[requestID] = true
}

// windowAt returns the counts of the second in which a request was issued, or nil if
// that was before the measured time.
func (r *clusterRecorder) windowAt(issuedAt time.Time) *secondCounts {
	if !r.measuring || issuedAt.Before(r.startedAt) {
		return nil
	}
	second := int64(issuedAt.Sub(r.startedAt) / time.Second)
	if r.windows[second] == nil {
		r.windows[second] = &secondCounts{}
	}
	return r.windows[second]
}

func (r *clusterRecorder) recordRequest(issuedAt time.Time) {
	if w := r.windowAt(issuedAt); w != nil {
		w.issued++
	}
}

func (r *clusterRecorder) recordAnswer(issuedAt, now time.Time) {
	if w := r.windowAt(issuedAt); w != nil && now.Sub(issuedAt) <= answerTimeLimit {
		w.answeredInTime++
	}
}

// minAnsweredShare returns the minimum of answeredShares.
func (r *clusterRecorder) minAnsweredShare(end time.Time) float64 {
	minimum := 1.0
	for _, share := range r.answeredShares(end) {
		minimum = min(minimum, share.Y)
	}
	return minimum
}

// answeredShares returns the time series of the share of requests, per second of
// issue, that were answered in time. It omits the last seconds, whose requests may still
// be answered in time.
func (r *clusterRecorder) answeredShares(end time.Time) plotter.XYs {
	var points plotter.XYs
	last := int64(end.Sub(r.startedAt)/time.Second) - int64(answerTimeLimit/time.Second)
	for second := range last {
		if w := r.windows[second]; w != nil && w.issued > 0 {
			points = append(points, plotter.XY{X: float64(second), Y: float64(w.answeredInTime) / float64(w.issued)})
		}
	}
	return points
}

// recordImbalance records the imbalance between the upstreams of each service that
// accept new flows.
func (si *clusterSimulation) recordImbalance() {
	for _, spec := range si.deployment.services {
		var flows, requests []float64
		for _, u := range si.upstreams {
			if u.service != spec.name || !si.acceptsNewFlows(u) {
				continue
			}
			flows = append(flows, float64(len(u.flows)))
			requests = append(requests, float64(u.running+len(u.queue)))
		}
		si.recorder.flowImbalance = appendMaxToMean(si.recorder.flowImbalance, flows)
		si.recorder.requestImbalance = appendMaxToMean(si.recorder.requestImbalance, requests)
	}
}

// acceptsNewFlows reports whether the routing table of the first routable balancer
// admits new flows to an upstream.
func (si *clusterSimulation) acceptsNewFlows(u *clusterUpstream) bool {
	if len(si.routableBalancers) == 0 {
		return false
	}
	entry := si.routableBalancers[0].table.Lookup(flowTo(u))
	if entry == nil {
		return false
	}
	for _, c := range entry.Candidates {
		if c.Upstream == u.key {
			return c.AcceptsNewFlows
		}
	}
	return false
}

// appendMaxToMean appends the ratio of the maximum to the mean of values, unless all
// are zero.
func appendMaxToMean(ratios, values []float64) []float64 {
	sum, maximum := 0.0, 0.0
	for _, v := range values {
		sum += v
		maximum = max(maximum, v)
	}
	if sum == 0 {
		return ratios
	}
	return append(ratios, maximum*float64(len(values))/sum)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	if len(values) == 0 {
		return math.NaN()
	}
	return sum / float64(len(values))
}

// summarize sets the results of the trial, including the line that is printed.
func (tr *trial) summarize(sim *clusterSimulation) {
	r := &sim.recorder
	tr.answeredShares = r.answeredShares(sim.Now())
	tr.summary = fmt.Sprintf("Measure Deployment=%s Router=%s Scenario=%s BrokenFlows=%d OrdersLost=%d LostWithUpstream=%d OrdersDoubled=%d WrongService=%d Imbalance=%.2f ImbalanceSlots=%.2f ServiceKept=%.3f ExtraHops=%.2f ControlBytesPerSecond=%.0f ColdFailures=%d Shed=%d Refused=%d Requests=%d Seed=%d",
		tr.deployment.name, tr.router, tr.scenario, r.brokenFlows, r.ordersLost, r.lostToRestart, r.duplicatedOrders, r.wrongService,
		mean(r.flowImbalance), mean(r.requestImbalance), r.minAnsweredShare(sim.Now()), float64(r.extraHops)/float64(max(1, r.firstHops)), r.controlBytesPerSecond,
		r.coldFailures, r.shed, r.refused, r.requestCount, tr.seed)
}
