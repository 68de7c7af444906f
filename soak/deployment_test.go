package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/platform/platformtest"
)

const (
	service = "railbook"
	// heartbeatInterval is the interval of the servers' heartbeats. Three missed
	// heartbeats end a server's flows, so the interval is long compared with a
	// scheduling delay of the test process, which sends the heartbeats.
	heartbeatInterval = 400 * time.Millisecond
	// shutdownTimeout is the time within which an instance must exit after SIGTERM.
	shutdownTimeout = 5 * time.Second
	// readinessInterval is the interval at which the simulated fabric polls the
	// readiness of each balancer.
	readinessInterval = 100 * time.Millisecond
)

var zones = []string{"Ikeja", "Ibadan", "Ife"}

// Ports of each machine's address.
const (
	portData = 8000 + iota
	portTunnel
	portHTTP
	portMetrics
	portControl
	portOutbound
	portApp
	portStore
)

// deployment is a set of balancers and agents, run as processes. The store, the
// servers, the fabric and the callers are simulated in the test process.
type deployment struct {
	testing.TB
	network    byte
	logDir     string
	binDir     string
	store      *platformtest.Store
	addresses  int // allocated so far
	executions executionLog
	stop       chan struct{}

	mu           sync.Mutex
	balancers    []*machine
	agents       []*machine
	version      int
	versionSetAt time.Time
	// storeDisturbedUntil is the end of the last disturbance of the store or of a
	// connection to it. It is in the future while a disturbance lasts.
	storeDisturbedUntil time.Time
}

// machine is a loopback address with one instance, a balancer or an agent. An
// agent's machine also has the agent's server.
type machine struct {
	deployment *deployment
	ip         string
	zone       string
	role       string
	id         string
	proxy      *proxy

	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	stopping bool
	started  time.Time
	// disturbedUntil is the end of the machine's last disturbance. It is in the
	// future while a disturbance lasts.
	disturbedUntil time.Time
	server         *platformtest.Upstream
	starts         int
	log            string
	ready          bool
	lastVersion    bramleyfall.ConfigVersion
}

func newDeployment(t testing.TB, seed uint64, agents int) *deployment {
	binDir, err := filepath.Abs("../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(binDir, "balancer")); err != nil {
		t.Fatalf("the programs are not built; run make build: %v", err)
	}
	d := &deployment{
		TB: t, network: reserveNetwork(t, seed), binDir: binDir, store: platformtest.NewStore(t),
		stop: make(chan struct{}), logDir: os.Getenv("SOAK_LOGS"),
	}
	if d.logDir == "" {
		d.logDir = t.TempDir()
	}
	d.writeConfiguration()
	for n := range zones {
		d.balancers = append(d.balancers, d.newMachine("balancer", zones[n]))
	}
	for n := range agents {
		d.agents = append(d.agents, d.newMachine("agent", zones[n%len(zones)]))
	}
	for _, m := range d.machines() {
		m.start()
	}
	for _, m := range d.agents {
		m.startServer()
	}
	for _, m := range d.balancers {
		go m.loopReadiness()
	}
	t.Cleanup(d.stopAll)
	return d
}

// reserveNetwork returns the second byte of the deployment's addresses, 127.N.x.y.
// It locks the network against other soaks on this computer by a listening socket
// on an address at its upper end.
func reserveNetwork(t testing.TB, seed uint64) byte {
	const first, networks = 20, 200
	for n := range uint64(networks) {
		network := byte(first + (seed+n)%networks)
		lock, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", network, portData))
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			return network
		}
	}
	t.Fatal("all loopback networks are in use by other soaks")
	return 0
}

func (d *deployment) machines() []*machine {
	return append(append([]*machine(nil), d.balancers...), d.agents...)
}

func (d *deployment) newIP() string {
	d.addresses++
	return fmt.Sprintf("127.%d.%d.%d", d.network, d.addresses/250, 1+d.addresses%250)
}

