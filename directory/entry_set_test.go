package directory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
)

// putEntryOf writes the entry of an agent at 10.0.0.1 whose upstream started at boot, and
// returns its key.
func (m *memoryStore) putEntryOf(instance, service string, boot int) string {
	key := "bramleyfall/agents/" + service + "/10.0.0.1:8000/" + instance
	m.putRecord(key, fmt.Sprintf(`{"Instance":%q,"Service":%q,"Packets":"10.0.0.1:8000","Boot":%d}`, instance, service, boot))
	return key
}

// remove removes a key.
func (m *memoryStore) remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	delete(m.entries, key)
	m.history = append(m.history, bramleyfall.KeyValue{Key: key, ModRevision: int64(m.revision), Deleted: true})
}

// agents returns the number of agents that were reported.
func (r *eventRecorder) agents() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.addedAt)
}

// Guards against the loss of an agent by the changes of other keys: a late write puts the
// entry of an agent that has ended after that of the one that now uses its address, and
// another writer's records name a living agent.
func TestOtherKeysOfALivingAgent(t *testing.T) {
	const pause = 2 * time.Second // longer than a pause after changes
	tests := []struct {
		name    string
		disturb func(m *memoryStore)
	}{
		{"late entry of another agent at the address", func(m *memoryStore) {
			key := m.putEntryOf("agent-0", "railbook", 1)
			time.Sleep(pause)
			m.remove(key)
		}},
		{"late entry of the same agent for another service", func(m *memoryStore) {
			key := m.putEntryOf("agent-1", "drawhub", 1)
			time.Sleep(pause)
			m.remove(key)
		}},
		{"removal of a malformed entry with the agent's name", func(m *memoryStore) {
			m.putRecord("bramleyfall/agents/agent-1", "7")
			time.Sleep(pause)
			m.remove("bramleyfall/agents/agent-1")
		}},
		{"malformed record under a key like that of an entry", func(m *memoryStore) {
			m.putRecord("bramleyfall/10.0.0.2:8000/agent-2", "7")
		}},
		{"withdrawal record that names the agent", func(m *memoryStore) {
			m.putRecord(withdrawnKey, m.entryKey("agent-1"))
		}},
		{"withdrawal record that ends with the agent's name", func(m *memoryStore) {
			m.putRecord(withdrawnKey, "agent-1")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMemoryStore(0)
			m.putEntryOf("agent-1", "railbook", 2)
			runEventWatcher(t, m, func(is *is.I, r *eventRecorder) {
				time.Sleep(pause)
				test.disturb(m)
				time.Sleep(pause)
				missing, withdrawn, _ := r.counts()
				is.Equal(missing, 0)
				is.Equal(withdrawn, 0)
				is.Equal(r.agents(), 1)
			})
		})
	}
}

// Guards against an agent that never learns that another writer has replaced its entry: it
// is reported missing until the entry is valid again.
func TestOverwrittenEntryIsMissing(t *testing.T) {
	m := newMemoryStore(0)
	key := m.putEntryOf("agent-1", "railbook", 2)
	runEventWatcher(t, m, func(is *is.I, r *eventRecorder) {
		time.Sleep(2 * time.Second)
		m.putRecord(key, strings.Repeat("[", 1<<15))
		time.Sleep(2 * time.Second)
		missing, _, _ := r.counts()
		is.Equal(missing, 1)
		at := time.Now()
		m.putEntryOf("agent-1", "railbook", 2)
		time.Sleep(2 * time.Second)
		is.True(!r.addedTime(1).Before(at))
	})
}

// Guards against a balancer that knows no agent at an address after the entry that held it
// was written again with an earlier start.
func TestEntryWithAnEarlierStart(t *testing.T) {
	m := newMemoryStore(0)
	m.putEntryOf("agent-1", "railbook", 3)
	m.putEntryOf("agent-2", "drawhub", 2)
	runEventWatcher(t, m, func(is *is.I, r *eventRecorder) {
		time.Sleep(2 * time.Second)
		is.True(r.addedTime(2).IsZero())
		m.putEntryOf("agent-1", "railbook", 1)
		time.Sleep(2 * time.Second)
		is.True(!r.addedTime(2).IsZero())
	})
}

// Guards against a balancer that goes on with the entry of an agent that has ended when
// another entry of the address remains.
func TestRemainingEntryOfAnAddress(t *testing.T) {
	m := newMemoryStore(0)
	m.putEntryOf("agent-1", "railbook", 1)
	runEventWatcher(t, m, func(is *is.I, r *eventRecorder) {
		time.Sleep(time.Second)
		key := m.putEntryOf("agent-2", "drawhub", 2)
		time.Sleep(2 * time.Second)
		is.True(!r.addedTime(2).IsZero())
		m.remove(key)
		at := time.Now()
		time.Sleep(2 * time.Second)
		missing, _, _ := r.counts()
		is.Equal(missing, 0)
		is.True(!r.addedTime(1).Before(at))
	})
}
