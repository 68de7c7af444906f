package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// domainLayout is a failure domain with its balancers and upstreams.
type domainLayout struct {
	name      string
	balancers int
	upstreams map[string]int
}

// layout gives each process of a deployment its addresses. Every deployment
// has a block of loopback addresses of its own: 127.BLOCK+domain.x.y.
type layout struct {
	block    int
	domains  []domainLayout
	services []string
	settings map[string]string
	controls map[string]string
	relays   []string
}

// deployments are the deployments that scenarios can start.
var deployments = map[string]layout{
	"Ogunleye": {
		block: 10,
		domains: []domainLayout{
			{name: "Ikeja", balancers: 1, upstreams: map[string]int{"railbook": 3, "drawhub": 1}},
			{name: "Ibadan", balancers: 1, upstreams: map[string]int{"railbook": 2, "drawhub": 1}},
			{name: "Ife", balancers: 1, upstreams: map[string]int{"railbook": 2, "drawhub": 1}},
		},
		services: []string{"railbook", "drawhub"},
		settings: map[string]string{"slots": "5", "delay": "3ms"},
	},
	"Federation": {
		block: 20,
		domains: []domainLayout{
			{name: "Kochi", balancers: 1, upstreams: map[string]int{"dispatch": 3, "ledger": 1}},
			{name: "Kozhikode", balancers: 1, upstreams: map[string]int{"dispatch": 2, "ledger": 1}},
			{name: "Kollam", balancers: 1, upstreams: map[string]int{"dispatch": 2, "ledger": 1}},
		},
		services: []string{"dispatch", "ledger"},
		settings: map[string]string{"slots": "2", "delay": "1ms"},
	},
	"Small": {
		block: 30,
		domains: []domainLayout{
			{name: "Ikeja", balancers: 1, upstreams: map[string]int{"railbook": 1}},
			{name: "Ibadan", balancers: 1, upstreams: map[string]int{"railbook": 1}},
			{name: "Ife", balancers: 1, upstreams: map[string]int{"railbook": 1}},
		},
		services: []string{"railbook"},
		settings: map[string]string{"slots": "5", "delay": "0ms"},
	},
}

func (l *layout) outside() string       { return fmt.Sprintf("127.%d.0", l.block) }
func (l *layout) fabricCallers() string { return l.outside() + ".3:6000" }
func (l *layout) fabricInside() string  { return l.outside() + ".3:6001" }
func (l *layout) platform() string      { return l.outside() + ".2:2379" }

// serviceIP returns the address of the n-th service.
func (l *layout) serviceIP(n int) string { return fmt.Sprintf("127.%d.9.%d", l.block, n+1) }

// expand replaces @service/port in a text by the service's address and @service
// by service@address of its first port.
func (l *layout) expand(text string) string {
	for i, s := range l.services {
		text = strings.ReplaceAll(text, "@"+s+"/", l.serviceIP(i)+":")
	}
	return text
}

// balancer is where a balancer listens.
type node struct {
	name, domain, ip string
}

func (l *layout) balancers() []node {
	var out []node
	for i, domain := range l.domains {
		for n := range domain.balancers {
			out = append(out, node{
				name:   fmt.Sprintf("balancer-%s-%d", strings.ToLower(domain.name), n+1),
				domain: domain.name, ip: fmt.Sprintf("127.%d.1.%d", l.block+i, n+1),
			})
		}
	}
	return out
}

// agents returns the agents of a service: its upstreams are numbered through
// all failure domains.
func (l *layout) agents(service string, index int) []node {
	var out []node
	for i, domain := range l.domains {
		for range domain.upstreams[service] {
			n := len(out) + 1
			out = append(out, node{
				name:   fmt.Sprintf("%s-%d", service, n),
				domain: domain.name, ip: fmt.Sprintf("127.%d.%d.%d", l.block+i, 10+index, n),
			})
		}
	}
	return out
}

// relayIP returns the advertised address of an instance, which the fabric's
// relay carries to it.
func relayIP(n node) string {
	parts := strings.Split(n.ip, ".")
	return fmt.Sprintf("127.%s.%s.%s", parts[1], "1"+leftPad(parts[2]), parts[3])
}

func leftPad(text string) string {
	if len(text) == 1 {
		return "0" + text
	}
	return text
}

// deploy starts a deployment and waits until all balancers are ready. Settings
// are those of the layout, and skip=name,name for processes to leave out.
func (d *deployment) deploy(name string, settings []string) error {
	l, ok := deployments[name]
	if !ok {
		return fmt.Errorf("unknown deployment %s", name)
	}
	merged := map[string]string{"warm-up": "2s", "cold": "0s", "work": "20ms", "silent-after": "15s", "loss": "0", "jitter": "0s", "relay-loss": "0", "trace": "", "hints": "65536"}
	for k, v := range l.settings {
		merged[k] = v
	}
	for _, s := range settings {
		key, value, _ := strings.Cut(s, "=")
		merged[key] = value
	}
	l.settings = merged
	l.controls = make(map[string]string)
	d.layout = l
	d.describe()
	return d.startAll(strings.Split(merged["skip"], ","))
}

