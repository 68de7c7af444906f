package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/operator"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/upstream"
)

// View implements operator.Control.
func (c *controller) View(ctx context.Context) (operator.View, error) {
	var v operator.View
	err := c.do(ctx, func() {
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
	return v, err
}

// ready reports whether the balancer knows enough to serve its failure domain.
func (c *controller) ready(ctx context.Context, domain bramleyfall.DomainName) error {
	var revision bramleyfall.Revision
	var state bramleyfall.DomainState
	err := c.do(ctx, func() {
		revision = c.node.State().Revision()
		state = c.node.State().DomainState(domain)
	})
	switch {
	case err != nil:
		return err
	case revision == 0:
		return errors.New("no configuration yet")
	case state == bramleyfall.DomainOut:
		return errors.New("the failure domain is out of service")
	}
	return nil
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
