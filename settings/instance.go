package settings

import (
	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer"
)

// Instance contains the validated settings common to all instances outside direct
// mode.
type Instance struct {
	ID      bramleyfall.InstanceID
	Domain  bramleyfall.DomainName
	Packets bramleyfall.Endpoint
	Control bramleyfall.Endpoint
	// AdvertisePackets and AdvertiseControl are the addresses at which other
	// instances reach Packets and Control.
	AdvertisePackets bramleyfall.Endpoint
	AdvertiseControl bramleyfall.Endpoint
	HTTP             bramleyfall.Endpoint
	Fabric           bramleyfall.Endpoint
	Keys             *peer.Keys
	// Trace is the path of the file to record a trace to. Empty disables recording.
	Trace string
}

// InstanceFlags contains the flags from which Check makes an Instance.
type InstanceFlags struct {
	set                                *Set
	id, domain, packets, control       *string
	advertisePackets, advertiseControl *string
	http, fabric, keys, trace          *string
}

// InstanceFlags adds the flags common to all instances outside direct mode. The help
// text of --id names subject as what the flag identifies.
func (s *Set) InstanceFlags(subject string) *InstanceFlags {
	return &InstanceFlags{
		set:              s,
		id:               s.String("id", "", "name of "+subject+", unique in the deployment"),
		domain:           s.String("domain", "", "failure domain of this instance"),
		packets:          s.String("packets", "127.0.0.1:6081", "address for tunnelled packets (UDP)"),
		control:          s.String("control", "127.0.0.1:7000", "address for control traffic"),
		advertisePackets: s.String("advertise-packets", "", "address at which other instances reach --packets, if different"),
		advertiseControl: s.String("advertise-control", "", "address at which other instances reach --control, if different"),
		http:             s.String("http", "127.0.0.1:7001", "address for /metrics, /live and /ready"),
		fabric:           s.String("fabric", "", "address of the fabric, for packets to callers"),
		keys:             s.String("fleet-keys", "", "fleet keys as id:secret, separated by commas; the first one seals outgoing messages"),
		trace:            s.String("trace", "", "file to record a trace to"),
	}
}

// Check validates the flags and returns the settings. Errors are recorded in the set.
func (f *InstanceFlags) Check() Instance {
	s := f.set
	s.Required("id", *f.id)
	s.Required("domain", *f.domain)
	i := Instance{
		ID:      bramleyfall.InstanceID(*f.id),
		Domain:  bramleyfall.DomainName(*f.domain),
		Packets: s.Endpoint("packets", *f.packets),
		Control: s.Endpoint("control", *f.control),
		HTTP:    s.Endpoint("http", *f.http),
		Fabric:  s.Endpoint("fabric", *f.fabric),
		Keys:    s.Keys("fleet-keys", *f.keys),
		Trace:   *f.trace,
	}
	i.AdvertisePackets = s.endpointOr("advertise-packets", *f.advertisePackets, i.Packets)
	i.AdvertiseControl = s.endpointOr("advertise-control", *f.advertiseControl, i.Control)
	return i
}

// endpointOr parses the address in text, or returns fallback if text is empty.
func (s *Set) endpointOr(name, text string, fallback bramleyfall.Endpoint) bramleyfall.Endpoint {
	if text == "" {
		return fallback
	}
	return s.Endpoint(name, text)
}
