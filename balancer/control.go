package main

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/fabric"
	"bramleyfall.example/bramleyfall/operator"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
	"bramleyfall.example/bramleyfall/ring"
	"bramleyfall.example/bramleyfall/telemetry"
	"bramleyfall.example/bramleyfall/upstream"
)

const (
	// tickEvery is the time between two ticks of the control thread.
	tickEvery = 50 * time.Millisecond
	// queueSize is the number of tasks that wait for the control thread.
	queueSize = 4096
	// pullEvery is the least time between two pulls.
	pullEvery = 300 * time.Millisecond
	// pullTimeout bounds one pull.
	pullTimeout = 2 * time.Second
	// spreadWait is the time for which answers about a revision are collected.
	spreadWait = 250 * time.Millisecond
)

// controller owns the node. All that touches the node runs as a task of the
// control thread.
type controller struct {
	node      *peer.Node
	table     *upstream.Table
	builder   *upstream.Builder
	socket    *peer.Socket
	clock     bramleyfall.Clock
	telemetry *telemetry.Telemetry
	recorder  bramleyfall.TraceRecorder
	fresh     *fabric.Freshness
	tasks     *ring.Ring[func()]
	pulls     *ring.Ring[pull]
	lastPull  time.Time
	platform  error
	routed    map[bramleyfall.ServiceName]bool
	notified  bramleyfall.Revision
	hold      holdJudge
	client    *http.Client
	// done is closed when the control thread has ended.
	done chan struct{}
}

type pull struct {
	from    bramleyfall.Endpoint
	request *peerpb.PullRequest
}

var _ operator.Control = (*controller)(nil)

// run executes tasks and ticks until ctx ends.
func (c *controller) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			c.socket.Send(c.node.Leave())
			return
		case task := <-c.tasks.Items():
			task()
		case <-ticker.C:
			c.tick()
		}
		c.sync()
	}
}

// received hands a datagram to the control thread.
func (c *controller) received(d *peerpb.Datagram) {
	c.tasks.Offer(func() { c.receive(d) })
}

func (c *controller) receive(d *peerpb.Datagram) {
	c.socket.Send(c.node.Receive(d, c.clock.Now()))
	if state := c.node.State(); state.Revision() >= state.Newest() {
		c.fresh.HeardNewest()
	}
}

func (c *controller) tick() {
	now := c.clock.Now()
	if c.fresh.Tick(now) {
		c.telemetry.Log.Warn().Str("Event", "Paused").Str("Reason", "the process stood still; waiting for the newest configuration").Msg("")
	}
	c.socket.Send(c.node.Tick(now))
	c.judge(now)
	if r := c.node.State().Revision(); r != c.notified {
		c.notified = r
		c.socket.Send(c.node.NotifyAgents())
	}
	if now.Sub(c.lastPull) < pullEvery {
		return
	}
	if from, request, ok := c.node.PullDue(); ok {
		c.lastPull = now
		c.pulls.Offer(pull{from: from, request: request})
	}
}

// runPull makes the pulls that the node needs.
func (c *controller) runPull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-c.pulls.Items():
			c.pull(ctx, p)
		}
	}
}

func (c *controller) pull(ctx context.Context, p pull) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := peerpb.NewPeerProtobufClient("http://"+p.from.String(), c.client).Pull(ctx, p.request)
	if err != nil {
		c.telemetry.Log.Warn().Str("Event", "PullFailed").Str("From", p.from.String()).Str("Reason", err.Error()).Msg("")
		return
	}
	c.telemetry.Counter("bramleyfall_pulls_total").Inc()
	c.tasks.Offer(func() { c.node.Pulled(reply) })
}

// Pull implements peerpb.Peer.
func (c *controller) Pull(ctx context.Context, request *peerpb.PullRequest) (*peerpb.PullReply, error) {
	var reply *peerpb.PullReply
	err := c.do(ctx, func() { reply = c.node.Pull(request) })
	return reply, err
}

// do runs a task on the control thread and waits for it.
func (c *controller) do(ctx context.Context, task func()) error {
	done := make(chan struct{})
	if !c.tasks.Offer(func() { task(); close(done) }) {
		return bramleyfall.Errorf(bramleyfall.PeerAway, "the control thread is busy")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return bramleyfall.Errorf(bramleyfall.PeerAway, "the control thread did not answer: %v", ctx.Err())
	case <-c.done:
		return bramleyfall.Errorf(bramleyfall.PeerAway, "the control thread has ended")
	}
}

// sync brings the routing table up to what the node knows.
func (c *controller) sync() {
	services, all := c.node.TakeAltered()
	if all {
		services = slices.Collect(maps.Keys(c.routed))
		for _, s := range c.node.State().Services() {
			if !c.routed[s.Name] {
				services = append(services, s.Name)
			}
		}
	}
	for _, name := range append(services, c.builder.DueForRebuild(c.clock.Now())...) {
		c.syncService(name)
	}
}

func (c *controller) syncService(name bramleyfall.ServiceName) {
	state := c.node.State()
	service, ok := state.Service(name)
	if !ok {
		if c.routed[name] {
			c.table.Delete(name)
			c.builder.Forget(name)
			delete(c.routed, name)
		}
		return
	}
	entry := c.builder.Build(&service, state, c.node.Serving(name), c.clock.Now())
	c.record(entry, service.Addresses)
	c.table.Set(entry, service.Addresses)
	c.routed[name] = true
	open := 0
	for _, candidate := range entry.Candidates {
		if candidate.AcceptsNewFlows {
			open++
		}
	}
	c.telemetry.Log.Info().Str("Event", "Table").Str("Service", string(name)).
		Int("Upstreams", len(entry.Candidates)).Int("Open", open).Uint64("Revision", uint64(entry.Revision)).Msg("")
}

// record notes a routing entry before it is in force.
func (c *controller) record(entry *upstream.Entry, addresses []bramleyfall.ServiceAddress) {
	if c.recorder == nil {
		return
	}
	e := bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceTable, At: c.clock.Now(), Service: entry.Name, Addresses: addresses, Revision: entry.Revision,
	}
	for i, candidate := range entry.Candidates {
		e.Candidates = append(e.Candidates, bramleyfall.CandidateTrace{
			Name: entry.IDs[i], Boot: candidate.Boot, Address: candidate.Address, Open: candidate.AcceptsNewFlows,
		})
	}
	c.recorder.Record(e)
}

// noticed takes an agent's word about newer configuration.
func (c *controller) noticed(n *peerpb.Notice) {
	if n.Revision == 0 {
		return
	}
	c.tasks.Offer(func() {
		c.node.State().Heard(bramleyfall.Revision(n.Revision))
		if n.Domain == "" {
			return
		}
		state := bramleyfall.DomainIn
		if n.DomainOut {
			state = bramleyfall.DomainOut
		}
		change, err := configuration.DomainChange(bramleyfall.DomainName(n.Domain), state, bramleyfall.Revision(n.DomainRevision))
		if err == nil {
			c.node.ApplyNotice(change)
		}
	})
}
