package caller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/caller"
)

var (
	epoch    = time.Unix(1_800_000_000, 0)
	self     = bramleyfall.InstanceKeyFor("railbook-1")
	other    = bramleyfall.InstanceKeyFor("railbook-2")
	boot     = bramleyfall.BootID(epoch.Add(-time.Hour).UnixNano())
	address  = bramleyfall.Endpoint{IP: [4]byte{127, 0, 9, 1}, Port: 443}
	testFlow = bramleyfall.Flow{
		Source:      bramleyfall.Endpoint{IP: [4]byte{127, 0, 0, 4}, Port: 5555},
		Destination: address, Protocol: bramleyfall.TCP,
	}
)

const (
	callerISN   = 1000
	upstreamISN = 7000
)

// newFilter returns a filter for an upstream of railbook that has warmed up.
func newFilter(is *is.I, options ...caller.Option) *caller.FlowFilter {
	options = append([]caller.Option{caller.WithUpstream(self), caller.WithRecoveryPeriod(0), caller.WithMaxLoadRatio(0)}, options...)
	filter, err := caller.NewFlowFilter(epoch, options...)
	is.NoErr(err)
	filter.SetServices([]bramleyfall.Service{{
		Name:      "railbook",
		Addresses: []bramleyfall.ServiceAddress{{Endpoint: address, Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders}},
	}})
	filter.UpstreamStarted(boot, epoch.Add(-time.Hour), epoch)
	filter.Sweep(epoch)
	return filter
}

// hopListOf returns a hop list whose current hop is the first one.
func hopListOf(keys ...bramleyfall.InstanceKey) *bramleyfall.HopList {
	l := &bramleyfall.HopList{Service: bramleyfall.ServiceName("railbook").Key(), Count: uint8(len(keys))}
	for i, k := range keys {
		l.Hops[i] = bramleyfall.Hop{Upstream: k, Boot: boot}
	}
	return l
}

func opening() *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: testFlow, Kind: bramleyfall.KindOpening, Sequence: callerISN}
}

func reply() *bramleyfall.Packet {
	return &bramleyfall.Packet{
		Flow: testFlow.Reverse(), Kind: bramleyfall.KindOpeningReply, HasAck: true, Sequence: upstreamISN, Ack: callerISN + 1,
	}
}

func data(ack uint32) *bramleyfall.Packet {
	return &bramleyfall.Packet{Flow: testFlow, HasAck: true, Sequence: callerISN + 1, Ack: ack, Length: 10, Raw: []byte("raw")}
}

// establish opens testFlow and sends a request on it.
func establish(is *is.I, filter *caller.FlowFilter) {
	is.Equal(filter.FromCaller(opening(), hopListOf(self), epoch).Kind, bramleyfall.ActionDeliver)
	is.Equal(filter.FromUpstream(reply(), epoch).Kind, bramleyfall.ActionReturn)
	is.Equal(filter.FromCaller(data(upstreamISN+1), hopListOf(self), epoch).Kind, bramleyfall.ActionDeliver)
}

func TestUnknownPacketVisitsAllHopsThenResets(t *testing.T) {
	tests := []struct {
		name string
		list *bramleyfall.HopList
		more bool
		want bramleyfall.ActionKind
	}{
		{"another hop", hopListOf(self, other), false, bramleyfall.ActionPass},
		{"another page", hopListOf(self), true, bramleyfall.ActionNextPage},
		{"last hop of the last page", hopListOf(self), false, bramleyfall.ActionReset},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.list.More = test.more
			a := newFilter(is).FromCaller(data(upstreamISN+1), test.list, epoch)
			is.Equal(a.Kind, test.want)
			if test.want == bramleyfall.ActionReset {
				is.Equal(a.ToCaller.Sequence, uint32(upstreamISN+1)) // the caller accepts the reset
			}
		})
	}
}

func TestNeverDeliversWhatIsNotForTheUpstream(t *testing.T) {
	wrongBoot := hopListOf(self)
	wrongBoot.Hops[0].Boot = boot - 1
	wrongService := hopListOf(self)
	wrongService.Service = bramleyfall.ServiceName("drawhub").Key()
	tests := []struct {
		name string
		list *bramleyfall.HopList
	}{
		{"key of another upstream", hopListOf(other)},
		{"boot id of an earlier run", wrongBoot},
		{"another service", wrongService},
	}
	for _, test := range tests {
		for _, p := range []*bramleyfall.Packet{opening(), data(1)} {
			t.Run(test.name, func(t *testing.T) {
				is := is.New(t)
				list := *test.list
				a := newFilter(is).FromCaller(p, &list, epoch)
				is.True(a.Kind != bramleyfall.ActionDeliver)
			})
		}
	}
}

