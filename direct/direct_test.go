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

// fleet is a deployment on loopback. Each machine has an address of its own and
// all use the same ports.
type fleet struct {
	*testing.T
	store *platformtest.Store
	ports [portCount]int
	next  int
}

// The ports of a machine.
const (
	portData = iota
	portTunnel
	portHTTP
	portMetrics
	portControl
	portOutbound
	portApp
	portCount
)

func newFleet(t *testing.T) *fleet {
	f := &fleet{T: t, store: platformtest.NewStore(t), next: 2}
	for i := range f.ports {
		f.ports[i] = firstPort() + i
	}
	f.store.Configure(1, "railbook")
	return f
}

// firstPort returns the first of a fleet's ports: below those that the system
// hands out, and others for each process of tests that runs at the same time.
func firstPort() int {
	const lowest, processes = 20000, 1000
	return lowest + os.Getpid()%processes*portCount
}

// machine returns the address of a new machine.
func (f *fleet) machine() string {
	f.next++
	return fmt.Sprintf("127.0.%d.%d", 1+f.next/250, 1+f.next%250)
}

func (f *fleet) at(machine string, port int) string {
	return fmt.Sprintf("%s:%d", machine, f.ports[port])
}

func (f *fleet) endpoint(machine string, port int) bramleyfall.Endpoint {
	e, err := bramleyfall.ParseEndpoint(f.at(machine, port))
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

// end stops the process and waits for it.
func (p *process) end() {
	p.stop()
	<-p.done
}

func (f *fleet) start(run func(context.Context)) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		run(ctx)
	}()
	f.Cleanup(p.end)
	return p
}

func (f *fleet) telemetry(id string) *telemetry.Telemetry {
	t := telemetry.New(io.Discard, bramleyfall.InstanceID(id))
	f.Cleanup(t.Close)
	return t
}

// balancer starts a balancer and waits until it is ready.
func (f *fleet) balancer(machine string) *process {
	p := f.launchBalancer(machine)
	f.await("readiness of "+machine, func() bool { return f.get(machine, portHTTP, "/ready") == http.StatusOK })
	return p
}

// launchBalancer starts a balancer.
func (f *fleet) launchBalancer(machine string) *process {
	store := platform.NewClient(f.store.Address)
	b, err := direct.NewBalancer(direct.BalancerConfig{
		ID: bramleyfall.InstanceID("balancer-" + machine), Domain: "Ikeja",
		Packets: f.endpoint(machine, portData), Tunnel: f.endpoint(machine, portTunnel),
		HTTP: f.endpoint(machine, portHTTP), Metrics: f.endpoint(machine, portMetrics),
	}, bramleyfall.SystemClock(), platform.PacketCodec{}, store, platform.NewOperator(store), f.telemetry(machine))
	if err != nil {
		f.Fatal(err)
	}
	return f.start(b.Run)
}

