package bramleyfall

import (
	"fmt"
	"net/netip"
	"strings"
)

// Protocol is an IP protocol number.
type Protocol uint8

// Supported transport protocols.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns "tcp", "udp" or, for any other protocol, "protocol-" and its
// number.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return fmt.Sprintf("protocol-%d", uint8(p))
}

// ParseProtocol parses the name of a supported protocol, ignoring case.
func ParseProtocol(text string) (Protocol, error) {
	switch strings.ToLower(text) {
	case "tcp":
		return TCP, nil
	case "udp":
		return UDP, nil
	}
	return 0, fmt.Errorf("protocol %q is neither tcp nor udp", text)
}

// MarshalText implements encoding.TextMarshaler.
func (p Protocol) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Protocol) UnmarshalText(text []byte) error {
	value, err := ParseProtocol(string(text))
	if err != nil {
		return err
	}
	*p = value
	return nil
}

// Endpoint is an IPv4 address and port. It is comparable and 6 bytes in size.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// ParseEndpoint parses text of the form "127.0.0.1:443".
func ParseEndpoint(text string) (Endpoint, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return Endpoint{}, err
	}
	if !address.Addr().Is4() {
		return Endpoint{}, fmt.Errorf("address %q is not IPv4", text)
	}
	return EndpointFrom(address), nil
}

// EndpointFrom converts address, which must be IPv4 or IPv4-mapped IPv6.
func EndpointFrom(address netip.AddrPort) Endpoint {
	return Endpoint{IP: address.Addr().Unmap().As4(), Port: address.Port()}
}

// AddrPort converts e to a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// IsZero reports whether e is the zero value.
func (e Endpoint) IsZero() bool { return e == Endpoint{} }

// String formats e as "127.0.0.1:443".
func (e Endpoint) String() string { return e.AddrPort().String() }

// MarshalText implements encoding.TextMarshaler in the format of String.
func (e Endpoint) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler in the format of
// ParseEndpoint.
func (e *Endpoint) UnmarshalText(text []byte) error {
	value, err := ParseEndpoint(string(text))
	if err != nil {
		return err
	}
	*e = value
	return nil
}

// Flow identifies the packets between a caller (Source) and a service address
// (Destination).
type Flow struct {
	Source      Endpoint
	Destination Endpoint
	Protocol    Protocol
}

// Reverse returns f with source and destination swapped, as in the packets sent
// by the upstream.
func (f Flow) Reverse() Flow {
	return Flow{Source: f.Destination, Destination: f.Source, Protocol: f.Protocol}
}

// String formats f as "source to destination/protocol".
func (f Flow) String() string {
	return fmt.Sprintf("%s to %s/%s", f.Source, f.Destination, f.Protocol)
}
