package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramleyfall.example/review/stand/platform"
)

// Settings of the deployment, as in a small site.
const (
	slots     = 2
	heartbeat = 1200 * time.Millisecond
	stable    = 4 * time.Second
	// restartDelay is the delay after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	grace        = 6 * time.Second
)

// world is a deployment on loopback addresses.
type world struct {
	root, dir string
	net       byte
	ports     struct{ data, ready, control, outbound, app, inner, metrics, store int }
	store     *platform.Store
	started   time.Time
	record    *os.File
	machines  []*machine
	trouble   bool

	mu         sync.Mutex
	runs       map[string]int
	violations []string
	inRotation map[*machine]bool
	openings   map[flowKey]time.Time
}

// machine runs one process of the system, and on a side machine a server.
type machine struct {
	w                     *world
	name, class, zone, ip string
	service               string
	server                *server
	mu                    sync.Mutex
	process               *exec.Cmd
	ended                 chan struct{}
	misses                int
}

func (m *machine) netIP() net.IP { return net.ParseIP(m.ip).To4() }

func newWorld(root, recordPath string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.OpenFile(recordPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, net: byte(20 + rand.IntN(200)), store: platform.NewStore(), started: time.Now(), record: record, trouble: trouble,
		runs: map[string]int{}, openings: map[flowKey]time.Time{}, inRotation: map[*machine]bool{}}
	taken := map[int]bool{}
	for _, p := range []*int{&w.ports.data, &w.ports.ready, &w.ports.control, &w.ports.outbound, &w.ports.app, &w.ports.inner, &w.ports.metrics, &w.ports.store} {
		for used := true; used; {
			if *p, err = w.freePort(); err != nil {
				return nil, err
			}
			used = taken[*p]
		}
		taken[*p] = true
	}
	go w.probe()
	return w, nil
}

