package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine.
const (
	portControl   = 8166
	portReadiness = 8167
	portStore     = 8169
	portOutbound  = 8171
	portData      = 8172
	portApp       = 8360
	portInternal  = 7720
	portMetrics   = 9102
)

// defaultZone is the zone of the balancers and the clients.
const defaultZone = "a"

// restartDelay is the time after which a process that has ended is started again.
const restartDelay = 400 * time.Millisecond

// defaultHeartbeat is the heartbeat interval of ksif-lb.
const defaultHeartbeat = 1200 * time.Millisecond

// Deployment is a small deployment: processes of the project, and the platform.
type Deployment struct {
	Store  *Store
	Router *Router
	Record *Record

	root, folder string
	network      [2]byte
	next         byte
	marker       net.Listener
	version      int
	// ColdFor, ColdRate and Slots are those of the services' servers.
	ColdFor  time.Duration
	ColdRate float64
	Slots    int
	// Heartbeat is the interval between the heartbeats of a server.
	Heartbeat time.Duration
	coldNow   time.Duration
	mu        sync.Mutex
	nodes     []*Node
}

// NewDeployment finds free loopback addresses and starts the platform.
func NewDeployment(root, folder string, record *Record) (*Deployment, error) {
	d := &Deployment{Router: &Router{}, Record: record, root: root, folder: folder, Slots: 5, Heartbeat: defaultHeartbeat}
	for n := 0; n < 100; n++ {
		d.network = [2]byte{byte(64 + (os.Getpid()+n)%128), byte((os.Getpid() / 128) % 250)}
		// The first address marks the network as taken.
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", d.ip(1), portStore))
		if err == nil && Free(d.ip(2)) {
			d.Store, d.next, d.marker = NewStore(), 2, l
			return d, nil
		}
	}
	return nil, errors.New("no free loopback address")
}

func (d *Deployment) ip(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network[0], d.network[1], n})
}

func (d *Deployment) newIP() netip.Addr {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	return d.ip(d.next)
}

// Route returns the address of a route. It stands in packets only.
func (d *Deployment) Route(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.network[0], 255, n}), 443)
}

// RouteConfig is a route as the operator writes it.
type RouteConfig struct {
	Route         netip.AddrPort
	Service, Type string
}

