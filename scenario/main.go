// Program scenario runs end-to-end tests written in the testscript language. Each
// scenario starts balancers, agents and stand-ins for the fabric, the platform, the
// upstreams and the callers as separate processes on loopback addresses, and checks
// the results that callers and upstreams record.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"bramleyfall.example/bramleyfall/settings"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	s := settings.New("scenario", "runs scenario files: scenario [flags] file ...")
	programs := s.String("programs", "bin", "directory of the built programs")
	verbose := s.Bool("verbose", false, "print each command with its output")
	keep := s.Bool("keep", false, "keep the working directories with logs and ledgers")
	check := func() {
		if s.NArg() == 0 {
			s.AddError("programs", "name at least one scenario file")
		}
	}
	return settings.Run(s, args, check, func() error {
		binDir, err := filepath.Abs(*programs)
		if err != nil {
			return err
		}
		t := &reporter{verbose: *verbose}
		t.Run("scenarios", func(t testscript.T) {
			params := Params(binDir, s.Args())
			params.TestWork = *keep
			testscript.RunT(t, params)
		})
		if t.failed {
			return errors.New("a scenario failed")
		}
		return nil
	})
}

// reporter implements testscript.T and prints to standard output and standard error.
type reporter struct {
	verbose bool
	failed  bool
}

var errStop = errors.New("stop")

// Skip implements testscript.T.
func (r *reporter) Skip(args ...any) {
	fmt.Println(append([]any{"skipped:"}, args...)...)
	panic(errStop)
}

// Fatal implements testscript.T.
func (r *reporter) Fatal(args ...any) {
	r.failed = true
	fmt.Fprintln(os.Stderr, args...)
	panic(errStop)
}

// Parallel implements testscript.T. Scenarios run one after another.
func (r *reporter) Parallel() {}

// Log implements testscript.T.
func (r *reporter) Log(args ...any) {
	if !r.verbose || r.failed {
		fmt.Fprintln(os.Stderr, args...)
	}
}

// FailNow implements testscript.T.
func (r *reporter) FailNow() {
	r.failed = true
	panic(errStop)
}

// Run implements testscript.T.
func (r *reporter) Run(_ string, f func(testscript.T)) {
	defer func() {
		err := recover()
		if e, ok := err.(error); err != nil && (!ok || !errors.Is(e, errStop)) {
			var stack [4096]byte
			n := runtime.Stack(stack[:], false)
			panic(fmt.Sprintf("%v\n%s", err, strings.TrimSpace(string(stack[:n]))))
		}
	}()
	f(r)
}

// Verbose implements testscript.T.
func (r *reporter) Verbose() bool { return false }
