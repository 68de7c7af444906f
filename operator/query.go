package operator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
)

// Table is the result of a query.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Query executes a show statement on a view. It does not support "show change".
func Query(show *Show, v *View) (Table, error) {
	t, err := queryTable(show, v)
	if err != nil {
		return Table{}, err
	}
	for _, f := range show.Where {
		if err := t.filter(f); err != nil {
			return Table{}, err
		}
	}
	slices.SortFunc(t.Rows, slices.Compare)
	return t, nil
}

func queryTable(show *Show, v *View) (Table, error) {
	if show.Service != "" && show.Subject != "upstreams" {
		return Table{}, bramleyfall.Errorf(bramleyfall.BadStatement, "only upstreams can be shown \"of\" a service")
	}
	switch show.Subject {
	case "services":
		return servicesTable(v), nil
	case "domains":
		return domainsTable(v), nil
	case "instances":
		return instancesTable(v), nil
	case "upstreams":
		return upstreamsTable(show.Service, v)
	}
	return revisionTable(v), nil
}

func (t *Table) filter(f *Filter) error {
	column := slices.Index(t.Columns, f.Column)
	if column < 0 {
		return bramleyfall.Errorf(bramleyfall.BadStatement, "there is no column %s; there are %s", f.Column, strings.Join(t.Columns, ", "))
	}
	t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool { return !matches(row[column], f.Operator, f.Value) })
	return nil
}

// matches reports whether "a operator b" is true. It compares a and b as numbers
// if both are numbers, otherwise as text.
func matches(a, operator, b string) bool {
	order := strings.Compare(a, b)
	x, err1 := strconv.ParseFloat(a, 64)
	y, err2 := strconv.ParseFloat(b, 64)
	if err1 == nil && err2 == nil {
		order = int(min(max(x-y, -1), 1))
		if order == 0 && x != y {
			order = 1
			if x < y {
				order = -1
			}
		}
	}
	switch operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}

func servicesTable(v *View) Table {
	t := Table{Columns: []string{"Service", "Addresses", "Allowed", "WarmUp", "SilentAfter", "Serving"}}
	for i := range v.Services {
		s := &v.Services[i]
		var addresses []string
		for _, a := range s.Addresses {
			addresses = append(addresses, fmt.Sprintf("%s/%s(%s)", a.Endpoint, a.Protocol, a.Class))
		}
		t.Rows = append(t.Rows, []string{
			string(s.Name), strings.Join(addresses, ","), strings.Join(s.Allowed, ","),
			formatDuration(s.WarmUp), formatDuration(s.SilentAfter),
			strconv.Itoa(len(v.ServingAgents(s, v.OutDomains(), v.Drained))),
		})
	}
	return t
}

// formatDuration returns "default" for a duration that is not set.
func formatDuration(d bramleyfall.Duration) string {
	if d == 0 {
		return "default"
	}
	return time.Duration(d).String()
}

func domainsTable(v *View) Table {
	t := Table{Columns: []string{"Domain", "State", "Balancers", "Upstreams"}}
	// counts holds the number of serving balancers and of serving agents.
	counts := make(map[bramleyfall.DomainName]*[2]int)
	for _, m := range v.Members {
		if counts[m.Domain] == nil {
			counts[m.Domain] = new([2]int)
		}
		if m.State != bramleyfall.MemberServing {
			continue
		}
		if m.Role == bramleyfall.RoleAgent {
			counts[m.Domain][1]++
			continue
		}
		counts[m.Domain][0]++
	}
	for name := range v.Domains {
		if counts[name] == nil {
			counts[name] = new([2]int)
		}
	}
	outDomains := v.OutDomains()
	for name, c := range counts {
		state := bramleyfall.DomainIn
		if outDomains[name] {
			state = bramleyfall.DomainOut
		}
		t.Rows = append(t.Rows, []string{string(name), string(state), strconv.Itoa(c[0]), strconv.Itoa(c[1])})
	}
	return t
}

func instancesTable(v *View) Table {
	t := Table{Columns: []string{"Instance", "Role", "Domain", "State", "Packets", "Control", "Started"}}
	for _, m := range v.Members {
		t.Rows = append(t.Rows, []string{
			string(m.ID), string(m.Role), string(m.Domain), string(m.State), m.Packets.String(), m.Control.String(), formatBoot(m.Boot),
		})
	}
	return t
}

// formatBoot returns the start time that a boot id stands for, or "never" if it
// is zero.
func formatBoot(boot bramleyfall.BootID) string {
	if boot == 0 {
		return "never"
	}
	return time.Unix(0, int64(boot)).UTC().Format(time.RFC3339)
}

func upstreamsTable(serviceName string, v *View) (Table, error) {
	t := Table{Columns: []string{"Upstream", "Service", "Domain", "State", "Allowed", "Started"}}
	found := false
	for i := range v.Services {
		s := &v.Services[i]
		if serviceName != "" && string(s.Name) != serviceName {
			continue
		}
		found = true
		for _, m := range v.Members {
			if announces(&m, s.Name) {
				t.Rows = append(t.Rows, upstreamRow(&m, s, v))
			}
		}
	}
	if serviceName != "" && !found {
		return t, bramleyfall.Errorf(bramleyfall.NoService, "there is no service %s", serviceName)
	}
	return t, nil
}

func upstreamRow(m *bramleyfall.Member, s *bramleyfall.Service, v *View) []string {
	state := string(m.State)
	switch {
	case v.OutDomains()[m.Domain]:
		state = "DomainOut"
	case v.Drained[m.ID] && m.State == bramleyfall.MemberServing:
		state = string(bramleyfall.MemberDraining)
	}
	allowed := strconv.FormatBool(configuration.Allows(s, m.ID))
	return []string{string(m.ID), string(s.Name), string(m.Domain), state, allowed, formatBoot(m.UpstreamBoot)}
}

func revisionTable(v *View) Table {
	state := "Answers"
	if v.PlatformError != nil {
		state = v.PlatformError.Error()
	}
	return Table{
		Columns: []string{"Revision", "NewestHeard", "Platform"},
		Rows:    [][]string{{strconv.FormatUint(uint64(v.Revision), 10), strconv.FormatUint(uint64(v.NewestRevision), 10), state}},
	}
}
