package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/trace"
)

// TestRecordedTraces replays the traces in testdata. Their Outcome events contain the
// expected counts.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces in testdata: %v", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			is := is.New(t)
			file, err := os.Open(name)
			is.NoErr(err)
			defer file.Close()
			r := trace.NewReplay()
			is.NoErr(trace.Read(file, r.Feed))
			is.True(r.Summary.Routes+r.Summary.Calls > 10)
		})
	}
}

func TestReplayFindsAChangedDecision(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/agent.trace")
	is.NoErr(err)
	changed := strings.Replace(string(data), `"Kind":"Deliver"`, `"Kind":"Drop"`, 1)
	err = trace.Read(strings.NewReader(changed), trace.NewReplay().Feed)
	is.Equal(bramleyfall.CodeOf(err), bramleyfall.Mismatch)
}

func TestBadTracesNameTheLine(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"not JSON", "{\"Kind\":\"Route\"\n", "line 1"},
		{"unknown kind", "\n{\"Kind\":\"Sing\",\"At\":\"2026-01-01T00:00:00Z\"}\n", "line 2"},
		{"Route without Flow", "{\"Kind\":\"Route\",\"At\":\"2026-01-01T00:00:00Z\"}\n", "line 1"},
		{"Gate before Start", "{\"Kind\":\"Gate\",\"At\":\"2026-01-01T00:00:00Z\"}\n", "line 1"},
		{"unknown outcome", "{\"Kind\":\"Outcome\",\"At\":\"2026-01-01T00:00:00Z\",\"Outcome\":\"Joy\"}\n", "line 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := trace.Read(strings.NewReader(test.text), trace.NewReplay().Feed)
			is.Equal(bramleyfall.CodeOf(err), bramleyfall.BadTrace)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

func TestWriterKeepsOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := trace.NewWriter(&out)
	go w.Run()
	at := time.Unix(1_800_000_000, 0).UTC()
	for n := range int64(3) {
		w.Record(bramleyfall.TraceEvent{Kind: bramleyfall.TraceOutcome, At: at, Outcome: "Routes", Value: n})
	}
	is.NoErr(w.Close())
	want := int64(0)
	is.NoErr(trace.Read(&out, func(_ int, e bramleyfall.TraceEvent) error {
		is.Equal(e.Value, want)
		want++
		return nil
	}))
	is.Equal(want, int64(3))
}