// describe writes the specs of all processes.
func (d *deployment) describe() {
	l := &d.layout
	d.specs["platform"] = spec{program: "standin", args: []string{"platform", "--listen", l.platform()}}
	d.http["platform"] = "http://" + l.platform()
	for _, b := range l.balancers() {
		d.describeBalancer(b)
	}
	for i, service := range l.services {
		for _, a := range l.agents(service, i) {
			d.describeAgent(a, service)
		}
	}
	var targets []string
	for _, b := range l.balancers() {
		targets = append(targets, b.ip+":6081@"+b.ip+":7001")
	}
	d.specs["fabric"] = spec{program: "standin", args: []string{
		"fabric", "--callers", l.fabricCallers(), "--inside", l.fabricInside(), "--admin", l.outside() + ".3:6002",
		"--balancers", strings.Join(targets, ","), "--relays", strings.Join(l.relays, ","),
		"--delay", l.settings["delay"], "--jitter", l.settings["jitter"], "--loss", l.settings["loss"],
		"--relay-loss", l.settings["relay-loss"],
	}}
	d.http["fabric"] = "http://" + l.outside() + ".3:6002"
}

// relayed returns the flags by which an instance advertises its relays.
func (l *layout) relayed(n node) []string {
	for port, kind := range map[string]string{"6081": "packets", "7000": "control"} {
		l.relays = append(l.relays, fmt.Sprintf("%s:%s=%s:%s@%s/%s/%s", relayIP(n), port, n.ip, port, n.domain, n.name, kind))
	}
	return []string{"--advertise-packets", relayIP(n) + ":6081", "--advertise-control", relayIP(n) + ":7000"}
}

func (d *deployment) describeBalancer(b node) {
	l := &d.layout
	args := []string{
		"--id", b.name, "--domain", b.domain, "--packets", b.ip + ":6081", "--control", b.ip + ":7000",
		"--http", b.ip + ":7001", "--fabric", l.fabricInside(), "--platform", "http://" + l.platform(),
		"--hints", l.settings["hints"],
	}
	for _, other := range l.balancers() {
		if other.name != b.name {
			args = append(args, "--peers", relayIP(other)+":7000")
			break
		}
	}
	if l.settings["trace"] != "" {
		args = append(args, "--trace", filepath.Join(d.folder, b.name+".trace"))
	}
	d.specs[b.name] = spec{program: "balancer", args: append(args, l.relayed(b)...)}
	d.http[b.name] = "http://" + b.ip + ":7001"
	l.controls[b.name] = b.ip + ":7000"
}

func (d *deployment) describeAgent(a node, service string) {
	l := &d.layout
	var balancers []string
	for _, b := range l.balancers() {
		balancers = append(balancers, relayIP(b)+":7000")
	}
	args := []string{
		"--id", a.name, "--domain", a.domain, "--services", service,
		"--packets", a.ip + ":6081", "--control", a.ip + ":7000", "--http", a.ip + ":7001",
		"--fabric", l.fabricInside(), "--upstream-side", a.ip + ":6082", "--upstream", a.ip + ":9000",
		"--health", "http://" + a.ip + ":9001/health", "--balancers", strings.Join(balancers, ","),
		"--slots", l.settings["slots"], "--warm-up", l.settings["warm-up"], "--silent-after", l.settings["silent-after"],
	}
	if l.settings["trace"] != "" {
		args = append(args, "--trace", filepath.Join(d.folder, a.name+".trace"))
	}
	d.specs[a.name] = spec{program: "agent", args: append(args, l.relayed(a)...)}
	d.http[a.name] = "http://" + a.ip + ":7001"
	server := "server-" + a.name
	d.http[server] = "http://" + a.ip + ":9001"
	if l.settings["http3"] != "" {
		d.specs[server] = spec{program: "standin", args: []string{
			"http3-upstream", "--service", service, "--address", l.expand("@" + service + "/443"),
			"--listen", a.ip + ":9000", "--agent", a.ip + ":6082", "--health", a.ip + ":9001",
		}}
		return
	}
	d.specs[server] = spec{program: "standin", args: []string{
		"upstream", "--id", a.name, "--service", service, "--listen", a.ip + ":9000", "--agent", a.ip + ":6082",
		"--health", a.ip + ":9001", "--slots", l.settings["slots"], "--cold", l.settings["cold"], "--work", l.settings["work"],
		"--ledger", filepath.Join(d.folder, a.name+".ledger"),
	}}
}

// startAll starts the processes and waits for the balancers' control threads.
func (d *deployment) startAll(skip []string) error {
	order := []string{"platform", "fabric"}
	for _, b := range d.layout.balancers() {
		order = append(order, b.name)
	}
	for i, service := range d.layout.services {
		for _, a := range d.layout.agents(service, i) {
			order = append(order, "server-"+a.name, a.name)
		}
	}
	skipped := make(map[string]bool)
	for _, name := range skip {
		skipped[name] = true
		skipped["server-"+name] = true
	}
	instances := 0
	for _, name := range order {
		if skipped[name] {
			continue
		}
		if err := d.start(name); err != nil {
			return err
		}
		if p := d.specs[name].program; p == "balancer" || p == "agent" {
			instances++
		}
	}
	return d.waitJoined(instances)
}

// waitJoined waits until the balancers know all instances.
func (d *deployment) waitJoined(instances int) error {
	deadline := time.Now().Add(startTimeout)
	for {
		joined := true
		output := ""
		for _, b := range d.layout.balancers() {
			if d.running[b.name] == nil {
				continue
			}
			output, _ = d.operator([]string{b.name, "show", "instances"})
			joined = joined && strings.Count(output, " Serving ") >= instances
		}
		if joined {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not all %d instances are known after %s:\n%s", instances, startTimeout, output)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
