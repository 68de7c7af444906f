package main

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// logLine is a parsed log line.
type logLine struct {
	at     time.Time
	fields map[string]string
}

// parseLine parses the key=value pairs of a line. Words without "=" are skipped,
// such as the name of an instance before the pairs. It reports whether the line has
// the fields Time and Event.
func parseLine(line string) (logLine, bool) {
	l := logLine{fields: make(map[string]string)}
	for line != "" {
		var word string
		word, line = nextWord(line)
		if key, value, ok := strings.Cut(word, "="); ok {
			l.fields[key] = strings.Trim(value, `"`)
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["Time"])
	l.at = at
	return l, err == nil && l.fields["Event"] != ""
}

// nextWord splits a line after its first word. Spaces in quotes don't end a word.
func nextWord(line string) (word, rest string) {
	quoted := false
	for i, r := range line {
		switch {
		case r == '"':
			quoted = !quoted
		case r == ' ' && !quoted:
			return line[:i], line[i+1:]
		}
	}
	return line, ""
}

// logStats counts, by interval, the outcomes of openings and the durations of owner
// lookups.
type logStats struct {
	step  time.Duration
	start time.Time
	// intervals holds the counts by the index of the interval since start.
	intervals map[int64]*intervalStats
	// pendingLookups holds the start times of the lookups in progress, by flow.
	pendingLookups map[string]time.Time
}

// intervalStats holds the counts of one interval.
type intervalStats struct {
	// placed counts the openings that a balancer sent to an agent. Of the openings
	// that arrived at an agent, admitted counts those that got a free slot, queued
	// those that wait for a slot, and passed those that the agent returned.
	placed, admitted, queued, passed int
	// started counts the processes that started.
	started int
	// refused counts the callers that were reset, by reason.
	refused map[string]int
	// lookupTimes holds the durations until the owner of a flow was found or the
	// caller was reset for lack of one.
	lookupTimes []time.Duration
}

// readLog reads the log lines of one or more processes in any order. Lines that
// aren't events are skipped.
func readLog(in io.Reader, step time.Duration) (*logStats, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var lines []logLine
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, errors.New("the log has no line with a time and an event")
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	s := &logStats{step: step, start: lines[0].at, intervals: make(map[int64]*intervalStats), pendingLookups: make(map[string]time.Time)}
	for _, l := range lines {
		s.add(l)
	}
	return s, nil
}

// interval returns the counts of the interval that contains t.
func (s *logStats) interval(t time.Time) *intervalStats {
	n := int64(t.Sub(s.start) / s.step)
	if s.intervals[n] == nil {
		s.intervals[n] = &intervalStats{refused: make(map[string]int)}
	}
	return s.intervals[n]
}

func (s *logStats) add(l logLine) {
	c, flow := s.interval(l.at), l.fields["Flow"]
	switch l.fields["Event"] {
	case "Started":
		c.started++
	case "Lookup":
		if _, ok := s.pendingLookups[flow]; !ok {
			s.pendingLookups[flow] = l.at
		}
	case "Owned":
		s.endLookup(flow, l.at)
	case "Admit":
		switch {
		case l.fields["Outcome"] != "Deliver":
			c.passed++
		case l.fields["Must"] == "true":
			c.queued++
		default:
			c.admitted++
		}
	case "Place":
		if l.fields["Outcome"] == "Pass" {
			c.placed++
			return
		}
		c.refused[l.fields["Reason"]]++
		s.endLookup(flow, l.at)
	}
}

// endLookup adds the duration of a lookup to the interval in which it began.
func (s *logStats) endLookup(flow string, now time.Time) {
	if began, ok := s.pendingLookups[flow]; ok {
		delete(s.pendingLookups, flow)
		c := s.interval(began)
		c.lookupTimes = append(c.lookupTimes, now.Sub(began))
	}
}

// print writes a line for each interval with events.
func (s *logStats) print(out io.Writer) {
	var indexes []int64
	for n := range s.intervals {
		indexes = append(indexes, n)
	}
	slices.Sort(indexes)
	for _, n := range indexes {
		c := s.intervals[n]
		from := time.Duration(n) * s.step
		fmt.Fprintf(out, "Losses From=%s At=%s Started=%d Placed=%d Admitted=%d Queued=%d Passed=%d Searches=%d SearchMedianMillis=%d SearchMostMillis=%d%s\n",
			from, s.start.Add(from).Format(time.TimeOnly), c.started, c.placed, c.admitted, c.queued, c.passed, len(c.lookupTimes),
			quantile(c.lookupTimes, 0.5).Milliseconds(), quantile(c.lookupTimes, 1).Milliseconds(), c.refusals())
	}
}

// refusals returns the refusals by reason as key=value pairs in a fixed order.
func (c *intervalStats) refusals() string {
	var names []string
	for name := range c.refused {
		names = append(names, name)
	}
	slices.Sort(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf(" Refused%s=%d", name, c.refused[name])
	}
	return text
}

// quantile returns the q-quantile of times, with q from 0 to 1, or zero if there are
// no times.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}

// writePoints writes the counts as data points in CSV form for the program slopes.
func (s *logStats) writePoints(out io.Writer) {
	for n, c := range s.intervals {
		second := (time.Duration(n) * s.step).Seconds()
		refused := 0
		for _, count := range c.refused {
			refused += count
		}
		fmt.Fprintf(out, "Agents,Second,%g,Admitted,%d\n", second, c.admitted+c.queued)
		fmt.Fprintf(out, "Balancers,Second,%g,Refused,%d\n", second, refused)
		fmt.Fprintf(out, "Balancers,Second,%g,SearchMedianMillis,%d\n", second, quantile(c.lookupTimes, 0.5).Milliseconds())
	}
}
