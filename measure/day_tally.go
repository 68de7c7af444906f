package main

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot/plotter"
)

// dayTally counts what callers got.
type dayTally struct {
	site    *site
	began   time.Time
	whole   credit
	classes []credit
	windows []credit
	// counts holds the requests of each window.
	counts []dayCounts
	// doubled counts the orders that ran more than once.
	doubled int
}

type dayCounts struct{ asked, inTime, late, failed int }

func (c *dayCounts) add(other dayCounts) {
	c.asked, c.inTime = c.asked+other.asked, c.inTime+other.inTime
	c.late, c.failed = c.late+other.late, c.failed+other.failed
}

// credit is what answers were worth, and what they could have been.
type credit struct{ earned, owed float64 }

func (c *credit) share() float64 {
	if c.owed == 0 {
		return 1
	}
	return c.earned / c.owed
}

func newDayTally(s *site, began time.Time) dayTally {
	windows := int(dayTime/windowTime) + 1
	return dayTally{
		site: s, began: began, classes: make([]credit, len(s.Classes)), windows: make([]credit, windows),
		counts: make([]dayCounts, windows),
	}
}

func (t *dayTally) window(r *dayRequest) int {
	return min(len(t.windows)-1, int(r.asked.Sub(t.began)/windowTime))
}

func (t *dayTally) asked(r *dayRequest) {
	worth := t.site.Classes[r.class].Worth
	for _, c := range []*credit{&t.whole, &t.classes[r.class], &t.windows[t.window(r)]} {
		c.owed += worth
	}
	t.counts[t.window(r)].asked++
}

// ran notes that an upstream began to work on the request of a flow, if its caller
// still waits.
func (t *dayTally) ran(f *dayFlow) {
	if f == nil || f.request == nil {
		return
	}
	f.request.runs++
	if f.request.runs > 1 && !f.class.Idempotent {
		t.doubled++
	}
}

// end notes the end of a request, unless it has ended before.
func (t *dayTally) end(r *dayRequest, now time.Time, answered bool) {
	if r.done {
		return
	}
	r.done = true
	c := &t.site.Classes[r.class]
	counts := &t.counts[t.window(r)]
	worth := 0.0
	switch took := now.Sub(r.asked); {
	case !answered:
		counts.failed++
	case took <= millis(c.Objective):
		counts.inTime++
		worth = c.Worth
	default:
		counts.late++
		worth = c.Worth * c.Late
	}
	for _, c := range []*credit{&t.whole, &t.classes[r.class], &t.windows[t.window(r)]} {
		c.earned += worth
	}
}

// service returns the service of the day by the weights of the site.
func (t *dayTally) service() float64 {
	class := 1.0
	for i := range t.classes {
		class = min(class, t.classes[i].share())
	}
	w := t.site.Weights
	return w.Whole*t.whole.share() + w.Windows*t.worstWindows() + w.Class*class + w.Nines*t.nines()
}

// nines returns the share of requests that were served at all, on a logarithmic
// scale that ends at three nines.
func (t *dayTally) nines() float64 {
	const best = 1e-3
	all := t.sum()
	missed := float64(all.failed) / float64(max(1, all.asked))
	return math.Log(max(best, missed)) / math.Log(best)
}

// sum returns the requests of the whole day.
func (t *dayTally) sum() dayCounts {
	var all dayCounts
	for _, c := range t.counts {
		all.add(c)
	}
	return all
}

// curve returns the service in each window.
func (t *dayTally) curve() plotter.XYs {
	var points plotter.XYs
	for i := range t.windows {
		points = append(points, plotter.XY{X: float64(i) * windowTime.Seconds(), Y: t.windows[i].share()})
	}
	return points
}

// worstWindows returns the share of the two windows that are served worst.
func (t *dayTally) worstWindows() float64 {
	var shares []float64
	for i := range t.windows {
		shares = append(shares, t.windows[i].share())
	}
	slices.Sort(shares)
	return (shares[0] + shares[1]) / 2
}
