package direct_test

import (
	"context"
	"errors"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/direct"
	"bramleyfall.example/bramleyfall/settings"
	"bramleyfall.example/bramleyfall/telemetry"
)

// runnerFunc adapts a function to a Runner.
type runnerFunc func(ctx context.Context)

func (f runnerFunc) Run(ctx context.Context) { f(ctx) }

// named is what a program for tests is set to.
type named struct{ name string }

func TestProgram(t *testing.T) {
	tests := []struct {
		name   string
		args   []string
		starts error
		exit   int
		ran    bool
	}{
		{"until a signal", []string{"--name", "agent-1"}, nil, settings.ExitOK, true},
		{"with a setting that is missing", nil, nil, settings.ExitUsage, false},
		{"without an address", []string{"--name", "agent-1"}, errors.New("address in use"), settings.ExitFailure, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ran, checked := false, 0
			p := direct.Program[named]{
				Settings: func(c *named) (*settings.Set, func()) {
					s := settings.New("test", "is a program for tests")
					name := s.String("name", "", "name of the instance")
					return s, func() {
						checked++
						s.Required("name", *name)
						c.name = *name
					}
				},
				ID: func(c named) bramleyfall.InstanceID { return bramleyfall.InstanceID(c.name) },
				NewRunner: func(named, *telemetry.Telemetry) (direct.Runner, error) {
					return runnerFunc(func(ctx context.Context) {
						ran = true
						is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
						<-ctx.Done()
					}), test.starts
				},
			}
			is.Equal(p.Main(test.args), test.exit)
			is.Equal(ran, test.ran)
			is.Equal(checked, 1)
		})
	}
}
