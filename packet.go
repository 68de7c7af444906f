package bramleyfall

import (
	"fmt"
	"slices"
)

// MaxHops is the greatest number of hops in a packet's hop list.
const MaxHops = 4

// MaxPages bounds how many hop lists are tried in turn for one packet, and so
// how far a packet without an owner travels.
const MaxPages = 4

// Hop is one upstream that a packet may be handed to.
type Hop struct {
	Upstream InstanceKey
	Boot     BootID
	Address  Endpoint
	// Load is the share of its connection limit that the agent had in use when
	// it passed the packet on, in 1/65535. Zero means not yet visited.
	Load uint16
}

// HopList is what a balancer adds to a packet: the upstreams to try in turn
// and the revision of the configuration that they were chosen by.
type HopList struct {
	Revision Revision
	Service  ServiceKey
	Balancer Endpoint
	Hops     [MaxHops]Hop
	Count    uint8
	Index    uint8
	Page     uint8
	// More is set when further pages exist.
	More bool
	// Must is set when all agents on the list were asked and the one at Index
	// is the least loaded: it is the last to be offered the packet.
	Must bool
}

// Current returns the hop that Index points at.
func (l *HopList) Current() *Hop { return &l.Hops[l.Index] }

// Last reports whether no hop follows the current one.
func (l *HopList) Last() bool { return l.Index+1 >= l.Count }

// PacketKind tells apart the packets of a flow that decisions depend on.
type PacketKind uint8

// The kinds of packet.
const (
	// KindData is any packet of a flow that is under way.
	KindData PacketKind = iota
	// KindOpening opens a flow: a TCP SYN without ACK, or a QUIC Initial.
	KindOpening
	// KindOpeningReply is the TCP SYN with ACK of an upstream.
	KindOpeningReply
	// KindFinish carries a TCP FIN.
	KindFinish
	// KindReset carries a TCP RST.
	KindReset
)

var packetKinds = []string{"Data", "Opening", "OpeningReply", "Finish", "Reset"}

// MarshalText writes the name of k.
func (k PacketKind) MarshalText() ([]byte, error) { return []byte(packetKinds[k]), nil }

// UnmarshalText reads the name of a kind.
func (k *PacketKind) UnmarshalText(text []byte) error {
	i := slices.Index(packetKinds, string(text))
	if i < 0 {
		return fmt.Errorf("unknown kind of packet %q", text)
	}
	*k = PacketKind(i)
	return nil
}

// Packet is an IP packet with the header fields that decisions depend on.
// Raw aliases the receive buffer and is valid until the next read.
type Packet struct {
	Flow     Flow
	Kind     PacketKind
	HasAck   bool
	Sequence uint32
	Ack      uint32
	// Length is the number of payload bytes after the transport header.
	Length uint32
	// Repeat counts how often the caller has sent this opening before, where the
	// protocol tells.
	Repeat uint32 `json:",omitempty"`
	// Returned is set on a packet that an upstream did not take. Tag is the mark
	// that it was delivered with.
	Returned bool   `json:",omitempty"`
	Tag      uint32 `json:",omitempty"`
	Raw      []byte `json:"-"`
}

// End returns the sequence number that follows the packet.
func (p *Packet) End() uint32 {
	end := p.Sequence + p.Length
	if p.Kind == KindOpening || p.Kind == KindOpeningReply || p.Kind == KindFinish {
		end++
	}
	return end
}

// ActionKind says what is to be done with a packet.
type ActionKind string

// The kinds of action.
const (
	// ActionDeliver hands the packet to the upstream.
	ActionDeliver ActionKind = "Deliver"
	// ActionReturn hands the packet to the caller.
	ActionReturn ActionKind = "Return"
	// ActionPass sends the packet to the hop at the list's index.
	ActionPass ActionKind = "Pass"
	// ActionNextPage sends the packet back to the balancer for further hops.
	ActionNextPage ActionKind = "NextPage"
	// ActionRefuse answers an opening that no upstream received with a reset.
	ActionRefuse ActionKind = "Refuse"
	// ActionReset answers the caller with a reset and frees the upstream.
	ActionReset ActionKind = "Reset"
	// ActionProbe sends a keepalive probe to a silent end.
	ActionProbe ActionKind = "Probe"
	// ActionDrop discards the packet.
	ActionDrop ActionKind = "Drop"
)

// Action is a decision of a Gate. The packet that it concerns is the one that
// was decided on, unless Send holds packets that the agent makes up.
type Action struct {
	Kind ActionKind
	Code ResultCode
	Flow Flow
	// Opened is set on the decision that opened or placed a flow.
	Opened bool
	// RetryAfter tells a refused caller when to come back.
	RetryAfter Duration
	// ToCaller and ToUpstream are control segments to make up and send.
	ToCaller   *Segment
	ToUpstream *Segment
	// HeldPacket holds a packet that was kept and is to be passed on now, with the
	// list it came with.
	HeldPacket  []byte
	HeldHopList *HopList
}

// Segment is a TCP segment without payload that an agent makes up.
type Segment struct {
	Flow     Flow
	Sequence uint32
	Ack      uint32
	Reset    bool
	HasAck   bool
}
