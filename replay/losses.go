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

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// logLine is what a line of a process's log says.
type logLine struct {
	at     time.Time
	fields map[string]string
}

// parseLine reads the key=value pairs of a line. What stands before them, such as
// the name of an instance, is passed over. It reports whether the line is one of an
// event.
func parseLine(line string) (logLine, bool) {
	l := logLine{fields: make(map[string]string)}
	for line != "" {
		var word string
		word, line = cutWord(line)
		if key, value, ok := strings.Cut(word, "="); ok {
			l.fields[key] = strings.Trim(value, `"`)
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["Time"])
	l.at = at
	return l, err == nil && l.fields["Event"] != ""
}

// cutWord returns the text up to a space that isn't in quotes, and the rest.
func cutWord(line string) (word, rest string) {
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

// losses counts, by intervals, what became of openings and of packets whose owner
// was looked for.
type losses struct {
	step   time.Duration
	first  time.Time
	counts map[int64]*lossCounts
	// searches holds the searches that have begun, by flow.
	searches map[string]time.Time
}

// lossCounts is what happened in an interval.
type lossCounts struct {
	// placed counts offers of openings to upstreams, admitted those that were taken
	// with a free slot, queued those that wait for one, and passed those that were
	// handed back.
	placed, admitted, queued, passed int
	// started counts processes that began.
	started int
	// refused counts the callers that were reset, by reason.
	refused map[string]int
	// searches holds the times that it took to find the owner of a flow, or that
	// there is none.
	searches []time.Duration
}

// readLosses reads the lines of one or more processes, in any order.
func readLosses(in io.Reader, step time.Duration) (*losses, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
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
	s := &losses{step: step, first: lines[0].at, counts: make(map[int64]*lossCounts), searches: make(map[string]time.Time)}
	for _, l := range lines {
		s.take(l)
	}
	return s, nil
}

func (s *losses) at(t time.Time) *lossCounts {
	n := int64(t.Sub(s.first) / s.step)
	if s.counts[n] == nil {
		s.counts[n] = &lossCounts{refused: make(map[string]int)}
	}
	return s.counts[n]
}

func (s *losses) take(l logLine) {
	c, flow := s.at(l.at), l.fields["Flow"]
	switch l.fields["Event"] {
	case "Started":
		c.started++
	case "Lookup":
		if _, ok := s.searches[flow]; !ok {
			s.searches[flow] = l.at
		}
	case "Owned":
		s.endSearch(flow, l.at)
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
		s.endSearch(flow, l.at)
	}
}

// endSearch notes how long a search took, in the interval in which it began.
func (s *losses) endSearch(flow string, now time.Time) {
	if began, ok := s.searches[flow]; ok {
		delete(s.searches, flow)
		c := s.at(began)
		c.searches = append(c.searches, now.Sub(began))
	}
}

// print writes a line for each interval in which something happened.
func (s *losses) print(out io.Writer) {
	var intervals []int64
	for n := range s.counts {
		intervals = append(intervals, n)
	}
	slices.Sort(intervals)
	for _, n := range intervals {
		c := s.counts[n]
		from := time.Duration(n) * s.step
		fmt.Fprintf(out, "Losses From=%s At=%s Started=%d Placed=%d Admitted=%d Queued=%d Passed=%d Searches=%d SearchMedianMillis=%d SearchMostMillis=%d%s\n",
			from, s.first.Add(from).Format(time.TimeOnly), c.started, c.placed, c.admitted, c.queued, c.passed, len(c.searches),
			quantile(c.searches, 0.5).Milliseconds(), quantile(c.searches, 1).Milliseconds(), c.reasons())
	}
}

// reasons returns the refusals as key=value pairs.
func (c *lossCounts) reasons() string {
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

// quantile returns the least time that a share of all doesn't exceed.
func quantile(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(share*float64(len(sorted)-1))]
}

// points writes the intervals as points that the program slopes draws.
func (s *losses) points(out io.Writer) {
	for n, c := range s.counts {
		second := (time.Duration(n) * s.step).Seconds()
		refused := 0
		for _, count := range c.refused {
			refused += count
		}
		fmt.Fprintf(out, "Agents,Second,%g,Admitted,%d\n", second, c.admitted+c.queued)
		fmt.Fprintf(out, "Balancers,Second,%g,Refused,%d\n", second, refused)
		fmt.Fprintf(out, "Balancers,Second,%g,SearchMedianMillis,%d\n", second, quantile(c.searches, 0.5).Milliseconds())
	}
}
