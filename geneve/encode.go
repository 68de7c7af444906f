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

// Encode writes inner with the list as option into buffer.
func (c *Codec) Encode(buffer gopacket.SerializeBuffer, list *bramleyfall.HopList, inner []byte) error {
	return c.encode(buffer, optionHops, c.encodeHops(list), inner)
}

// EncodePlain writes inner without any option into buffer.
func (c *Codec) EncodePlain(buffer gopacket.SerializeBuffer, inner []byte) error {
	return c.encode(buffer, 0, nil, inner)
}

// EncodeRefusal writes inner, a reset, with the reason for the refusal and the
// time after which the caller may come back.
func (c *Codec) EncodeRefusal(buffer gopacket.SerializeBuffer, code bramleyfall.ResultCode, retryAfter time.Duration, inner []byte) error {
	data := c.scratch[:refusalSize]
	binary.BigEndian.PutUint32(data, uint32(code))
	binary.BigEndian.PutUint32(data[4:], uint32(retryAfter.Milliseconds()))
	return c.encode(buffer, optionRefusal, data, inner)
}

// EncodeNotice writes a sealed notice of at most 122 bytes into buffer.
func (c *Codec) EncodeNotice(buffer gopacket.SerializeBuffer, notice []byte) error {
	size := (len(notice) + 2 + 3) &^ 3
	if size > maxNotice {
		return malformed("notice too long")
	}
	data := make([]byte, size)
	binary.BigEndian.PutUint16(data, uint16(len(notice)))
	copy(data[2:], notice)
	return c.encode(buffer, optionNotice, data, nil)
}

func (c *Codec) encode(buffer gopacket.SerializeBuffer, kind uint8, data, inner []byte) error {
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
	if kind != 0 {
		c.option = layers.GeneveOption{Class: optionClass, Type: kind, Data: data}
		c.options[0] = &c.option
		c.outgoing.Options = c.options[:]
	}
	return c.outgoing.SerializeTo(buffer, serializeOptions)
}

func (c *Codec) encodeHops(l *bramleyfall.HopList) []byte {
	data := c.scratch[:hopListHeader+int(l.Count)*hopSize]
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
		encodeHop(data[hopListHeader+i*hopSize:], &l.Hops[i])
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

// TCPFields are the header fields of a TCP segment to make up.
type TCPFields struct {
	Flow                 bramleyfall.Flow
	Sequence, Ack        uint32
	SYN, ACK, FIN, Reset bool
	Payload              []byte
}

// windowSize is the receive window in bytes that made-up segments announce.
const windowSize = 65535

// EncodeTCP returns a new IPv4 packet with a TCP segment.
func EncodeTCP(f TCPFields) ([]byte, error) {
	ip := ipHeader(f.Flow)
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(f.Flow.Source.Port),
		DstPort: layers.TCPPort(f.Flow.Destination.Port),
		Seq:     f.Sequence, Ack: f.Ack,
		SYN: f.SYN, ACK: f.ACK, FIN: f.FIN, RST: f.Reset,
		PSH:    len(f.Payload) > 0,
		Window: windowSize,
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buffer, serializeOptions, ip, tcp, gopacket.Payload(f.Payload))
	return buffer.Bytes(), err
}

// EncodeUDP returns a new IPv4 packet with a UDP datagram.
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

// Payload returns the payload after the transport header.
func Payload(p *bramleyfall.Packet) []byte { return p.Raw[len(p.Raw)-int(p.Length):] }
