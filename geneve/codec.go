// Package geneve encodes and decodes Geneve (RFC 8926) tunnel packets, and reads
// and writes them on UDP sockets in batches. The fabric, the balancers, the agents
// and the upstreams exchange whole IPv4 packets in these tunnels; project-specific
// options carry hop lists, refusals and notices. Routing and the authentication of
// notices are left to the callers.
package geneve

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"bramleyfall.example/bramleyfall"
)

// The option class and option types of this project. The class is from the
// experimental range of RFC 8926, section 4.3.
const (
	optionClass   uint16 = 0xFF0B
	optionHops    uint8  = 1
	optionRefusal uint8  = 2
	optionNotice  uint8  = 3
)

const (
	// hopListHeaderSize is the number of bytes before the first hop in a hop list
	// option.
	hopListHeaderSize = 24
	// hopSize is the number of bytes of one hop.
	hopSize = 24
	// maxOptionsSize is the maximum total size in bytes of the options of a packet
	// that Decode accepts.
	maxOptionsSize = 252 - headerSize
	// headerSize is the size in bytes of the fixed part of a Geneve header.
	headerSize = 8
	// refusalOptionSize is the size in bytes of the data of a refusal option.
	refusalOptionSize = 8
	// MaxPacketSize is the maximum size in bytes of a tunnel packet. A Receiver
	// truncates longer ones.
	MaxPacketSize = 2048
	// maxNoticeOptionSize is the maximum size in bytes of the data of a notice
	// option: a 2-byte length, the notice and padding.
	maxNoticeOptionSize = 124
)

// Flags of a hop list, for the fields More and Must of bramleyfall.HopList.
const (
	flagMore uint8 = 1 << iota
	flagMust
)

// Message is a decoded tunnel packet. Its byte slices alias the input of Decode.
type Message struct {
	// HasHops is set if the packet has a hop list, which is then in List.
	HasHops bool
	List    bramleyfall.HopList
	// Refusal and RetryAfter are set on a reset with a refusal option: no upstream
	// has processed the request, and the caller may retry after RetryAfter.
	Refusal    bramleyfall.ResultCode
	RetryAfter time.Duration
	// Notice is a control message sealed with a fleet key. If it is set, Packet is
	// not valid.
	Notice []byte
	Packet bramleyfall.Packet
}

// Codec encodes and decodes tunnel packets. It reuses its memory across packets and
// is not safe for concurrent use. The zero value is ready to use.
type Codec struct {
	incoming   layers.Geneve
	outgoing   layers.Geneve
	option     layers.GeneveOption
	options    [1]*layers.GeneveOption
	ip         layers.IPv4
	tcp        layers.TCP
	udp        layers.UDP
	optionData [hopListHeaderSize + bramleyfall.MaxHops*hopSize]byte
}

var errMalformed = &bramleyfall.Error{Code: bramleyfall.MalformedPacket, Message: "malformed packet"}

func malformed(reason string) error { return errors.Wrap(errMalformed, reason) }

// Decode decodes a tunnel packet into m. The error's code is MalformedPacket.
func (c *Codec) Decode(data []byte, m *Message) error {
	m.HasHops = false
	m.Refusal = bramleyfall.OK
	m.RetryAfter = 0
	m.Notice = nil
	if len(data) < headerSize {
		return malformed("shorter than a Geneve header")
	}
	if int(data[0]&0x3f)*4 > maxOptionsSize {
		return malformed("Geneve options too long")
	}
	if err := c.incoming.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return malformed(err.Error())
	}
	if c.incoming.Version != 0 {
		return malformed("unsupported Geneve version")
	}
	for _, o := range c.incoming.Options {
		if err := decodeOption(o, m); err != nil {
			return err
		}
	}
	if m.Notice != nil {
		return nil
	}
	if c.incoming.Protocol != layers.EthernetTypeIPv4 {
		return malformed("tunnel payload is not IPv4")
	}
	return c.DecodeIP(c.incoming.Payload, &m.Packet)
}

func decodeOption(o *layers.GeneveOption, m *Message) error {
	if o.Class != optionClass {
		return malformed("unknown option class")
	}
	switch o.Type {
	case optionHops:
		m.HasHops = true
		return decodeHops(o.Data, &m.List)
	case optionRefusal:
		if len(o.Data) != refusalOptionSize {
			return malformed("refusal option has the wrong size")
		}
		m.Refusal = bramleyfall.ResultCode(binary.BigEndian.Uint32(o.Data))
		m.RetryAfter = time.Duration(binary.BigEndian.Uint32(o.Data[4:])) * time.Millisecond
		return nil
	case optionNotice:
		if len(o.Data) < 4 || int(binary.BigEndian.Uint16(o.Data)) > len(o.Data)-2 {
			return malformed("notice option has the wrong size")
		}
		m.Notice = o.Data[2 : 2+binary.BigEndian.Uint16(o.Data)]
		return nil
	}
	return malformed("unknown option type")
}

