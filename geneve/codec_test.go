package geneve_test

import (
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/geneve"
)

var flow = bramleyfall.Flow{
	Source:      bramleyfall.Endpoint{IP: [4]byte{127, 0, 0, 4}, Port: 5555},
	Destination: bramleyfall.Endpoint{IP: [4]byte{127, 0, 9, 1}, Port: 443},
	Protocol:    bramleyfall.TCP,
}

// fullHopList returns a hop list with the maximum number of hops and all flags set.
func fullHopList() *bramleyfall.HopList {
	l := &bramleyfall.HopList{
		Revision: 7, Service: 9, Balancer: flow.Source, Count: bramleyfall.MaxHops, Index: 2, Page: 1, More: true, Must: true,
	}
	for i := range l.Hops {
		l.Hops[i] = bramleyfall.Hop{Upstream: bramleyfall.InstanceKey(i + 1), Boot: 5, Address: flow.Destination, Load: 77}
	}
	return l
}

// encodePacket returns a tunnel packet with a TCP segment and, if list is not nil, the
// hop list.
func encodePacket(is *is.I, list *bramleyfall.HopList) []byte {
	raw, err := geneve.EncodeTCP(geneve.TCPFields{Flow: flow, Sequence: 3, Ack: 4, ACK: true, Payload: []byte("hello")})
	is.NoErr(err)
	buffer := gopacket.NewSerializeBuffer()
	var c geneve.Codec
	if list == nil {
		is.NoErr(c.EncodePlain(buffer, raw))
	} else {
		is.NoErr(c.Encode(buffer, list, raw))
	}
	return buffer.Bytes()
}

func TestHopListSurvivesTheTunnel(t *testing.T) {
	is := is.New(t)
	var c geneve.Codec
	var m geneve.Message
	is.NoErr(c.Decode(encodePacket(is, fullHopList()), &m))
	is.True(m.HasHops)
	is.Equal(m.List, *fullHopList())
	is.Equal(m.Packet.Flow, flow)
	is.Equal(string(geneve.Payload(&m.Packet)), "hello")
}

func TestRefusalSurvivesTheTunnel(t *testing.T) {
	is := is.New(t)
	var c geneve.Codec
	var m geneve.Message
	raw, err := geneve.EncodeTCP(geneve.TCPFields{Flow: flow, Reset: true})
	is.NoErr(err)
	buffer := gopacket.NewSerializeBuffer()
	is.NoErr(c.EncodeRefusal(buffer, bramleyfall.NotRunFull, 1500*time.Millisecond, raw))
	is.NoErr(c.Decode(buffer.Bytes(), &m))
	is.Equal(m.Refusal, bramleyfall.NotRunFull)
	is.Equal(m.RetryAfter, 1500*time.Millisecond)
	is.Equal(m.Packet.Kind, bramleyfall.KindReset)
}

func TestMalformedPacketsAreErrors(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func([]byte) []byte
	}{
		{"empty", func([]byte) []byte { return nil }},
		{"truncated header", func(b []byte) []byte { return b[:6] }},
		{"truncated option", func(b []byte) []byte { return b[:40] }},
		{"truncated packet", func(b []byte) []byte { return b[:len(b)-3] }},
		{"trailing bytes", func(b []byte) []byte { return append(b, 0) }},
		{"unsupported version", func(b []byte) []byte { b[0] |= 0x40; return b }},
		{"not IPv4", func(b []byte) []byte { b[2] = 0x86; b[3] = 0xdd; return b }},
		{"options longer than the packet", func(b []byte) []byte { b[0] = 0x3f; return b }},
		{"unknown option class", func(b []byte) []byte { b[8] = 1; return b }},
		{"unknown option type", func(b []byte) []byte { b[10] = 99; return b }},
		{"hop count is zero", func(b []byte) []byte { b[12+18] = 0; return b }},
		{"hop count exceeds the option size", func(b []byte) []byte { b[12+18] = 200; return b }},
		{"hop index out of range", func(b []byte) []byte { b[12+19] = 4; return b }},
		{"page out of range", func(b []byte) []byte { b[12+20] = 9; return b }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var c geneve.Codec
			var m geneve.Message
			err := c.Decode(test.corrupt(encodePacket(is, fullHopList())), &m)
			is.Equal(bramleyfall.CodeOf(err), bramleyfall.MalformedPacket)
		})
	}
}

// FuzzDecode checks that Decode does not panic, and that the hop list of a packet
// that it accepts is the same after encoding and decoding.
func FuzzDecode(f *testing.F) {
	is := is.New(f)
	f.Add(encodePacket(is, fullHopList()))
	f.Add(encodePacket(is, nil))
	f.Add([]byte{0, 0, 8, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var c geneve.Codec
		var m geneve.Message
		if c.Decode(data, &m) != nil || m.Notice != nil || !m.HasHops {
			return
		}
		list := m.List
		buffer := gopacket.NewSerializeBuffer()
		if err := c.Encode(buffer, &list, m.Packet.Raw); err != nil {
			t.Fatal(err)
		}
		var again geneve.Message
		if err := c.Decode(buffer.Bytes(), &again); err != nil {
			t.Fatal(err)
		}
		if again.List != list {
			t.Fatalf("hop list %+v was decoded as %+v", list, again.List)
		}
	})
}