func (f *fleet) get(machine string, port int, path string) int {
	response, err := http.Get("http://" + f.at(machine, port) + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// agent starts an agent.
func (f *fleet) agent(machine string) *process {
	store := platform.NewClient(f.store.Address)
	a, err := direct.NewAgent(direct.AgentConfig{
		ID: bramleyfall.InstanceID("agent-" + machine), Domain: "Ikeja", Service: "railbook",
		Packets: f.endpoint(machine, portData), Outbound: f.endpoint(machine, portOutbound),
		Upstream: f.endpoint(machine, portApp), Control: f.endpoint(machine, portControl),
		HTTP: f.endpoint(machine, portHTTP), Metrics: f.endpoint(machine, portMetrics),
		HeartbeatEvery: platformtest.HeartbeatEvery,
	}, bramleyfall.SystemClock(), platform.PacketCodec{}, store, platform.NewOperator(store), platform.UpstreamHandler, f.telemetry(machine))
	if err != nil {
		f.Fatal(err)
	}
	return f.start(a.Run)
}

func (f *fleet) server(machine, id string) *platformtest.Server {
	return platformtest.NewServer(f, id, "railbook", "Ikeja", f.at(machine, portApp), f.at(machine, portOutbound), f.at(machine, portControl))
}

// upstream starts a server with its agent and waits until it is announced.
func (f *fleet) upstream(machine string) (*platformtest.Server, *process) {
	announced := len(f.store.Keys("bramleyfall/agents/"))
	p := f.agent(machine)
	s := f.server(machine, "i-"+machine)
	f.await("entry of "+machine, func() bool { return len(f.store.Keys("bramleyfall/agents/")) > announced })
	return s, p
}

func (f *fleet) client() *platformtest.Client {
	return platformtest.NewClient(f, f.at(f.machine(), portData))
}

// await waits for what a process is about to do; it fails the test when that
// takes much longer than any bound of the product.
func (f *fleet) await(what string, holds func() bool) {
	f.Helper()
	const patience = 10 * time.Second
	for started := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(started) > patience {
			f.Fatalf("%s: not within %s", what, patience)
		}
	}
}

// open opens a flow through a balancer, and once more while none is ready.
func (f *fleet) open(c *platformtest.Client, port uint16, balancer string) *platformtest.Flow {
	f.Helper()
	var flow *platformtest.Flow
	f.await("a flow", func() bool {
		opened, _, err := c.Open(port, platformtest.Route, f.at(balancer, portData))
		flow = opened
		port++
		return err == nil && opened != nil
	})
	return flow
}

func (f *fleet) ask(flow *platformtest.Flow, data, balancer string) {
	f.Helper()
	answer, err := flow.Ask(data, f.at(balancer, portData))
	if err != nil || answer.Data != strings.ToUpper(data) {
		f.Fatalf("asked %q, got %+v, %v", data, answer, err)
	}
}

func TestWholePath(t *testing.T) {
	f := newFleet(t)
	b, m := f.machine(), f.machine()
	server, _ := f.upstream(m)
	f.balancer(b)
	flow := f.open(f.client(), 2000, b)
	f.ask(flow, "order 1", b)
	f.ask(flow, "order 2", b)
	is.New(t).Equal(server.Served(), 2)
}

// A packet may reach a balancer that has never seen its flow.
func TestFlowSurvivesItsBalancer(t *testing.T) {
	f := newFleet(t)
	b1, b2 := f.machine(), f.machine()
	f.upstream(f.machine())
	f.upstream(f.machine())
	first := f.balancer(b1)
	f.balancer(b2)
	flow := f.open(f.client(), 2000, b1)
	f.ask(flow, "order 1", b1)
	first.end()
	f.ask(flow, "order 2", b2)
}

// An agent that was restarted knows no flow; its upstream does.
func TestFlowSurvivesItsAgent(t *testing.T) {
	f := newFleet(t)
	b, m := f.machine(), f.machine()
	_, agent := f.upstream(m)
	f.upstream(f.machine())
	f.balancer(b)
	c := f.client()
	flows := []*platformtest.Flow{f.open(c, 2000, b), f.open(c, 2100, b), f.open(c, 2200, b), f.open(c, 2300, b)}
	agent.end()
	f.agent(m)
	for n, flow := range flows {
		f.ask(flow, fmt.Sprintf("order %d", n), b)
	}
}

// The caller of an upstream that was replaced at its address is told.
func TestFlowOfARestartedUpstreamIsReset(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b, m := f.machine(), f.machine()
	server, _ := f.upstream(m)
	f.balancer(b)
	flow := f.open(f.client(), 2000, b)
	f.ask(flow, "order 1", b)
	server.Kill()
	f.server(m, "i-second")
	answer, err := flow.Ask("order 2", f.at(b, portData))
	is.NoErr(err)
	is.True(answer.Reset())
}

func TestDrainingUpstreamTakesNoFlows(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b := f.machine()
	leaving, _ := f.upstream(f.machine())
	f.upstream(f.machine())
	f.balancer(b)
	c := f.client()
	flow := f.open(c, 2000, b)
	leaving.Drain()
	served := leaving.Served()
	for n := range 6 {
		f.ask(f.open(c, uint16(3000+100*n), b), "order", b)
	}
	is.Equal(leaving.Served(), served) // no request of a flow that opened since
	f.ask(flow, "the open flow stays", b)
}

// Entries lapse while the store is away; flows open on, and the entries are back
// soon after.
func TestStoreTrouble(t *testing.T) {
	tests := []platformtest.Fault{
		platformtest.FaultBusy, platformtest.FaultSilent, platformtest.FaultReset, platformtest.FaultLostAnswer,
		platformtest.FaultLate, platformtest.FaultSlow,
	}
	for _, fault := range tests {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			b := f.machine()
			f.upstream(f.machine())
			f.balancer(b)
			c := f.client()
			f.ask(f.open(c, 2000, b), "before", b)
			f.store.SetFault(fault)
			f.store.Revoke()
			f.ask(f.open(c, 2100, b), "meanwhile", b)
			f.store.SetFault(platformtest.FaultNone)
			back := time.Now()
			f.await("the entry", func() bool { return len(f.store.Keys("bramleyfall/agents/")) == 1 })
			is.True(time.Since(back) < 2*time.Second)
			f.ask(f.open(c, 2200, b), "afterwards", b)
		})
	}
}

// An agent learns from the balancers that its entry is gone, before a balancer
// that starts can miss it.
func TestLapsedEntryIsBackSoon(t *testing.T) {
	is := is.New(t)
	const soon = time.Second // less than a balancer waits for a list before it resets a flow
	f := newFleet(t)
	b := f.machine()
	f.upstream(f.machine())
	f.balancer(b)
	f.ask(f.open(f.client(), 2000, b), "before", b)
	for range 3 {
		f.store.Revoke()
		lapsed := time.Now()
		f.await("the entry", func() bool { return len(f.store.Keys("bramleyfall/agents/")) == 1 })
		is.True(time.Since(lapsed) < soon)
		time.Sleep(300 * time.Millisecond) // the balancer hears of it
	}
}

// callsPerSecond is the number of calls that the users' store bears for each
// instance: 2,400 reads and writes a second for 25 instances.
const callsPerSecond = 2400 / 25

