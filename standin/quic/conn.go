// Package quic stands in for callers and upstreams that speak HTTP/3: a real
// QUIC library on both ends, whose datagrams travel as inner UDP packets of the
// tunnel, each sprayed to a random balancer.
package quic

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/gopacket/gopacket"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
)

// Conn is a net.PacketConn whose datagrams travel inside the tunnel.
type Conn struct {
	tunnel *geneve.Conn
	// to is where tunnelled packets are sent.
	to    bramleyfall.Endpoint
	local bramleyfall.Endpoint

	mu       sync.Mutex
	codec    geneve.Codec
	deadline time.Time
	incoming chan datagram
	closed   chan struct{}
	once     sync.Once
}

type datagram struct {
	data []byte
	from bramleyfall.Endpoint
}

// incomingSize is the number of datagrams that wait to be read.
const incomingSize = 1024

// NewConn returns a connection that is reached at local inside the tunnel.
func NewConn(listen, to, local bramleyfall.Endpoint) (*Conn, error) {
	tunnel, err := geneve.Listen(listen)
	if err != nil {
		return nil, err
	}
	c := &Conn{
		tunnel: tunnel, to: to, local: local,
		incoming: make(chan datagram, incomingSize), closed: make(chan struct{}),
	}
	go c.loopRead()
	return c, nil
}

func (c *Conn) loopRead() {
	receiver := geneve.NewReceiver()
	var codec geneve.Codec
	var m geneve.Message
	for {
		n, err := receiver.Read(c.tunnel)
		if err != nil {
			return
		}
		for i := range n {
			if codec.Decode(receiver.Data(i), &m) != nil || m.Packet.Flow.Protocol != bramleyfall.UDP {
				continue
			}
			payload := append([]byte(nil), geneve.Payload(&m.Packet)...)
			select {
			case c.incoming <- datagram{data: payload, from: m.Packet.Flow.Source}:
			default:
			}
		}
	}
}

// ReadFrom implements net.PacketConn.
func (c *Conn) ReadFrom(b []byte) (int, net.Addr, error) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timeout = time.After(time.Until(deadline))
	}
	select {
	case d := <-c.incoming:
		return copy(b, d.data), net.UDPAddrFromAddrPort(d.from.AddrPort()), nil
	case <-timeout:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (c *Conn) WriteTo(b []byte, to net.Addr) (int, error) {
	address, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError(to.String())
	}
	flow := bramleyfall.Flow{
		Source: c.local, Destination: bramleyfall.EndpointFrom(address.AddrPort()), Protocol: bramleyfall.UDP,
	}
	raw, err := geneve.EncodeUDP(flow, b)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	buffer := gopacket.NewSerializeBuffer()
	if err := c.codec.EncodePlain(buffer, raw); err != nil {
		return 0, err
	}
	return len(b), c.tunnel.WriteTo(buffer.Bytes(), c.to)
}

// Close implements net.PacketConn.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.tunnel.Close()
}

// LocalAddr implements net.PacketConn.
func (c *Conn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.local.AddrPort()) }

// SetDeadline implements net.PacketConn.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn. It holds for later reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

// SetWriteDeadline implements net.PacketConn. Writes do not block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
