package caller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
)

var (
	epoch   = time.Unix(1_800_000_000, 0)
	self    = bramleyfall.InstanceKeyFor("railbook-1")
	other   = bramleyfall.InstanceKeyFor("railbook-2")
	boot    = bramleyfall.BootID(epoch.Add(-time.Hour).UnixNano())
	address = bramleyfall.Endpoint{IP: [4]byte{127, 0, 9, 1}, Port: 443}
	dealer  = bramleyfall.Flow{
		Source:      bramleyfall.Endpoint{IP: [4]byte{127, 0, 0, 4}, Port: 5555},
		Destination: address, Protocol: bramleyfall.TCP,
	}
)

const (
	callerStart   = 1000
	upstreamStart = 7000
)

// newGate returns a gate that serves railbook beside a warm upstream.
func newGate(is *is.I, options ...caller.Option) *caller.FlowFilter {
	options = append([]caller.Option{caller.WithUpstream(self), caller.WithRecoveryPeriod(0), caller.WithMaxLoadRatio(0)}, options...)
	g, err := caller.NewFlowFilter(epoch, options...)
	is.NoErr(err)
	g.SetServices([]bramleyfall.Service{{
		Name:      "railbook",
		Addresses: []bramleyfall.ServiceAddress{{Endpoint: address, Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders}},
	}})
	g.UpstreamStarted(boot, epoch.Add(-time.Hour), epoch)
	g.Sweep(epoch)
	return g
}

// listTo returns a hop list at its first hop.
func listTo(keys ...bramleyfall.InstanceKey) *bramleyfall.HopList {
	l := &bramleyfall.HopList{Service: bramleyfall.ServiceName("railbook").Key(), Count: uint8(len(keys))}
	for i, k := range keys {
		l.Hops[i] = bramleyfall.Hop{Upstream: k, Boot: boot}
	}
	return l
}

func opening() *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: dealer, Kind: bramleyfall.KindOpening, Sequence: callerStart}
}

func reply() *bramleyfall.Packet {
	return &bramleyfall.Packet{
		Flow: dealer.Reverse(), Kind: bramleyfall.KindOpeningReply, HasAck: true, Sequence: upstreamStart, Ack: callerStart + 1,
	}
}

func data(ack uint32) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: dealer, HasAck: true, Sequence: callerStart + 1, Ack: ack, Length: 10, Raw: []byte("raw")}
}

// establish opens the flow at the gate.
func establish(is *is.I, g *caller.FlowFilter) {
	is.Equal(g.FromCaller(opening(), listTo(self), epoch).Kind, bramleyfall.ActionDeliver)
	is.Equal(g.FromUpstream(reply(), epoch).Kind, bramleyfall.ActionReturn)
	is.Equal(g.FromCaller(data(upstreamStart+1), listTo(self), epoch).Kind, bramleyfall.ActionDeliver)
}

func TestUnknownPacketVisitsAllHopsThenResets(t *testing.T) {
	tests := []struct {
		name string
		list *bramleyfall.HopList
		more bool
		want bramleyfall.ActionKind
	}{
		{"another hop follows", listTo(self, other), false, bramleyfall.ActionPass},
		{"another page follows", listTo(self), true, bramleyfall.ActionNextPage},
		{"nobody is left", listTo(self), false, bramleyfall.ActionReset},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.list.More = test.more
			a := newGate(is).FromCaller(data(upstreamStart+1), test.list, epoch)
			is.Equal(a.Kind, test.want)
			if test.want == bramleyfall.ActionReset {
				is.Equal(a.ToCaller.Sequence, uint32(upstreamStart+1)) // the caller accepts the reset
			}
		})
	}
}

func TestNeverDeliversWhatIsNotForTheUpstream(t *testing.T) {
	wrongBoot := listTo(self)
	wrongBoot.Hops[0].Boot = boot - 1
	wrongService := listTo(self)
	wrongService.Service = bramleyfall.ServiceName("drawhub").Key()
	tests := []struct {
		name string
		list *bramleyfall.HopList
	}{
		{"another upstream's id", listTo(other)},
		{"an earlier run", wrongBoot},
		{"another service", wrongService},
	}
	for _, test := range tests {
		for _, p := range []*bramleyfall.Packet{opening(), data(1)} {
			t.Run(test.name, func(t *testing.T) {
				is := is.New(t)
				list := *test.list
				a := newGate(is).FromCaller(p, &list, epoch)
				is.True(a.Kind != bramleyfall.ActionDeliver)
			})
		}
	}
}

func TestOpeningOnTwoUpstreamsHasOneOwner(t *testing.T) {
	is := is.New(t)
	g := newGate(is)
	is.Equal(g.FromCaller(opening(), listTo(self, other), epoch).Kind, bramleyfall.ActionDeliver)
	is.Equal(g.FromUpstream(reply(), epoch).Kind, bramleyfall.ActionReturn)
	// The caller acknowledges the reply of another upstream.
	is.Equal(g.FromCaller(data(9999), listTo(self, other), epoch).Kind, bramleyfall.ActionPass)
	actions := g.Sweep(epoch.Add(6 * time.Second))
	is.Equal(len(actions), 1)
	is.True(actions[0].ToUpstream.Reset) // the upstream is freed
	is.True(actions[0].ToCaller == nil)  // the caller's flow lives elsewhere
	is.Equal(g.Flows(), 0)
}

