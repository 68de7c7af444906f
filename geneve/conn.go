package geneve

import (
	"net"

	"github.com/gopacket/gopacket"
	"golang.org/x/net/ipv4"

	"bramleyfall.example/bramleyfall"
)

// BatchSize is the number of packets that one system call reads or writes.
const BatchSize = 64

// socketBuffer is the size in bytes asked for each direction of a socket.
const socketBuffer = 4 << 20

// Conn is a UDP socket that reads and writes packets in batches. One goroutine
// may read while another writes.
type Conn struct {
	udp    *net.UDPConn
	packet *ipv4.PacketConn
}

// Listen opens a UDP socket at address.
func Listen(address bramleyfall.Endpoint) (*Conn, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address.AddrPort()))
	if err != nil {
		return nil, err
	}
	if err := udp.SetReadBuffer(socketBuffer); err != nil {
		return nil, err
	}
	if err := udp.SetWriteBuffer(socketBuffer); err != nil {
		return nil, err
	}
	return &Conn{udp: udp, packet: ipv4.NewPacketConn(udp)}, nil
}

// LocalEndpoint returns the address that the socket is bound to.
func (c *Conn) LocalEndpoint() bramleyfall.Endpoint {
	return bramleyfall.EndpointFrom(c.udp.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Close closes the socket; blocked reads return an error.
func (c *Conn) Close() error { return c.udp.Close() }

// WriteTo sends one packet.
func (c *Conn) WriteTo(data []byte, to bramleyfall.Endpoint) error {
	_, err := c.udp.WriteToUDPAddrPort(data, to.AddrPort())
	return err
}

// Receiver holds the buffers of batch reads.
type Receiver struct {
	messages []ipv4.Message
}

// NewReceiver returns a Receiver for batches of BatchSize packets.
func NewReceiver() *Receiver {
	r := &Receiver{messages: make([]ipv4.Message, BatchSize)}
	for i := range r.messages {
		r.messages[i].Buffers = [][]byte{make([]byte, MaxPacket)}
	}
	return r
}

// Read blocks until at least one packet is there and returns how many were
// read.
func (r *Receiver) Read(c *Conn) (int, error) { return c.packet.ReadBatch(r.messages, 0) }

// Data returns packet i of the last batch.
func (r *Receiver) Data(i int) []byte {
	m := &r.messages[i]
	return m.Buffers[0][:m.N]
}

// From returns the sender of packet i of the last batch.
func (r *Receiver) From(i int) bramleyfall.Endpoint {
	address, ok := r.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return bramleyfall.Endpoint{}
	}
	return bramleyfall.EndpointFrom(address.AddrPort())
}

// maxAddresses bounds the cache of converted addresses.
const maxAddresses = 65536

// Sender collects packets and writes them in batches. It is not safe for
// concurrent use.
type Sender struct {
	conn      *Conn
	messages  []ipv4.Message
	buffers   []gopacket.SerializeBuffer
	count     int
	addresses map[bramleyfall.Endpoint]*net.UDPAddr
	// Failed counts packets that the system did not take.
	Failed uint64
}

// NewSender returns a Sender that writes to c.
func NewSender(c *Conn) *Sender {
	s := &Sender{
		conn:      c,
		messages:  make([]ipv4.Message, BatchSize),
		buffers:   make([]gopacket.SerializeBuffer, BatchSize),
		addresses: make(map[bramleyfall.Endpoint]*net.UDPAddr),
	}
	for i := range s.buffers {
		s.buffers[i] = gopacket.NewSerializeBufferExpectedSize(256, MaxPacket)
		s.messages[i].Buffers = make([][]byte, 1)
	}
	return s
}

// Next returns the buffer for the next packet. It writes the batch first when
// that is full.
func (s *Sender) Next() gopacket.SerializeBuffer {
	if s.count == len(s.messages) {
		s.Flush()
	}
	return s.buffers[s.count]
}

// Add queues the buffer that Next returned for to.
func (s *Sender) Add(to bramleyfall.Endpoint) {
	m := &s.messages[s.count]
	m.Buffers[0] = s.buffers[s.count].Bytes()
	m.Addr = s.address(to)
	s.count++
}

func (s *Sender) address(to bramleyfall.Endpoint) *net.UDPAddr {
	if a, ok := s.addresses[to]; ok {
		return a
	}
	if len(s.addresses) >= maxAddresses {
		clear(s.addresses)
	}
	a := net.UDPAddrFromAddrPort(to.AddrPort())
	s.addresses[to] = a
	return a
}

// Flush writes the queued packets. A packet that the system refuses is
// skipped and counted.
func (s *Sender) Flush() {
	pending := s.messages[:s.count]
	for len(pending) > 0 {
		n, err := s.conn.packet.WriteBatch(pending, 0)
		if err != nil || n <= 0 {
			s.Failed++
			n = 1
		}
		pending = pending[n:]
	}
	s.count = 0
}
