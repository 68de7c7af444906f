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

// Params returns the testscript parameters that run the given scenario files with
// the commands below. binDir is the directory of the built programs.
func Params(binDir string, files []string) testscript.Params {
	return testscript.Params{
		Files: files,
		Setup: func(env *testscript.Env) error {
			d := newDeployment(binDir, env.WorkDir)
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

// deploymentKey is the key of the deployment in testscript.Env.Values.
type deploymentKey struct{}

// command adapts a command that cannot be negated. If the command fails, the ends
// of all logs are printed.
func command(run func(*deployment, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		if negated {
			ts.Fatalf("this command cannot be negated")
		}
		d := ts.Value(deploymentKey{}).(*deployment)
		if err := run(d, args); err != nil {
			ts.Logf("%s", d.logTails())
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

// startCommand starts processes again after they have stopped, or for the first
// time if deploy skipped them: start name ...
func startCommand(d *deployment, args []string) error {
	for _, name := range args {
		if err := d.start(name); err != nil {
			return err
		}
	}
	return nil
}

// signalCommand returns a command that sends a signal to processes and, if wait is
// set, waits until each has exited: terminate name ...
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

// callCommand starts a stand-in for callers, with flags of the standin program:
// call name [flag=value ...]
func callCommand(kind string) func(*deployment, []string) error {
	return func(d *deployment, args []string) error {
		if len(args) < 1 {
			return fmt.Errorf("usage: call name [flag=value ...]")
		}
		return d.call(kind, args[0], args[1:])
	}
}

// operatorCommand sends an operator's statement to a balancer:
// operator balancer [-flag ...] statement. The reply is the command's standard
// output. A negated command must fail.
func operatorCommand(ts *testscript.TestScript, negated bool, args []string) {
	d := ts.Value(deploymentKey{}).(*deployment)
	output, err := d.operator(args)
	_, _ = fmt.Fprint(ts.Stdout(), output)
	if (err != nil) != negated {
		ts.Fatalf("%s: %v\n%s", strings.Join(args, " "), err, output)
	}
}

// expectCommand waits until the comparison of a process's counter with a value is
// true, and fails after the given duration: expect name counter op value within 5s.
// A counter "key+counter" is the growth since the command "mark key".
func expectCommand(d *deployment, args []string) error {
	if len(args) != 6 || args[4] != "within" {
		return fmt.Errorf("usage: expect name counter op value within duration")
	}
	timeout, err := time.ParseDuration(args[5])
	if err != nil {
		return err
	}
	want, err := strconv.ParseFloat(args[3], 64)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(timeout)
	for {
		got, err := d.counter(args[0], args[1])
		if err == nil && compare(got, args[2], want) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Join(err, fmt.Errorf("%s %s is %v, want %s %v within %s", args[0], args[1], got, args[2], want, timeout))
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

// switchCommand sets the simulated faults of a stand-in by an HTTP request:
// switch name path-with-query.
func switchCommand(d *deployment, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: switch name path-with-query")
	}
	return d.post(args[0], args[1])
}

// sayCommand prints its arguments with the time since the start: say text ...
func sayCommand(d *deployment, args []string) error {
	fmt.Fprintf(os.Stdout, "%6.1fs %s\n", time.Since(d.started).Seconds(), strings.Join(args, " "))
	return nil
}

// pauseCommand waits: pause duration.
func pauseCommand(_ *deployment, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: pause duration")
	}
	duration, err := time.ParseDuration(args[0])
	time.Sleep(duration)
	return err
}

// markCommand stores the value of a counter under a key, so that a later expect can
// check how much the counter has grown: mark key name counter.
func markCommand(d *deployment, args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("usage: mark key name counter")
	}
	value, err := d.counter(args[1], args[2])
	d.marks[args[0]] = value
	return err
}

// reuseCommand kills an agent and its upstream and starts an agent and an upstream
// of another service at the same addresses: reuse old new service.
func reuseCommand(d *deployment, args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("usage: reuse old new service")
	}
	return d.replaceInstance(args[0], args[1], args[2])
}

// replayedCommand replays all recorded traces and checks that the decisions are the
// same.
func replayedCommand(d *deployment, _ []string) error { return d.replay() }

// verdictCommand stops the callers, compares the orders that were answered with
// those that upstreams executed, and fails if a count exceeds its maximum, which is
// 0 if none is given: verdict [label] [Name=maximum ...].
func verdictCommand(d *deployment, args []string) error {
	report, err := d.collectReport()
	if err != nil {
		return err
	}
	label := "Verdict"
	if len(args) > 0 && !strings.Contains(args[0], "=") {
		label = args[0]
		args = args[1:]
	}
	violations := report.violations(args)
	result := "pass"
	if len(violations) > 0 {
		result = "fail"
	}
	line := fmt.Sprintf("%s Result=%s %s", label, result, report)
	fmt.Fprintln(os.Stdout, label, "Details", report.details())
	fmt.Fprintln(os.Stdout, line)
	if len(violations) > 0 {
		return fmt.Errorf("%s %s: %s", line, report.details(), strings.Join(violations, "; "))
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
