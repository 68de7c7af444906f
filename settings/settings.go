// Package settings reads the settings of a program from flags, environment
// variables and an optional settings file, checks them and reports all errors at
// once. The main functions of the programs call it.
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

// ErrDone is returned by Parse if the program should exit successfully, because
// --help or --version was given.
var ErrDone = errors.New("done")

// minSecretLength is the minimum length in bytes of a fleet key's secret.
const minSecretLength = 16

// Set is a flag set that collects the errors of all flags.
type Set struct {
	*flag.FlagSet
	program     string
	summary     string
	showVersion bool
	errors      []string
	out         io.Writer
	options     []ff.Option
}

// New returns the flag set of a program. Each flag can also be set by an environment
// variable with the prefix BRAMLEYFALL_.
func New(program, summary string) *Set {
	s := &Set{
		FlagSet: flag.NewFlagSet(program, flag.ContinueOnError),
		program: program, summary: summary, out: os.Stdout,
	}
	s.SetOutput(io.Discard)
	s.BoolVar(&s.showVersion, "version", false, "print the version and exit")
	return s
}

// Parse parses args, the environment and the settings file. It returns ErrDone after
// printing the output of --help or --version.
func (s *Set) Parse(args []string) error {
	options := append([]ff.Option{ff.WithEnvVarPrefix("BRAMLEYFALL")}, s.options...)
	err := ff.Parse(s.FlagSet, args, options...)
	switch {
	case errors.Is(err, flag.ErrHelp):
		s.usage()
		return ErrDone
	case err != nil:
		return bramleyfall.Errorf(bramleyfall.BadSetting, "%v; see --help", err)
	case s.showVersion:
		fmt.Fprintln(s.out, s.program, Version())
		return ErrDone
	}
	return nil
}

func (s *Set) usage() {
	fmt.Fprintf(s.out, "%s %s\n\nEvery flag can also be set by an environment variable: --packets is BRAMLEYFALL_PACKETS.\nExit codes: 0 stopped normally, 1 failed while running, 2 invalid settings.\n\n", s.program, s.summary)
	s.SetOutput(s.out)
	s.PrintDefaults()
}

// Version returns the module version and the VCS revision of the program's build.
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

// AddSettingsFlag adds the flag --settings, which names a file with a line "name
// value" for each of the other flags. Flags and environment variables take
// precedence over the file.
func (s *Set) AddSettingsFlag() {
	_ = s.String("settings", "", "file with a line \"name value\" for each of the other flags")
	s.options = append(s.options, ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ff.PlainParser))
}

// AddError records that the value of the flag with the given name is invalid.
func (s *Set) AddError(name, format string, args ...any) {
	s.errors = append(s.errors, "--"+name+": "+fmt.Sprintf(format, args...))
}

// Err returns all recorded errors as one error with code BadSetting, or nil.
func (s *Set) Err() error {
	if len(s.errors) == 0 {
		return nil
	}
	return bramleyfall.Errorf(bramleyfall.BadSetting, "%s", strings.Join(s.errors, "; "))
}

// Endpoint parses the address in text, the value of the named flag. It records an
// error if text is not an address.
func (s *Set) Endpoint(name, text string) bramleyfall.Endpoint {
	e, err := bramleyfall.ParseEndpoint(text)
	if err != nil {
		s.AddError(name, "%q is not an address such as 127.0.0.1:7000", text)
	}
	return e
}

// Endpoints parses the comma-separated addresses in text, the value of the named
// flag.
func (s *Set) Endpoints(name, text string) []bramleyfall.Endpoint {
	var out []bramleyfall.Endpoint
	for _, part := range splitList(text) {
		out = append(out, s.Endpoint(name, part))
	}
	return out
}

// Names splits the comma-separated names in text.
func (s *Set) Names(text string) []string { return splitList(text) }

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// Required records an error if the value of the named flag is empty.
func (s *Set) Required(name, value string) {
	if value == "" {
		s.AddError(name, "must be set")
	}
}

// Keys parses the fleet keys in text, such as "1:secret" or "2:new,1:old". The first
// key seals outgoing messages; all keys are accepted for incoming ones.
func (s *Set) Keys(name, text string) *peer.Keys {
	var keys []peer.Key
	for _, part := range splitList(text) {
		id, secret, ok := strings.Cut(part, ":")
		number, err := strconv.ParseUint(id, 10, 8)
		if !ok || err != nil {
			s.AddError(name, "a key is written as id:secret with an id from 0 to 255")
			continue
		}
		if len(secret) < minSecretLength {
			s.AddError(name, "the secret of key %d is shorter than %d characters", number, minSecretLength)
		}
		keys = append(keys, peer.Key{ID: uint8(number), Secret: []byte(secret)})
	}
	if len(keys) == 0 {
		s.AddError(name, "must be set")
	}
	return peer.NewKeys(keys...)
}

// Run parses the settings of a program, validates them with check, calls run and
// returns the exit code of the program. Errors are printed to standard error.
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