// freePort returns a port on which nothing listens.
func (w *world) freePort() (int, error) {
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (w *world) rec(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.rec("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, text)
}

// ran records that a server has begun to work on a request.
func (w *world) ran(id string, s *server) {
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	w.mu.Unlock()
	w.rec("request %s runs at server %s", id, s.id)
	if n > 1 {
		w.violation("request %s ran %d times", id, n)
	}
}

func (w *world) random() uint32 { return rand.Uint32() }

func (w *world) addMachine(class, zone, service string) (*machine, error) {
	n := 1
	for _, m := range w.machines {
		if m.class == class {
			n++
		}
	}
	third := map[string]int{"edge": 1, "side": 2}[class]
	m := &machine{w: w, name: fmt.Sprintf("%s-%s-%d", class, zone, n), class: class, zone: zone, service: service,
		ip: fmt.Sprintf("127.%d.%d.%d", w.net, third, n)}
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:%d", w.net, 10+third, n, w.ports.store))
	if err != nil {
		return nil, err
	}
	w.store.Serve(m.name, l)
	w.machines = append(w.machines, m)
	return m, nil
}

// settings renders the project's template for the machine.
func (m *machine) settings() (string, error) {
	template := map[string]string{"edge": "deploy/balancer.conf", "side": "deploy/agent.conf"}[m.class]
	text, err := os.ReadFile(filepath.Join(m.w.root, template))
	if err != nil {
		return "", err
	}
	p := m.w.ports
	third := map[string]int{"edge": 1, "side": 2}[m.class]
	storeIP := strings.Replace(m.ip, fmt.Sprintf(".%d.%d.", m.w.net, third), fmt.Sprintf(".%d.%d.", m.w.net, 10+third), 1)
	values := platform.Settings{
		Name: m.name, Zone: m.zone, Service: m.service, IP: m.ip, Store: fmt.Sprintf("%s:%d", storeIP, p.store),
		Data: p.data, Ready: p.ready, Outbound: p.outbound, Control: p.control, App: p.app, Inner: p.inner, Metrics: p.metrics,
		Heartbeat: int(heartbeat.Milliseconds()),
	}
	return values.Render(string(text))
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start() error {
	settings, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.w.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	program := map[string]string{"edge": "target/balancer", "side": "target/agent"}[m.class]
	cmd := exec.Command(filepath.Join(m.w.root, program), "direct")
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.w.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.w.dir, "LANG=C", "BRAMLEYFALL_SETTINGS=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = cmd, ended
	m.mu.Unlock()
	m.w.rec("process of %s starts", m.name)
	go func() {
		_ = cmd.Wait()
		log.Close()
		m.w.rec("process of %s has ended: %s", m.name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.w.rec("process of %s gets %s", m.name, s)
	_ = m.process.Process.Signal(s)
}

// term stops the process as the platform does.
func (m *machine) term() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
}

// roll stops the process and starts it again.
func (m *machine) roll() error {
	m.term()
	time.Sleep(restartDelay)
	return m.start()
}

// probe checks the readiness of the edge nodes twice per second, as the routers do.
func (w *world) probe() {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(500 * time.Millisecond) {
		w.mu.Lock()
		machines := append([]*machine(nil), w.machines...)
		w.mu.Unlock()
		for _, m := range machines {
			if m.class == "edge" {
				go w.probeOne(client, m)
			}
		}
	}
}

func (w *world) probeOne(client *http.Client, m *machine) {
	r, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, w.ports.ready))
	ok := err == nil && r.StatusCode == 200
	if err == nil {
		r.Body.Close()
	}
	w.mu.Lock()
	before := w.inRotation[m]
	if ok {
		m.misses, w.inRotation[m] = 0, true
	} else if m.misses++; m.misses >= 2 {
		w.inRotation[m] = false
	}
	after := w.inRotation[m]
	w.mu.Unlock()
	if before != after {
		w.rec("routers: %s in rotation: %v", m.name, after)
	}
}

// sentAt returns when a client first sent the opening of a flow.
func (w *world) sentAt(key flowKey) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.openings[key]
}

func (w *world) noteOpening(key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openings[key] = time.Now()
}

// route sends a packet to the node that a steady hash of the flow selects.
func (w *world) route(key flowKey, zone string, data []byte, from *net.UDPConn) {
	if m := w.nodeFor(key, zone); m != nil {
		_, _ = from.WriteToUDP(data, &net.UDPAddr{IP: m.netIP(), Port: w.ports.data})
	}
}

func (w *world) nodeFor(key flowKey, zone string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	pick := func(all, anyZone bool) *machine {
		var best *machine
		var highest uint32
		for _, m := range w.machines {
			if m.class != "edge" || !all && !w.inRotation[m] || !anyZone && m.zone != zone {
				continue
			}
			h := checksum(&packet{src: key.client, dst: key.route, data: []byte(m.name)})
			h = h*2654435761 ^ h>>13
			if best == nil || h > highest {
				best, highest = m, h
			}
		}
		return best
	}
	count := func(inRotation bool) int {
		n := 0
		for _, m := range w.machines {
			if m.class == "edge" && m.zone == zone && (!inRotation || w.inRotation[m]) {
				n++
			}
		}
		return n
	}
	switch ready := count(true); {
	case ready == 0:
		if m := pick(false, true); m != nil {
			return m
		}
		return pick(true, false)
	case 2*ready < count(false):
		return pick(true, false)
	}
	return pick(false, false)
}

// waitReady waits until all edge nodes are in rotation.
func (w *world) waitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		w.mu.Lock()
		n, edges := 0, 0
		for _, m := range w.machines {
			if m.class == "edge" {
				edges++
				if w.inRotation[m] {
					n++
				}
			}
		}
		w.mu.Unlock()
		if n == edges {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the edge nodes are not ready")
}

// stop ends all processes that were started.
func (w *world) stop() {
	for _, m := range w.machines {
		m.mu.Lock()
		p, ended := m.process, m.ended
		m.mu.Unlock()
		if p != nil {
			_ = p.Process.Signal(syscall.SIGCONT)
			_ = p.Process.Kill()
			<-ended
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	w.record.Sync()
}

// configure writes a version of the operator's configuration.
func (w *world) configure(version int, coldPerS float64, routes ...platform.Route) {
	var services []string
	for _, m := range w.machines {
		if m.service != "" && !slices.Contains(services, m.service) {
			services = append(services, m.service)
		}
	}
	w.store.OperatorPut(platform.ConfigKey, platform.Configuration(version, coldPerS, services, routes))
	w.rec("the operator's version %d is acknowledged: %v", version, routes)
}

// routeAddr returns the address to which clients open flows of a route.
func routeAddr(r platform.Route) addr {
	return addr{[4]byte(net.ParseIP(r.Host).To4()), uint16(r.Port)}
}
