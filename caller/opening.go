package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// fullLoad in a hop list says that the upstream cannot take the opening.
	fullLoad uint16 = 65535
	// maxFreeLoad is the greatest load of an upstream whose requests do not queue.
	maxFreeLoad uint16 = fullLoad / 2
	// queueing is the number of flows for each slot from which on requests wait.
	queueing = 2
)

// classLimit is the share of connections and the multiple of slots up to which
// openings of a class are admitted. When capacity is short, the lower class is
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

// open decides on the opening of a flow that the gate does not know.
func (g *FlowFilter) open(p *bramleyfall.Packet, s *service, list *bramleyfall.HopList, now time.Time) bramleyfall.Action {
	if code := g.admit(s, now); code != bramleyfall.OK {
		return g.passOpening(p, list, code, fullLoad)
	}
	if !list.Must && !g.withinShare(list, now) {
		return g.passOpening(p, list, bramleyfall.PassedForBalance, g.load())
	}
	return g.accept(p, s, now)
}

// admit reports whether the upstream can bear one more flow of the service.
func (g *FlowFilter) admit(s *service, now time.Time) bramleyfall.ResultCode {
	switch g.State() {
	case UpstreamAbsent:
		return bramleyfall.NotRunUnavailable
	case UpstreamDraining:
		return bramleyfall.NotRunDraining
	case UpstreamWarming:
		if g.busy >= g.upstream.limit(g.config.Slots, s.warmUp, now) {
			return bramleyfall.NotRunWarmUp
		}
	}
	limit := classLimits[s.class]
	if float64(g.live) >= limit.connections*float64(g.config.Connections) {
		return bramleyfall.NotRunFull
	}
	if float64(g.busy) >= limit.slots*float64(g.config.Slots) {
		return bramleyfall.NotRunClass
	}
	return bramleyfall.OK
}

// load returns the share of connections in use. An upstream whose requests queue
// is loaded above any whose do not.
func (g *FlowFilter) load() uint16 {
	load := uint16(min(1, float64(g.live)/float64(g.config.Connections)) * float64(maxFreeLoad-1))
	if g.busy >= queueing*g.config.Slots {
		return load + maxFreeLoad
	}
	return load + 1
}

// withinShare reports whether the upstream has no more than its share. One
// without flows always takes one, or it would never learn of its peers. At the
// last hop the loads of all hops are known and the least loaded takes the
// opening.
func (g *FlowFilter) withinShare(list *bramleyfall.HopList, now time.Time) bool {
	if g.config.MaxLoadRatio == 0 || list.Count == 1 || g.live == 0 {
		return true
	}
	own := g.load()
	if list.Last() {
		least, ok := leastLoaded(list)
		return !ok || own <= list.Hops[least].Load
	}
	return g.share.within(own, g.config.MaxLoadRatio, now)
}

// leastLoaded returns the visited hop with the least load that can take the
// opening.
func leastLoaded(list *bramleyfall.HopList) (int, bool) {
	best, found := 0, false
	for i := range int(list.Count) {
		load := list.Hops[i].Load
		if load == 0 || load == fullLoad {
			continue
		}
		if !found || load < list.Hops[best].Load {
			best, found = i, true
		}
	}
	return best, found
}

// passOpening offers the opening to another hop: to the next one, then to the
// least loaded of those that passed it on for balance, then to the next page.
// When all refused it, the caller is told at once that nothing was run.
func (g *FlowFilter) passOpening(p *bramleyfall.Packet, list *bramleyfall.HopList, code bramleyfall.ResultCode, load uint16) bramleyfall.Action {
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
	return g.refuse(p, code)
}

func (g *FlowFilter) refuse(p *bramleyfall.Packet, code bramleyfall.ResultCode) bramleyfall.Action {
	a := bramleyfall.Action{
		Kind: bramleyfall.ActionRefuse, Code: code, Flow: p.Flow,
		RetryAfter: bramleyfall.Duration(g.config.RetryAfter),
	}
	if p.Flow.Protocol == bramleyfall.TCP {
		a.ToCaller = answerReset(p)
	}
	return a
}

// accept creates the flow and delivers its opening. The gate owns a TCP flow
// only once the caller acknowledges this upstream's own reply.
func (g *FlowFilter) accept(p *bramleyfall.Packet, s *service, now time.Time) bramleyfall.Action {
	f := g.flows[p.Flow]
	if f == nil {
		f = &flow{}
		g.flows[p.Flow] = f
	}
	at := g.millis(now)
	*f = flow{
		service: s, state: g.chart.Opening,
		lastCaller: at, lastUpstream: at, nextCaller: p.End(),
	}
	if p.Flow.Protocol == bramleyfall.UDP {
		f.state = g.chart.Established
	}
	g.live++
	g.setWaiting(f, true)
	return bramleyfall.Action{Kind: bramleyfall.ActionDeliver, Flow: p.Flow, Opened: true}
}
