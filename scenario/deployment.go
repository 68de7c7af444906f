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
	// startTimeout bounds the start of a deployment.
	startTimeout = 15 * time.Second
	// stopTimeout bounds the stop of a process that is asked to.
	stopTimeout = 30 * time.Second
)

// deployment is a set of processes on loopback addresses of its own.
type deployment struct {
	programs string
	folder   string
	started  time.Time
	layout   layout
	specs    map[string]spec
	running  map[string]*process
	http     map[string]string
	marks    map[string]float64
}

// spec is how a process is started.
type spec struct {
	program string
	args    []string
}

type process struct {
	command *exec.Cmd
	done    chan struct{}
	log     string
}

func newDeployment(programs, folder string) *deployment {
	return &deployment{
		programs: programs, folder: folder, started: time.Now(),
		specs: make(map[string]spec), running: make(map[string]*process),
		http: make(map[string]string), marks: make(map[string]float64),
	}
}

// start starts a process by name.
func (d *deployment) start(name string) error {
	s, ok := d.specs[name]
	if !ok {
		return fmt.Errorf("unknown process %s", name)
	}
	if d.running[name] != nil {
		return fmt.Errorf("%s runs already", name)
	}
	log := filepath.Join(d.folder, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(d.programs, s.program), s.args...)
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

// signal sends a signal and, if asked to, waits for the end of the process.
func (d *deployment) signal(name string, signal syscall.Signal, wait bool) error {
	p := d.running[name]
	if p == nil {
		return fmt.Errorf("%s does not run", name)
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

// stopAll ends all processes that were started.
func (d *deployment) stopAll() {
	for _, p := range d.running {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range d.running {
		<-p.done
	}
}

// call starts callers with flags given as name=value.
func (d *deployment) call(kind, name string, settings []string) error {
	n := len(d.callerNames()) + 1
	args := []string{
		kind, "--name", name, "--listen", fmt.Sprintf("%s.%d:5000", d.layout.outside(), 100+n),
		"--fabric", d.layout.fabricCallers(), "--answered", filepath.Join(d.folder, name+".answered"),
	}
	for _, s := range settings {
		key, value, _ := strings.Cut(s, "=")
		args = append(args, "--"+key, d.layout.expand(value))
	}
	d.specs[name] = spec{program: "standin", args: args}
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

// callerCount returns a count of the last line that callers printed.
func (d *deployment) callerCount(name, counter string) int {
	data, err := os.ReadFile(filepath.Join(d.folder, name+".log"))
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

// counter returns a counter of a process: of callers by name, of others from
// their metrics. A name of upstreams sums over the stand-ins of a service.
func (d *deployment) counter(name, counter string) (float64, error) {
	mark := 0.0
	if key, rest, ok := strings.Cut(counter, "+"); ok {
		mark, counter = d.marks[key], rest
	}
	if slices.Contains(d.callerNames(), name) {
		return float64(d.callerCount(name, counter)) - mark, nil
	}
	address, ok := d.http[name]
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
			return value - mark, err
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
	response, err := http.Post(d.http[name]+"/standin/"+d.layout.expand(path), "text/plain", nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, response.Status)
	}
	return nil
}

// upstreamCounts sums a count over all stand-in upstreams that run.
func (d *deployment) upstreamCounts(counter string) int {
	sum := 0
	for name, address := range d.http {
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

// operator runs the operators' tool against the balancer that args names.
func (d *deployment) operator(args []string) (string, error) {
	if len(args) < 2 {
		return "", fmt.Errorf("usage: operator balancer [flags] statement")
	}
	address, ok := d.layout.controls[args[0]]
	if !ok {
		return "", fmt.Errorf("unknown balancer %s", args[0])
	}
	all := []string{"--balancers", address, "--actor", "scenario"}
	for _, a := range args[1:] {
		all = append(all, d.layout.expand(a))
	}
	command := exec.Command(filepath.Join(d.programs, "bramley"), all...)
	command.Env = append(os.Environ(), "BRAMLEYFALL_FLEET_KEYS="+fleetKeys)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	err := command.Run()
	return out.String(), err
}

// tails returns the last lines of the logs, for a failed scenario.
func (d *deployment) tails() string {
	const last = 4
	files, _ := filepath.Glob(filepath.Join(d.folder, "*.log"))
	var b strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		fmt.Fprintf(&b, "-- %s --\n%s\n", filepath.Base(file), strings.Join(lines[max(0, len(lines)-last):], "\n"))
	}
	return b.String()
}
