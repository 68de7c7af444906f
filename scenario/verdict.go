package main

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// orderReport holds the counts of a scenario: the orders that callers got answers to,
// compared with those that upstreams executed, and the failures that callers and
// upstreams counted.
type orderReport struct {
	Answered, Lost, Doubled, WrongService, Broken int
	Unknown, FilesFailed, Failed, ColdFailures    int
	FeedGapMillis                                 int
}

// String returns the main counts as key=value pairs.
func (r orderReport) String() string {
	return fmt.Sprintf("OrdersAnswered=%d OrdersLost=%d OrdersDoubled=%d WrongService=%d FlowsBroken=%d",
		r.Answered, r.Lost, r.Doubled, r.WrongService, r.Broken)
}

// details returns the other counts as key=value pairs.
func (r orderReport) details() string {
	return fmt.Sprintf("OrdersUnknown=%d FilesFailed=%d FeedGapMillis=%d ColdFailures=%d",
		r.Unknown, r.FilesFailed, r.FeedGapMillis, r.ColdFailures)
}

// violations describes the counts that exceed their limits. Limits are given as
// Name=maximum. A count without a limit must be 0, except FeedGapMillis, the length
// of gaps in feeds, which is then unlimited. OrdersAtLeast is the minimum of
// OrdersAnswered, 1 by default.
func (r orderReport) violations(limits []string) []string {
	bounds := map[string]int{"FeedGapMillis": 1 << 30, "FilesFailed": 0}
	for _, limit := range limits {
		name, value, _ := strings.Cut(limit, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			return []string{"invalid limit " + limit}
		}
		bounds[name] = n
	}
	var violations []string
	for _, pair := range strings.Fields(r.String() + " " + r.details()) {
		name, value, _ := strings.Cut(pair, "=")
		n, err := strconv.Atoi(value)
		if err != nil || name == "OrdersAnswered" {
			continue
		}
		if n > bounds[name] {
			violations = append(violations, fmt.Sprintf("%s is %d, at most %d is allowed", name, n, bounds[name]))
		}
	}
	if r.Answered < max(1, bounds["OrdersAtLeast"]) {
		violations = append(violations, fmt.Sprintf("only %d orders were answered", r.Answered))
	}
	return violations
}

// collectReport stops the callers and reads their summaries and the ledgers, the
// files in which upstreams record the orders that they execute. An answered order
// must be in the ledgers once, any other order at most once.
func (d *deployment) collectReport() (orderReport, error) {
	var r orderReport
	for _, name := range d.callerNames() {
		if err := d.stopCaller(name); err != nil {
			return r, err
		}
		r.Broken += d.callerCounter(name, "FlowsBroken")
		r.Unknown += d.callerCounter(name, "OrdersUnknown")
		r.FilesFailed += d.callerCounter(name, "FilesFailed")
		r.WrongService += d.callerCounter(name, "WrongAnswers")
		r.Failed += d.callerCounter(name, "Failed")
		r.FeedGapMillis = max(r.FeedGapMillis, d.callerCounter(name, "FeedGapMillis"))
	}
	executions := make(map[string]int)
	executed, err := readLines(filepath.Join(d.workDir, "*.ledger"))
	if err != nil {
		return r, err
	}
	for _, line := range executed {
		fields := strings.Fields(line)
		if fields[0] == "WRONG" {
			r.WrongService++
			continue
		}
		if executions[fields[1]]++; executions[fields[1]] == 2 {
			r.Doubled++
		}
	}
	answered, err := readLines(filepath.Join(d.workDir, "*.answered"))
	if err != nil {
		return r, err
	}
	r.Answered = len(answered)
	for _, id := range answered {
		if executions[id] == 0 {
			r.Lost++
		}
	}
	r.ColdFailures = d.sumUpstreamCounts("ColdFailures")
	return r, nil
}
