package geneve

import (
	"net"

	"github.com/gopacket/gopacket"
	"golang.org/x/net/ipv4"

	"bramleyfall.example/bramleyfall"
)

// BatchSize is the maximum number of packets per read or write system call.
const BatchSize = 64

// socketBufferSize is the requested size in bytes of a socket's receive buffer and
// of its send buffer.
const socketBufferSize = 4 << 20

// Conn is a UDP socket for a Receiver and a Sender. One goroutine may read while
// another writes.
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
	if err := udp.SetReadBuffer(socketBufferSize); err != nil {
		return nil, err
	}
	if err := udp.SetWriteBuffer(socketBufferSize); err != nil {
		return nil, err
	}
	return &Conn{udp: udp, packet: ipv4.NewPacketConn(udp)}, nil
}

// LocalEndpoint returns the local address of the socket.
func (c *Conn) LocalEndpoint() bramleyfall.Endpoint {
	return bramleyfall.EndpointFrom(c.udp.LocalAddr().(*net.UDPAddr).AddrPort())
}

// Close closes the socket. Blocked reads return an error.
func (c *Conn) Close() error { return c.udp.Close() }

// WriteTo sends one packet at once, without batching.
func (c *Conn) WriteTo(data []byte, to bramleyfall.Endpoint) error {
	_, err := c.udp.WriteToUDPAddrPort(data, to.AddrPort())
	return err
}

// Receiver reads packets in batches into buffers that it reuses. It is not safe for
// concurrent use.
type Receiver struct {
	messages []ipv4.Message
}

// NewReceiver returns a Receiver for batches of BatchSize packets.
func NewReceiver() *Receiver {
	r := &Receiver{messages: make([]ipv4.Message, BatchSize)}
	for i := range r.messages {
		r.messages[i].Buffers = [][]byte{make([]byte, MaxPacketSize)}
	}
	return r
}

// Read blocks until a packet arrives, reads a batch from c and returns the number
// of packets in it. It overwrites the previous batch.
func (r *Receiver) Read(c *Conn) (int, error) { return c.packet.ReadBatch(r.messages, 0) }

// Data returns packet i of the last batch. The slice is valid until the next Read.
func (r *Receiver) Data(i int) []byte {
	m := &r.messages[i]
	return m.Buffers[0][:m.N]
}

// From returns the source address of packet i of the last batch.
func (r *Receiver) From(i int) bramleyfall.Endpoint {
	address, ok := r.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return bramleyfall.Endpoint{}
	}
	return bramleyfall.EndpointFrom(address.AddrPort())
}

// maxCachedAddresses is the maximum number of entries of a Sender's address cache.
const maxCachedAddresses = 65536

// Sender queues packets and writes them in batches. It is not safe for concurrent
// use.
type Sender struct {
	conn         *Conn
	messages     []ipv4.Message
	buffers      []gopacket.SerializeBuffer
	count        int
	addressCache map[bramleyfall.Endpoint]*net.UDPAddr
	// Failed is the number of packets that could not be sent.
	Failed uint64
}

// NewSender returns a Sender that writes to c.
func NewSender(c *Conn) *Sender {
	s := &Sender{
		conn:         c,
		messages:     make([]ipv4.Message, BatchSize),
		buffers:      make([]gopacket.SerializeBuffer, BatchSize),
		addressCache: make(map[bramleyfall.Endpoint]*net.UDPAddr),
	}
	for i := range s.buffers {
		s.buffers[i] = gopacket.NewSerializeBufferExpectedSize(256, MaxPacketSize)
		s.messages[i].Buffers = make([][]byte, 1)
	}
	return s
}

// Next returns the buffer for the next packet. If the batch is full, it is written
// first.
func (s *Sender) Next() gopacket.SerializeBuffer {
	if s.count == len(s.messages) {
		s.Flush()
	}
	return s.buffers[s.count]
}

// Add queues the packet in the buffer that Next returned, for sending to the given
// address.
func (s *Sender) Add(to bramleyfall.Endpoint) {
	m := &s.messages[s.count]
	m.Buffers[0] = s.buffers[s.count].Bytes()
	m.Addr = s.udpAddr(to)
	s.count++
}

func (s *Sender) udpAddr(to bramleyfall.Endpoint) *net.UDPAddr {
	if a, ok := s.addressCache[to]; ok {
		return a
	}
	if len(s.addressCache) >= maxCachedAddresses {
		clear(s.addressCache)
	}
	a := net.UDPAddrFromAddrPort(to.AddrPort())
	s.addressCache[to] = a
	return a
}

// Flush writes the queued packets. A packet that the operating system rejects is
// skipped and counted in Failed.
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
