package direct_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/direct"
	"bramleyfall.example/bramleyfall/directory"
	"bramleyfall.example/bramleyfall/placement"
	"bramleyfall.example/bramleyfall/platform"
	"bramleyfall.example/bramleyfall/platform/platformtest"
	"bramleyfall.example/bramleyfall/telemetry"
)

// fleet is a deployment on loopback addresses. Each machine has its own address,
// and all machines use the same ports.
type fleet struct {
	*testing.T
	store *platformtest.Store
	ports [portCount]int
	// machines is the number of the last address that newMachine has assigned.
	machines int
}

// Indexes of a machine's ports in fleet.ports.
const (
	portData = iota
	portTunnel
	portHTTP
	portMetrics
	portControl
	portOutbound
	portUpstream
	portCount
)

func newFleet(t *testing.T) *fleet {
	f := &fleet{T: t, store: platformtest.NewStore(t), machines: 2}
	for i := range f.ports {
		f.ports[i] = firstPort() + i
	}
	f.store.Configure(1, "railbook")
	return f
}

// firstPort returns the first port of a fleet. The ports are below the ephemeral
// port range and differ between test processes that run at the same time.
func firstPort() int {
	const lowest, processes = 20000, 1000
	return lowest + os.Getpid()%processes*portCount
}

// newMachine returns an address that no other machine uses.
func (f *fleet) newMachine() string {
	f.machines++
	return fmt.Sprintf("127.0.%d.%d", 1+f.machines/250, 1+f.machines%250)
}

func (f *fleet) address(machine string, port int) string {
	return fmt.Sprintf("%s:%d", machine, f.ports[port])
}

func (f *fleet) endpoint(machine string, port int) bramleyfall.Endpoint {
	e, err := bramleyfall.ParseEndpoint(f.address(machine, port))
	if err != nil {
		f.Fatal(err)
	}
	return e
}

// process is a running balancer or agent.
type process struct {
	stop context.CancelFunc
	done chan struct{}
}

// shutDown stops the process and waits until it has ended.
func (p *process) shutDown() {
	p.stop()
	<-p.done
}

// run runs a service in the background until the test ends.
func (f *fleet) run(service func(context.Context)) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		service(ctx)
	}()
	f.Cleanup(p.shutDown)
	return p
}

func (f *fleet) newTelemetry(id string) *telemetry.Telemetry {
	t := telemetry.New(io.Discard, bramleyfall.InstanceID(id))
	f.Cleanup(t.Close)
	return t
}

// startBalancer starts a balancer and waits until it is ready.
func (f *fleet) startBalancer(machine string) *process {
	p := f.launchBalancer(machine)
	f.await("readiness of "+machine, func() bool { return f.get(machine, portHTTP, "/ready") == http.StatusOK })
	return p
}

// launchBalancer starts a balancer without waiting until it is ready.
func (f *fleet) launchBalancer(machine string) *process {
	store := platform.NewClient(f.store.Address)
	b, err := direct.NewBalancer(direct.BalancerConfig{
		ID: bramleyfall.InstanceID("balancer-" + machine), Domain: "Ikeja",
		Packets: f.endpoint(machine, portData), Tunnel: f.endpoint(machine, portTunnel),
		HTTP: f.endpoint(machine, portHTTP), Metrics: f.endpoint(machine, portMetrics),
	}, bramleyfall.SystemClock(), platform.PacketCodec{}, store, platform.NewConfigurationSource(store), f.newTelemetry(machine))
	if err != nil {
		f.Fatal(err)
	}
	return f.run(b.Run)
}