func TestOpeningOnTwoUpstreamsHasOneOwner(t *testing.T) {
	is := is.New(t)
	filter := newFilter(is)
	is.Equal(filter.FromCaller(opening(), hopListOf(self, other), epoch).Kind, bramleyfall.ActionDeliver)
	is.Equal(filter.FromUpstream(reply(), epoch).Kind, bramleyfall.ActionReturn)
	// The caller acknowledges the reply of another upstream.
	is.Equal(filter.FromCaller(data(9999), hopListOf(self, other), epoch).Kind, bramleyfall.ActionPass)
	actions := filter.Sweep(epoch.Add(6 * time.Second))
	is.Equal(len(actions), 1)
	is.True(actions[0].ToUpstream.Reset) // the upstream drops the opening
	is.True(actions[0].ToCaller == nil)  // another upstream owns the caller's flow
	is.Equal(filter.Flows(), 0)
}

func TestStartingAgentHoldsUnknownFlows(t *testing.T) {
	is := is.New(t)
	filter, err := caller.NewFlowFilter(epoch, caller.WithUpstream(self))
	is.NoErr(err)
	is.Equal(filter.FromCaller(data(1), hopListOf(self), epoch).Kind, bramleyfall.ActionDrop)
	is.Equal(filter.FromCaller(opening(), hopListOf(self, other), epoch).Kind, bramleyfall.ActionPass)
	late := epoch.Add(6 * time.Second)
	is.Equal(filter.FromCaller(data(1), hopListOf(self), late).Kind, bramleyfall.ActionReset)
}

// Guards against a restarted agent that resets a connection of its upstream: a
// response sent during the restart may arrive before the new agent has its
// configuration.
func TestStartingAgentResetsNoConnectionOfItsUpstream(t *testing.T) {
	response := &bramleyfall.Packet{
		Flow: testFlow.Reverse(), HasAck: true, Sequence: upstreamISN + 1, Ack: callerISN + 11, Length: 5,
	}
	tests := []struct {
		name    string
		prepare func(*caller.FlowFilter)
	}{
		{"no boot id and no services", func(*caller.FlowFilter) {}},
		{"boot id but no services", func(filter *caller.FlowFilter) { filter.UpstreamStarted(boot, epoch.Add(-time.Hour), epoch) }},
		{"services but no boot id", func(filter *caller.FlowFilter) { filter.SetServices([]bramleyfall.Service{}) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			filter, err := caller.NewFlowFilter(epoch, caller.WithUpstream(self))
			is.NoErr(err)
			test.prepare(filter)
			a := filter.FromUpstream(response, epoch)
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
		{"the upstream does not have the flow", bramleyfall.KindReset, bramleyfall.ActionPass},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			filter := newFilter(is, caller.WithRecoveryPeriod(time.Minute))
			held := filter.FromCaller(data(upstreamISN+1), hopListOf(self, other), epoch)
			is.Equal(held.Kind, bramleyfall.ActionDrop)
			is.Equal(held.ToUpstream.Sequence, uint32(callerISN)) // a keepalive probe
			response := &bramleyfall.Packet{Flow: testFlow.Reverse(), Kind: test.kind, HasAck: true, Ack: callerISN + 1}
			is.Equal(filter.FromUpstream(response, epoch).Kind, bramleyfall.ActionDrop) // never reaches the caller
			actions := filter.Settle(epoch)
			is.Equal(len(actions), 1)
			is.Equal(actions[0].Kind, test.want)
			is.Equal(string(actions[0].HeldPacket), "raw")
			if test.want == bramleyfall.ActionPass {
				is.Equal(actions[0].HeldHopList.Current().Upstream, other) // the next hop, not this upstream again
			}
		})
	}
}

func TestRestartResetsFlowsAndWarmsUp(t *testing.T) {
	is := is.New(t)
	filter := newFilter(is)
	establish(is, filter)
	now := epoch.Add(time.Second)
	actions := filter.UpstreamStarted(bramleyfall.BootID(now.UnixNano()), now, now)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].ToCaller.Sequence, uint32(upstreamISN+1))
	is.Equal(filter.State(), caller.UpstreamWarming)
	is.Equal(filter.Flows(), 0)
}

func TestDomainOutResetsBothEndsAndDeliversNothing(t *testing.T) {
	is := is.New(t)
	filter := newFilter(is)
	establish(is, filter)
	actions := filter.SetDomain(bramleyfall.DomainOut, epoch, epoch)
	is.Equal(len(actions), 1)
	is.True(actions[0].ToCaller.Reset)
	is.True(actions[0].ToUpstream.Reset)
	is.Equal(filter.FromCaller(data(upstreamISN+1), hopListOf(self, other), epoch).Kind, bramleyfall.ActionPass)
	is.Equal(filter.FromCaller(opening(), hopListOf(self), epoch).Kind, bramleyfall.ActionRefuse)
}

