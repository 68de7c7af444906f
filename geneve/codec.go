// Package geneve speaks the tunnel protocol of RFC 8926 that joins the fabric,
// the balancers, the agents and the upstreams. The tunnel carries whole IPv4
// packets; a private option carries the hop list.
package geneve

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"bramleyfall.example/bramleyfall"
)

// The option class and types of the project, from the experimental range of
// RFC 8926, section 4.3.
const (
	optionClass   uint16 = 0xFF0B
	optionHops    uint8  = 1
	optionRefusal uint8  = 2
	optionNotice  uint8  = 3
)

const (
	// hopListHeader is the number of bytes before the first hop.
	hopListHeader = 24
	// hopSize is the number of bytes of one hop.
	hopSize = 24
	// maxOptions is the number of option bytes that a decoder accepts.
	maxOptions = 252 - headerSize
	headerSize = 8
	// refusalSize is the number of bytes of the refusal option.
	refusalSize = 8
	// MaxPacket is the greatest size in bytes of a tunnelled packet.
	MaxPacket = 2048
	// maxNotice is the greatest size in bytes of a notice.
	maxNotice = 124
)

const (
	flagMore uint8 = 1 << iota
	flagMust
)

// Message is a decoded tunnel packet. Its byte slices alias the input.
type Message struct {
	// HasHops is set when List is valid.
	HasHops bool
	List    bramleyfall.HopList
	// Refusal and RetryAfter are set on a reset that says "not run".
	Refusal    bramleyfall.ResultCode
	RetryAfter time.Duration
	// Notice is a sealed control message; such a message holds no packet.
	Notice []byte
	Packet bramleyfall.Packet
}

// Codec decodes and encodes tunnel packets and reuses its memory. A Codec is
// not safe for concurrent use; the zero value is ready.
type Codec struct {
	tunnel   layers.Geneve
	outgoing layers.Geneve
	option   layers.GeneveOption
	options  [1]*layers.GeneveOption
	ip       layers.IPv4
	tcp      layers.TCP
	udp      layers.UDP
	scratch  [hopListHeader + bramleyfall.MaxHops*hopSize]byte
}

var errMalformed = &bramleyfall.Error{Code: bramleyfall.MalformedPacket, Message: "malformed packet"}

func malformed(reason string) error { return errors.Wrap(errMalformed, reason) }

// Decode reads a tunnel packet into m.
func (c *Codec) Decode(data []byte, m *Message) error {
	m.HasHops = false
	m.Refusal = bramleyfall.OK
	m.RetryAfter = 0
	m.Notice = nil
	if len(data) < headerSize {
		return malformed("shorter than a Geneve header")
	}
	if int(data[0]&0x3f)*4 > maxOptions {
		return malformed("options too long")
	}
	if err := c.tunnel.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return malformed(err.Error())
	}
	if c.tunnel.Version != 0 {
		return malformed("unknown Geneve version")
	}
	for _, o := range c.tunnel.Options {
		if err := decodeOption(o, m); err != nil {
			return err
		}
	}
	if m.Notice != nil {
		return nil
	}
	if c.tunnel.Protocol != layers.EthernetTypeIPv4 {
		return malformed("payload is not IPv4")
	}
	return c.DecodeIP(c.tunnel.Payload, &m.Packet)
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
		if len(o.Data) != refusalSize {
			return malformed("refusal option has a wrong size")
		}
		m.Refusal = bramleyfall.ResultCode(binary.BigEndian.Uint32(o.Data))
		m.RetryAfter = time.Duration(binary.BigEndian.Uint32(o.Data[4:])) * time.Millisecond
		return nil
	case optionNotice:
		if len(o.Data) < 4 || int(binary.BigEndian.Uint16(o.Data)) > len(o.Data)-2 {
			return malformed("notice option has a wrong size")
		}
		m.Notice = o.Data[2 : 2+binary.BigEndian.Uint16(o.Data)]
		return nil
	}
	return malformed("unknown option type")
}

func decodeHops(data []byte, l *bramleyfall.HopList) error {
	if len(data) < hopListHeader {
		return malformed("hop list too short")
	}
	count := data[18]
	if count == 0 || count > bramleyfall.MaxHops || len(data) != hopListHeader+int(count)*hopSize {
		return malformed("hop list has a wrong count")
	}
	if data[19] >= count || data[20] >= bramleyfall.MaxPages {
		return malformed("hop index out of range")
	}
	l.Revision = bramleyfall.Revision(binary.BigEndian.Uint64(data))
	l.Service = bramleyfall.ServiceKey(binary.BigEndian.Uint32(data[8:]))
	l.Balancer = decodeEndpoint(data[12:])
	l.Count, l.Index, l.Page = count, data[19], data[20]
	l.More = data[21]&flagMore != 0
	l.Must = data[21]&flagMust != 0
	for i := range int(count) {
		decodeHop(data[hopListHeader+i*hopSize:], &l.Hops[i])
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

// DecodeIP reads the IPv4 and transport headers of raw into p.
func (c *Codec) DecodeIP(raw []byte, p *bramleyfall.Packet) error {
	if err := c.ip.DecodeFromBytes(raw, gopacket.NilDecodeFeedback); err != nil {
		return malformed(err.Error())
	}
	if c.ip.FragOffset != 0 || c.ip.Flags&layers.IPv4MoreFragments != 0 {
		return malformed("fragment")
	}
	if int(c.ip.Length) != len(raw) {
		return malformed("IPv4 length differs from the payload")
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
	return malformed("transport is neither TCP nor UDP")
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
