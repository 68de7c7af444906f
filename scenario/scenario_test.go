package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScenarios runs the scenario files one after another with the programs built
// by "make build".
func TestScenarios(t *testing.T) {
	programs, err := filepath.Abs("../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(programs, "balancer")); err != nil {
		t.Fatalf("the programs are not built; run make build: %v", err)
	}
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			testscript.Run(t, Params(programs, []string{file}))
		})
	}
}
