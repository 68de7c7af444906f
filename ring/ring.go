// Package ring joins threads with bounded queues.
package ring

import "sync/atomic"

// Queue is a bounded queue between goroutines. A full Queue rejects new items
// and counts them, so that a producer never blocks.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a Queue that holds up to size items.
func New[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// Offer appends item and reports whether there was room.
func (r *Queue[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items returns the channel to take items from.
func (r *Queue[T]) Items() <-chan T { return r.items }

// Close ends the queue: the channel of Items closes after the last item.
func (r *Queue[T]) Close() { close(r.items) }

// Dropped returns how many items were rejected.
func (r *Queue[T]) Dropped() uint64 { return r.dropped.Load() }
