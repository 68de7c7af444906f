package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
)

// replaceInstance kills an agent and its upstream, and starts an agent and an
// upstream of another service at the same addresses.
func (d *deployment) replaceInstance(oldName, newName, service string) error {
	for _, process := range []string{oldName, "server-" + oldName} {
		if err := d.signal(process, syscall.SIGKILL, true); err != nil {
			return err
		}
	}
	agent, server := d.specs[oldName], d.specs["server-"+oldName]
	agent.args = replaceFlag(agent.args, "--id", newName)
	agent.args = replaceFlag(agent.args, "--services", service)
	server.args = replaceFlag(server.args, "--id", newName)
	server.args = replaceFlag(server.args, "--service", service)
	server.args = replaceFlag(server.args, "--ledger", filepath.Join(d.workDir, newName+".ledger"))
	d.specs[newName], d.specs["server-"+newName] = agent, server
	d.baseURLs[newName], d.baseURLs["server-"+newName] = d.baseURLs[oldName], d.baseURLs["server-"+oldName]
	if err := d.start("server-" + newName); err != nil {
		return err
	}
	return d.start(newName)
}

// replaceFlag returns a copy of args with the value of a flag replaced.
func replaceFlag(args []string, flag, value string) []string {
	args = slices.Clone(args)
	if i := slices.Index(args, flag); i >= 0 {
		args[i+1] = value
	}
	return args
}

// replay runs the replay program on all traces of the deployment. The balancers
// and agents must have exited, because the trace of a running process is incomplete.
func (d *deployment) replay() error {
	traces, err := filepath.Glob(filepath.Join(d.workDir, "*.trace"))
	if err != nil || len(traces) == 0 {
		return fmt.Errorf("no traces: %w", err)
	}
	output, err := exec.Command(filepath.Join(d.binDir, "replay"), traces...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, output)
	}
	return nil
}
