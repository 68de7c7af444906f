package main

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot/plotter"
)

// siteRecorder records the results of the requests of a site simulation.
type siteRecorder struct {
	site      *site
	startedAt time.Time
	overall   credit
	classes   []credit
	windows   []credit
	// windowCounts holds the request counts of each window.
	windowCounts []requestCounts
	// duplicatedOrders counts executions of orders after the first.
	duplicatedOrders int
}

type requestCounts struct{ issued, inTime, late, failed int }

func (c *requestCounts) add(other requestCounts) {
	c.issued, c.inTime = c.issued+other.issued, c.inTime+other.inTime
	c.late, c.failed = c.late+other.late, c.failed+other.failed
}

// credit is the earned credit and the credit that would have been earned if all
// requests had been answered within their objectives.
type credit struct{ earned, possible float64 }

func (c *credit) share() float64 {
	if c.possible == 0 {
		return 1
	}
	return c.earned / c.possible
}

func newSiteRecorder(site *site, startedAt time.Time) siteRecorder {
	windowCount := int(siteScenarioDuration/windowLength) + 1
	return siteRecorder{
		site: site, startedAt: startedAt, classes: make([]credit, len(site.Classes)), windows: make([]credit, windowCount),
		windowCounts: make([]requestCounts, windowCount),
	}
}

// windowIndex returns the index of the window in which a request was issued.
func (r *siteRecorder) windowIndex(request *siteRequest) int {
	return min(len(r.windows)-1, int(request.issuedAt.Sub(r.startedAt)/windowLength))
}

func (r *siteRecorder) recordRequest(request *siteRequest) {
	value := r.site.Classes[request.classIndex].Value
	for _, c := range []*credit{&r.overall, &r.classes[request.classIndex], &r.windows[r.windowIndex(request)]} {
		c.possible += value
	}
	r.windowCounts[r.windowIndex(request)].issued++
}

// recordExecution records that an upstream started to execute the request of a flow, if
// the caller is still waiting for the answer.
func (r *siteRecorder) recordExecution(f *siteCallerFlow) {
	if f == nil || f.request == nil {
		return
	}
	f.request.executions++
	if f.request.executions > 1 && !f.class.Idempotent {
		r.duplicatedOrders++
	}
}

// recordEnd records the end of a request, unless the request has already ended.
func (r *siteRecorder) recordEnd(request *siteRequest, now time.Time, answered bool) {
	if request.done {
		return
	}
	request.done = true
	c := &r.site.Classes[request.classIndex]
	counts := &r.windowCounts[r.windowIndex(request)]
	value := 0.0
	switch responseTime := now.Sub(request.issuedAt); {
	case !answered:
		counts.failed++
	case responseTime <= millis(c.Objective):
		counts.inTime++
		value = c.Value
	default:
		counts.late++
		value = c.Value * c.LateFactor
	}
	for _, c := range []*credit{&r.overall, &r.classes[request.classIndex], &r.windows[r.windowIndex(request)]} {
		c.earned += value
	}
}

// score returns the weighted score of the scenario, which is printed as Service.
func (r *siteRecorder) score() float64 {
	worstClass := 1.0
	for i := range r.classes {
		worstClass = min(worstClass, r.classes[i].share())
	}
	w := r.site.Weights
	return w.Overall*r.overall.share() + w.WorstWindows*r.worstWindowsShare() + w.WorstClass*worstClass + w.Availability*r.availabilityScore()
}

// availabilityScore returns the share of requests that were answered at all, on a
// logarithmic scale: 0 if all failed, 1 if at most one in a thousand failed (three
// nines).
func (r *siteRecorder) availabilityScore() float64 {
	const minFailedShare = 1e-3
	total := r.total()
	failedShare := float64(total.failed) / float64(max(1, total.issued))
	return math.Log(max(minFailedShare, failedShare)) / math.Log(minFailedShare)
}

// total returns the request counts of the whole scenario.
func (r *siteRecorder) total() requestCounts {
	var total requestCounts
	for _, c := range r.windowCounts {
		total.add(c)
	}
	return total
}

// windowShares returns the time series of the credit share.
func (r *siteRecorder) windowShares() plotter.XYs {
	var points plotter.XYs
	for i := range r.windows {
		points = append(points, plotter.XY{X: float64(i) * windowLength.Seconds(), Y: r.windows[i].share()})
	}
	return points
}

// worstWindowsShare returns the mean credit share of the two worst windows.
func (r *siteRecorder) worstWindowsShare() float64 {
	var shares []float64
	for i := range r.windows {
		shares = append(shares, r.windows[i].share())
	}
	slices.Sort(shares)
	return (shares[0] + shares[1]) / 2
}