// get returns the HTTP status of a request, or 0 if the request fails.
func (f *fleet) get(machine string, port int, path string) int {
	response, err := http.Get("http://" + f.address(machine, port) + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (f *fleet) startAgent(machine string) *process {
	store := platform.NewClient(f.store.Address)
	a, err := direct.NewAgent(direct.AgentConfig{
		ID: bramleyfall.InstanceID("agent-" + machine), Domain: "Ikeja", Service: "railbook",
		Packets: f.endpoint(machine, portData), Outbound: f.endpoint(machine, portOutbound),
		Upstream: f.endpoint(machine, portUpstream), Control: f.endpoint(machine, portControl),
		HTTP: f.endpoint(machine, portHTTP), Metrics: f.endpoint(machine, portMetrics),
		HeartbeatInterval: platformtest.DefaultHeartbeatInterval,
	}, bramleyfall.SystemClock(), platform.PacketCodec{}, store, platform.NewConfigurationSource(store), platform.UpstreamHandler, f.newTelemetry(machine))
	if err != nil {
		f.Fatal(err)
	}
	return f.run(a.Run)
}

func (f *fleet) startUpstream(machine, id string) *platformtest.Upstream {
	return platformtest.NewUpstream(f, id, "railbook", "Ikeja", f.address(machine, portUpstream), f.address(machine, portOutbound), f.address(machine, portControl))
}

// startUpstreamAndAgent starts an upstream with its agent and waits until the agent's
// entry is in the store.
func (f *fleet) startUpstreamAndAgent(machine string) (*platformtest.Upstream, *process) {
	announced := len(f.store.Keys("bramleyfall/agents/"))
	p := f.startAgent(machine)
	s := f.startUpstream(machine, "i-"+machine)
	f.await("entry of "+machine, func() bool { return len(f.store.Keys("bramleyfall/agents/")) > announced })
	return s, p
}

func (f *fleet) newCaller() *platformtest.Caller {
	return platformtest.NewCaller(f, f.address(f.newMachine(), portData))
}

// await waits until condition holds. It fails the test after a timeout that is
// much longer than any time limit of balancers and agents.
func (f *fleet) await(event string, condition func() bool) {
	f.Helper()
	const timeout = 10 * time.Second
	for started := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(started) > timeout {
			f.Fatalf("waiting for %s: timed out after %s", event, timeout)
		}
	}
}

// open opens a flow through a balancer. It retries, each time from the next port,
// until an upstream accepts the flow.
func (f *fleet) open(c *platformtest.Caller, port uint16, balancer string) *platformtest.Flow {
	f.Helper()
	var flow *platformtest.Flow
	f.await("a flow", func() bool {
		opened, _, err := c.Open(port, platformtest.Route, f.address(balancer, portData))
		flow = opened
		port++
		return err == nil && opened != nil
	})
	return flow
}

func (f *fleet) request(flow *platformtest.Flow, data, balancer string) {
	f.Helper()
	answer, err := flow.Request(data, f.address(balancer, portData))
	if err != nil || answer.Data != strings.ToUpper(data) {
		f.Fatalf("request %q: got answer %+v, error %v", data, answer, err)
	}
}

func TestWholePath(t *testing.T) {
	f := newFleet(t)
	b, m := f.newMachine(), f.newMachine()
	upstream, _ := f.startUpstreamAndAgent(m)
	f.startBalancer(b)
	flow := f.open(f.newCaller(), 2000, b)
	f.request(flow, "order 1", b)
	f.request(flow, "order 2", b)
	is.New(t).Equal(upstream.Served(), 2)
}

// Guards against broken flows when the fabric sends their packets to a balancer
// that does not know them.
func TestFlowSurvivesItsBalancer(t *testing.T) {
	f := newFleet(t)
	b1, b2 := f.newMachine(), f.newMachine()
	f.startUpstreamAndAgent(f.newMachine())
	f.startUpstreamAndAgent(f.newMachine())
	first := f.startBalancer(b1)
	f.startBalancer(b2)
	flow := f.open(f.newCaller(), 2000, b1)
	f.request(flow, "order 1", b1)
	first.shutDown()
	f.request(flow, "order 2", b2)
}

// Guards against broken flows after an agent's restart: the agent knows none of the
// flows that its upstream still owns.
func TestFlowSurvivesItsAgent(t *testing.T) {
	f := newFleet(t)
	b, m := f.newMachine(), f.newMachine()
	_, agent := f.startUpstreamAndAgent(m)
	f.startUpstreamAndAgent(f.newMachine())
	f.startBalancer(b)
	c := f.newCaller()
	flows := []*platformtest.Flow{f.open(c, 2000, b), f.open(c, 2100, b), f.open(c, 2200, b), f.open(c, 2300, b)}
	agent.shutDown()
	f.startAgent(m)
	for n, flow := range flows {
		f.request(flow, fmt.Sprintf("order %d", n), b)
	}
}

// After another upstream has taken over the address, a caller of the former one
// receives a reset.
func TestFlowOfARestartedUpstreamIsReset(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b, m := f.newMachine(), f.newMachine()
	upstream, _ := f.startUpstreamAndAgent(m)
	f.startBalancer(b)
	flow := f.open(f.newCaller(), 2000, b)
	f.request(flow, "order 1", b)
	upstream.Kill()
	f.startUpstream(m, "i-second")
	answer, err := flow.Request("order 2", f.address(b, portData))
	is.NoErr(err)
	is.True(answer.IsReset())
}

func TestDrainingUpstreamTakesNoFlows(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b := f.newMachine()
	draining, _ := f.startUpstreamAndAgent(f.newMachine())
	f.startUpstreamAndAgent(f.newMachine())
	f.startBalancer(b)
	c := f.newCaller()
	flow := f.open(c, 2000, b)
	draining.Drain()
	served := draining.Served()
	for n := range 6 {
		f.request(f.open(c, uint16(3000+100*n), b), "order", b)
	}
	is.Equal(draining.Served(), served) // no requests on flows opened after Drain
	f.request(flow, "the open flow stays", b)
}

// The agents' entries expire while the store fails. New flows can still be opened,
// and the entries are written again within 2 s after the store works again.
func TestStoreTrouble(t *testing.T) {
	tests := []platformtest.Fault{
		platformtest.FaultBusy, platformtest.FaultSilent, platformtest.FaultReset, platformtest.FaultLostResponse,
		platformtest.FaultLateWrite, platformtest.FaultSlow,
	}
	for _, fault := range tests {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			b := f.newMachine()
			f.startUpstreamAndAgent(f.newMachine())
			f.startBalancer(b)
			c := f.newCaller()
			f.request(f.open(c, 2000, b), "before", b)
			f.store.SetFault(fault)
			f.store.RevokeLeases()
			f.request(f.open(c, 2100, b), "meanwhile", b)
			f.store.SetFault(platformtest.FaultNone)
			restored := time.Now()
			f.await("the entry", func() bool { return len(f.store.Keys("bramleyfall/agents/")) == 1 })
			is.True(time.Since(restored) < 2*time.Second)
			f.request(f.open(c, 2200, b), "afterwards", b)
		})
	}
}

