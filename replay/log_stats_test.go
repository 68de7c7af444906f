package main

import (
	"strings"
	"testing"
	"time"
)

// sampleLog holds log lines of two balancers and an agent, out of order, each with
// the name of the instance before it.
const sampleLog = `balancer-1 Time=2026-01-01T00:00:01.200Z Level=info Event=Place Flow="100.64.0.1:1024 to 198.18.0.1:443/tcp" Outcome=Refuse Reason=NotRunClass
balancer-1 Time=2026-01-01T00:00:00Z Level=info Event=Started
balancer-1 Time=2026-01-01T00:00:01.100Z Level=info Event=Place Flow="100.64.0.1:1024 to 198.18.0.1:443/tcp" Outcome=Pass Reason=OK
agent-1 Time=2026-01-01T00:00:01.150Z Level=info Event=Admit Flow="100.64.0.1:1024 to 198.18.0.1:443/tcp" Outcome=Pass Reason=NotRunClass Must=true
agent-1 Time=2026-01-01T00:00:01.300Z Level=info Event=Admit Flow="100.64.0.2:1024 to 198.18.0.1:443/tcp" Outcome=Deliver Reason=OK Must=true
balancer-2 Time=2026-01-01T00:00:01.400Z Level=info Event=Lookup Flow="100.64.0.3:1024 to 198.18.0.1:443/tcp" Agents=2
balancer-2 Time=2026-01-01T00:00:01.420Z Level=info Event=Lookup Flow="100.64.0.3:1024 to 198.18.0.1:443/tcp" Agents=5
balancer-2 Time=2026-01-01T00:00:01.450Z Level=info Event=Place Flow="100.64.0.3:1024 to 198.18.0.1:443/tcp" Outcome=Refuse Reason=NoOwner
not a line of a process
`

func TestLosses(t *testing.T) {
	s, err := readLog(strings.NewReader(sampleLog), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	s.print(&out)
	const want = "Losses From=0s At=00:00:00 Started=1 Placed=0 Admitted=0 Queued=0 Passed=0 Searches=0 SearchMedianMillis=0 SearchMostMillis=0\n" +
		"Losses From=1s At=00:00:01 Started=0 Placed=1 Admitted=0 Queued=1 Passed=1 Searches=1 SearchMedianMillis=50 SearchMostMillis=50 RefusedNoOwner=1 RefusedNotRunClass=1\n"
	if out.String() != want {
		t.Errorf("%s\nwant\n%s", out.String(), want)
	}
}

func TestLogWithoutEvents(t *testing.T) {
	if _, err := readLog(strings.NewReader("nothing of note\n"), time.Second); err == nil {
		t.Error("no error for a log without events")
	}
}
