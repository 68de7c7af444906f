package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// domainSpec is a failure domain with its number of balancers and its number of
// upstreams of each service.
type domainSpec struct {
	name      string
	balancers int
	upstreams map[string]int
}

// topology describes the processes of a deployment and their addresses. Each
// deployment has its own block of loopback addresses: 127.BLOCK+domain.x.y.
type topology struct {
	block            int
	domains          []domainSpec
	services         []string
	settings         map[string]string
	controlAddresses map[string]string
	relays           []string
}

// deployments are the deployments that scenarios can start.
var deployments = map[string]topology{
	"Ogunleye": {
		block: 10,
		domains: []domainSpec{
			{name: "Ikeja", balancers: 1, upstreams: map[string]int{"railbook": 3, "drawhub": 1}},
			{name: "Ibadan", balancers: 1, upstreams: map[string]int{"railbook": 2, "drawhub": 1}},
			{name: "Ife", balancers: 1, upstreams: map[string]int{"railbook": 2, "drawhub": 1}},
		},
		services: []string{"railbook", "drawhub"},
		settings: map[string]string{"slots": "5", "delay": "3ms"},
	},
	"Federation": {
		block: 20,
		domains: []domainSpec{
			{name: "Kochi", balancers: 1, upstreams: map[string]int{"dispatch": 3, "ledger": 1}},
			{name: "Kozhikode", balancers: 1, upstreams: map[string]int{"dispatch": 2, "ledger": 1}},
			{name: "Kollam", balancers: 1, upstreams: map[string]int{"dispatch": 2, "ledger": 1}},
		},
		services: []string{"dispatch", "ledger"},
		settings: map[string]string{"slots": "2", "delay": "1ms"},
	},
	"Small": {
		block: 30,
		domains: []domainSpec{
			{name: "Ikeja", balancers: 1, upstreams: map[string]int{"railbook": 1}},
			{name: "Ibadan", balancers: 1, upstreams: map[string]int{"railbook": 1}},
			{name: "Ife", balancers: 1, upstreams: map[string]int{"railbook": 1}},
		},
		services: []string{"railbook"},
		settings: map[string]string{"slots": "5", "delay": "0ms"},
	},
}

func (t *topology) networkPrefix() string         { return fmt.Sprintf("127.%d.0", t.block) }
func (t *topology) fabricCallerAddress() string   { return t.networkPrefix() + ".3:6000" }
func (t *topology) fabricInstanceAddress() string { return t.networkPrefix() + ".3:6001" }
func (t *topology) platformAddress() string       { return t.networkPrefix() + ".2:2379" }

// serviceIP returns the address of the n-th service.
func (t *topology) serviceIP(n int) string { return fmt.Sprintf("127.%d.9.%d", t.block, n+1) }

// expandAddresses replaces each @service/port in a text by the address and port of
// the service.
func (t *topology) expandAddresses(text string) string {
	for i, s := range t.services {
		text = strings.ReplaceAll(text, "@"+s+"/", t.serviceIP(i)+":")
	}
	return text
}

// node is the name and the address of a balancer or an agent.
type node struct {
	name, domain, ip string
}

func (t *topology) balancers() []node {
	var nodes []node
	for i, domain := range t.domains {
		for n := range domain.balancers {
			nodes = append(nodes, node{
				name:   fmt.Sprintf("balancer-%s-%d", strings.ToLower(domain.name), n+1),
				domain: domain.name, ip: fmt.Sprintf("127.%d.1.%d", t.block+i, n+1),
			})
		}
	}
	return nodes
}

// agents returns the agents of a service, one for each upstream. They are numbered
// from 1 across all failure domains.
func (t *topology) agents(service string, serviceIndex int) []node {
	var nodes []node
	for i, domain := range t.domains {
		for range domain.upstreams[service] {
			n := len(nodes) + 1
			nodes = append(nodes, node{
				name:   fmt.Sprintf("%s-%d", service, n),
				domain: domain.name, ip: fmt.Sprintf("127.%d.%d.%d", t.block+i, 10+serviceIndex, n),
			})
		}
	}
	return nodes
}

// relayIP returns the IP address that an instance advertises. The stand-in for the
// fabric relays packets for this address to the instance.
func relayIP(n node) string {
	parts := strings.Split(n.ip, ".")
	return fmt.Sprintf("127.%s.%s.%s", parts[1], "1"+leftPad(parts[2]), parts[3])
}

// leftPad pads a one-digit number to two digits.
func leftPad(text string) string {
	if len(text) == 1 {
		return "0" + text
	}
	return text
}

// deploy starts a deployment and waits until all its instances have joined. The
// settings override those of the topology; skip=name,name excludes balancers, or
// agents together with their upstreams.
func (d *deployment) deploy(name string, settings []string) error {
	t, ok := deployments[name]
	if !ok {
		return fmt.Errorf("unknown deployment %s", name)
	}
	merged := map[string]string{"warm-up": "2s", "cold": "0s", "work": "20ms", "silent-after": "15s", "loss": "0", "jitter": "0s", "relay-loss": "0", "trace": "", "hints": "65536"}
	for k, v := range t.settings {
		merged[k] = v
	}
	for _, s := range settings {
		key, value, _ := strings.Cut(s, "=")
		merged[key] = value
	}
	t.settings = merged
	t.controlAddresses = make(map[string]string)
	d.topology = t
	d.buildSpecs()
	return d.startAll(strings.Split(merged["skip"], ","))
}