func TestStartingAgentHoldsUnknownFlows(t *testing.T) {
	is := is.New(t)
	g, err := caller.NewFlowFilter(epoch, caller.WithUpstream(self))
	is.NoErr(err)
	is.Equal(g.FromCaller(data(1), listTo(self), epoch).Kind, bramleyfall.ActionDrop)
	is.Equal(g.FromCaller(opening(), listTo(self, other), epoch).Kind, bramleyfall.ActionPass)
	late := epoch.Add(6 * time.Second)
	is.Equal(g.FromCaller(data(1), listTo(self), late).Kind, bramleyfall.ActionReset)
}

// An answer that was sent while the agent was being replaced may come before the
// new one knows its configuration. A reset would end the upstream's connection.
func TestStartingAgentResetsNoConnectionOfItsUpstream(t *testing.T) {
	answer := &bramleyfall.Packet{
		Flow: dealer.Reverse(), HasAck: true, Sequence: upstreamStart + 1, Ack: callerStart + 11, Length: 5,
	}
	tests := []struct {
		name    string
		prepare func(*caller.FlowFilter)
	}{
		{"it knows nothing", func(*caller.FlowFilter) {}},
		{"it knows its upstream", func(g *caller.FlowFilter) { g.UpstreamStarted(boot, epoch.Add(-time.Hour), epoch) }},
		{"it knows its services", func(g *caller.FlowFilter) { g.SetServices([]bramleyfall.Service{}) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g, err := caller.NewFlowFilter(epoch, caller.WithUpstream(self))
			is.NoErr(err)
			test.prepare(g)
			a := g.FromUpstream(answer, epoch)
			is.Equal(a.Kind, bramleyfall.ActionDrop)
			is.Equal(a.ToUpstream, nil)
		})
	}
}

func TestReplacedAgentAdoptsOrPassesOn(t *testing.T) {
	tests := []struct {
		name string
		kind bramleyfall.PacketKind
		want bramleyfall.ActionKind
	}{
		{"the upstream has the flow", bramleyfall.KindData, bramleyfall.ActionDeliver},
		{"the upstream denies it", bramleyfall.KindReset, bramleyfall.ActionPass},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGate(is, caller.WithRecoveryPeriod(time.Minute))
			held := g.FromCaller(data(upstreamStart+1), listTo(self, other), epoch)
			is.Equal(held.Kind, bramleyfall.ActionDrop)
			is.Equal(held.ToUpstream.Sequence, uint32(callerStart)) // a keepalive probe
			answer := &bramleyfall.Packet{Flow: dealer.Reverse(), Kind: test.kind, HasAck: true, Ack: callerStart + 1}
			is.Equal(g.FromUpstream(answer, epoch).Kind, bramleyfall.ActionDrop) // never reaches the caller
			actions := g.Settle(epoch)
			is.Equal(len(actions), 1)
			is.Equal(actions[0].Kind, test.want)
			is.Equal(string(actions[0].HeldPacket), "raw")
			if test.want == bramleyfall.ActionPass {
				is.Equal(actions[0].HeldHopList.Current().Upstream, other) // the next hop, not the same
			}
		})
	}
}

func TestRestartResetsFlowsAndWarmsUp(t *testing.T) {
	is := is.New(t)
	g := newGate(is)
	establish(is, g)
	now := epoch.Add(time.Second)
	actions := g.UpstreamStarted(bramleyfall.BootID(now.UnixNano()), now, now)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].ToCaller.Sequence, uint32(upstreamStart+1))
	is.Equal(g.State(), caller.UpstreamWarming)
	is.Equal(g.Flows(), 0)
}

func TestDomainOutResetsBothEndsAndDeliversNothing(t *testing.T) {
	is := is.New(t)
	g := newGate(is)
	establish(is, g)
	actions := g.SetDomain(bramleyfall.DomainOut, epoch, epoch)
	is.Equal(len(actions), 1)
	is.True(actions[0].ToCaller.Reset)
	is.True(actions[0].ToUpstream.Reset)
	is.Equal(g.FromCaller(data(upstreamStart+1), listTo(self, other), epoch).Kind, bramleyfall.ActionPass)
	is.Equal(g.FromCaller(opening(), listTo(self), epoch).Kind, bramleyfall.ActionRefuse)
}