func TestSilentEndIsProbedThenGivenUp(t *testing.T) {
	is := is.New(t)
	filter := newFilter(is, caller.WithSilentAfter(10*time.Second))
	establish(is, filter)
	is.Equal(len(filter.Sweep(epoch.Add(4*time.Second))), 0)
	probes := filter.Sweep(epoch.Add(6 * time.Second))
	is.Equal(len(probes), 1)
	is.Equal(probes[0].Kind, bramleyfall.ActionProbe)
	resets := filter.Sweep(epoch.Add(11 * time.Second))
	is.Equal(len(resets), 1)
	is.Equal(resets[0].Kind, bramleyfall.ActionReset)
	is.True(resets[0].ToCaller.Reset)
	is.True(resets[0].ToUpstream.Reset)
}

func TestOpeningRefusedByAllIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	filter := newFilter(is)
	filter.SetDraining(true, epoch)
	list := hopListOf(other, self)
	list.Hops[0].Load = 65535
	list.Index = 1
	a := filter.FromCaller(opening(), list, epoch)
	is.Equal(a.Kind, bramleyfall.ActionRefuse)
	is.Equal(a.Code, bramleyfall.NotRunDraining)
	is.Equal(a.ToCaller.Ack, uint32(callerISN+1)) // a caller in SYN-SENT accepts it
	is.True(a.RetryAfter > 0)
}

func TestReplacedAgentKeepsAHalfOpenFlow(t *testing.T) {
	is := is.New(t)
	filter := newFilter(is, caller.WithRecoveryPeriod(time.Minute))
	// The upstream retransmits its reply; the caller may have received the first one.
	is.Equal(filter.FromUpstream(reply(), epoch).Kind, bramleyfall.ActionReturn)
	is.Equal(filter.FromCaller(data(upstreamISN+1), hopListOf(self, other), epoch).Kind, bramleyfall.ActionDeliver)
}

func TestDeadUpstreamTakesNoOpenings(t *testing.T) {
	tests := []struct {
		name string
		dead bool
		want bramleyfall.ActionKind
	}{
		{"nothing listens on its health endpoint, so it is dead", true, bramleyfall.ActionPass},
		{"its health endpoint does not respond but it sends packets", false, bramleyfall.ActionDeliver},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			filter := newFilter(is)
			establish(is, filter)
			filter.UpstreamGone(test.dead, epoch.Add(time.Millisecond))
			p := opening()
			p.Flow.Source.Port++
			is.Equal(filter.FromCaller(p, hopListOf(self, other), epoch).Kind, test.want)
			is.Equal(filter.Flows() > 0, true) // flows are kept until their packets go unanswered
		})
	}
}

func TestDomainOutLetsAnAnswerFinish(t *testing.T) {
	is := is.New(t)
	filter := newFilter(is)
	establish(is, filter) // a request is pending
	is.Equal(len(filter.SetDomain(bramleyfall.DomainOut, epoch.Add(2*time.Second), epoch)), 0)
	is.Equal(filter.FromCaller(opening(), hopListOf(self), epoch).Kind, bramleyfall.ActionRefuse)
	is.Equal(filter.FromCaller(data(upstreamISN+1), hopListOf(self), epoch).Kind, bramleyfall.ActionDeliver)
	response := &bramleyfall.Packet{Flow: testFlow.Reverse(), HasAck: true, Sequence: upstreamISN + 1, Length: 10}
	is.Equal(filter.FromUpstream(response, epoch).Kind, bramleyfall.ActionReturn)
	actions := filter.Sweep(epoch.Add(time.Second))
	is.Equal(len(actions), 1) // reset after the response, before the grace period ends
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
		{"a third of the warm-up time", 3 * time.Second, 1},
		{"more than half of the warm-up time", 6 * time.Second, 3},
		{"99% of the warm-up time", 9900 * time.Millisecond, 4},
		{"120% of the warm-up time", 12 * time.Second, 2 * slots}, // the class limit, which includes queued requests
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			filter := newFilter(is, caller.WithCapacity(slots, 2000), caller.WithWarmUp(10*time.Second))
			filter.UpstreamStarted(boot+1, epoch, epoch)
			now := epoch.Add(test.after)
			filter.Sweep(now)
			admitted := 0
			for port := range uint16(50) {
				p := opening()
				p.Flow.Source.Port = 1000 + port
				list := hopListOf(self)
				list.Hops[0].Boot = boot + 1
				if filter.FromCaller(p, list, now).Kind == bramleyfall.ActionDeliver {
					admitted++
				}
			}
			is.Equal(admitted, test.want)
		})
	}
}

func TestUpstreamWithoutFlowsTakesOneWithoutKnowingItsPeers(t *testing.T) {
	is := is.New(t)
	filter := newFilter(is, caller.WithMaxLoadRatio(1.05))
	is.Equal(filter.FromCaller(opening(), hopListOf(self, other), epoch).Kind, bramleyfall.ActionDeliver)
	p := opening()
	p.Flow.Source.Port++
	is.Equal(filter.FromCaller(p, hopListOf(self, other), epoch).Kind, bramleyfall.ActionPass) // forwarded to learn the loads of the peers
}
