package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/upstream"
)

func address(n byte) bramleyfall.ServiceAddress {
	return bramleyfall.ServiceAddress{
		Endpoint: bramleyfall.Endpoint{IP: [4]byte{127, 0, 9, n}, Port: 443}, Protocol: bramleyfall.TCP, Class: bramleyfall.ClassOrders,
	}
}

func flowTo(n byte, port uint16) bramleyfall.Flow {
	return bramleyfall.Flow{
		Source:      bramleyfall.Endpoint{IP: [4]byte{127, 0, 0, 4}, Port: port},
		Destination: address(n).Endpoint, Protocol: bramleyfall.TCP,
	}
}

func entry(name string, size int, draining ...int) *upstream.Entry {
	e := &upstream.Entry{Name: bramleyfall.ServiceName(name)}
	for i := range size {
		id := fmt.Sprintf("%s-%d", name, i)
		e.IDs = append(e.IDs, bramleyfall.InstanceID(id))
		e.Candidates = append(e.Candidates, upstream.Candidate{Upstream: bramleyfall.InstanceKeyFor(id), Boot: 1, AcceptsNewFlows: true})
	}
	for _, i := range draining {
		e.Candidates[i].AcceptsNewFlows = false
	}
	return e
}

// hopKeys returns the keys of all upstreams that a packet visits, over all pages.
func hopKeys(t *upstream.Table, f bramleyfall.Flow, opening bool) []bramleyfall.InstanceKey {
	var out []bramleyfall.InstanceKey
	var list bramleyfall.HopList
	for page := range uint8(bramleyfall.MaxPages) {
		if t.Route(f, opening, page, &list) != bramleyfall.OK {
			return out
		}
		for _, h := range list.Hops[:list.Count] {
			out = append(out, h.Upstream)
		}
		if !list.More {
			return out
		}
	}
	return out
}

func TestRouteVisitsWhoMayOwnTheFlow(t *testing.T) {
	tests := []struct {
		name     string
		size     int
		draining []int
		opening  bool
		want     int
	}{
		{"an opening skips upstreams that accept no new flows", 7, []int{2, 5}, true, 5},
		{"other packets visit all upstreams", 7, []int{2, 5}, false, 7},
		{"one upstream", 1, nil, true, 1},
		{"no upstream accepts new flows", 2, []int{0, 1}, true, 0},
		{"at most MaxPages full pages", 40, nil, false, bramleyfall.MaxHops * bramleyfall.MaxPages},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := upstream.NewTable()
			table.Set(entry("railbook", test.size, test.draining...), []bramleyfall.ServiceAddress{address(1)})
			got := hopKeys(table, flowTo(1, 5555), test.opening)
			is.Equal(len(got), test.want)
			seen := make(map[bramleyfall.InstanceKey]bool)
			for _, k := range got {
				is.True(!seen[k]) // no upstream is visited twice
				seen[k] = true
			}
		})
	}
}

func TestHintComesFirstForEstablishedFlowsOnly(t *testing.T) {
	is := is.New(t)
	table := upstream.NewTable(upstream.WithHints(1024))
	table.Set(entry("railbook", 6), []bramleyfall.ServiceAddress{address(1)})
	f := flowTo(1, 5555)
	before := hopKeys(table, f, false)
	table.SetHint(f.Hash(), before[4])
	is.Equal(hopKeys(table, f, false)[0], before[4])
	is.Equal(hopKeys(table, f, true), before)
	is.Equal(len(hopKeys(table, f, false)), 6) // a wrong hint costs a hop: all upstreams are still visited
}

func TestChangeMovesOnlyTheFlowsOfWhatChanged(t *testing.T) {
	is := is.New(t)
	table := upstream.NewTable()
	const flows = 1000
	first := func() [flows]bramleyfall.InstanceKey {
		var out [flows]bramleyfall.InstanceKey
		for i := range out {
			out[i] = hopKeys(table, flowTo(1, uint16(i)), true)[0]
		}
		return out
	}
	table.Set(entry("railbook", 7), []bramleyfall.ServiceAddress{address(1)})
	before := first()
	table.Set(entry("railbook", 7, 3), []bramleyfall.ServiceAddress{address(1)})
	after := first()
	removed := bramleyfall.InstanceKeyFor("railbook-3")
	for i := range before {
		is.True(before[i] == after[i] || before[i] == removed)
	}
}