// Guards against flows that a newly started balancer resets because an agent's
// entry has expired: running balancers report it missing to the agent,
// which writes the entry again before the new balancer's wait for a list ends.
func TestLapsedEntryIsBackSoon(t *testing.T) {
	is := is.New(t)
	const limit = time.Second // less than a balancer's wait for a list before it resets a flow
	f := newFleet(t)
	b := f.newMachine()
	f.startUpstreamAndAgent(f.newMachine())
	f.startBalancer(b)
	f.request(f.open(f.newCaller(), 2000, b), "before", b)
	for range 3 {
		f.store.RevokeLeases()
		revoked := time.Now()
		f.await("the entry", func() bool { return len(f.store.Keys("bramleyfall/agents/")) == 1 })
		is.True(time.Since(revoked) < limit)
		time.Sleep(300 * time.Millisecond) // until the balancer's watch has delivered the entry
	}
}

// callsPerSecond is the number of calls per instance that the users' store can
// serve: 2,400 reads and writes a second for 25 instances.
const callsPerSecond = 2400 / 25

// Guards against overload of the store by retries: all instances start while the
// store rejects their calls. The number of calls stays within what the store can
// serve, both then and after it works again.
func TestHerdRestartLeavesTheStoreAlone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.store.SetFault(platformtest.FaultBusy)
	const agents, span = 6, 2 * time.Second
	balancer := f.newMachine()
	p := f.launchBalancer(balancer)
	for range agents {
		m := f.newMachine()
		f.startAgent(m)
		f.startUpstream(m, "i-"+m)
	}
	bound := (agents + 1) * callsPerSecond * int(span/time.Second)
	time.Sleep(span)
	is.True(f.store.Calls() <= bound)
	callsInOutage := f.store.Calls()
	f.store.SetFault(platformtest.FaultNone)
	restored := time.Now()
	f.await("the entries", func() bool { return len(f.store.Keys("bramleyfall/agents/")) == agents })
	is.True(time.Since(restored) < 2*time.Second)
	time.Sleep(span - time.Since(restored))
	is.True(f.store.Calls()-callsInOutage <= bound)
	f.request(f.open(f.newCaller(), 2000, balancer), "order", balancer)
	p.shutDown()
}

func TestHistoryLost(t *testing.T) {
	f := newFleet(t)
	b := f.newMachine()
	f.startBalancer(b)
	f.store.SetFault(platformtest.FaultBusy)
	f.startUpstreamInOutage(b)
}

