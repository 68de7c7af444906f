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

// testSettings holds the settings of the test program.
type testSettings struct{ name string }

func TestProgram(t *testing.T) {
	tests := []struct {
		name       string
		args       []string
		startError error
		exitCode   int
		ran        bool
	}{
		{"stopped by a signal", []string{"--name", "agent-1"}, nil, settings.ExitOK, true},
		{"missing setting", nil, nil, settings.ExitUsage, false},
		{"address in use", []string{"--name", "agent-1"}, errors.New("address in use"), settings.ExitFailure, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ran, checked := false, 0
			p := direct.Program[testSettings]{
				Settings: func(c *testSettings) (*settings.Set, func()) {
					s := settings.New("test", "is a program for tests")
					name := s.String("name", "", "name of the instance")
					return s, func() {
						checked++
						s.Required("name", *name)
						c.name = *name
					}
				},
				ID: func(c testSettings) bramleyfall.InstanceID { return bramleyfall.InstanceID(c.name) },
				NewRunner: func(testSettings, *telemetry.Telemetry) (direct.Runner, error) {
					return runnerFunc(func(ctx context.Context) {
						ran = true
						is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
						<-ctx.Done()
					}), test.startError
				},
			}
			is.Equal(p.Main(test.args), test.exitCode)
			is.Equal(ran, test.ran)
			is.Equal(checked, 1)
		})
	}
}
