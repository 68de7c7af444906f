package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// loadUnavailable is the load in a hop list of an upstream that cannot accept
	// the opening.
	loadUnavailable uint16 = 65535
	// maxUnqueuedLoad is the maximum load of an upstream without queued requests.
	maxUnqueuedLoad uint16 = loadUnavailable / 2
	// queueingFlowsPerSlot is the number of pending flows per slot at or above which
	// the requests of an upstream are considered queued.
	queueingFlowsPerSlot = 2
)

// classLimit limits the openings of a traffic class: connections is the fraction
// of the connection limit and slots the number of pending flows per slot below
// which an opening is admitted. When capacity is scarce, the lower class is
// refused first.
type classLimit struct {
	connections float64
	slots       float64
}

var classLimits = map[bramleyfall.TrafficClass]classLimit{
	bramleyfall.ClassOrders: {connections: 1, slots: 2},
	bramleyfall.ClassFeed:   {connections: 0.9, slots: 1.5},
	bramleyfall.ClassFiles:  {connections: 0.8, slots: 1},
}

// handleOpening decides on the opening of a flow that is not in the flow table or
// is closed.
func (ff *FlowFilter) handleOpening(p *bramleyfall.Packet, s *service, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	if code := ff.admit(s, now); code != bramleyfall.OK {
		return ff.forwardOpening(p, list, code, loadUnavailable)
	}
	if !list.Must && !ff.withinLoadLimit(list, now) {
		return ff.forwardOpening(p, list, bramleyfall.PassedForBalance, ff.load())
	}
	return ff.accept(p, s, now)
}

// admit returns OK if the upstream has capacity for another flow of the service,
// otherwise the reason for refusing it.
func (ff *FlowFilter) admit(s *service, now time.Time) bramleyfall.ResultCode {
	switch ff.State() {
	case UpstreamAbsent:
		return bramleyfall.NotRunUnavailable
	case UpstreamDraining:
		return bramleyfall.NotRunDraining
	case UpstreamWarming:
		if ff.pendingFlows >= ff.upstream.warmUpLimit(ff.config.Slots, s.warmUp, now) {
			return bramleyfall.NotRunWarmUp
		}
	}
	limit := classLimits[s.class]
	if float64(ff.openFlows) >= limit.connections*float64(ff.config.Connections) {
		return bramleyfall.NotRunFull
	}
	if float64(ff.pendingFlows) >= limit.slots*float64(ff.config.Slots) {
		return bramleyfall.NotRunClass
	}
	return bramleyfall.OK
}

// load returns the fraction of the connection limit in use, scaled to uint16. The
// load of an upstream with queued requests is greater than that of any upstream
// without.
func (ff *FlowFilter) load() uint16 {
	load := uint16(min(1, float64(ff.openFlows)/float64(ff.config.Connections)) * float64(maxUnqueuedLoad-1))
	if ff.pendingFlows >= queueingFlowsPerSlot*ff.config.Slots {
		return load + maxUnqueuedLoad
	}
	return load + 1
}

// withinLoadLimit reports whether the load of the upstream is low enough to accept
// the opening. An upstream without flows always accepts one, otherwise it would
// never receive the loads of its peers. At the last hop the loads of all hops are
// known, and the opening is accepted if none of them is less loaded.
func (ff *FlowFilter) withinLoadLimit(list *bramleyfall.HopList, now time.Time) bool {
	if ff.config.MaxLoadRatio == 0 || list.Count == 1 || ff.openFlows == 0 {
		return true
	}
	own := ff.load()
	if list.Last() {
		least, ok := leastLoaded(list)
		return !ok || own <= list.Hops[least].Load
	}
	return ff.peerLoads.withinRatio(own, ff.config.MaxLoadRatio, now)
}

// leastLoaded returns the index of the least loaded hop among the visited hops
// that can accept the opening, and whether there is one.
func leastLoaded(list *bramleyfall.HopList) (int, bool) {
	best, found := 0, false
	for i := range int(list.Count) {
		load := list.Hops[i].Load
		if load == 0 || load == loadUnavailable {
			continue
		}
		if !found || load < list.Hops[best].Load {
			best, found = i, true
		}
	}
	return best, found
}

// forwardOpening records load in the hop list and offers the opening to another
// hop: first to the next hop, then to the least loaded of those that forwarded it
// for load balancing, then to the next page. If all upstreams have refused it, the
// caller immediately receives a refusal, so it knows that no request was processed.
func (ff *FlowFilter) forwardOpening(p *bramleyfall.Packet, list *bramleyfall.HopList, code bramleyfall.ResultCode, load uint16) bramleyfall.Action {
	list.Current().Load = load
	pass := bramleyfall.Action{Kind: bramleyfall.ActionPass, Code: code, Flow: p.Flow}
	if !list.Must && !list.Last() {
		list.Index++
		return pass
	}
	if least, ok := leastLoaded(list); ok {
		list.Index = uint8(least)
		list.Must = true
		return pass
	}
	if list.More {
		return bramleyfall.Action{Kind: bramleyfall.ActionNextPage, Code: code, Flow: p.Flow}
	}
	return ff.refuse(p, code)
}

func (ff *FlowFilter) refuse(p *bramleyfall.Packet, code bramleyfall.ResultCode) bramleyfall.Action {
	a := bramleyfall.Action{
		Kind: bramleyfall.ActionRefuse, Code: code, Flow: p.Flow,
		RetryAfter: bramleyfall.Duration(ff.config.RetryAfter),
	}
	if p.Flow.Protocol == bramleyfall.TCP {
		a.ToCaller = resetFor(p)
	}
	return a
}

// accept creates the flow and delivers its opening. The upstream owns a TCP flow
// only once the caller has acknowledged the reply of this upstream.
func (ff *FlowFilter) accept(p *bramleyfall.Packet, s *service, now time.Time) bramleyfall.Action {
	f := ff.flows[p.Flow]
	if f == nil {
		f = &flow{}
		ff.flows[p.Flow] = f
	}
	at := ff.millis(now)
	*f = flow{
		service: s, state: ff.chart.Opening,
		lastFromCaller: at, lastFromUpstream: at, callerNextSeq: p.End(),
	}
	if p.Flow.Protocol == bramleyfall.UDP {
		f.state = ff.chart.Established
	}
	ff.openFlows++
	ff.setPending(f, true)
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow, Opened: true}
}
