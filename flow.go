package bramleyfall

import (
	"fmt"
	"net/netip"
	"strings"
)

// Protocol is an IP protocol number.
type Protocol uint8

// The transport protocols that are balanced.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns "tcp" or "udp", or the number of any other protocol.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return fmt.Sprintf("protocol-%d", uint8(p))
}

// ParseProtocol returns the protocol that text names.
func ParseProtocol(text string) (Protocol, error) {
	switch strings.ToLower(text) {
	case "tcp":
		return TCP, nil
	case "udp":
		return UDP, nil
	}
	return 0, fmt.Errorf("protocol %q is neither tcp nor udp", text)
}

// MarshalText writes the name of p.
func (p Protocol) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads the name of a protocol.
func (p *Protocol) UnmarshalText(text []byte) error {
	value, err := ParseProtocol(string(text))
	if err != nil {
		return err
	}
	*p = value
	return nil
}

// Endpoint is an IPv4 address with a port. It is comparable and takes 6 bytes.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// ParseEndpoint reads the form "127.0.0.1:443".
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

// EndpointFrom converts an IPv4 address with port.
func EndpointFrom(address netip.AddrPort) Endpoint {
	return Endpoint{IP: address.Addr().Unmap().As4(), Port: address.Port()}
}

// AddrPort converts e to the type of the standard library.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// IsZero reports whether e is the zero value.
func (e Endpoint) IsZero() bool { return e == Endpoint{} }

// String returns the form "127.0.0.1:443".
func (e Endpoint) String() string { return e.AddrPort().String() }

// MarshalText writes the form that ParseEndpoint reads.
func (e Endpoint) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText reads the form that ParseEndpoint reads.
func (e *Endpoint) UnmarshalText(text []byte) error {
	value, err := ParseEndpoint(string(text))
	if err != nil {
		return err
	}
	*e = value
	return nil
}

// Flow identifies the packets between one caller and one service address.
// Source is the caller.
type Flow struct {
	Source      Endpoint
	Destination Endpoint
	Protocol    Protocol
}

// Reverse returns the flow as the upstream's packets name it.
func (f Flow) Reverse() Flow {
	return Flow{Source: f.Destination, Destination: f.Source, Protocol: f.Protocol}
}

// String returns the form "source to destination/protocol".
func (f Flow) String() string {
	return fmt.Sprintf("%s to %s/%s", f.Source, f.Destination, f.Protocol)
}
