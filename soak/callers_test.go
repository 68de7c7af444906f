package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall/platform/platformtest"
)

// ledger notes where each order ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string]*machine
}

// ran returns what a machine's server calls for each order. No order runs twice.
func (f *fleet) ran(m *machine) func(*platformtest.Upstream, string) {
	return func(_ *platformtest.Upstream, order string) {
		f.ledger.mu.Lock()
		defer f.ledger.mu.Unlock()
		if f.ledger.runs == nil {
			f.ledger.runs = make(map[string]*machine)
		}
		if first := f.ledger.runs[order]; first != nil {
			f.broken("%s ran at %s and at %s", order, first.id, m.id)
		}
		f.ledger.runs[order] = m
	}
}

func (f *fleet) ranAt(order string) *machine {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	return f.ledger.runs[order]
}

// caller places orders, one after the other, on flows of some orders each.
type caller struct {
	fleet  *fleet
	name   string
	client *platformtest.Caller
	random *rand.Rand
	port   uint16
	hash   uint8
	orders int
	counts callerCounts
}

type callerCounts struct{ answered, refused, unanswered, brokenFlows, unexplained int }

func newCaller(f *fleet, n int, seed uint64) *caller {
	at := fmt.Sprintf("%s:%d", f.address(), portData)
	return &caller{
		fleet: f, name: fmt.Sprintf("caller-%d", n), client: platformtest.NewCaller(f, at),
		random: rand.New(rand.NewPCG(seed, uint64(n))), port: 1024, hash: uint8(n),
	}
}

// pick chooses a balancer as the fabric does: by the flow, among those that are
// ready, so that nearly all flows move when one comes or goes.
func (c *caller) pick() string {
	var ready []*machine
	for _, m := range c.fleet.balancers {
		m.mu.Lock()
		if m.ready {
			ready = append(ready, m)
		}
		m.mu.Unlock()
	}
	if len(ready) == 0 {
		return ""
	}
	return ready[(int(c.port)*31+int(c.hash))%len(ready)].at(portData)
}

// loop calls until the soak is over.
func (c *caller) loop(done *sync.WaitGroup) {
	defer done.Done()
	const callPause = 100 * time.Millisecond
	for c.fleet.pause(callPause) {
		c.port++
		flow, _, err := c.client.OpenVia(c.port, platformtest.Route, c.pick)
		switch {
		case err != nil:
			c.counts.unanswered++
		case flow == nil:
			c.counts.refused++
		default:
			c.use(flow)
		}
	}
}

// use places some orders on a flow.
func (c *caller) use(flow *platformtest.Flow) {
	var owner *machine
	opened := time.Now()
	for range 1 + c.random.IntN(20) {
		c.orders++
		order := fmt.Sprintf("%s order %d", c.name, c.orders)
		asked := time.Now()
		answer, err := flow.RequestVia(order, c.pick)
		switch {
		case err != nil || answer.IsReset():
			c.broke(order, owner, opened, asked, err)
			return
		case answer.Data != strings.ToUpper(order):
			c.fleet.broken("%q was answered by %q", order, answer.Data)
		}
		c.counts.answered++
		owner = c.fleet.ranAt(order)
		if !c.fleet.pause(time.Duration(c.random.IntN(int(150 * time.Millisecond)))) {
			break
		}
	}
	if to := c.pick(); to != "" {
		flow.Abort(to)
	}
}

// calmFor is the time after the disturbance of a machine in which its flows may
// end: agents and balancers find out within 1.2 s, callers repeat for 3 s.
const calmFor = 5 * time.Second

// broke judges the end of a flow. An order on it isn't placed again. Where the
// machine of its server was left alone, no flow may end.
func (c *caller) broke(order string, owner *machine, opened, asked time.Time, err error) {
	c.counts.brokenFlows++
	if owner == nil {
		owner = c.fleet.ranAt(order)
	}
	if owner == nil || !owner.calm(calmFor+time.Since(asked)) || c.fleet.served(asked) {
		return
	}
	c.counts.unexplained++
	c.fleet.broken("%s: the flow at %s, which was left alone, ended after %s (asked %s ago): reset=%v",
		order, owner.id, time.Since(opened).Round(time.Millisecond), time.Since(asked).Round(time.Millisecond), err == nil)
}

// served reports whether no balancer was left alone since a time, so that
// nobody could serve.
func (f *fleet) served(since time.Time) bool {
	for _, m := range f.balancers {
		if m.calm(time.Since(since)) {
			return false
		}
	}
	return true
}
