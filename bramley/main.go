// Program bramley is the operator's command-line client. It sends queries and
// commands, given as arguments, in a file or in an interactive shell, to a balancer
// and prints the replies. The balancers execute them; see package operator.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/settings"
)

// Config holds the validated settings of the program.
type Config struct {
	Balancers []bramleyfall.Endpoint
	Keys      *peer.Keys
	Actor     string
	ChangeID  string
	Output    string
	Wait      time.Duration
	DryRun    bool
	Force     bool
	File      string
	Statement string
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	s := settings.New("bramley", "asks what holds and changes it: bramley [flags] statement, --file statements, or an interactive shell")
	balancers := s.String("balancers", "127.0.0.1:7000", "control addresses of balancers, tried in turn")
	keys := s.String("fleet-keys", "", "fleet keys as id:secret, the sealing one first, separated by commas")
	actor := s.String("actor", os.Getenv("USER"), "name of the operator, kept with each change")
	changeID := s.String("change-id", "", "id of the change, to ask for it again; made up if empty")
	output := s.String("output", "table", "form of answers: table or json")
	wait := s.Duration("wait", 6*time.Second, "time to wait for a change to be in force")
	dryRun := s.Bool("dry-run", false, "show what a command would change, and change nothing")
	force := s.Bool("force", false, "carry out a command that leaves a service without upstreams")
	file := s.String("file", "", "file of statements, one a line; - for standard input")
	var c Config
	check := func() {
		c = Config{
			Balancers: s.Endpoints("balancers", *balancers), Keys: s.Keys("fleet-keys", *keys),
			Actor: *actor, ChangeID: *changeID, Output: *output, Wait: *wait, DryRun: *dryRun, Force: *force,
			File: *file, Statement: strings.Join(s.Args(), " "),
		}
		if len(c.Balancers) == 0 {
			s.AddError("balancers", "must be set")
		}
		if c.Output != "table" && c.Output != "json" {
			s.AddError("output", "%q is neither table nor json", c.Output)
		}
		if c.Wait < 0 || c.Wait > time.Hour {
			s.AddError("wait", "must be from 0s to 1h")
		}
	}
	code := bramleyfall.OK
	exit := settings.Run(s, args, check, func() error {
		var err error
		code, err = runClient(newClient(c, os.Stdout, os.Stderr))
		return err
	})
	if exit != settings.ExitOK {
		return exit
	}
	return exitCode(code)
}

// Exit codes by the result of a statement, in addition to the exit codes of package
// settings.
const (
	exitNotInForce  = 3
	exitNotAccepted = 4
	exitUnknown     = 5
)

func exitCode(code bramleyfall.ResultCode) int {
	switch code {
	case bramleyfall.OK, bramleyfall.InForce:
		return settings.ExitOK
	case bramleyfall.Accepted:
		return exitNotInForce
	case bramleyfall.Unknown:
		return exitUnknown
	case bramleyfall.BadStatement:
		return settings.ExitUsage
	}
	return exitNotAccepted
}

// runClient executes the statement of the arguments, those of the file or, without
// either, those of the interactive shell.
func runClient(c *client) (bramleyfall.ResultCode, error) {
	switch {
	case c.config.Statement != "":
		return c.execute(c.config.Statement)
	case c.config.File == "-":
		return c.executeAll(os.Stdin)
	case c.config.File != "":
		file, err := os.Open(c.config.File)
		if err != nil {
			return bramleyfall.BadSetting, err
		}
		defer file.Close()
		return c.executeAll(file)
	}
	return c.runShell()
}

// executeAll executes statements, one a line, and stops at the first that fails.
// Empty lines and lines that begin with # are skipped.
func (c *client) executeAll(in io.Reader) (bramleyfall.ResultCode, error) {
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		code, err := c.execute(line)
		if err != nil || exitCode(code) != settings.ExitOK {
			fmt.Fprintf(c.errOut, "stopped at line %d: %s\n", number, line)
			return code, err
		}
	}
	return bramleyfall.OK, lines.Err()
}