// configuration returns the current configuration of a machine, or an empty one if
// it cannot be fetched.
func (f *fleet) configuration(machine string) bramleyfall.Snapshot {
	response, err := http.Get("http://" + f.address(machine, portMetrics) + "/configuration")
	if err != nil {
		return bramleyfall.Snapshot{}
	}
	defer response.Body.Close()
	var s bramleyfall.Snapshot
	if json.NewDecoder(response.Body).Decode(&s) != nil {
		return bramleyfall.Snapshot{}
	}
	return s
}

// version returns the version of the current configuration of a machine.
func (f *fleet) version(machine string) bramleyfall.ConfigVersion {
	return f.configuration(machine).Version
}

// Pending watches deliver no more changes, while their connections stay open and
// new calls succeed. A balancer must detect this within less than the 4 s after
// which it counts as connected to the store again, and its messages must inform
// its agents.
func TestDeafWatches(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b, m := f.newMachine(), f.newMachine()
	f.startUpstreamAndAgent(m)
	f.startBalancer(b)
	f.store.StallWatches()
	f.store.Configure(5, "railbook")
	changed := time.Now()
	f.await("the change at the balancer", func() bool { return f.version(b) == 5 })
	is.True(time.Since(changed) < 4*time.Second)
	f.request(f.open(f.newCaller(), 2000, b), "order", b)
	f.await("the change at the agent", func() bool { return f.version(m) == 5 })
	is.True(time.Since(changed) < 4*time.Second)
}

// An evacuation does not change the configuration's version. An agent whose watch
// delivers no changes must learn of the evacuation and of its end from the revision
// that balancers send with the packets of open flows.
func TestDeafWatchesOfAnEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b, m := f.newMachine(), f.newMachine()
	f.startUpstreamAndAgent(m)
	f.startBalancer(b)
	flow := f.open(f.newCaller(), 2000, b)
	f.request(flow, "opened", b)
	for _, out := range []bool{true, false} {
		f.store.StallWatches()
		f.store.Evacuate("Ikeja", out)
		changed := time.Now()
		f.await("the change at the balancer", func() bool { return f.configuration(b).Out["Ikeja"] == out })
		f.request(flow, "stays open", b)
		f.await("the change at the agent", func() bool { return f.configuration(m).Out["Ikeja"] == out })
		is.True(time.Since(changed) < 4*time.Second)
	}
}

// A placer must not assume that a list of agents is complete for longer than the
// entry watcher keeps the pauses between watches short.
func TestPausesAndTrustAgree(t *testing.T) {
	is := is.New(t)
	is.True(placement.DefaultConfig().ListMaxAge <= directory.ListMaxAge)
}

// startUpstreamInOutage starts an upstream and changes the configuration while the
// store fails. The store drops the history of these changes before the balancer
// can read it, then works again.
func (f *fleet) startUpstreamInOutage(balancer string) {
	m := f.newMachine()
	f.startAgent(m)
	f.startUpstream(m, "i-late")
	f.store.Configure(5, "railbook")
	f.store.DropHistory()
	f.store.SetFault(platformtest.FaultNone)
	f.request(f.open(f.newCaller(), 2000, balancer), "order", balancer)
}

// An evacuated domain gets no new flows, and its open flows continue.
func TestEvacuation(t *testing.T) {
	f := newFleet(t)
	b := f.newMachine()
	f.startUpstreamAndAgent(f.newMachine())
	f.startBalancer(b)
	c := f.newCaller()
	flow := f.open(c, 2000, b)
	f.store.Evacuate("Ikeja", true)
	port := uint16(3000)
	f.await("a refusal", func() bool {
		port++
		opened, answer, err := c.Open(port, platformtest.Route, f.address(b, portData))
		return err == nil && opened == nil && answer.IsReset()
	})
	f.request(flow, "open flows stay", b)
	f.store.Evacuate("Ikeja", false)
	f.request(f.open(c, 4000, b), "back", b)
}

// A stopping balancer forwards until the fabric has stopped sending packets, and
// then ends soon, so that the shutdowns of instances that are stopped one after
// the other do not overlap.
func TestLeavingBalancerEndsWhenNothingComes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b := f.newMachine()
	f.startUpstreamAndAgent(f.newMachine())
	p := f.startBalancer(b)
	flow := f.open(f.newCaller(), 2000, b)
	started := time.Now()
	p.stop()
	for time.Since(started) < 600*time.Millisecond {
		f.request(flow, "the fabric hasn't noticed", b)
	}
	<-p.done
	is.True(time.Since(started) < 1200*time.Millisecond)
}
