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
	// tickInterval is the time between two ticks of the controller.
	tickInterval = 50 * time.Millisecond
	// taskQueueSize is the capacity of the controller's task queue.
	taskQueueSize = 4096
	// minPullInterval is the minimum time between two pulls.
	minPullInterval = 300 * time.Millisecond
	// pullTimeout is the time limit for one pull.
	pullTimeout = 2 * time.Second
	// propagationQueryTimeout is the time limit for collecting the replies of other
	// balancers about the propagation of a revision.
	propagationQueryTimeout = 250 * time.Millisecond
)

// controller keeps the configuration, the membership and the routing table up to
// date. It owns the node: only its goroutine accesses the node, and other
// goroutines submit tasks to it.
type controller struct {
	node      *peer.Node
	table     *upstream.Table
	builder   *upstream.Builder
	socket    *peer.Socket
	clock     bramleyfall.Clock
	telemetry *telemetry.Telemetry
	recorder  bramleyfall.TraceRecorder
	guard     *fabric.ForwardingGuard
	tasks     *ring.Queue[func()]
	pulls     *ring.Queue[pullTask]
	lastPull  time.Time
	// platformErr is the last reported error of the platform, nil while it responds.
	platformErr error
	// routedServices are the services in the routing table.
	routedServices map[bramleyfall.ServiceName]bool
	// notifiedRevision is the last revision of which agents were notified.
	notifiedRevision bramleyfall.Revision
	forwarding       forwardingState
	client           *http.Client
	// stopped is closed when run returns.
	stopped chan struct{}
}

// pullTask is a request to a peer for configuration or membership.
type pullTask struct {
	from    bramleyfall.Endpoint
	request *peerpb.PullRequest
}

var _ operator.Control = (*controller)(nil)

// run executes tasks and ticks until ctx is done.
func (c *controller) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer close(c.stopped)
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
		c.syncTable()
	}
}

// queueDatagram queues a datagram for the controller.
func (c *controller) queueDatagram(datagram *peerpb.Datagram) {
	c.tasks.Offer(func() { c.handleDatagram(datagram) })
}

func (c *controller) handleDatagram(datagram *peerpb.Datagram) {
	c.socket.Send(c.node.Receive(datagram, c.clock.Now()))
	if state := c.node.State(); state.Revision() >= state.NewestRevision() {
		c.guard.SetUpToDate()
	}
}

func (c *controller) tick() {
	now := c.clock.Now()
	if c.guard.Tick(now) {
		c.telemetry.Log.Warn().Str("Event", "Paused").Str("Reason", "the process was paused; forwarding waits for the newest configuration").Msg("")
	}
	c.socket.Send(c.node.Tick(now))
	c.updateForwarding(now)
	if revision := c.node.State().Revision(); revision != c.notifiedRevision {
		c.notifiedRevision = revision
		c.socket.Send(c.node.NotifyAgents())
	}
	if now.Sub(c.lastPull) < minPullInterval {
		return
	}
	if from, request, ok := c.node.NextPull(); ok {
		c.lastPull = now
		c.pulls.Offer(pullTask{from: from, request: request})
	}
}

// runPulls executes the queued pulls until ctx is done.
func (c *controller) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-c.pulls.Items():
			c.pull(ctx, task)
		}
	}
}

func (c *controller) pull(ctx context.Context, task pullTask) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := peerpb.NewPeerProtobufClient("http://"+task.from.String(), c.client).Pull(ctx, task.request)
	if err != nil {
		c.telemetry.Log.Warn().Str("Event", "PullFailed").Str("From", task.from.String()).Str("Reason", err.Error()).Msg("")
		return
	}
	c.telemetry.Counter("bramleyfall_pulls_total").Inc()
	c.tasks.Offer(func() { c.node.HandlePullReply(reply) })
}

// Pull implements peerpb.Peer.
func (c *controller) Pull(ctx context.Context, request *peerpb.PullRequest) (*peerpb.PullReply, error) {
	var reply *peerpb.PullReply
	err := c.runTask(ctx, func() { reply = c.node.HandlePull(request) })
	return reply, err
}

// runTask runs a task in the controller's goroutine and waits for its completion.
// It returns an error if the queue is full, ctx is done or the controller stops.
func (c *controller) runTask(ctx context.Context, task func()) error {
	done := make(chan struct{})
	if !c.tasks.Offer(func() { task(); close(done) }) {
		return bramleyfall.Errorf(bramleyfall.PeerAway, "the task queue of the balancer is full")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return bramleyfall.Errorf(bramleyfall.PeerAway, "the balancer did not complete the request: %v", ctx.Err())
	case <-c.stopped:
		return bramleyfall.Errorf(bramleyfall.PeerAway, "the balancer has stopped")
	}
}

// syncTable updates the routing table entries of services whose members or
// configuration have changed, and of those that the builder needs to rebuild.
func (c *controller) syncTable() {
	services, all := c.node.TakeChangedServices()
	if all {
		services = slices.Collect(maps.Keys(c.routedServices))
		for _, s := range c.node.State().Services() {
			if !c.routedServices[s.Name] {
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
		if c.routedServices[name] {
			c.table.Delete(name)
			c.builder.Forget(name)
			delete(c.routedServices, name)
		}
		return
	}
	entry := c.builder.Build(&service, state, c.node.Serving(name), c.clock.Now())
	c.recordEntry(entry, service.Addresses)
	c.table.Set(entry, service.Addresses)
	c.routedServices[name] = true
	open := 0
	for _, candidate := range entry.Candidates {
		if candidate.AcceptsNewFlows {
			open++
		}
	}
	c.telemetry.Log.Info().Str("Event", "Table").Str("Service", string(name)).
		Int("Upstreams", len(entry.Candidates)).Int("Open", open).Uint64("Revision", uint64(entry.Revision)).Msg("")
}

// recordEntry records a routing entry in the trace before the entry takes effect.
func (c *controller) recordEntry(entry *upstream.Entry, addresses []bramleyfall.ServiceAddress) {
	if c.recorder == nil {
		return
	}
	event := bramleyfall.TraceEvent{
		Kind: bramleyfall.TraceTable, At: c.clock.Now(), Service: entry.Name, Addresses: addresses, Revision: entry.Revision,
	}
	for i, candidate := range entry.Candidates {
		event.Candidates = append(event.Candidates, bramleyfall.CandidateTrace{
			Name: entry.IDs[i], Boot: candidate.Boot, Address: candidate.Address, Open: candidate.AcceptsNewFlows,
		})
	}
	c.recorder.Record(event)
}

// handleNotice processes an agent's notice of newer configuration.
func (c *controller) handleNotice(notice *peerpb.Notice) {
	if notice.Revision == 0 {
		return
	}
	c.tasks.Offer(func() {
		c.node.State().ObserveRevision(bramleyfall.Revision(notice.Revision))
		if notice.Domain == "" {
			return
		}
		state := bramleyfall.DomainIn
		if notice.DomainOut {
			state = bramleyfall.DomainOut
		}
		change, err := configuration.DomainChange(bramleyfall.DomainName(notice.Domain), state, bramleyfall.Revision(notice.DomainRevision))
		if err == nil {
			c.node.ApplyNotice(change)
		}
	})
}
