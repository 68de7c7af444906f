package direct_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/platform/platformtest"
)

// applyLimit is the time within which an acknowledged change must be in force.
const applyLimit = 3 * time.Second

// awaitVersion waits until all machines have a configuration in force.
func (f *fleet) awaitVersion(version bramleyfall.ConfigVersion, machines ...string) {
	f.Helper()
	for _, m := range machines {
		f.await("the configuration of "+m, func() bool { return f.version(m) == version })
	}
}

// Guards against changes that are not in force after the store lost earlier ones and
// assigned their revisions again.
func TestChangeAfterARestoreIsInForce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	b, m := f.newMachine(), f.newMachine()
	f.startUpstreamAndAgent(m)
	f.startBalancer(b)
	f.awaitVersion(1, b, m)
	f.store.Backup()
	for version := 2; version <= 20; version++ {
		f.store.Configure(version, "railbook")
	}
	f.awaitVersion(20, b, m)
	f.store.SetFault(platformtest.FaultReset)
	f.store.Restore()()
	f.store.SetFault(platformtest.FaultNone)
	f.awaitVersion(20, b, m) // never goes back
	f.store.Configure(21, "railbook")
	changed := time.Now()
	f.awaitVersion(21, b, m)
	is.True(time.Since(changed) < applyLimit)
	f.request(f.open(f.newCaller(), 2000, b), "order", b)
}

// Guards against an entry that stays missing, or as old as the copy, after a restore:
// its lease is older than the copy and can still be renewed.
func TestEntryIsBackAfterARestore(t *testing.T) {
	const limit = 2500 * time.Millisecond // the entries are back about two seconds after the store
	is := is.New(t)
	f := newFleet(t)
	m := f.newMachine()
	upstream, _ := f.startUpstreamAndAgent(m)
	first := f.store.Value("bramleyfall/agents/")
	f.store.Backup()
	upstream.Kill()
	f.startUpstream(m, "i-second")
	f.await("the entry of the second upstream", func() bool {
		entry := f.store.Value("bramleyfall/agents/")
		return entry != "" && entry != first
	})
	second := f.store.Value("bramleyfall/agents/")
	f.store.Restore()
	is.Equal(f.store.Value("bramleyfall/agents/"), first)
	restored := time.Now()
	f.await("the entry of the second upstream", func() bool { return f.store.Value("bramleyfall/agents/") == second })
	is.True(time.Since(restored) < limit)
}
