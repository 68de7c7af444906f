// Package platform holds the stand-ins of the review for the users' platform: its
// store, its routers, and the clients and servers that exchange packets through the
// programs under test.
package platform

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN     = 2
	flagFIN     = 4
	flagACK     = 16
	flagRST     = 32
	flagBounced = 64
)

const headerSize = 31

// packet is one datagram of a flow.
type packet struct {
	src, dst     netip.AddrPort
	flags        byte
	seq, ack     uint32
	sum          uint32
	data         []byte
	genuine      bool // the sum is that of its sender
	resetOfOwner bool // a reset that an end wrote, not the system
}

// sumKey is known to the two ends of a flow only.
const sumKey = "known to clients and servers only"

// keyedSum is computed over all fields but echo and the BOUNCED flag.
func keyedSum(raw []byte) uint32 {
	var head [headerSize]byte
	copy(head[:], raw)
	for i := 8; i < 12; i++ {
		head[i] = 0
	}
	head[14] &^= flagBounced
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(head[:27])
	_, _ = h.Write(raw[headerSize:])
	if s := h.Sum32(); s != 0 {
		return s
	}
	return 1 // zero marks a reset of the system
}

func putAddress(raw []byte, ip, port int, a netip.AddrPort) {
	b := a.Addr().As4()
	binary.LittleEndian.PutUint32(raw[ip:], binary.BigEndian.Uint32(b[:]))
	binary.LittleEndian.PutUint16(raw[port:], a.Port())
}

func address(raw []byte, ip, port int) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], binary.LittleEndian.Uint32(raw[ip:]))
	return netip.AddrPortFrom(netip.AddrFrom4(b), binary.LittleEndian.Uint16(raw[port:]))
}

// encode returns the datagram of p with the keyed sum of its sender.
func (p *packet) encode() []byte {
	raw := make([]byte, headerSize+len(p.data))
	binary.LittleEndian.PutUint32(raw[0:], p.seq)
	binary.LittleEndian.PutUint32(raw[4:], p.ack)
	binary.LittleEndian.PutUint16(raw[12:], uint16(len(p.data)))
	raw[14] = p.flags
	putAddress(raw, 17, 15, p.dst)
	putAddress(raw, 21, 25, p.src)
	copy(raw[headerSize:], p.data)
	binary.LittleEndian.PutUint32(raw[27:], keyedSum(raw))
	return raw
}

// decode parses a datagram.
func decode(raw []byte) (packet, bool) {
	if len(raw) < headerSize || int(binary.LittleEndian.Uint16(raw[12:])) != len(raw)-headerSize {
		return packet{}, false
	}
	p := packet{
		src: address(raw, 21, 25), dst: address(raw, 17, 15), flags: raw[14],
		seq: binary.LittleEndian.Uint32(raw[0:]), ack: binary.LittleEndian.Uint32(raw[4:]),
		sum: binary.LittleEndian.Uint32(raw[27:]), data: append([]byte(nil), raw[headerSize:]...),
	}
	p.genuine = p.sum == keyedSum(raw)
	p.resetOfOwner = p.flags&flagRST != 0 && p.genuine
	return p, true
}
