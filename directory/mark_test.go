package directory

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Each mark wakes the watches of all balancers. However many they are, few write
// one at the same time.
func TestFewMarksByManyBalancers(t *testing.T) {
	const (
		balancers = 100
		// learnAfter is the time after which a mark is known to all others.
		learnAfter = 10 * time.Millisecond
		played     = 10 * time.Minute
	)
	now := time.Unix(1_800_000_000, 0)
	end := now.Add(played)
	random := rand.New(rand.NewPCG(1, 2))
	all := make([]marks, balancers)
	for i := range all {
		all[i].draw = func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
		all[i].seen(now)
	}
	written := 0
	for now.Before(end) {
		first := all[0].next
		for i := range all {
			if all[i].next.Before(first) {
				first = all[i].next
			}
		}
		now = first.Add(learnAfter)
		for i := range all { // those that write before they know of the first
			if !all[i].next.After(now) {
				written++
			}
			all[i].seen(now)
		}
	}
	if rounds := int(played / markEvery); written > 2*rounds {
		t.Errorf("%d marks were written in at most %d rounds", written, rounds)
	}
}
