package operator

import (
	"context"
	"fmt"
	"strconv"

	"bramleyfall.example/bramleyfall"
)

// explain answers where the packets of a flow go: the hops in the order in
// which they are tried, with the score that ranks each.
func explain(ctx context.Context, e *Explain, c Control) (Table, string, error) {
	source, err := bramleyfall.ParseEndpoint(e.Source)
	if err != nil {
		return Table{}, "", bramleyfall.Errorf(bramleyfall.BadStatement, "%q: %v", e.Source, err)
	}
	destination, protocol, err := parseAddress(e.Destination)
	if err != nil {
		return Table{}, "", err
	}
	flow := bramleyfall.Flow{Source: source, Destination: destination, Protocol: protocol}
	entry := c.Entry(flow)
	if entry == nil {
		return Table{}, "", bramleyfall.Errorf(bramleyfall.UnknownService, "no service has the address %s", e.Destination)
	}
	t := Table{Columns: []string{"Rank", "Upstream", "Address", "TakesNewFlows", "Score"}}
	list, code := c.Route(flow, false)
	if code != bramleyfall.OK {
		return t, "", bramleyfall.Errorf(code, "service %s has no upstream in service", entry.Name)
	}
	opening, _ := c.Route(flow, true)
	view, err := c.View(ctx)
	if err != nil {
		return Table{}, "", err
	}
	names := memberNames(view.Members)
	for i := range int(list.Count) {
		h := &list.Hops[i]
		t.Rows = append(t.Rows, []string{
			strconv.Itoa(i + 1), names[h.Upstream], h.Address.String(),
			strconv.FormatBool(holds(&opening, h.Upstream)),
			fmt.Sprintf("%016x", h.Upstream.Score(flow.Hash())),
		})
	}
	message := fmt.Sprintf("service %s, flow hash %016x, revision %d: a packet visits the upstreams by descending score of (upstream, flow hash), an owner that an agent named first; new flows skip those that take none",
		entry.Name, flow.Hash(), list.Revision)
	return t, message, nil
}

func holds(list *bramleyfall.HopList, key bramleyfall.InstanceKey) bool {
	for i := range int(list.Count) {
		if list.Hops[i].Upstream == key {
			return true
		}
	}
	return false
}

func memberNames(members []bramleyfall.Member) map[bramleyfall.InstanceKey]string {
	names := make(map[bramleyfall.InstanceKey]string, len(members))
	for i := range members {
		names[members[i].Key()] = string(members[i].ID)
	}
	return names
}