// All instances start again while the store turns them away. They don't storm
// it, neither then nor when it is back.
func TestHerdRestartLeavesTheStoreAlone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.store.SetFault(platformtest.FaultBusy)
	const agents, span = 6, 2 * time.Second
	balancer := f.machine()
	p := f.launchBalancer(balancer)
	for range agents {
		m := f.machine()
		f.agent(m)
		f.server(m, "i-"+m)
	}
	bound := (agents + 1) * callsPerSecond * int(span/time.Second)
	time.Sleep(span)
	is.True(f.store.Calls() <= bound)
	before := f.store.Calls()
	f.store.SetFault(platformtest.FaultNone)
	back := time.Now()
	f.await("the entries", func() bool { return len(f.store.Keys("bramleyfall/agents/")) == agents })
	is.True(time.Since(back) < 2*time.Second)
	time.Sleep(span - time.Since(back))
	is.True(f.store.Calls()-before <= bound)
	f.ask(f.open(f.client(), 2000, balancer), "order", balancer)
	p.end()
}

func TestHistoryLost(t *testing.T) {
	f := newFleet(t)
	b := f.machine()
	f.balancer(b)
	f.store.SetFault(platformtest.FaultBusy)
	f.upstreamWhileAway(b)
}

// inForce returns the configuration in force at a machine, or an empty one.
func (f *fleet) inForce(machine string) bramleyfall.Snapshot {
	response, err := http.Get("http://" + f.at(machine, portMetrics) + "/configuration")
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

// version returns the version of the configuration in force at a machine.
func (f *fleet) version(machine string) bramleyfall.ConfigVersion { return f.inForce(machine).Version }

// The watches that wait hear nothing any more, while their connections stay open
// and new calls work. A balancer finds out by itself in less than the 4 s after
// which it counts as in touch with the store again, and tells its agents.
func TestDeafWatches(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b, m := f.machine(), f.machine()
	f.upstream(m)
	f.balancer(b)
	f.store.DeafenWatches()
	f.store.Configure(5, "railbook")
	changed := time.Now()
	f.await("the change at the balancer", func() bool { return f.version(b) == 5 })
	is.True(time.Since(changed) < 4*time.Second)
	f.ask(f.open(f.client(), 2000, b), "order", b)
	f.await("the change at the agent", func() bool { return f.version(m) == 5 })
	is.True(time.Since(changed) < 4*time.Second)
}

// An evacuation changes no version. Past its deaf watch, an agent hears of it and of
// its end by the packets of open flows.
func TestDeafWatchesOfAnEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b, m := f.machine(), f.machine()
	f.upstream(m)
	f.balancer(b)
	flow := f.open(f.client(), 2000, b)
	f.ask(flow, "opened", b)
	for _, out := range []bool{true, false} {
		f.store.DeafenWatches()
		f.store.Evacuate("Ikeja", out)
		changed := time.Now()
		f.await("the change at the balancer", func() bool { return f.inForce(b).Out["Ikeja"] == out })
		f.ask(flow, "stays open", b)
		f.await("the change at the agent", func() bool { return f.inForce(m).Out["Ikeja"] == out })
		is.True(time.Since(changed) < 4*time.Second)
	}
}

// A balancer trusts a look for as long as its roster keeps its pauses short.
func TestPausesAndTrustAgree(t *testing.T) {
	is := is.New(t)
	is.True(placement.DefaultConfig().ListMaxAge <= directory.ListFreshFor)
}

// upstreamWhileAway has an upstream and a configuration appear in changes whose
// history is dropped before the balancer could see them.
func (f *fleet) upstreamWhileAway(balancer string) {
	m := f.machine()
	f.agent(m)
	f.server(m, "i-late")
	f.store.Configure(5, "railbook")
	f.store.DropHistory()
	f.store.SetFault(platformtest.FaultNone)
	f.ask(f.open(f.client(), 2000, balancer), "order", balancer)
}

// A domain that is taken out gets nothing new; its open flows stay.
func TestEvacuation(t *testing.T) {
	f := newFleet(t)
	b := f.machine()
	f.upstream(f.machine())
	f.balancer(b)
	c := f.client()
	flow := f.open(c, 2000, b)
	f.store.Evacuate("Ikeja", true)
	port := uint16(3000)
	f.await("a refusal", func() bool {
		port++
		opened, answer, err := c.Open(port, platformtest.Route, f.at(b, portData))
		return err == nil && opened == nil && answer.Reset()
	})
	f.ask(flow, "open flows stay", b)
	f.store.Evacuate("Ikeja", false)
	f.ask(f.open(c, 4000, b), "back", b)
}

// A leaving balancer forwards until the fabric has stopped sending, and then
// ends soon, so that instances stopped one after the other don't overlap.
func TestLeavingBalancerEndsWhenNothingComes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b := f.machine()
	f.upstream(f.machine())
	p := f.balancer(b)
	flow := f.open(f.client(), 2000, b)
	started := time.Now()
	p.stop()
	for time.Since(started) < 600*time.Millisecond {
		f.ask(flow, "the fabric hasn't noticed", b)
	}
	<-p.done
	is.True(time.Since(started) < 1200*time.Millisecond)
}
