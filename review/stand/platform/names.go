package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// ConfigKey is the key of the operator's configuration.
const ConfigKey = "op/config"

// Route is a route of the operator's configuration.
type Route struct {
	Host    string
	Port    int
	Service string
	Kind    string
}

func (r Route) String() string {
	return fmt.Sprintf("%s:%d to %s (%s)", r.Host, r.Port, r.Service, r.Kind)
}

// Configuration returns the value of ConfigKey. Servers are cold for two seconds after
// their start and then bear coldPerS requests a second.
func Configuration(version int, coldPerS float64, services []string, routes []Route) any {
	routeList, serviceList := []map[string]any{}, []map[string]any{}
	for i, r := range routes {
		routeList = append(routeList, map[string]any{"name": fmt.Sprintf("r-%d", i), "host": r.Host, "prefix": fmt.Sprintf("/%d/", r.Port), "type": r.Kind,
			"timeout_ms": 2000, "target_latency_ms": 150, "priority": 1, "service": r.Service, "attempts": 2})
	}
	for _, name := range services {
		serviceList = append(serviceList, map[string]any{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false,
			"cold_s": 2.0, "cold_per_s": coldPerS})
	}
	return map[string]any{"version": version, "routes": routeList, "services": serviceList,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// Heartbeat is what a server says of itself.
type Heartbeat struct {
	Service  string
	Address  string
	Zone     string
	Slots    int
	State    string
	Cold     time.Duration
	Sequence uint64
	Born     time.Time
}

// Body returns the body of the call.
func (h *Heartbeat) Body() []byte {
	body, _ := json.Marshal(map[string]any{
		"service": h.Service, "address": h.Address, "zone": h.Zone, "version": "v1", "slots": h.Slots, "state": h.State,
		"cold_remaining_ms": h.Cold.Milliseconds(), "sequence": h.Sequence, "born": h.Born.UnixMilli(),
	})
	return body
}

// HeartbeatURL returns the URL of a server's heartbeats.
func HeartbeatURL(ip string, port int, id string) string {
	return fmt.Sprintf("http://%s:%d/Instances.Heartbeat/%s", ip, port, id)
}

// Settings holds what the platform fills into a template.
type Settings struct {
	Name, Zone, Service, IP, Store                                 string
	Data, Ready, Outbound, Control, App, Inner, Metrics, Heartbeat int
}

// Render fills in a template of the project. It replaces the fixed port of the metrics,
// which another process on this machine may use.
func (s *Settings) Render(template string) (string, error) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", s.IP, port) }
	text := strings.NewReplacer(
		"{{ip}}:9102", at(s.Metrics),
		"{{node_name}}", s.Name, "{{zone}}", s.Zone, "{{service}}", s.Service, "{{ip}}", s.IP,
		"{{listen_addrs.data_addr}}", at(s.Data), "{{listen_addrs.readiness}}", at(s.Ready),
		"{{listen_addrs.outbound}}", at(s.Outbound), "{{listen_addrs.control}}", at(s.Control), "{{app}}", at(s.App),
		"{{internal_ports.0}}", fmt.Sprint(s.Inner), "{{heartbeat_ms}}", fmt.Sprint(s.Heartbeat), "{{platform.address}}", s.Store,
	).Replace(template)
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("unknown placeholder in %s", text)
	}
	return text, nil
}
