package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
)

// Route leads from an address to a service.
type Route struct {
	Address netip.AddrPort
	Kind    string
	Service string
}

// Configuration is the operators' configuration.
type Configuration struct {
	Version     int
	Routes      []Route
	Services    []string
	IdleTimeout int
}

func (c Configuration) encode() []byte {
	routes, services := []any{}, []any{}
	for i, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": r.Address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.Address.Port()),
			"type": r.Kind, "timeout_ms": 2000, "target_latency_ms": 250, "priority": 1, "service": r.Service, "attempts": 2,
		})
	}
	for _, name := range c.Services {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false, "cold_s": 2.0, "cold_per_s": 0.0,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": c.IdleTimeout},
	})
	return body
}

// Settings are the settings of a machine from which the platform fills in a template.
type Settings struct {
	Node, Zone, Service string
	IP                  string
	Ports               Ports
	HeartbeatMS         int
	StoreAddress        string
}

// Ports are the ports of a day, the same on all machines.
type Ports struct{ Data, Readiness, Control, Outbound, App, Internal int }

// Render fills in a template of the deploy file.
func (s Settings) Render(template string) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", s.IP, port) }
	values := []string{
		"{{node_name}}", s.Node, "{{zone}}", s.Zone, "{{service}}", s.Service, "{{ip}}", s.IP,
		"{{listen_addrs.data_addr}}", address(s.Ports.Data), "{{listen_addrs.readiness}}", address(s.Ports.Readiness),
		"{{listen_addrs.control}}", address(s.Ports.Control), "{{listen_addrs.outbound}}", address(s.Ports.Outbound),
		"{{app}}", address(s.Ports.App), "{{heartbeat_ms}}", fmt.Sprint(s.HeartbeatMS),
		"{{internal_ports.0}}", fmt.Sprint(s.Ports.Internal), "{{platform.address}}", s.StoreAddress,
	}
	out := strings.NewReplacer(values...).Replace(string(text))
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("%s: a placeholder is not filled in", template)
	}
	return out, nil
}
