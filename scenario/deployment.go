package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	fleetKeys = "1:scenario-fleet-key-0001"
	// startTimeout limits the time until all instances of a deployment have joined.
	startTimeout = 15 * time.Second
	// stopTimeout limits the time that a process takes to exit after a signal.
	stopTimeout = 30 * time.Second
)

// deployment is a set of processes on loopback addresses that no other deployment
// uses. Its maps have the names of processes as keys, marks those of the mark command.
type deployment struct {
	binDir   string
	workDir  string
	started  time.Time
	topology topology
	specs    map[string]processSpec
	running  map[string]*process
	baseURLs map[string]string
	marks    map[string]float64
}

// processSpec is the program and the arguments that start a process.
type processSpec struct {
	program string
	args    []string
}

type process struct {
	command *exec.Cmd
	done    chan struct{}
	log     string
}

func newDeployment(binDir, workDir string) *deployment {
	return &deployment{
		binDir: binDir, workDir: workDir, started: time.Now(),
		specs: make(map[string]processSpec), running: make(map[string]*process),
		baseURLs: make(map[string]string), marks: make(map[string]float64),
	}
}

// start starts a process by name.
func (d *deployment) start(name string) error {
	s, ok := d.specs[name]
	if !ok {
		return fmt.Errorf("unknown process %s", name)
	}
	if d.running[name] != nil {
		return fmt.Errorf("%s is already running", name)
	}
	log := filepath.Join(d.workDir, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(d.binDir, s.program), s.args...)
	command.Stdout, command.Stderr = out, out
	command.Env = append(os.Environ(), "BRAMLEYFALL_FLEET_KEYS="+fleetKeys)
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, done: make(chan struct{}), log: log}
	d.running[name] = p
	go p.loopWait(out)
	return nil
}

func (p *process) loopWait(out *os.File) {
	_ = p.command.Wait()
	_ = out.Close()
	close(p.done)
}

// signal sends a signal to a process and, if wait is set, waits until it has exited.
func (d *deployment) signal(name string, signal syscall.Signal, wait bool) error {
	p := d.running[name]
	if p == nil {
		return fmt.Errorf("%s is not running", name)
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return err
	}
	if !wait {
		return nil
	}
	delete(d.running, name)
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		return fmt.Errorf("%s did not stop within %s", name, stopTimeout)
	}
}

// stopAll kills all running processes.
func (d *deployment) stopAll() {
	for _, p := range d.running {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range d.running {
		<-p.done
	}
}

// call starts a stand-in for callers, with flags given as name=value.
func (d *deployment) call(kind, name string, settings []string) error {
	n := len(d.callerNames()) + 1
	args := []string{
		kind, "--name", name, "--listen", fmt.Sprintf("%s.%d:5000", d.topology.networkPrefix(), 100+n),
		"--fabric", d.topology.fabricCallerAddress(), "--answered", filepath.Join(d.workDir, name+".answered"),
	}
	for _, s := range settings {
		key, value, _ := strings.Cut(s, "=")
		args = append(args, "--"+key, d.topology.expandAddresses(value))
	}
	d.specs[name] = processSpec{program: "standin", args: args}
	return d.start(name)
}

func (d *deployment) callerNames() []string {
	var names []string
	for name, s := range d.specs {
		if s.program == "standin" && strings.HasSuffix(s.args[0], "caller") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (d *deployment) stopCaller(name string) error {
	if d.running[name] == nil {
		return nil
	}
	return d.signal(name, syscall.SIGTERM, true)
}

// callerCounter returns the last value of a counter in the log of a stand-in for
// callers, or 0 if there is none.
func (d *deployment) callerCounter(name, counter string) int {
	data, err := os.ReadFile(filepath.Join(d.workDir, name+".log"))
	if err != nil {
		return 0
	}
	value := 0
	for _, line := range strings.Split(string(data), "\n") {
		if _, rest, ok := strings.Cut(line, " "+counter+"="); ok {
			text, _, _ := strings.Cut(rest, " ")
			value, _ = strconv.Atoi(text)
		}
	}
	return value
}

// counter returns a counter of a process: from the log of stand-ins for callers, and
// from the metrics of other processes. The counter "ready" is the readiness, 0 or 1.
// A counter "key+counter" is the growth since the command "mark key".
func (d *deployment) counter(name, counter string) (float64, error) {
	baseline := 0.0
	if key, rest, ok := strings.Cut(counter, "+"); ok {
		baseline, counter = d.marks[key], rest
	}
	if slices.Contains(d.callerNames(), name) {
		return float64(d.callerCounter(name, counter)) - baseline, nil
	}
	address, ok := d.baseURLs[name]
	if !ok {
		return 0, fmt.Errorf("%s has no counters", name)
	}
	if counter == "ready" {
		return readiness(address), nil
	}
	body, err := get(address + "/metrics")
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(body, "\n") {
		if text, ok := strings.CutPrefix(line, counter+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			return value - baseline, err
		}
	}
	return 0, fmt.Errorf("%s has no counter %s", name, counter)
}

func readiness(address string) float64 {
	if _, err := get(address + "/ready"); err != nil {
		return 0
	}
	return 1
}

func get(url string) (string, error) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, body)
	}
	return string(body), err
}

func (d *deployment) post(name, path string) error {
	response, err := http.Post(d.baseURLs[name]+"/standin/"+d.topology.expandAddresses(path), "text/plain", nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, response.Status)
	}
	return nil
}

// sumUpstreamCounts returns the sum of a count over all running stand-ins for
// upstreams.
func (d *deployment) sumUpstreamCounts(counter string) int {
	sum := 0
	for name, address := range d.baseURLs {
		if !strings.HasPrefix(name, "server-") || d.running[name] == nil {
			continue
		}
		body, err := get(address + "/standin/counts")
		if err != nil {
			continue
		}
		counts := make(map[string]int)
		if json.Unmarshal([]byte(body), &counts) == nil {
			sum += counts[counter]
		}
	}
	return sum
}

// operator runs the operators' tool, bramley, against the balancer named by the
// first argument.
func (d *deployment) operator(args []string) (string, error) {
	if len(args) < 2 {
		return "", fmt.Errorf("usage: operator balancer [flags] statement")
	}
	address, ok := d.topology.controlAddresses[args[0]]
	if !ok {
		return "", fmt.Errorf("unknown balancer %s", args[0])
	}
	flags := []string{"--balancers", address, "--actor", "scenario"}
	for _, a := range args[1:] {
		flags = append(flags, d.topology.expandAddresses(a))
	}
	command := exec.Command(filepath.Join(d.binDir, "bramley"), flags...)
	command.Env = append(os.Environ(), "BRAMLEYFALL_FLEET_KEYS="+fleetKeys)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	err := command.Run()
	return out.String(), err
}

// logTails returns the last lines of all logs, to be printed when a scenario fails.
func (d *deployment) logTails() string {
	const maxLines = 4
	files, _ := filepath.Glob(filepath.Join(d.workDir, "*.log"))
	var b strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		fmt.Fprintf(&b, "-- %s --\n%s\n", filepath.Base(file), strings.Join(lines[max(0, len(lines)-maxLines):], "\n"))
	}
	return b.String()
}
