// Package virtual runs decision code in virtual time: a queue of timed events
// and a network of nodes and announcers that hands their datagrams over with a
// delay. It serves measurements and tests; it models no machine.
package virtual

import (
	"container/heap"
	"time"
)

// Queue is a queue of timed events. Events of the same time run in the order
// in which they were added.
type Queue struct {
	now    time.Time
	events eventHeap
	count  uint64
}

// NewQueue returns a queue whose time is start.
func NewQueue(start time.Time) *Queue { return &Queue{now: start} }

// Now implements bramleyfall.Clock.
func (q *Queue) Now() time.Time { return q.now }

// After runs f when d has passed.
func (q *Queue) After(d time.Duration, f func()) {
	q.count++
	heap.Push(&q.events, event{at: q.now.Add(d), order: q.count, run: f})
}

// Every runs f each time that d has passed, first after offset, until f returns
// false.
func (q *Queue) Every(offset, d time.Duration, f func() bool) {
	q.After(offset, func() { q.repeat(d, f) })
}

func (q *Queue) repeat(d time.Duration, f func() bool) {
	if f() {
		q.After(d, func() { q.repeat(d, f) })
	}
}

// Run runs the events of the next d.
func (q *Queue) Run(d time.Duration) {
	end := q.now.Add(d)
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = end
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

// Pop removes the last element, as container/heap asks for.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
