// Package quic simulates HTTP/3 callers and upstreams for tests and the demo. Both
// ends use quic-go; their datagrams are the inner UDP packets of the tunnel, and the
// fabric sends each datagram of a caller to a random ready balancer.
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

// Conn is a net.PacketConn that sends and receives its datagrams through the tunnel.
type Conn struct {
	tunnel *geneve.Conn
	// tunnelPeer is the endpoint to which tunnelled packets are sent; local is the
	// address inside the tunnel.
	tunnelPeer bramleyfall.Endpoint
	local      bramleyfall.Endpoint

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

// incomingQueueLength is the maximum number of unread datagrams; more are dropped.
const incomingQueueLength = 1024

// NewConn listens for tunnelled packets and returns a connection whose address inside
// the tunnel is local.
func NewConn(listen, tunnelPeer, local bramleyfall.Endpoint) (*Conn, error) {
	tunnel, err := geneve.Listen(listen)
	if err != nil {
		return nil, err
	}
	c := &Conn{
		tunnel: tunnel, tunnelPeer: tunnelPeer, local: local,
		incoming: make(chan datagram, incomingQueueLength), closed: make(chan struct{}),
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
	return len(b), c.tunnel.WriteTo(buffer.Bytes(), c.tunnelPeer)
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

// SetReadDeadline implements net.PacketConn. It applies to later reads, not to one that
// is already blocked.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

// SetWriteDeadline implements net.PacketConn. Writes do not block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