func TestSilentEndIsProbedThenGivenUp(t *testing.T) {
	is := is.New(t)
	g := newGate(is, caller.WithSilentAfter(10*time.Second))
	establish(is, g)
	is.Equal(len(g.Sweep(epoch.Add(4*time.Second))), 0)
	probes := g.Sweep(epoch.Add(6 * time.Second))
	is.Equal(len(probes), 1)
	is.Equal(probes[0].Kind, bramleyfall.ActionProbe)
	resets := g.Sweep(epoch.Add(11 * time.Second))
	is.Equal(len(resets), 1)
	is.Equal(resets[0].Kind, bramleyfall.ActionReset)
	is.True(resets[0].ToCaller.Reset)
	is.True(resets[0].ToUpstream.Reset)
}

func TestOpeningRefusedByAllIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	g := newGate(is)
	g.SetDraining(true, epoch)
	list := listTo(other, self)
	list.Hops[0].Load = 65535
	list.Index = 1
	a := g.FromCaller(opening(), list, epoch)
	is.Equal(a.Kind, bramleyfall.ActionRefuse)
	is.Equal(a.Code, bramleyfall.NotRunDraining)
	is.Equal(a.ToCaller.Ack, uint32(callerStart+1)) // a caller in SYN-SENT accepts it
	is.True(a.RetryAfter > 0)
}

func TestReplacedAgentKeepsAHalfOpenFlow(t *testing.T) {
	is := is.New(t)
	g := newGate(is, caller.WithRecoveryPeriod(time.Minute))
	// The upstream repeats its reply; the caller may have the first one.
	is.Equal(g.FromUpstream(reply(), epoch).Kind, bramleyfall.ActionReturn)
	is.Equal(g.FromCaller(data(upstreamStart+1), listTo(self, other), epoch).Kind, bramleyfall.ActionDeliver)
}

func TestDeadUpstreamTakesNoOpenings(t *testing.T) {
	tests := []struct {
		name string
		dead bool
		want bramleyfall.ActionKind
	}{
		{"nobody listens at its health endpoint", true, bramleyfall.ActionPass},
		{"its health endpoint is silent but it sends packets", false, bramleyfall.ActionDeliver},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGate(is)
			establish(is, g)
			g.UpstreamGone(test.dead, epoch.Add(time.Millisecond))
			p := opening()
			p.Flow.Source.Port++
			is.Equal(g.FromCaller(p, listTo(self, other), epoch).Kind, test.want)
			is.Equal(g.Flows() > 0, true) // flows stay until they go unanswered
		})
	}
}

func TestDomainOutLetsAnAnswerFinish(t *testing.T) {
	is := is.New(t)
	g := newGate(is)
	establish(is, g) // a request is under way
	is.Equal(len(g.SetDomain(bramleyfall.DomainOut, epoch.Add(2*time.Second), epoch)), 0)
	is.Equal(g.FromCaller(opening(), listTo(self), epoch).Kind, bramleyfall.ActionRefuse)
	is.Equal(g.FromCaller(data(upstreamStart+1), listTo(self), epoch).Kind, bramleyfall.ActionDeliver)
	answer := &bramleyfall.Packet{Flow: dealer.Reverse(), HasAck: true, Sequence: upstreamStart + 1, Length: 10}
	is.Equal(g.FromUpstream(answer, epoch).Kind, bramleyfall.ActionReturn)
	actions := g.Sweep(epoch.Add(time.Second))
	is.Equal(len(actions), 1) // answered: given up before the time is over
	is.Equal(actions[0].Kind, bramleyfall.ActionReset)
}

func TestWarmUpReachesFullShareInTime(t *testing.T) {
	const slots = 5
	tests := []struct {
		name  string
		after time.Duration
		want  int
	}{
		{"just started", 0, 1},
		{"a third", 3 * time.Second, 1},
		{"more than half", 6 * time.Second, 3},
		{"nearly there", 9900 * time.Millisecond, 4},
		{"WarmUp plus 20%", 12 * time.Second, 2 * slots}, // with those that queue
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGate(is, caller.WithCapacity(slots, 2000), caller.WithWarmUp(10*time.Second))
			g.UpstreamStarted(boot+1, epoch, epoch)
			now := epoch.Add(test.after)
			g.Sweep(now)
			admitted := 0
			for port := range uint16(50) {
				p := opening()
				p.Flow.Source.Port = 1000 + port
				list := listTo(self)
				list.Hops[0].Boot = boot + 1
				if g.FromCaller(p, list, now).Kind == bramleyfall.ActionDeliver {
					admitted++
				}
			}
			is.Equal(admitted, test.want)
		})
	}
}

func TestUpstreamWithoutFlowsTakesOneWithoutKnowingItsPeers(t *testing.T) {
	is := is.New(t)
	g := newGate(is, caller.WithMaxLoadRatio(1.05))
	is.Equal(g.FromCaller(opening(), listTo(self, other), epoch).Kind, bramleyfall.ActionDeliver)
	p := opening()
	p.Flow.Source.Port++
	is.Equal(g.FromCaller(p, listTo(self, other), epoch).Kind, bramleyfall.ActionPass) // asks for its peers' loads
}
