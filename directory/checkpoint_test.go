package directory

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Each checkpoint ends the pending watches of all balancers. Guards against many
// balancers writing a checkpoint at about the same time: on average, at most
// two may do so per checkpointMinInterval.
func TestFewMarksByManyBalancers(t *testing.T) {
	const (
		balancers = 100
		// propagationDelay is the time after which all balancers know a checkpoint.
		propagationDelay = 10 * time.Millisecond
		duration         = 10 * time.Minute
	)
	now := time.Unix(1_800_000_000, 0)
	end := now.Add(duration)
	random := rand.New(rand.NewPCG(1, 2))
	states := make([]checkpointState, balancers)
	for i := range states {
		states[i].jitter = func(bound time.Duration) time.Duration { return time.Duration(random.Int64N(int64(bound))) }
		states[i].reschedule(now)
	}
	written := 0
	for now.Before(end) {
		first := states[0].next
		for i := range states {
			if states[i].next.Before(first) {
				first = states[i].next
			}
		}
		now = first.Add(propagationDelay)
		for i := range states { // including those that write before they know the first checkpoint
			if !states[i].next.After(now) {
				written++
			}
			states[i].reschedule(now)
		}
	}
	if intervals := int(duration / checkpointMinInterval); written > 2*intervals {
		t.Errorf("%d checkpoints were written in at most %d intervals", written, intervals)
	}
}
