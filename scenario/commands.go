package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Params returns the settings that run the files with the project's commands.
func Params(programs string, files []string) testscript.Params {
	return testscript.Params{
		Files: files,
		Setup: func(env *testscript.Env) error {
			d := newDeployment(programs, env.WorkDir)
			env.Values[deploymentKey{}] = d
			env.Defer(d.stopAll)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deploy":     command(deployCommand),
			"start":      command(startCommand),
			"terminate":  command(signalCommand(syscall.SIGTERM, true)),
			"handover":   command(signalCommand(syscall.SIGHUP, true)),
			"crash":      command(signalCommand(syscall.SIGKILL, true)),
			"freeze":     command(signalCommand(syscall.SIGSTOP, false)),
			"thaw":       command(signalCommand(syscall.SIGCONT, false)),
			"call":       command(callCommand("caller")),
			"call-http3": command(callCommand("http3-caller")),
			"operator":   operatorCommand,
			"expect":     command(expectCommand),
			"switch":     command(switchCommand),
			"verdict":    command(verdictCommand),
			"say":        command(sayCommand),
			"pause":      command(pauseCommand),
			"mark":       command(markCommand),
			"reuse":      command(reuseCommand),
			"replayed":   command(replayedCommand),
		},
	}
}

// deploymentKey is the key of the deployment among a script's values.
type deploymentKey struct{}

// command adapts a command that must not fail.
func command(run func(*deployment, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		if negated {
			ts.Fatalf("the command can't be negated")
		}
		d := ts.Value(deploymentKey{}).(*deployment)
		if err := run(d, args); err != nil {
			ts.Logf("%s", d.tails())
			ts.Fatalf("%v", err)
		}
	}
}

func deployCommand(d *deployment, args []string) error {
	if len(args) < 1 {
		return fmt.Errorf("usage: deploy name [setting=value ...]")
	}
	return d.deploy(args[0], args[1:])
}

// startCommand starts a process of the deployment again, or one that deploy
// left out.
func startCommand(d *deployment, args []string) error {
	for _, name := range args {
		if err := d.start(name); err != nil {
			return err
		}
	}
	return nil
}

func signalCommand(signal syscall.Signal, wait bool) func(*deployment, []string) error {
	return func(d *deployment, args []string) error {
		for _, name := range args {
			if err := d.signal(name, signal, wait); err != nil {
				return err
			}
		}
		return nil
	}
}

// callCommand starts callers: call name flag=value ...
func callCommand(kind string) func(*deployment, []string) error {
	return func(d *deployment, args []string) error {
		if len(args) < 1 {
			return fmt.Errorf("usage: call name [flag=value]")
		}
		return d.call(kind, args[0], args[1:])
	}
}

// operatorCommand sends a statement: operator balancer [-flag ...] statement.
// The answer is the command's standard output; negated, it must fail.
func operatorCommand(ts *testscript.TestScript, negated bool, args []string) {
	d := ts.Value(deploymentKey{}).(*deployment)
	output, err := d.operator(args)
	_, _ = fmt.Fprint(ts.Stdout(), output)
	if (err != nil) != negated {
		ts.Fatalf("%s: %v\n%s", strings.Join(args, " "), err, output)
	}
}

// expectCommand waits until a counter of a process compares to a value:
// expect name counter op value within 5s.
func expectCommand(d *deployment, args []string) error {
	if len(args) != 6 || args[4] != "within" {
		return fmt.Errorf("usage: expect name counter op value within duration")
	}
	bound, err := time.ParseDuration(args[5])
	if err != nil {
		return err
	}
	want, err := strconv.ParseFloat(args[3], 64)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(bound)
	for {
		got, err := d.counter(args[0], args[1])
		if err == nil && compare(got, args[2], want) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Join(err, fmt.Errorf("%s %s is %v, want %s %v within %s", args[0], args[1], got, args[2], want, bound))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func compare(a float64, operator string, b float64) bool {
	switch operator {
	case "=":
		return a == b
	case "<":
		return a < b
	case "<=":
		return a <= b
	case ">":
		return a > b
	case ">=":
		return a >= b
	}
	return false
}

// switchCommand switches a stand-in: switch name path-with-query.
func switchCommand(d *deployment, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: switch name path")
	}
	return d.post(args[0], args[1])
}

func sayCommand(d *deployment, args []string) error {
	fmt.Fprintf(os.Stdout, "%6.1fs %s\n", time.Since(d.started).Seconds(), strings.Join(args, " "))
	return nil
}

func pauseCommand(_ *deployment, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: pause duration")
	}
	duration, err := time.ParseDuration(args[0])
	time.Sleep(duration)
	return err
}

// markCommand keeps a counter, so that a later expect can name its growth:
// mark key name counter.
func markCommand(d *deployment, args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("usage: mark key name counter")
	}
	value, err := d.counter(args[1], args[2])
	d.marks[args[0]] = value
	return err
}

// reuseCommand ends an agent and its upstream without notice and starts others,
// of another service, at the same addresses: reuse old new service.
func reuseCommand(d *deployment, args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("usage: reuse old new service")
	}
	return d.reuse(args[0], args[1], args[2])
}

// replayedCommand replays all traces and checks that the decisions are the same.
func replayedCommand(d *deployment, _ []string) error { return d.replay() }

// verdictCommand stops the callers, compares what they saw with the ledgers and
// fails unless all is well: verdict [label] [Name=most ...].
func verdictCommand(d *deployment, args []string) error {
	v, err := d.verdict()
	if err != nil {
		return err
	}
	label := "Verdict"
	if len(args) > 0 && !strings.Contains(args[0], "=") {
		label = args[0]
		args = args[1:]
	}
	faults := v.faults(args)
	result := "pass"
	if len(faults) > 0 {
		result = "fail"
	}
	line := fmt.Sprintf("%s Result=%s %s", label, result, v)
	fmt.Fprintln(os.Stdout, label, "Details", v.details())
	fmt.Fprintln(os.Stdout, line)
	if len(faults) > 0 {
		return fmt.Errorf("%s %s: %s", line, v.details(), strings.Join(faults, "; "))
	}
	return nil
}

// readLines returns the lines of the files that match the pattern.
func readLines(pattern string) ([]string, error) {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for _, line := range strings.Split(string(data), "\n") {
			if line != "" {
				lines = append(lines, line)
			}
		}
	}
	return lines, nil
}
