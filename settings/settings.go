// Package settings reads the settings of a program from flags and environment
// variables and reports all faults at once.
package settings

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// ErrDone is returned by Parse when the program has nothing left to do, such
// as after --help.
var ErrDone = errors.New("done")

// minSecret is the least number of bytes of a fleet key.
const minSecret = 16

// Set is a flag set whose values are checked together.
type Set struct {
	*flag.FlagSet
	program string
	summary string
	version bool
	faults  []string
	out     io.Writer
	options []ff.Option
}

// New returns the set of a program. Each flag can be set as an environment
// variable with the prefix BRAMLEYFALL_.
func New(program, summary string) *Set {
	s := &Set{
		FlagSet: flag.NewFlagSet(program, flag.ContinueOnError),
		program: program, summary: summary, out: os.Stdout,
	}
	s.SetOutput(io.Discard)
	s.BoolVar(&s.version, "version", false, "print the version and exit")
	return s
}

// Parse reads args and the environment. It returns ErrDone after --help and
// --version.
func (s *Set) Parse(args []string) error {
	options := append([]ff.Option{ff.WithEnvVarPrefix("BRAMLEYFALL")}, s.options...)
	err := ff.Parse(s.FlagSet, args, options...)
	switch {
	case errors.Is(err, flag.ErrHelp):
		s.usage()
		return ErrDone
	case err != nil:
		return bramleyfall.Errorf(bramleyfall.BadSetting, "%v; see --help", err)
	case s.version:
		fmt.Fprintln(s.out, s.program, Version())
		return ErrDone
	}
	return nil
}

func (s *Set) usage() {
	fmt.Fprintf(s.out, "%s %s\n\nEvery flag can also be set by an environment variable: --packets is BRAMLEYFALL_PACKETS.\nExit codes: 0 stopped as asked, 1 failed while running, 2 bad settings.\n\n", s.program, s.summary)
	s.SetOutput(s.out)
	s.PrintDefaults()
}

// Version returns the version of the module that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}

// File adds the flag --settings: a file with a line "name value" for each other
// flag. Flags and environment variables go before it.
func (s *Set) File() {
	_ = s.String("settings", "", "file with a line \"name value\" for each of the other flags")
	s.options = append(s.options, ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ff.PlainParser))
}

// Fault notes that the value of a flag is wrong.
func (s *Set) Fault(name, format string, args ...any) {
	s.faults = append(s.faults, "--"+name+": "+fmt.Sprintf(format, args...))
}

// Err returns all faults as one error, or nil.
func (s *Set) Err() error {
	if len(s.faults) == 0 {
		return nil
	}
	return bramleyfall.Errorf(bramleyfall.BadSetting, "%s", strings.Join(s.faults, "; "))
}

// Endpoint returns the address in text.
func (s *Set) Endpoint(name, text string) bramleyfall.Endpoint {
	e, err := bramleyfall.ParseEndpoint(text)
	if err != nil {
		s.Fault(name, "%q is not an address such as 127.0.0.1:7000", text)
	}
	return e
}

// Endpoints returns the comma-separated addresses in text.
func (s *Set) Endpoints(name, text string) []bramleyfall.Endpoint {
	var out []bramleyfall.Endpoint
	for _, part := range split(text) {
		out = append(out, s.Endpoint(name, part))
	}
	return out
}

// Names returns the comma-separated names in text.
func (s *Set) Names(text string) []string { return split(text) }

func split(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// Required notes a fault if the value is empty.
func (s *Set) Required(name, value string) {
	if value == "" {
		s.Fault(name, "must be set")
	}
}

// Keys returns the fleet keys in text, such as "1:secret" or "2:new,1:old". The
// first one seals.
func (s *Set) Keys(name, text string) *peer.Keys {
	var keys []peer.Key
	for _, part := range split(text) {
		id, secret, ok := strings.Cut(part, ":")
		number, err := strconv.ParseUint(id, 10, 8)
		if !ok || err != nil {
			s.Fault(name, "a key is written as id:secret with an id from 0 to 255")
			continue
		}
		if len(secret) < minSecret {
			s.Fault(name, "the secret of key %d is shorter than %d characters", number, minSecret)
		}
		keys = append(keys, peer.Key{ID: uint8(number), Secret: []byte(secret)})
	}
	if len(keys) == 0 {
		s.Fault(name, "must be set")
	}
	return peer.NewKeys(keys...)
}

// Run parses, checks and runs a program and returns its exit code.
func Run(s *Set, args []string, check func(), run func() error) int {
	err := s.Parse(args)
	if errors.Is(err, ErrDone) {
		return ExitOK
	}
	if err == nil {
		check()
		err = s.Err()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, s.program+":", err)
		return ExitUsage
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, s.program+":", err)
		return ExitFailure
	}
	return ExitOK
}