func (d *deployment) newMachine(role, zone string) *machine {
	m := &machine{deployment: d, ip: d.newIP(), zone: zone, role: role}
	m.id = fmt.Sprintf("%s-%d", role, d.addresses)
	m.proxy = newProxy(d, m.address(portStore), d.store.Address)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// stopAll kills all instances.
func (d *deployment) stopAll() {
	close(d.stop)
	for _, m := range d.machines() {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
}

// start starts the machine's instance, with a log file for each start.
func (m *machine) start() {
	args := []string{
		"direct", "--id", m.id, "--domain", m.zone, "--packets", m.address(portData), "--http", m.address(portHTTP),
		"--metrics", m.address(portMetrics), "--store", m.address(portStore),
	}
	if m.role == "balancer" {
		args = append(args, "--tunnel", m.address(portTunnel))
	} else {
		args = append(args, "--service", service, "--outbound", m.address(portOutbound), "--upstream", m.address(portApp),
			"--control", m.address(portControl), "--heartbeat", heartbeatInterval.String())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	m.log = filepath.Join(m.deployment.logDir, fmt.Sprintf("%s.%d.log", m.id, m.starts))
	log, err := os.Create(m.log)
	if err != nil {
		m.deployment.Fatal(err)
	}
	process := exec.Command(filepath.Join(m.deployment.binDir, m.role), args...)
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		m.deployment.Fatal(err)
	}
	exited := make(chan struct{})
	m.process, m.exited, m.stopping, m.started, m.lastVersion = process, exited, false, time.Now(), 0
	go m.loopWait(process, exited, log)
}

// loopWait waits for the instance to exit. It reports a violation if the test did
// not stop the instance.
func (m *machine) loopWait(process *exec.Cmd, exited chan struct{}, log *os.File) {
	err := process.Wait()
	_ = log.Close()
	m.mu.Lock()
	stopping := m.stopping
	m.mu.Unlock()
	if !stopping {
		m.deployment.reportViolation("%s exited unexpectedly: %v", m.id, err)
	}
	close(exited)
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s)
}

func (m *machine) kill() {
	m.mu.Lock()
	m.stopping = true
	exited := m.exited
	_ = m.process.Process.Kill()
	m.mu.Unlock()
	<-exited
}

// terminate sends SIGTERM and checks that the instance exits with code 0 within
// shutdownTimeout.
func (m *machine) terminate() {
	m.mu.Lock()
	m.stopping = true
	exited, process := m.exited, m.process
	_ = process.Process.Signal(syscall.SIGTERM)
	m.mu.Unlock()
	select {
	case <-exited:
		if code := process.ProcessState.ExitCode(); code != 0 && m.hasLogged() {
			m.deployment.reportViolation("%s exited with code %d after SIGTERM", m.id, code)
		}
	case <-time.After(shutdownTimeout):
		m.deployment.reportViolation("%s was still running %s after SIGTERM", m.id, shutdownTimeout)
		m.kill()
	}
}

// hasLogged reports whether the instance has written to its log since its last
// start. An instance that gets SIGTERM before it has installed its signal handler
// is killed by the signal, with an empty log, and has done no work yet.
func (m *machine) hasLogged() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := os.ReadFile(m.log)
	return err == nil && len(text) > 0
}

// startServer starts a server beside the agent, with an id that was not used
// before.
func (m *machine) startServer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := fmt.Sprintf("i-%s-%d", m.id, time.Now().UnixNano())
	m.server = platformtest.NewUpstream(m.deployment, id, service, m.zone, m.address(portApp), m.address(portOutbound), m.address(portControl),
		platformtest.WithHeartbeatInterval(heartbeatInterval), platformtest.WithRequestHook(m.deployment.recordExecution(m)))
}

// markDisturbed marks the machine as disturbed for the given duration from now.
func (m *machine) markDisturbed(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(duration); until.After(m.disturbedUntil) {
		m.disturbedUntil = until
	}
}

// undisturbed reports whether the machine has not been disturbed for the given
// duration.
func (m *machine) undisturbed(duration time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbedUntil) >= duration
}

// loopReadiness polls the readiness endpoint of a balancer, as the fabric does.
func (m *machine) loopReadiness() {
	client := &http.Client{Timeout: 2 * readinessInterval}
	for m.deployment.sleep(readinessInterval) {
		ready := false
		if r, err := client.Get("http://" + m.address(portHTTP) + "/ready"); err == nil {
			ready = r.StatusCode == http.StatusOK
			_ = r.Body.Close()
		}
		m.mu.Lock()
		m.ready = ready
		m.mu.Unlock()
	}
}

func (m *machine) isReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// sleep waits for the given duration. It returns false if the soak ends first.
func (d *deployment) sleep(duration time.Duration) bool {
	select {
	case <-d.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// configVersion returns the version of the configuration that the instance has in
// force, or 0 if the instance does not answer within 1 s.
func (m *machine) configVersion() bramleyfall.ConfigVersion {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(portMetrics)+"/configuration", nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var s bramleyfall.Snapshot
	if json.NewDecoder(response.Body).Decode(&s) != nil {
		return 0
	}
	return s.Version
}

func (d *deployment) writeConfiguration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.versionSetAt = time.Now()
	d.store.Configure(d.version, service)
}

// storeUndisturbed reports whether the store and the connections to it have not
// been disturbed for the given duration.
func (d *deployment) storeUndisturbed(duration time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.storeDisturbedUntil) >= duration
}

func (d *deployment) markStoreDisturbed(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := time.Now().Add(duration); until.After(d.storeDisturbedUntil) {
		d.storeDisturbedUntil = until
	}
}

// reportViolation reports a broken guarantee as a test error, with the time of day.
// It does nothing once the soak has ended.
func (d *deployment) reportViolation(format string, args ...any) {
	select {
	case <-d.stop:
	default:
		d.Errorf("%s "+format, append([]any{time.Now().UTC().Format("15:04:05.000")}, args...)...)
	}
}

// panicLog returns the name of a log that shows a panic, or an empty string.
func (d *deployment) panicLog() string {
	logs, _ := filepath.Glob(filepath.Join(d.logDir, "*.log"))
	for _, name := range logs {
		if text, err := os.ReadFile(name); err == nil && strings.Contains(string(text), "panic:") {
			return name
		}
	}
	return ""
}
