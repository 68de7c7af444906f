// Package virtual is a discrete-event simulator: Scheduler runs events in virtual
// time, and Cluster connects the nodes and announcers of package peer by a simulated
// network. The programs measure and slopes use it. Virtual time stands still while an
// event runs, so processor time has no effect on a simulation.
package virtual

import (
	"container/heap"
	"time"
)

// Scheduler runs events in virtual time. Events that are due at the same time run
// in the order in which they were added.
type Scheduler struct {
	now    time.Time
	events eventHeap
	// added is the number of events that have been added.
	added uint64
}

// NewScheduler returns a scheduler whose clock is at start.
func NewScheduler(start time.Time) *Scheduler { return &Scheduler{now: start} }

// Now implements bramleyfall.Clock.
func (s *Scheduler) Now() time.Time { return s.now }

// After schedules f to run once, d from now.
func (s *Scheduler) After(d time.Duration, f func()) {
	s.added++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.added, run: f})
}

// Every schedules f to run first after offset and then every d, until f returns
// false.
func (s *Scheduler) Every(offset, d time.Duration, f func() bool) {
	s.After(offset, func() { s.repeat(d, f) })
}

func (s *Scheduler) repeat(d time.Duration, f func() bool) {
	if f() {
		s.After(d, func() { s.repeat(d, f) })
	}
}

// Run runs the events that are due within d and advances the clock by d.
func (s *Scheduler) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

type event struct {
	at time.Time
	// sequence orders events of the same time.
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

// Pop removes the last element. container/heap calls it after it has moved the
// minimum there.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
