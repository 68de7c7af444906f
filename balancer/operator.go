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
	var view operator.View
	err := c.runTask(ctx, func() {
		state := c.node.State()
		view = operator.View{
			Revision: state.Revision(), NewestRevision: state.NewestRevision(), Services: state.Services(),
			Domains: state.Domains(), Members: c.node.Members(),
			Drained: make(map[bramleyfall.InstanceID]bool), PlatformError: c.platformErr, LastChange: lastChangeID(state),
		}
		for _, m := range view.Members {
			if state.Drained(m.ID) {
				view.Drained[m.ID] = true
			}
		}
	})
	return view, err
}

// ready returns an error if the balancer has no configuration yet or its failure
// domain is out of service.
func (c *controller) ready(ctx context.Context, domain bramleyfall.DomainName) error {
	var revision bramleyfall.Revision
	var state bramleyfall.DomainState
	err := c.runTask(ctx, func() {
		revision = c.node.State().Revision()
		state = c.node.State().DomainState(domain)
	})
	switch {
	case err != nil:
		return err
	case revision == 0:
		return errors.New("no configuration received yet")
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

// FindChange implements operator.Control.
func (c *controller) FindChange(id bramleyfall.ChangeID) (bramleyfall.Change, bool) {
	var change bramleyfall.Change
	var ok bool
	_ = c.runTask(context.Background(), func() { change, ok = c.node.State().ChangeByID(id) })
	return change, ok
}

// ApplyChange implements operator.Control.
func (c *controller) ApplyChange(change bramleyfall.Change) {
	_ = c.runTask(context.Background(), func() { c.apply(change, "Operator") })
}

// Propagation implements operator.Control. It blocks until no instance lags
// behind the revision, but no longer than propagationQueryTimeout.
func (c *controller) Propagation(revision bramleyfall.Revision) peer.Propagation {
	const rounds = 4
	var nonce uint64
	var result peer.Propagation
	_ = c.runTask(context.Background(), func() {
		var outgoing []peer.Outgoing
		nonce, outgoing = c.node.QueryPropagation(revision, c.clock.Now())
		c.socket.Send(outgoing)
	})
	for range rounds {
		time.Sleep(propagationQueryTimeout / rounds)
		_ = c.runTask(context.Background(), func() {
			if result = c.node.QueryResult(nonce); result.Lagging > 0 {
				c.socket.Send(c.node.RepeatQuery(nonce))
			}
		})
		if result.Lagging == 0 {
			break
		}
	}
	return result
}