// TestPacketNeverReachesAnotherService makes random changes to services, addresses
// and upstreams and checks that every hop is an upstream of the service to which
// the packet is addressed.
func TestPacketNeverReachesAnotherService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := upstream.NewTable(upstream.WithHints(64))
		owner := make(map[byte]string)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"railbook", "drawhub", "dispatch"}).Draw(t, "service")
			if rapid.Bool().Draw(t, "delete") {
				table.Delete(bramleyfall.ServiceName(name))
				for n, o := range owner {
					if o == name {
						delete(owner, n)
					}
				}
				continue
			}
			n := rapid.ByteRange(1, 5).Draw(t, "address")
			if owner[n] != "" && owner[n] != name {
				continue
			}
			for m, o := range owner {
				if o == name {
					delete(owner, m)
				}
			}
			owner[n] = name
			table.Set(entry(name, rapid.IntRange(0, 9).Draw(t, "size")), []bramleyfall.ServiceAddress{address(n)})
			f := flowTo(n, rapid.Uint16().Draw(t, "port"))
			table.SetHint(f.Hash(), bramleyfall.InstanceKeyFor(rapid.SampledFrom([]string{"railbook-0", "drawhub-0"}).Draw(t, "hint")))
		}
		for n := byte(1); n <= 5; n++ {
			f := flowTo(n, rapid.Uint16().Draw(t, "port"))
			for _, k := range hopKeys(table, f, rapid.Bool().Draw(t, "opening")) {
				if !servedBy(owner[n], k) {
					t.Fatalf("a packet to address %d of %q visits %d", n, owner[n], k)
				}
			}
		}
	})
}

func servedBy(service string, key bramleyfall.InstanceKey) bool {
	for i := range 9 {
		if bramleyfall.InstanceKeyFor(fmt.Sprintf("%s-%d", service, i)) == key {
			return true
		}
	}
	return false
}

func TestBuilderLeavesOutWhoMayNotServe(t *testing.T) {
	state := configuration.New()
	out, err := configuration.DomainChange("Ife", bramleyfall.DomainOut, 1)
	if err != nil {
		t.Fatal(err)
	}
	state.ApplyValue(out)
	service := bramleyfall.Service{Name: "railbook", Allowed: []string{"railbook-*"}}
	member := func(id, domain string, s bramleyfall.MemberState, boot bramleyfall.BootID) bramleyfall.Member {
		return bramleyfall.Member{
			ID: bramleyfall.InstanceID(id), Domain: bramleyfall.DomainName(domain), State: s, UpstreamBoot: boot,
		}
	}
	tests := []struct {
		name       string
		member     bramleyfall.Member
		candidates int
		accepting  bool
	}{
		{"serving", member("railbook-1", "Ikeja", bramleyfall.MemberServing, 1), 1, true},
		{"a draining upstream keeps its flows", member("railbook-1", "Ikeja", bramleyfall.MemberDraining, 1), 1, false},
		{"not allowed", member("intruder-1", "Ikeja", bramleyfall.MemberServing, 1), 0, false},
		{"failure domain out of service", member("railbook-2", "Ife", bramleyfall.MemberServing, 1), 0, false},
		{"upstream has never started", member("railbook-3", "Ikeja", bramleyfall.MemberDraining, 0), 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			started := time.Unix(1_800_000_000, 0)
			b := upstream.NewBuilder(started)
			e := b.Build(&service, state, []bramleyfall.Member{test.member}, started.Add(time.Minute))
			if len(e.Candidates) > 0 {
				is.True(!e.Candidates[0].AcceptsNewFlows) // new: other balancers may not know it yet
			}
			later := started.Add(time.Minute + 3*time.Second)
			is.Equal(len(b.DueForRebuild(later)) > 0, test.accepting)
			e = b.Build(&service, state, []bramleyfall.Member{test.member}, later)
			is.Equal(len(e.Candidates), test.candidates)
			if len(e.Candidates) > 0 {
				is.Equal(e.Candidates[0].AcceptsNewFlows, test.accepting)
			}
		})
	}
}
