package operator

import (
	"context"
	"fmt"
	"strconv"

	"bramleyfall.example/bramleyfall"
)

// explain returns the hops of a flow in the order in which a packet tries them,
// each with the score that ranks it.
func explain(ctx context.Context, statement *Explain, control Control) (Table, string, error) {
	source, err := bramleyfall.ParseEndpoint(statement.Source)
	if err != nil {
		return Table{}, "", bramleyfall.Errorf(bramleyfall.BadStatement, "%q: %v", statement.Source, err)
	}
	destination, protocol, err := parseAddress(statement.Destination)
	if err != nil {
		return Table{}, "", err
	}
	flow := bramleyfall.Flow{Source: source, Destination: destination, Protocol: protocol}
	entry := control.Entry(flow)
	if entry == nil {
		return Table{}, "", bramleyfall.Errorf(bramleyfall.UnknownService, "no service has the address %s", statement.Destination)
	}
	table := Table{Columns: []string{"Rank", "Upstream", "Address", "TakesNewFlows", "Score"}}
	list, code := control.Route(flow, false)
	if code != bramleyfall.OK {
		return table, "", bramleyfall.Errorf(code, "service %s has no upstream in service", entry.Name)
	}
	newFlowList, _ := control.Route(flow, true)
	view, err := control.View(ctx)
	if err != nil {
		return Table{}, "", err
	}
	names := memberNames(view.Members)
	for i := range int(list.Count) {
		hop := &list.Hops[i]
		table.Rows = append(table.Rows, []string{
			strconv.Itoa(i + 1), names[hop.Upstream], hop.Address.String(),
			strconv.FormatBool(containsHop(&newFlowList, hop.Upstream)),
			fmt.Sprintf("%016x", hop.Upstream.Score(flow.Hash())),
		})
	}
	message := fmt.Sprintf("service %s, flow hash %016x, revision %d: a packet visits the upstreams by descending score of (upstream, flow hash), an owner that an agent named first; new flows skip those that take none",
		entry.Name, flow.Hash(), list.Revision)
	return table, message, nil
}

func containsHop(list *bramleyfall.HopList, key bramleyfall.InstanceKey) bool {
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
