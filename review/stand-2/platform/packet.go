// Package platform holds the stand-ins of the review for the users' platform: its
// store, its routers, its servers and its clients, as the users' pages describe them.
// It runs on loopback addresses and the real clock.
package platform

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Layout of the packet header.
const (
	offsetSeq   = 0
	offsetAck   = 4
	offsetEcho  = 8
	offsetLen   = 12
	offsetFlags = 14
	offsetDport = 15
	offsetDst   = 17
	offsetSrc   = 21
	offsetSport = 25
	offsetSum   = 27
	headerSize  = 31
	maxDatagram = 2048
)

// Flags of a packet.
const (
	flagSYN     = 2
	flagFIN     = 4
	flagACK     = 16
	flagRST     = 32
	flagBounced = 64
)

// packet is a packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     string
	// sum is the checksum that was received.
	sum uint32
}

func putAddr(b []byte, a netip.Addr) {
	v := a.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(v[:]))
}

func getAddr(b []byte, port uint16) netip.AddrPort {
	var v [4]byte
	binary.BigEndian.PutUint32(v[:], binary.LittleEndian.Uint32(b))
	return netip.AddrPortFrom(netip.AddrFrom4(v), port)
}

// checksum covers all fields except echo and the flag BOUNCED.
func checksum(b []byte) uint32 {
	c := append([]byte("key of the ends"), b...)
	h := c[len("key of the ends"):]
	clear(h[offsetEcho : offsetEcho+4])
	clear(h[offsetSum : offsetSum+4])
	h[offsetFlags] &^= flagBounced
	return crc32.ChecksumIEEE(c) | 1
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.LittleEndian.PutUint32(b[offsetSeq:], p.seq)
	binary.LittleEndian.PutUint32(b[offsetAck:], p.ack)
	binary.LittleEndian.PutUint16(b[offsetLen:], uint16(len(p.data)))
	b[offsetFlags] = p.flags
	binary.LittleEndian.PutUint16(b[offsetDport:], p.dst.Port())
	putAddr(b[offsetDst:], p.dst.Addr())
	putAddr(b[offsetSrc:], p.src.Addr())
	binary.LittleEndian.PutUint16(b[offsetSport:], p.src.Port())
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[offsetSum:], checksum(b))
	return b
}

// decode decodes a packet. It reports whether the checksum is that of its sender.
func decode(b []byte) (p packet, sound bool) {
	if len(b) < headerSize {
		return p, false
	}
	p = packet{
		src:   getAddr(b[offsetSrc:], binary.LittleEndian.Uint16(b[offsetSport:])),
		dst:   getAddr(b[offsetDst:], binary.LittleEndian.Uint16(b[offsetDport:])),
		flags: b[offsetFlags], seq: binary.LittleEndian.Uint32(b[offsetSeq:]), ack: binary.LittleEndian.Uint32(b[offsetAck:]),
		data: string(b[headerSize:]), sum: binary.LittleEndian.Uint32(b[offsetSum:]),
	}
	return p, p.sum == checksum(b)
}
