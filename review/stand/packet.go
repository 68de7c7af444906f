package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

// Packet flags of the platform's wire format.
const (
	flagSYN     = 2
	flagFIN     = 4
	flagACK     = 16
	flagRST     = 32
	flagBounced = 64

	headSize = 31
)

type addr struct {
	ip   [4]byte
	port uint16
}

func (a addr) String() string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", a.ip[0], a.ip[1], a.ip[2], a.ip[3], a.port)
}

type packet struct {
	seq, ack, echo uint32
	flags          byte
	src, dst       addr
	sum            uint32
	data           []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

func getIP(b []byte) [4]byte    { return [4]byte{b[3], b[2], b[1], b[0]} }
func putIP(b []byte, a [4]byte) { b[0], b[1], b[2], b[3] = a[3], a[2], a[1], a[0] }

// checksum is the keyed sum of a packet over all fields except echo and BOUNCED.
func checksum(p *packet) uint32 {
	h := fnv.New32a()
	fmt.Fprintf(h, "stand-in key|%d|%d|%d|%v|%v|", p.seq, p.ack, p.flags&^flagBounced, p.src, p.dst)
	h.Write(p.data)
	if s := h.Sum32(); s != 0 {
		return s
	}
	return 1
}

// encode returns the bytes of a packet that an end of a flow sends.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	le := binary.LittleEndian
	le.PutUint32(b[0:], p.seq)
	le.PutUint32(b[4:], p.ack)
	le.PutUint32(b[8:], p.echo)
	le.PutUint16(b[12:], uint16(len(p.data)))
	b[14] = p.flags
	le.PutUint16(b[15:], p.dst.port)
	putIP(b[17:], p.dst.ip)
	putIP(b[21:], p.src.ip)
	le.PutUint16(b[25:], p.src.port)
	le.PutUint32(b[27:], p.sum)
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize {
		return packet{}, false
	}
	le := binary.LittleEndian
	p := packet{
		seq: le.Uint32(b[0:]), ack: le.Uint32(b[4:]), echo: le.Uint32(b[8:]), flags: b[14],
		dst: addr{getIP(b[17:]), le.Uint16(b[15:])}, src: addr{getIP(b[21:]), le.Uint16(b[25:])}, sum: le.Uint32(b[27:]),
		data: append([]byte(nil), b[headSize:]...),
	}
	return p, int(le.Uint16(b[12:])) == len(p.data)
}
