package geneve

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"bramleyfall.example/bramleyfall"
)

var serializeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// Encode encodes the packet inner with the hop list as an option into buffer.
func (c *Codec) Encode(buffer gopacket.SerializeBuffer, list *bramleyfall.HopList, inner []byte) error {
	return c.encode(buffer, optionHops, c.encodeHops(list), inner)
}

// EncodePlain encodes the packet inner without options into buffer.
func (c *Codec) EncodePlain(buffer gopacket.SerializeBuffer, inner []byte) error {
	return c.encode(buffer, 0, nil, inner)
}

// EncodeRefusal encodes inner, a TCP reset, into buffer, with an option that carries
// the reason for the refusal and the time after which the caller may retry.
func (c *Codec) EncodeRefusal(buffer gopacket.SerializeBuffer, code bramleyfall.ResultCode, retryAfter time.Duration, inner []byte) error {
	data := c.optionData[:refusalOptionSize]
	binary.BigEndian.PutUint32(data, uint32(code))
	binary.BigEndian.PutUint32(data[4:], uint32(retryAfter.Milliseconds()))
	return c.encode(buffer, optionRefusal, data, inner)
}

// EncodeNotice encodes a sealed notice of at most 122 bytes into buffer.
func (c *Codec) EncodeNotice(buffer gopacket.SerializeBuffer, notice []byte) error {
	size := (len(notice) + 2 + 3) &^ 3
	if size > maxNoticeOptionSize {
		return malformed("notice is longer than 122 bytes")
	}
	data := make([]byte, size)
	binary.BigEndian.PutUint16(data, uint16(len(notice)))
	copy(data[2:], notice)
	return c.encode(buffer, optionNotice, data, nil)
}

func (c *Codec) encode(buffer gopacket.SerializeBuffer, optionType uint8, data, inner []byte) error {
	if err := buffer.Clear(); err != nil {
		return err
	}
	payload, err := buffer.AppendBytes(len(inner))
	if err != nil {
		return err
	}
	copy(payload, inner)
	c.outgoing.Protocol = layers.EthernetTypeIPv4
	c.outgoing.Options = nil
	if optionType != 0 {
		c.option = layers.GeneveOption{Class: optionClass, Type: optionType, Data: data}
		c.options[0] = &c.option
		c.outgoing.Options = c.options[:]
	}
	return c.outgoing.SerializeTo(buffer, serializeOptions)
}

func (c *Codec) encodeHops(l *bramleyfall.HopList) []byte {
	data := c.optionData[:hopListHeaderSize+int(l.Count)*hopSize]
	binary.BigEndian.PutUint64(data, uint64(l.Revision))
	binary.BigEndian.PutUint32(data[8:], uint32(l.Service))
	encodeEndpoint(data[12:], l.Balancer)
	data[18], data[19], data[20], data[21] = l.Count, l.Index, l.Page, 0
	if l.More {
		data[21] |= flagMore
	}
	if l.Must {
		data[21] |= flagMust
	}
	data[22], data[23] = 0, 0
	for i := range int(l.Count) {
		encodeHop(data[hopListHeaderSize+i*hopSize:], &l.Hops[i])
	}
	return data
}

func encodeHop(data []byte, h *bramleyfall.Hop) {
	binary.BigEndian.PutUint64(data, uint64(h.Upstream))
	binary.BigEndian.PutUint64(data[8:], uint64(h.Boot))
	encodeEndpoint(data[16:], h.Address)
	binary.BigEndian.PutUint16(data[22:], h.Load)
}

func encodeEndpoint(data []byte, e bramleyfall.Endpoint) {
	copy(data, e.IP[:])
	binary.BigEndian.PutUint16(data[4:], e.Port)
}

// TCPFields are the fields of a TCP segment to generate.
type TCPFields struct {
	Flow                 bramleyfall.Flow
	Sequence, Ack        uint32
	SYN, ACK, FIN, Reset bool
	Payload              []byte
}

// tcpWindowSize is the receive window in bytes that generated segments advertise.
const tcpWindowSize = 65535

// EncodeTCP generates an IPv4 packet with a TCP segment.
func EncodeTCP(f TCPFields) ([]byte, error) {
	ip := ipHeader(f.Flow)
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(f.Flow.Source.Port),
		DstPort: layers.TCPPort(f.Flow.Destination.Port),
		Seq:     f.Sequence, Ack: f.Ack,
		SYN: f.SYN, ACK: f.ACK, FIN: f.FIN, RST: f.Reset,
		PSH:    len(f.Payload) > 0,
		Window: tcpWindowSize,
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buffer, serializeOptions, ip, tcp, gopacket.Payload(f.Payload))
	return buffer.Bytes(), err
}

// EncodeUDP generates an IPv4 packet with a UDP datagram.
func EncodeUDP(flow bramleyfall.Flow, payload []byte) ([]byte, error) {
	ip := ipHeader(flow)
	udp := &layers.UDP{
		SrcPort: layers.UDPPort(flow.Source.Port),
		DstPort: layers.UDPPort(flow.Destination.Port),
	}
	if err := udp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buffer, serializeOptions, ip, udp, gopacket.Payload(payload))
	return buffer.Bytes(), err
}

func ipHeader(flow bramleyfall.Flow) *layers.IPv4 {
	const timeToLive = 64
	return &layers.IPv4{
		Version: 4, IHL: 5, TTL: timeToLive,
		Protocol: layers.IPProtocol(flow.Protocol),
		SrcIP:    net.IP(flow.Source.IP[:]), DstIP: net.IP(flow.Destination.IP[:]),
	}
}

// Payload returns the TCP or UDP payload of a packet.
func Payload(p *bramleyfall.Packet) []byte { return p.Raw[len(p.Raw)-int(p.Length):] }
