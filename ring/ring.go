// Package ring provides bounded queues between goroutines that drop items rather
// than block the producer. Balancers, agents and the trace writer use it.
package ring

import "sync/atomic"

// Queue is a bounded queue between goroutines. A full Queue drops new items and
// counts them, so that a producer never blocks.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a Queue that holds up to size items.
func New[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// Offer appends item unless the queue is full and reports whether it did.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Items returns the channel from which consumers receive.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Close ends the queue: the channel of Items is closed once the remaining items
// are received. Offer must not be called after Close.
func (q *Queue[T]) Close() { close(q.items) }

// Dropped returns the number of items that were dropped.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
