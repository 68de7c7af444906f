package main

import (
	"context"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/operator"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/upstream"
)

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
		c.socket.Send(out)
	})
	for range rounds {
		time.Sleep(spreadWait / rounds)
		_ = c.do(context.Background(), func() {
			if spread = c.node.Answer(nonce); spread.Lagging > 0 {
				c.socket.Send(c.node.AskAgain(nonce))
			}
		})
		if spread.Lagging == 0 {
			break
		}
	}
	return spread
}
