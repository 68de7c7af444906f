package main

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/plot/plotter"
)

// tally counts what a play showed. Broken flows and the like count only while
// it is measured.
type tally struct {
	clients     map[[4]byte]*client
	requests    int
	measuring   bool
	brokenFlows int
	ordersLost  int
	// lostWith is the part of them that was lost with a restarted upstream.
	lostWith     int
	doubled      int
	wrongService int
	coldFailures int
	shed         int
	refused      int
	first, extra int
	runs         map[int]bool
	// windows holds the requests and the answers of each second.
	windows map[int64]*window
	began   time.Time
	balance []float64
	slots   []float64
	control float64
}

type window struct{ asked, kept int }

func (t *tally) begin(now time.Time) {
	t.measuring, t.began = true, now
	t.brokenFlows, t.ordersLost, t.lostWith, t.coldFailures, t.shed, t.refused, t.first, t.extra = 0, 0, 0, 0, 0, 0, 0, 0
	t.windows = make(map[int64]*window)
}

func (t *tally) broken() {
	if t.measuring {
		t.brokenFlows++
	}
}

func (t *tally) lost() {
	if t.measuring {
		t.ordersLost++
	}
}

func (t *tally) lostWithUpstream() {
	if t.measuring {
		t.lostWith++
	}
}

func (t *tally) firstHop() { t.first++ }
func (t *tally) extraHop() { t.extra++ }

// ran notes that a request ran.
func (t *tally) ran(request int) {
	if t.runs == nil {
		t.runs = make(map[int]bool)
	}
	if t.runs[request] {
		t.doubled++
	}
	t.runs[request] = true
}

func (t *tally) window(at time.Time) *window {
	if !t.measuring || at.Before(t.began) {
		return nil
	}
	second := int64(at.Sub(t.began) / time.Second)
	if t.windows[second] == nil {
		t.windows[second] = &window{}
	}
	return t.windows[second]
}

func (t *tally) asked(at time.Time) {
	if w := t.window(at); w != nil {
		w.asked++
	}
}

func (t *tally) answered(asked, now time.Time) {
	if w := t.window(asked); w != nil && now.Sub(asked) <= keptWithin {
		w.kept++
	}
}

// kept returns the least share of requests answered in a one-second window.
func (t *tally) kept(end time.Time) float64 {
	least := 1.0
	for _, share := range t.shares(end) {
		least = min(least, share.Y)
	}
	return least
}

// shares returns the share of the requests of each second that were answered in
// time, without the last seconds, whose answers may still come.
func (t *tally) shares(end time.Time) plotter.XYs {
	var out plotter.XYs
	last := int64(end.Sub(t.began)/time.Second) - int64(keptWithin/time.Second)
	for second := range last {
		if w := t.windows[second]; w != nil && w.asked > 0 {
			out = append(out, plotter.XY{X: float64(second), Y: float64(w.kept) / float64(w.asked)})
		}
	}
	return out
}

// sample notes the imbalance of each service over its upstreams in service.
func (w *world) sample() {
	for _, spec := range w.spec.services {
		var flows, running []float64
		for _, s := range w.upstreams {
			if s.service != spec.name || !w.inService(s) {
				continue
			}
			flows = append(flows, float64(len(s.flows)))
			running = append(running, float64(s.running+len(s.waiting)))
		}
		w.tally.balance = appendRatio(w.tally.balance, flows)
		w.tally.slots = appendRatio(w.tally.slots, running)
	}
}

func (w *world) inService(s *server) bool {
	if len(w.live) == 0 {
		return false
	}
	entry := w.live[0].table.Lookup(flowTo(s))
	if entry == nil {
		return false
	}
	for _, c := range entry.Candidates {
		if c.Upstream == s.key {
			return c.AcceptsNewFlows
		}
	}
	return false
}

// appendRatio appends max over mean.
func appendRatio(out, values []float64) []float64 {
	sum, most := 0.0, 0.0
	for _, v := range values {
		sum += v
		most = max(most, v)
	}
	if sum == 0 {
		return out
	}
	return append(out, most*float64(len(values))/sum)
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

func (p *play) report(w *world) {
	t := &w.tally
	p.shares = t.shares(w.Now())
	p.result = fmt.Sprintf("Measure Deployment=%s Router=%s Scenario=%s BrokenFlows=%d OrdersLost=%d LostWithUpstream=%d OrdersDoubled=%d WrongService=%d Imbalance=%.2f ImbalanceSlots=%.2f ServiceKept=%.3f ExtraHops=%.2f ControlBytesPerSecond=%.0f ColdFailures=%d Shed=%d Refused=%d Requests=%d Seed=%d",
		p.deployment.name, p.router, p.scenario, t.brokenFlows, t.ordersLost, t.lostWith, t.doubled, t.wrongService,
		mean(t.balance), mean(t.slots), t.kept(w.Now()), float64(t.extra)/float64(max(1, t.first)), t.control,
		t.coldFailures, t.shed, t.refused, t.requests, p.seed)
}
