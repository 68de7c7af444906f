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

// loadGenerator simulates callers that send requests one after the other, each on
// a new flow.
type loadGenerator struct {
	pickBalancer func() string
	stop         chan struct{}
	// answered, refused and broken count requests. A refused one could not open its
	// flow, a broken one got no valid answer on an open flow.
	answered, refused, broken atomic.Int64
	group                     sync.WaitGroup
}

// run sends requests until stop is closed. The first flow uses the given source
// port, and each later one the next port.
func (l *loadGenerator) run(c *platformtest.Caller, port uint16) {
	for ; ; port++ {
		select {
		case <-l.stop:
			return
		default:
		}
		flow, opened, err := c.OpenVia(port, platformtest.Route, l.pickBalancer)
		if err != nil || opened.IsReset() {
			l.refused.Add(1)
			continue
		}
		answer, err := flow.RequestVia("order", l.pickBalancer)
		if err != nil || answer.Data != strings.ToUpper("order") {
			l.broken.Add(1)
			continue
		}
		flow.Abort(l.pickBalancer())
		l.answered.Add(1)
	}
}

// Guards against requests that break when an agent or a balancer is stopped as
// planned, in particular requests on flows that were just accepted.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	const (
		workers = 4
		// stopInterval is the time between two stops, fabricDelay the time after which
		// the fabric sends no more packets to a balancer that is not ready.
		stopInterval = 300 * time.Millisecond
		fabricDelay  = time.Second
	)
	is := is.New(t)
	f := newFleet(t)
	b1, b2, m := f.newMachine(), f.newMachine(), f.newMachine()
	_, agent := f.startUpstreamAndAgent(m)
	f.startUpstreamAndAgent(f.newMachine())
	first := f.startBalancer(b1)
	f.startBalancer(b2)
	var useSecond atomic.Bool
	l := &loadGenerator{stop: make(chan struct{}), pickBalancer: func() string {
		if useSecond.Load() {
			return f.address(b2, portData)
		}
		return f.address(b1, portData)
	}}
	for n := range workers {
		c := f.newCaller()
		l.group.Go(func() { l.run(c, uint16(3000+1000*n)) })
	}
	time.Sleep(stopInterval)
	agent.shutDown()
	f.startAgent(m)
	time.Sleep(stopInterval)
	time.AfterFunc(fabricDelay, func() { useSecond.Store(true) })
	first.shutDown()
	time.Sleep(stopInterval)
	close(l.stop)
	l.group.Wait()
	t.Logf("%d answered, %d refused, %d broken", l.answered.Load(), l.refused.Load(), l.broken.Load())
	is.Equal(l.broken.Load(), int64(0))
	is.True(l.answered.Load() > 0)
}
