package direct_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall/platform/platformtest"
)

// load is callers that open a flow for each request, one after the other.
type load struct {
	pick func() string
	stop chan struct{}
	// answered, refused and cut count requests; a cut one was on an open flow.
	answered, refused, cut atomic.Int64
	group                  sync.WaitGroup
}

// run places requests from a port on, until the load is stopped.
func (l *load) run(c *platformtest.Client, port uint16) {
	for ; ; port++ {
		select {
		case <-l.stop:
			return
		default:
		}
		flow, opened, err := c.OpenBy(port, platformtest.Route, l.pick)
		if err != nil || opened.Reset() {
			l.refused.Add(1)
			continue
		}
		answer, err := flow.AskBy("order", l.pick)
		if err != nil || answer.Data != strings.ToUpper("order") {
			l.cut.Add(1)
			continue
		}
		flow.Abort(l.pick())
		l.answered.Add(1)
	}
}

// A planned stop of an agent, and one of a balancer, cut no request, least of all
// one whose flow has just been accepted.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	const (
		workers = 4
		// before is the time between two stops, and fabricLearns that after which the
		// fabric sends nothing more to a balancer that isn't ready.
		before       = 300 * time.Millisecond
		fabricLearns = time.Second
	)
	is := is.New(t)
	f := newFleet(t)
	b1, b2, m := f.machine(), f.machine(), f.machine()
	_, agent := f.upstream(m)
	f.upstream(f.machine())
	first := f.balancer(b1)
	f.balancer(b2)
	var second atomic.Bool
	l := &load{stop: make(chan struct{}), pick: func() string {
		if second.Load() {
			return f.at(b2, portData)
		}
		return f.at(b1, portData)
	}}
	for n := range workers {
		c := f.client()
		l.group.Go(func() { l.run(c, uint16(3000+1000*n)) })
	}
	time.Sleep(before)
	agent.end()
	f.agent(m)
	time.Sleep(before)
	time.AfterFunc(fabricLearns, func() { second.Store(true) })
	first.end()
	time.Sleep(before)
	close(l.stop)
	l.group.Wait()
	t.Logf("%d answered, %d refused, %d cut", l.answered.Load(), l.refused.Load(), l.cut.Load())
	is.Equal(l.cut.Load(), int64(0))
	is.True(l.answered.Load() > 0)
}
