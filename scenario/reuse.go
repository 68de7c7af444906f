package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
)

// reuse starts the agent and the upstream of another service at the addresses
// of an agent that is killed together with its upstream.
func (d *deployment) reuse(old, name, service string) error {
	for _, process := range []string{old, "server-" + old} {
		if err := d.signal(process, syscall.SIGKILL, true); err != nil {
			return err
		}
	}
	agent, server := d.specs[old], d.specs["server-"+old]
	agent.args = replaceFlag(agent.args, "--id", name)
	agent.args = replaceFlag(agent.args, "--services", service)
	server.args = replaceFlag(server.args, "--id", name)
	server.args = replaceFlag(server.args, "--service", service)
	server.args = replaceFlag(server.args, "--ledger", filepath.Join(d.folder, name+".ledger"))
	d.specs[name], d.specs["server-"+name] = agent, server
	d.http[name], d.http["server-"+name] = d.http[old], d.http["server-"+old]
	if err := d.start("server-" + name); err != nil {
		return err
	}
	return d.start(name)
}

// replaceFlag returns args with another value of a flag.
func replaceFlag(args []string, flag, value string) []string {
	args = slices.Clone(args)
	if i := slices.Index(args, flag); i >= 0 {
		args[i+1] = value
	}
	return args
}

// replay runs the replay program on all traces of the deployment. The balancers
// and agents must have been stopped, so that the traces are whole.
func (d *deployment) replay() error {
	traces, err := filepath.Glob(filepath.Join(d.folder, "*.trace"))
	if err != nil || len(traces) == 0 {
		return fmt.Errorf("no traces: %w", err)
	}
	output, err := exec.Command(filepath.Join(d.programs, "replay"), traces...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, output)
	}
	return nil
}
