package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"bramleyfall.example/bramleyfall/platform/platformtest"
)

// executionLog records on which machine's server each order was executed.
type executionLog struct {
	mu       sync.Mutex
	machines map[string]*machine
}

// recordExecution returns the function that the server of m calls for each order
// that it executes. It reports an order that is executed twice.
func (d *deployment) recordExecution(m *machine) func(*platformtest.Upstream, string) {
	return func(_ *platformtest.Upstream, order string) {
		d.executions.mu.Lock()
		defer d.executions.mu.Unlock()
		if d.executions.machines == nil {
			d.executions.machines = make(map[string]*machine)
		}
		if first := d.executions.machines[order]; first != nil {
			d.reportViolation("%s was executed on %s and again on %s", order, first.id, m.id)
		}
		d.executions.machines[order] = m
	}
}

func (d *deployment) executedOn(order string) *machine {
	d.executions.mu.Lock()
	defer d.executions.mu.Unlock()
	return d.executions.machines[order]
}

// caller opens one flow at a time and places a random number of orders on it,
// one after the other.
type caller struct {
	deployment *deployment
	name       string
	client     *platformtest.Caller
	random     *rand.Rand
	port       uint16
	hash       uint8
	orders     int
	counts     callerCounts
}

type callerCounts struct{ answered, refused, unanswered, brokenFlows, unexplained int }

func newCaller(d *deployment, n int, seed uint64) *caller {
	address := fmt.Sprintf("%s:%d", d.newIP(), portData)
	return &caller{
		deployment: d, name: fmt.Sprintf("caller-%d", n), client: platformtest.NewCaller(d, address),
		random: rand.New(rand.NewPCG(seed, uint64(n))), port: 1024, hash: uint8(n),
	}
}

// pickBalancer selects a balancer as the fabric does: by a hash of the flow modulo
// the number of ready balancers. Most flows therefore move to another balancer
// whenever one becomes ready or unready.
func (c *caller) pickBalancer() string {
	var ready []*machine
	for _, m := range c.deployment.balancers {
		m.mu.Lock()
		if m.ready {
			ready = append(ready, m)
		}
		m.mu.Unlock()
	}
	if len(ready) == 0 {
		return ""
	}
	return ready[(int(c.port)*31+int(c.hash))%len(ready)].address(portData)
}

// loop opens flows and places orders on them until the soak ends.
func (c *caller) loop(done *sync.WaitGroup) {
	defer done.Done()
	const flowInterval = 100 * time.Millisecond
	for c.deployment.sleep(flowInterval) {
		c.port++
		flow, _, err := c.client.OpenVia(c.port, platformtest.Route, c.pickBalancer)
		switch {
		case err != nil:
			c.counts.unanswered++
		case flow == nil:
			c.counts.refused++
		default:
			c.placeOrders(flow)
		}
	}
}

// placeOrders places 1 to 20 orders on a flow and then aborts it.
func (c *caller) placeOrders(flow *platformtest.Flow) {
	var owner *machine
	openedAt := time.Now()
	for range 1 + c.random.IntN(20) {
		c.orders++
		order := fmt.Sprintf("%s order %d", c.name, c.orders)
		sentAt := time.Now()
		answer, err := flow.RequestVia(order, c.pickBalancer)
		switch {
		case err != nil || answer.IsReset():
			c.checkBrokenFlow(order, owner, openedAt, sentAt, err)
			return
		case answer.Data != strings.ToUpper(order):
			c.deployment.reportViolation("%q was answered by %q", order, answer.Data)
		}
		c.counts.answered++
		owner = c.deployment.executedOn(order)
		if !c.deployment.sleep(time.Duration(c.random.IntN(int(150 * time.Millisecond)))) {
			break
		}
	}
	if balancer := c.pickBalancer(); balancer != "" {
		flow.Abort(balancer)
	}
}

// recoveryTime is the time after the disturbance of a machine within which its
// flows may still break: agents and balancers detect the failure within 1.2 s, and
// callers retransmit for 3 s.
const recoveryTime = 5 * time.Second

// checkBrokenFlow is called when a flow breaks. It reports a violation unless the
// machine of the flow's server, or all balancers, were disturbed. The failed order
// is not placed again.
func (c *caller) checkBrokenFlow(order string, owner *machine, openedAt, sentAt time.Time, err error) {
	c.counts.brokenFlows++
	if owner == nil {
		owner = c.deployment.executedOn(order)
	}
	if owner == nil || !owner.undisturbed(recoveryTime+time.Since(sentAt)) || c.deployment.allBalancersDisturbed(sentAt) {
		return
	}
	c.counts.unexplained++
	c.deployment.reportViolation("%s: the flow on %s, which was not disturbed, broke after %s (request sent %s ago): reset=%v",
		order, owner.id, time.Since(openedAt).Round(time.Millisecond), time.Since(sentAt).Round(time.Millisecond), err == nil)
}

// allBalancersDisturbed reports whether every balancer has been disturbed since
// the given time, so that none was sure to forward packets.
func (d *deployment) allBalancersDisturbed(since time.Time) bool {
	for _, m := range d.balancers {
		if m.undisturbed(time.Since(since)) {
			return false
		}
	}
	return true
}