// buildSpecs adds the specs of all processes.
func (d *deployment) buildSpecs() {
	t := &d.topology
	d.specs["platform"] = processSpec{program: "standin", args: []string{"platform", "--listen", t.platformAddress()}}
	d.baseURLs["platform"] = "http://" + t.platformAddress()
	for _, b := range t.balancers() {
		d.addBalancerSpec(b)
	}
	for i, service := range t.services {
		for _, a := range t.agents(service, i) {
			d.addAgentSpec(a, service)
		}
	}
	var targets []string
	for _, b := range t.balancers() {
		targets = append(targets, b.ip+":6081@"+b.ip+":7001")
	}
	d.specs["fabric"] = processSpec{program: "standin", args: []string{
		"fabric", "--callers", t.fabricCallerAddress(), "--inside", t.fabricInstanceAddress(), "--admin", t.networkPrefix() + ".3:6002",
		"--balancers", strings.Join(targets, ","), "--relays", strings.Join(t.relays, ","),
		"--delay", t.settings["delay"], "--jitter", t.settings["jitter"], "--loss", t.settings["loss"],
		"--relay-loss", t.settings["relay-loss"],
	}}
	d.baseURLs["fabric"] = "http://" + t.networkPrefix() + ".3:6002"
}

// addRelays adds the relays of an instance and returns the flags by which the
// instance advertises their addresses.
func (t *topology) addRelays(n node) []string {
	for port, kind := range map[string]string{"6081": "packets", "7000": "control"} {
		t.relays = append(t.relays, fmt.Sprintf("%s:%s=%s:%s@%s/%s/%s", relayIP(n), port, n.ip, port, n.domain, n.name, kind))
	}
	return []string{"--advertise-packets", relayIP(n) + ":6081", "--advertise-control", relayIP(n) + ":7000"}
}

func (d *deployment) addBalancerSpec(b node) {
	t := &d.topology
	args := []string{
		"--id", b.name, "--domain", b.domain, "--packets", b.ip + ":6081", "--control", b.ip + ":7000",
		"--http", b.ip + ":7001", "--fabric", t.fabricInstanceAddress(), "--platform", "http://" + t.platformAddress(),
		"--hints", t.settings["hints"],
	}
	for _, other := range t.balancers() {
		if other.name != b.name {
			args = append(args, "--peers", relayIP(other)+":7000")
			break
		}
	}
	if t.settings["trace"] != "" {
		args = append(args, "--trace", filepath.Join(d.workDir, b.name+".trace"))
	}
	d.specs[b.name] = processSpec{program: "balancer", args: append(args, t.addRelays(b)...)}
	d.baseURLs[b.name] = "http://" + b.ip + ":7001"
	t.controlAddresses[b.name] = b.ip + ":7000"
}

func (d *deployment) addAgentSpec(a node, service string) {
	t := &d.topology
	var balancers []string
	for _, b := range t.balancers() {
		balancers = append(balancers, relayIP(b)+":7000")
	}
	args := []string{
		"--id", a.name, "--domain", a.domain, "--services", service,
		"--packets", a.ip + ":6081", "--control", a.ip + ":7000", "--http", a.ip + ":7001",
		"--fabric", t.fabricInstanceAddress(), "--upstream-side", a.ip + ":6082", "--upstream", a.ip + ":9000",
		"--health", "http://" + a.ip + ":9001/health", "--balancers", strings.Join(balancers, ","),
		"--slots", t.settings["slots"], "--warm-up", t.settings["warm-up"], "--silent-after", t.settings["silent-after"],
	}
	if t.settings["trace"] != "" {
		args = append(args, "--trace", filepath.Join(d.workDir, a.name+".trace"))
	}
	d.specs[a.name] = processSpec{program: "agent", args: append(args, t.addRelays(a)...)}
	d.baseURLs[a.name] = "http://" + a.ip + ":7001"
	server := "server-" + a.name
	d.baseURLs[server] = "http://" + a.ip + ":9001"
	if t.settings["http3"] != "" {
		d.specs[server] = processSpec{program: "standin", args: []string{
			"http3-upstream", "--service", service, "--address", t.expandAddresses("@" + service + "/443"),
			"--listen", a.ip + ":9000", "--agent", a.ip + ":6082", "--health", a.ip + ":9001",
		}}
		return
	}
	d.specs[server] = processSpec{program: "standin", args: []string{
		"upstream", "--id", a.name, "--service", service, "--listen", a.ip + ":9000", "--agent", a.ip + ":6082",
		"--health", a.ip + ":9001", "--slots", t.settings["slots"], "--cold", t.settings["cold"], "--work", t.settings["work"],
		"--ledger", filepath.Join(d.workDir, a.name+".ledger"),
	}}
}

// startAll starts all processes except those to skip, and waits until all instances
// have joined.
func (d *deployment) startAll(skip []string) error {
	names := []string{"platform", "fabric"}
	for _, b := range d.topology.balancers() {
		names = append(names, b.name)
	}
	for i, service := range d.topology.services {
		for _, a := range d.topology.agents(service, i) {
			names = append(names, "server-"+a.name, a.name)
		}
	}
	skipped := make(map[string]bool)
	for _, name := range skip {
		skipped[name] = true
		skipped["server-"+name] = true
	}
	instances := 0
	for _, name := range names {
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
	return d.awaitMembership(instances)
}

// awaitMembership waits until every running balancer lists the given number of
// instances as Serving.
func (d *deployment) awaitMembership(instances int) error {
	deadline := time.Now().Add(startTimeout)
	for {
		joined := true
		output := ""
		for _, b := range d.topology.balancers() {
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
			return fmt.Errorf("not all %d instances joined within %s:\n%s", instances, startTimeout, output)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
