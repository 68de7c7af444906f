package main

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// verdict compares what callers saw with what upstreams ran.
type verdict struct {
	Answered, Lost, Doubled, WrongService, Broken int
	Unknown, FilesFailed, Failed, ColdFailures    int
	FeedGapMillis                                 int
}

// String returns what the verdict is about as key=value pairs.
func (v verdict) String() string {
	return fmt.Sprintf("OrdersAnswered=%d OrdersLost=%d OrdersDoubled=%d WrongService=%d FlowsBroken=%d",
		v.Answered, v.Lost, v.Doubled, v.WrongService, v.Broken)
}

// details returns the other counts as key=value pairs.
func (v verdict) details() string {
	return fmt.Sprintf("OrdersUnknown=%d FilesFailed=%d FeedGapMillis=%d ColdFailures=%d",
		v.Unknown, v.FilesFailed, v.FeedGapMillis, v.ColdFailures)
}

// faults returns what is worse than allowed. Limits are Name=most; what is not
// named must be zero, but for the length of gaps in feeds.
func (v verdict) faults(limits []string) []string {
	most := map[string]int{"FeedGapMillis": 1 << 30, "FilesFailed": 0}
	for _, limit := range limits {
		name, value, _ := strings.Cut(limit, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			return []string{"limit " + limit}
		}
		most[name] = n
	}
	var faults []string
	for _, pair := range strings.Fields(v.String() + " " + v.details()) {
		name, value, _ := strings.Cut(pair, "=")
		n, err := strconv.Atoi(value)
		if err != nil || name == "OrdersAnswered" {
			continue
		}
		if n > most[name] {
			faults = append(faults, fmt.Sprintf("%s is %d, at most %d is allowed", name, n, most[name]))
		}
	}
	if v.Answered < max(1, most["OrdersAtLeast"]) {
		faults = append(faults, fmt.Sprintf("only %d orders were answered", v.Answered))
	}
	return faults
}

// verdict stops the callers and reads summaries and ledgers. An order that was
// answered must stand in a ledger once; any order at most once.
func (d *deployment) verdict() (verdict, error) {
	var v verdict
	for _, name := range d.callerNames() {
		if err := d.stopCaller(name); err != nil {
			return v, err
		}
		v.Broken += d.callerCount(name, "FlowsBroken")
		v.Unknown += d.callerCount(name, "OrdersUnknown")
		v.FilesFailed += d.callerCount(name, "FilesFailed")
		v.WrongService += d.callerCount(name, "WrongAnswers")
		v.Failed += d.callerCount(name, "Failed")
		v.FeedGapMillis = max(v.FeedGapMillis, d.callerCount(name, "FeedGapMillis"))
	}
	ran := make(map[string]int)
	ledger, err := readLines(filepath.Join(d.folder, "*.ledger"))
	if err != nil {
		return v, err
	}
	for _, line := range ledger {
		words := strings.Fields(line)
		if words[0] == "WRONG" {
			v.WrongService++
			continue
		}
		if ran[words[1]]++; ran[words[1]] == 2 {
			v.Doubled++
		}
	}
	answered, err := readLines(filepath.Join(d.folder, "*.answered"))
	if err != nil {
		return v, err
	}
	v.Answered = len(answered)
	for _, id := range answered {
		if ran[id] == 0 {
			v.Lost++
		}
	}
	v.ColdFailures = d.upstreamCounts("ColdFailures")
	return v, nil
}