// Configure writes a configuration, as the operator does.
func (d *Deployment) Configure(idle time.Duration, services []string, routes ...RouteConfig) {
	d.version += 3
	body := map[string]any{
		"version": d.version,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idle.Milliseconds()},
	}
	var rows, names []any
	for n, r := range routes {
		rows = append(rows, map[string]any{
			"name": fmt.Sprintf("r-%d", n), "host": r.Route.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.Route.Port()), "type": r.Type,
			"timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "service": r.Service, "attempts": 2,
		})
	}
	for _, s := range services {
		names = append(names, map[string]any{"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false, "cold_s": d.ColdFor.Seconds(), "cold_per_s": d.ColdRate})
	}
	body["routes"], body["services"] = rows, names
	value, _ := json.Marshal(body)
	d.Store.PutByOperator("op/config", value)
	d.Record.Printf("operator writes version %d with %d routes", d.version, len(routes))
}

// Node is a process of the project on a machine of its own.
type Node struct {
	Name, Role, Zone string
	// Ahead is how far the machine's time of day is ahead, as its server sees it.
	Ahead time.Duration
	IP    netip.Addr
	// Store is the address at which the store serves the machine.
	Store *Front

	d        *Deployment
	settings string
	mu       sync.Mutex
	process  *os.Process
	removed  bool
	exited   chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// start renders the settings of a node and starts it with the command of the deploy
// file.
func (d *Deployment) start(role, name, service, zone string) (*Node, error) {
	n := &Node{Name: name, Role: role, Zone: zone, IP: d.newIP(), d: d}
	at := func(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }
	front, err := d.Store.NewFront(at(portStore))
	if err != nil {
		return nil, err
	}
	n.Store = front
	values := map[string]string{
		"node_name": name, "zone": zone, "service": service, "ip": n.IP.String(), "heartbeat_ms": fmt.Sprint(d.Heartbeat.Milliseconds()),
		"listen_addrs.data_addr": at(portData), "listen_addrs.outbound": at(portOutbound), "listen_addrs.control": at(portControl),
		"listen_addrs.readiness": at(portReadiness), "app": at(portApp), "internal_ports.0": fmt.Sprint(portInternal),
		"platform.address": front.Address,
	}
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", role+".conf"))
	if err != nil {
		return nil, err
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(m string) string { return values[m[2:len(m)-2]] })
	n.settings = filepath.Join(d.folder, name+".conf")
	if err := os.WriteFile(n.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	if err := n.spawn(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.nodes = append(d.nodes, n)
	d.mu.Unlock()
	return n, nil
}

// command returns the words of the role's "run" in the deploy file.
func (d *Deployment) command(role string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	section := false
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "[") {
			section = line == "[roles."+role+"]"
		}
		if run, ok := strings.CutPrefix(line, "run = "); ok && section {
			return strings.Fields(strings.Trim(run, `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no role %s", role)
}

func (n *Node) spawn() error {
	words, err := n.d.command(n.Role)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.d.folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(filepath.Join(n.d.root, words[0]), words[1:]...)
	c.Dir, c.Stdout, c.Stderr = n.d.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BRAMLEYFALL_SETTINGS=" + n.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.process, n.exited = c.Process, make(chan struct{})
	exited := n.exited
	n.mu.Unlock()
	n.d.Record.Printf("process of %s starts", n.Name)
	go n.wait(c, exited)
	return nil
}

// wait starts the process again after it has ended.
func (n *Node) wait(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	n.d.Record.Printf("process of %s has ended: %v", n.Name, err)
	close(exited)
	time.Sleep(restartDelay)
	n.mu.Lock()
	removed := n.removed
	n.mu.Unlock()
	if removed {
		return
	}
	if err := n.spawn(); err != nil {
		n.d.Record.Printf("process of %s can't be started: %v", n.Name, err)
	}
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.d.Record.Printf("%v to the process of %s", s, n.Name)
	_ = n.process.Signal(s)
}

// Balancer starts a balancer and puts it into the routers' list.
func (d *Deployment) Balancer(name string) (*Node, error) {
	n, err := d.start("balancer", name, "", defaultZone)
	if err == nil {
		d.Router.Add(netip.AddrPortFrom(n.IP, portData), fmt.Sprintf("%s:%d", n.IP, portReadiness))
	}
	return n, err
}

// Agent starts an agent for a server of a service.
func (d *Deployment) Agent(name, service string) (*Node, error) {
	return d.AgentIn(name, service, defaultZone)
}

// AgentIn starts an agent for a server of a service in a zone.
func (d *Deployment) AgentIn(name, service, zone string) (*Node, error) {
	return d.start("agent", name, service, zone)
}

// Evacuate asks for a zone to be emptied, or takes it back, as the operator does.
func (d *Deployment) Evacuate(zone string, out bool) {
	d.Record.Printf("operator: evacuation of zone %s: %v", zone, out)
	key := "op/evacuate/" + zone
	if out {
		d.Store.PutByOperator(key, []byte("{}"))
		return
	}
	d.Store.DeleteByOperator(key)
}

// TrafficStarts makes servers that start from now on cold.
func (d *Deployment) TrafficStarts() { d.coldNow = d.ColdFor }

// Server starts a server beside an agent.
func (d *Deployment) Server(id, service string, beside *Node) (*Server, error) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", beside.IP, port) }
	return StartServer(ServerConfig{
		ID: id, Service: service, Zone: beside.Zone, App: at(portApp), Outbound: at(portOutbound), Control: at(portControl),
		Slots: d.Slots, Work: 20 * time.Millisecond, Heartbeat: d.Heartbeat, Cold: d.coldNow, Ahead: beside.Ahead,
	}, d.Record)
}

// Client opens a client machine.
func (d *Deployment) Client() (*Client, error) {
	return NewClient(d.newIP(), portData, d.Router, d.Record)
}

// Close ends all processes.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.nodes {
		n.mu.Lock()
		n.removed = true
		_ = n.process.Kill()
		exited := n.exited
		n.mu.Unlock()
		<-exited
	}
}

// Free reports whether the ports of a machine are free on an address.
func Free(ip netip.Addr) bool {
	for _, port := range []int{portControl, portReadiness, portApp, portInternal, portMetrics} {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
