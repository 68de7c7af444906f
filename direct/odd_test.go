package direct_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/platform/platformtest"
)

// Guards against processes that end, stop following the store or lose a living agent because
// another writer leaves odd records among theirs: deeply nested, with numbers out of range,
// or under the name or address of a living agent.
func TestOddRecords(t *testing.T) {
	const seed, records = 32, 150
	is := is.New(t)
	f := newFleet(t)
	b := f.newMachine()
	f.startUpstreamAndAgent(f.newMachine())
	f.startUpstreamAndAgent(f.newMachine())
	f.startBalancer(b)
	c := f.newCaller()
	flows := []*platformtest.Flow{f.open(c, 2000, b), f.open(c, 2100, b), f.open(c, 2200, b)}
	keys := f.store.Keys("bramleyfall/agents/")
	is.Equal(len(keys), 2)
	entries := []string{f.store.Value(keys[0]), f.store.Value(keys[1])}
	r := rand.New(rand.NewPCG(seed, 0))
	for n := range records {
		agent := r.IntN(len(keys))
		key, valid := keys[agent], entries[agent]
		switch r.IntN(6) {
		case 0: // the entry of a living agent is replaced
		case 1:
			key = strings.Replace(key, "railbook", "drawhub", 1)
		case 2:
			key = key[:strings.LastIndexByte(key, '/')] + "/odd"
		case 3:
			key = "bramleyfall/agents/" + strings.Repeat("/", r.IntN(5)) + "odd"
		case 4:
			key, valid = "bramleyfall/mark", `{"Previous":[1,2],"Era":1}`
		case 5:
			f.store.Put("bramleyfall/withdrawn", key)
			key, valid = "bramleyfall/withdrawn", `"odd"`
		}
		f.store.Put(key, platformtest.OddRecord(r, valid))
		if n%10 == 0 {
			f.request(flows[n/10%len(flows)], fmt.Sprintf("order %d", n), b)
			f.request(f.open(c, uint16(3000+10*n), b), "new", b)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for n, key := range keys {
		f.store.Put(key, entries[n][:len(entries[n])/2])
	}
	f.await("valid entries of both agents", func() bool {
		valid := 0
		for _, key := range keys {
			var a bramleyfall.Announcement
			if json.Unmarshal([]byte(f.store.Value(key)), &a) == nil && strings.HasSuffix(key, string(a.Service)+"/"+a.Packets.String()+"/"+string(a.Instance)) && a.Slots <= bramleyfall.MaxSlots {
				valid++
			}
		}
		return valid == len(keys)
	})
	started := f.newMachine()
	f.startBalancer(started)
	for n, flow := range flows {
		f.request(flow, fmt.Sprintf("last order %d", n), started)
	}
}

// Guards against an agent that ends, forgets its upstream or takes another one because
// another writer sends it odd heartbeats.
func TestOddHeartbeats(t *testing.T) {
	const seed, heartbeats = 32, 400
	is := is.New(t)
	f := newFleet(t)
	b, m := f.newMachine(), f.newMachine()
	upstream, _ := f.startUpstreamAndAgent(m)
	f.startBalancer(b)
	flow := f.open(f.newCaller(), 2000, b)
	entries := f.store.Keys("bramleyfall/agents/")
	value := f.store.Value(entries[0])
	r := rand.New(rand.NewPCG(seed, 0))
	for range heartbeats {
		upstream.SendOddHeartbeat(r)
	}
	f.request(flow, "order 1", b)
	f.request(f.open(f.newCaller(), 3000, b), "new", b)
	is.Equal(upstream.Served(), 2)
	is.Equal(f.store.Value(entries[0]), value)
}
