// Program replay feeds recorded traces into the decision code and checks that it
// makes the recorded decisions and that the outcomes that a trace states hold. With
// --log it instead counts the outcomes of openings in the log lines of processes.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/settings"
	"bramleyfall.example/bramleyfall/trace"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	s := settings.New("replay", "checks recorded traces: replay [flags] trace ...")
	expect := s.String("expect", "Mismatches=0,WrongService=0", "outcomes that each trace must have, beside those that it states")
	logFile := s.String("log", "", "file with the log lines of processes: what became of openings, instead of traces")
	step := s.Duration("step", time.Second, "interval that the lines of a log are counted by")
	pointsFile := s.String("points", "", "file for the counts of a log as points that slopes draws")
	var outcomes []bramleyfall.TraceEvent
	check := func() {
		if *step <= 0 {
			s.AddError("step", "must be above zero")
		}
		if s.NArg() == 0 && *logFile == "" {
			s.AddError("expect", "name at least one trace")
		}
		for _, text := range s.Names(*expect) {
			name, value, _ := strings.Cut(text, "=")
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				s.AddError("expect", "%q is not an outcome such as Mismatches=0", text)
			}
			outcomes = append(outcomes, bramleyfall.TraceEvent{Kind: bramleyfall.TraceOutcome, Outcome: name, Value: n})
		}
	}
	return settings.Run(s, args, check, func() error {
		if *logFile != "" {
			return printLogStats(*logFile, *pointsFile, *step)
		}
		for _, name := range s.Args() {
			if err := replayTrace(name, outcomes); err != nil {
				return err
			}
		}
		return nil
	})
}

// printLogStats prints the statistics of a log file. If pointsName is not empty, it
// also writes them as data points to that file.
func printLogStats(name, pointsName string, step time.Duration) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	s, err := readLog(file, step)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	s.print(os.Stdout)
	if pointsName == "" {
		return nil
	}
	out, err := os.Create(pointsName)
	if err != nil {
		return err
	}
	s.writePoints(out)
	return out.Close()
}

// replayTrace replays a trace file and checks the given outcomes after those that
// the trace states.
func replayTrace(name string, outcomes []bramleyfall.TraceEvent) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	r := trace.NewReplay()
	if err := trace.Read(file, r.Feed); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	fmt.Printf("Replay Trace=%s %s\n", name, &r.Summary)
	for _, o := range outcomes {
		if err := r.Feed(0, o); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
