// Command stand-3 plays a case of the review against the project's own programs.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"bramleyfall.example/bramleyfall/review/stand-3/platform"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*platform.Deployment, trouble) (bool, error){
	"agent-killed-cold": agentKilledCold,
	"clock-ahead":       clockAhead,
	"evacuation-missed": evacuationMissed,
}

// trouble is "0" if the disruption is left out, "clock" or "roll" for one half of it.
type trouble string

func (t trouble) none() bool { return t == "0" }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	broken, err := play(os.Args[1], os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(exitNotRun)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

func play(name, root, file string) (bool, error) {
	run := cases[name]
	if run == nil {
		return false, fmt.Errorf("no case %q", name)
	}
	folder, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return false, err
	}
	record, err := platform.NewRecord(file)
	if err != nil {
		return false, err
	}
	d, err := platform.NewDeployment(root, folder, record)
	if err != nil {
		return false, err
	}
	defer d.Close()
	broken, err := run(d, trouble(os.Getenv("TROUBLE")))
	record.Printf("broken=%v error=%v", broken, err)
	return broken, err
}
