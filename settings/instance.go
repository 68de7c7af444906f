package settings

import (
	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/peer"
)

// Instance holds the checked settings that all instances have.
type Instance struct {
	ID      bramleyfall.InstanceID
	Domain  bramleyfall.DomainName
	Packets bramleyfall.Endpoint
	Control bramleyfall.Endpoint
	// AdvertisePackets and AdvertiseControl are the addresses by which others
	// reach Packets and Control.
	AdvertisePackets bramleyfall.Endpoint
	AdvertiseControl bramleyfall.Endpoint
	HTTP             bramleyfall.Endpoint
	Fabric           bramleyfall.Endpoint
	Keys             *peer.Keys
	// Trace is the file to record a trace to, or empty.
	Trace string
}

// InstanceFlags are the flags behind an Instance.
type InstanceFlags struct {
	set                                *Set
	id, domain, packets, control       *string
	advertisePackets, advertiseControl *string
	http, fabric, keys, trace          *string
}

// InstanceFlags adds the flags that all instances have. What names the thing
// that --id identifies.
func (s *Set) InstanceFlags(what string) *InstanceFlags {
	return &InstanceFlags{
		set:              s,
		id:               s.String("id", "", "name of "+what+", unique in the deployment"),
		domain:           s.String("domain", "", "failure domain of this instance"),
		packets:          s.String("packets", "127.0.0.1:6081", "address for tunnelled packets (UDP)"),
		control:          s.String("control", "127.0.0.1:7000", "address for control traffic"),
		advertisePackets: s.String("advertise-packets", "", "address by which others reach --packets, if it differs"),
		advertiseControl: s.String("advertise-control", "", "address by which others reach --control, if it differs"),
		http:             s.String("http", "127.0.0.1:7001", "address for /metrics, /live and /ready"),
		fabric:           s.String("fabric", "", "address of the fabric, for packets to callers"),
		keys:             s.String("fleet-keys", "", "fleet keys as id:secret, the sealing one first, separated by commas"),
		trace:            s.String("trace", "", "file to record a trace to"),
	}
}

// Check checks the flags and returns the settings.
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

// endpointOr returns the address in text, or fallback where it is empty.
func (s *Set) endpointOr(name, text string, fallback bramleyfall.Endpoint) bramleyfall.Endpoint {
	if text == "" {
		return fallback
	}
	return s.Endpoint(name, text)
}