func decodeHops(data []byte, l *bramleyfall.HopList) error {
	if len(data) < hopListHeaderSize {
		return malformed("hop list too short")
	}
	count := data[18]
	if count == 0 || count > bramleyfall.MaxHops || len(data) != hopListHeaderSize+int(count)*hopSize {
		return malformed("hop count out of range or inconsistent with the option size")
	}
	if data[19] >= count || data[20] >= bramleyfall.MaxPages {
		return malformed("hop index or page out of range")
	}
	l.Revision = bramleyfall.Revision(binary.BigEndian.Uint64(data))
	l.Service = bramleyfall.ServiceKey(binary.BigEndian.Uint32(data[8:]))
	l.Balancer = decodeEndpoint(data[12:])
	l.Count, l.Index, l.Page = count, data[19], data[20]
	l.More = data[21]&flagMore != 0
	l.Must = data[21]&flagMust != 0
	for i := range int(count) {
		decodeHop(data[hopListHeaderSize+i*hopSize:], &l.Hops[i])
	}
	return nil
}

func decodeHop(data []byte, h *bramleyfall.Hop) {
	h.Upstream = bramleyfall.InstanceKey(binary.BigEndian.Uint64(data))
	h.Boot = bramleyfall.BootID(binary.BigEndian.Uint64(data[8:]))
	h.Address = decodeEndpoint(data[16:])
	h.Load = binary.BigEndian.Uint16(data[22:])
}

func decodeEndpoint(data []byte) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte(data[:4]), Port: binary.BigEndian.Uint16(data[4:])}
}

// DecodeIP decodes the IPv4 and transport headers of raw into p. Fragments and
// transports other than TCP and UDP are errors.
func (c *Codec) DecodeIP(raw []byte, p *bramleyfall.Packet) error {
	if err := c.ip.DecodeFromBytes(raw, gopacket.NilDecodeFeedback); err != nil {
		return malformed(err.Error())
	}
	if c.ip.FragOffset != 0 || c.ip.Flags&layers.IPv4MoreFragments != 0 {
		return malformed("fragment")
	}
	if int(c.ip.Length) != len(raw) {
		return malformed("IPv4 total length differs from the packet size")
	}
	p.Raw = raw
	p.Flow.Source.IP = [4]byte(c.ip.SrcIP)
	p.Flow.Destination.IP = [4]byte(c.ip.DstIP)
	p.Flow.Protocol = bramleyfall.Protocol(c.ip.Protocol)
	switch p.Flow.Protocol {
	case bramleyfall.TCP:
		return c.decodeTCP(p)
	case bramleyfall.UDP:
		return c.decodeUDP(p)
	}
	return malformed("transport protocol is neither TCP nor UDP")
}

func (c *Codec) decodeTCP(p *bramleyfall.Packet) error {
	if err := c.tcp.DecodeFromBytes(c.ip.Payload, gopacket.NilDecodeFeedback); err != nil {
		return malformed(err.Error())
	}
	p.Flow.Source.Port = uint16(c.tcp.SrcPort)
	p.Flow.Destination.Port = uint16(c.tcp.DstPort)
	p.HasAck = c.tcp.ACK
	p.Sequence = c.tcp.Seq
	p.Ack = c.tcp.Ack
	p.Length = uint32(len(c.tcp.Payload))
	p.Kind = tcpKind(&c.tcp)
	return nil
}

func tcpKind(t *layers.TCP) bramleyfall.PacketKind {
	switch {
	case t.RST:
		return bramleyfall.KindReset
	case t.SYN && t.ACK:
		return bramleyfall.KindOpeningReply
	case t.SYN:
		return bramleyfall.KindOpening
	case t.FIN:
		return bramleyfall.KindFinish
	}
	return bramleyfall.KindData
}

func (c *Codec) decodeUDP(p *bramleyfall.Packet) error {
	if err := c.udp.DecodeFromBytes(c.ip.Payload, gopacket.NilDecodeFeedback); err != nil {
		return malformed(err.Error())
	}
	p.Flow.Source.Port = uint16(c.udp.SrcPort)
	p.Flow.Destination.Port = uint16(c.udp.DstPort)
	p.HasAck = false
	p.Sequence, p.Ack = 0, 0
	p.Length = uint32(len(c.udp.Payload))
	p.Kind = bramleyfall.KindData
	if isQUICInitial(c.udp.Payload) {
		p.Kind = bramleyfall.KindOpening
	}
	return nil
}

// isQUICInitial reports whether payload starts with the long header of an
// Initial packet of QUIC version 1 (RFC 9000, section 17.2.2).
func isQUICInitial(payload []byte) bool {
	const version1 = 1
	return len(payload) >= 7 && payload[0]&0xF0 == 0xC0 && binary.BigEndian.Uint32(payload[1:]) == version1
}
