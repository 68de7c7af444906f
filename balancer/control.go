package main

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/fabric"
	"bramleyfall.example/bramleyfall/geneve"
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
	conn      *geneve.Conn
	keys      *peer.Keys
	clock     bramleyfall.Clock
	telemetry *telemetry.Telemetry
	recorder  bramleyfall.Recorder
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
			c.send(c.node.Leave())
			return
		case task := <-c.tasks.Items():
			task()
		case <-ticker.C:
			c.tick()
		}
		c.sync()
	}
}

// runReceive reads control datagrams until the socket is closed.
func (c *controller) runReceive(ctx context.Context) {
	receiver := geneve.NewReceiver()
	bad := c.telemetry.Counter("bramleyfall_bad_seals_total")
	received := c.telemetry.Counter("bramleyfall_control_bytes_received_total")
	for ctx.Err() == nil {
		n, err := receiver.Read(c.conn)
		if err != nil {
			continue
		}
		for i := range n {
			received.Add(len(receiver.Data(i)))
			d := &peerpb.Datagram{}
			body, err := c.keys.Open(peer.PurposeDatagram, receiver.Data(i))
			if err == nil {
				err = proto.Unmarshal(body, d)
			}
			if err != nil {
				bad.Inc()
				c.telemetry.Log.Warn().Str("Event", "BadSeal").Str("From", receiver.From(i).String()).Str("Reason", err.Error()).Msg("")
				continue
			}
			c.tasks.Offer(func() { c.receive(d) })
		}
	}
}

func (c *controller) receive(d *peerpb.Datagram) {
	c.send(c.node.Receive(d, c.clock.Now()))
	if state := c.node.State(); state.Revision() >= state.Newest() {
		c.fresh.HeardNewest()
	}
}

func (c *controller) tick() {
	now := c.clock.Now()
	if c.fresh.Tick(now) {
		c.telemetry.Log.Warn().Str("Event", "Paused").Str("Reason", "the process stood still; waiting for the newest configuration").Msg("")
	}
	c.send(c.node.Tick(now))
	c.judge(now)
	if r := c.node.State().Revision(); r != c.notified {
		c.notified = r
		c.send(c.node.NotifyAgents())
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
		return ctx.Err()
	case <-c.done:
		return bramleyfall.Errorf(bramleyfall.PeerAway, "the control thread has ended")
	}
}

func (c *controller) send(out []peer.Outgoing) {
	sent := c.telemetry.Counter("bramleyfall_control_bytes_sent_total")
	for _, o := range out {
		body, err := proto.Marshal(o.Datagram)
		if err != nil {
			continue
		}
		sealed := c.keys.Seal(peer.PurposeDatagram, body)
		sent.Add(len(sealed))
		_ = c.conn.WriteTo(sealed, o.To)
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
	for _, name := range append(services, c.builder.Due(c.clock.Now())...) {
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
		if candidate.Open {
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
			Name: entry.Names[i], Boot: candidate.Boot, Address: candidate.Address, Open: candidate.Open,
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

// Revision implements platform.Sink.
func (c *controller) Revision() (bramleyfall.Revision, bramleyfall.ChangeID) {
	var revision bramleyfall.Revision
	var id bramleyfall.ChangeID
	_ = c.do(context.Background(), func() {
		revision = c.node.State().Revision()
		if changes, ok := c.node.State().Since(revision - min(revision, 1)); ok && len(changes) > 0 {
			id = changes[len(changes)-1].ID
		}
	})
	return revision, id
}

// Changes implements platform.Sink.
func (c *controller) Changes(changes []bramleyfall.Change, full bool, revision bramleyfall.Revision) {
	_ = c.do(context.Background(), func() {
		if full {
			c.node.ApplyFull(changes, revision)
			return
		}
		for _, change := range changes {
			c.apply(change, "Platform")
		}
	})
}

func (c *controller) apply(change bramleyfall.Change, source string) {
	before := c.node.State().Revision()
	err := c.node.ApplyChange(change)
	if err != nil {
		c.telemetry.Log.Error().Str("Event", "BadChange").Str("Change", string(change.ID)).Str("Reason", err.Error()).Msg("")
		return
	}
	if c.node.State().Revision() != before {
		c.telemetry.Log.Info().Str("Event", "Change").Str("Change", string(change.ID)).Str("Key", change.Key).
			Uint64("Revision", uint64(change.Revision)).Str("Source", source).Msg("")
	}
}

// Health implements platform.Sink.
func (c *controller) Health(err error) {
	_ = c.do(context.Background(), func() {
		if err != nil {
			c.telemetry.Log.Error().Str("Event", "Platform").Str("Code", bramleyfall.CodeOf(err).String()).Str("Reason", err.Error()).Msg("")
		} else if c.platform != nil {
			c.telemetry.Log.Info().Str("Event", "Platform").Str("Code", bramleyfall.OK.String()).Msg("")
		}
		c.platform = err
	})
}

// View implements operator.Control.
func (c *controller) View() operator.View {
	var v operator.View
	_ = c.do(context.Background(), func() {
		state := c.node.State()
		v = operator.View{
			Revision: state.Revision(), Newest: state.Newest(), Services: state.Services(),
			Domains: state.Domains(), Members: c.node.Members(),
			Drained: make(map[bramleyfall.InstanceID]bool), PlatformError: c.platform,
		}
		for _, m := range v.Members {
			if state.Drained(m.ID) {
				v.Drained[m.ID] = true
			}
		}
	})
	return v
}

// Entry implements operator.Control.
func (c *controller) Entry(flow bramleyfall.Flow) *upstream.Entry { return c.table.Lookup(flow) }

// Route implements operator.Control.
func (c *controller) Route(flow bramleyfall.Flow, opening bool) (bramleyfall.HopList, bramleyfall.ResultCode) {
	var list bramleyfall.HopList
	code := c.table.Route(flow, opening, 0, &list)
	return list, code
}

// Find implements operator.Control.
func (c *controller) Find(id bramleyfall.ChangeID) (bramleyfall.Change, bool) {
	var change bramleyfall.Change
	var ok bool
	_ = c.do(context.Background(), func() { change, ok = c.node.State().Change(id) })
	return change, ok
}

// Changed implements operator.Control.
func (c *controller) Changed(change bramleyfall.Change) {
	_ = c.do(context.Background(), func() { c.apply(change, "Operator") })
}

// Spread implements operator.Control. It waits a moment for the answers.
func (c *controller) Spread(revision bramleyfall.Revision) peer.Spread {
	const rounds = 4
	var nonce uint64
	var spread peer.Spread
	_ = c.do(context.Background(), func() {
		var out []peer.Outgoing
		nonce, out = c.node.Ask(revision, c.clock.Now())
		c.send(out)
	})
	for range rounds {
		time.Sleep(spreadWait / rounds)
		_ = c.do(context.Background(), func() {
			if spread = c.node.Answer(nonce); spread.Lagging > 0 {
				c.send(c.node.AskAgain(nonce))
			}
		})
		if spread.Lagging == 0 {
			break
		}
	}
	return spread
}
