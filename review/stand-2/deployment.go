package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"bramleyfall.example/review-2/platform"
)

// deployment is a small deployment: each machine has a loopback address of its own and
// all machines use the same ports.
type deployment struct {
	root, folder string
	network      int
	ports        platform.Ports
	record       *platform.Record
	store        *platform.Store
	edgeGate     *platform.Gate
	router       *platform.Router
	machines     int
	reserved     net.Listener

	mu        sync.Mutex
	processes []*process
}

// metricsPort is the port of the templates in the deploy folder.
const metricsPort = 9102

// newDeployment picks a free loopback network and free ports, and starts the store and
// the routers.
func newDeployment(root, folder string, record *platform.Record) (*deployment, error) {
	d := &deployment{root: root, folder: folder, record: record}
	for d.network = 40 + os.Getpid()%100; d.network < 250; d.network++ {
		// The listener reserves the network for this run.
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.2:%d", d.network, metricsPort))
		if err == nil {
			d.reserved = listener
			break
		}
	}
	ports := make([]int, 6)
	base := 20000 + os.Getpid()%1500*8
	for i := range ports {
		for !free(fmt.Sprintf("127.%d.0.2:%d", d.network, base)) {
			base++
		}
		ports[i] = base
		base++
	}
	d.ports = platform.Ports{Data: ports[0], Readiness: ports[1], Control: ports[2], Outbound: ports[3], App: ports[4], Internal: ports[5]}
	var err error
	d.store, err = platform.NewStore(fmt.Sprintf("127.%d.0.1:%d", d.network, ports[0]), record)
	if err != nil {
		return nil, err
	}
	d.edgeGate, err = d.store.NewGate(fmt.Sprintf("127.%d.0.3:%d", d.network, ports[0]))
	d.router = platform.NewRouter(record)
	return d, err
}

func free(address string) bool {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// machine returns the settings of a new machine.
func (d *deployment) machine(name, zone, service string) platform.Settings {
	d.machines++
	return platform.Settings{
		Node: name, Zone: zone, Service: service, IP: fmt.Sprintf("127.%d.1.%d", d.network, d.machines), Ports: d.ports,
		HeartbeatMS: 1200, StoreAddress: d.store.Address,
	}
}

// process is a program of the deploy file on a machine.
type process struct {
	deployment *deployment
	role       string
	settings   platform.Settings
	command    *exec.Cmd
	ended      chan struct{}
}

// start starts a role on a machine.
func (d *deployment) start(role string, s platform.Settings) (*process, error) {
	p := &process{deployment: d, role: role, settings: s}
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return p, p.launch()
}

func (p *process) launch() error {
	d := p.deployment
	text, err := p.settings.Render(filepath.Join(d.root, "deploy", p.role+".conf"))
	if err != nil {
		return err
	}
	path := filepath.Join(d.folder, p.settings.Node+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, p.settings.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(filepath.Join(d.root, "target", p.role), "direct")
	p.command.Dir = d.root
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "BRAMLEYFALL_SETTINGS=" + path}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	d.record.Add("platform: %s starts as process %s", p.settings.Node, strconv.Itoa(p.command.Process.Pid))
	p.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(p.command, p.ended)
	return nil
}

// grace is the time between SIGTERM and SIGKILL.
const grace = 6 * time.Second

// restart sends SIGTERM, waits for the end, and starts the process again after a delay.
func (p *process) restart(delay time.Duration) error {
	p.deployment.record.Add("platform: SIGTERM to %s", p.settings.Node)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(grace):
		_ = p.command.Process.Kill()
		<-p.ended
	}
	p.deployment.record.Add("platform: %s has ended", p.settings.Node)
	time.Sleep(delay)
	return p.launch()
}

// kill sends SIGKILL.
func (p *process) kill() {
	p.deployment.record.Add("platform: SIGKILL to %s", p.settings.Node)
	_ = p.command.Process.Kill()
	<-p.ended
}

// end ends all processes.
func (d *deployment) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		if p.command != nil && p.command.Process != nil && p.ended != nil {
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
}
