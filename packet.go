package bramleyfall

import (
	"fmt"
	"slices"
)

// MaxHops is the maximum number of hops in a hop list.
const MaxHops = 4

// MaxPages is the maximum number of hop lists tried in turn for one packet. It
// bounds how far a packet without an owner is forwarded.
const MaxPages = 4

// Hop is an upstream to which a packet may be forwarded.
type Hop struct {
	Upstream InstanceKey
	Boot     BootID
	Address  Endpoint
	// Load is the fraction of its connection limit that the agent had in use
	// when it forwarded the packet, in units of 1/65535. Zero means that the hop
	// has not been visited yet.
	Load uint16
}

// HopList is the header that a balancer adds to a packet: the upstreams to try
// in order and the configuration revision by which they were selected.
type HopList struct {
	Revision Revision
	Service  ServiceKey
	Balancer Endpoint
	Hops     [MaxHops]Hop
	Count    uint8
	Index    uint8
	Page     uint8
	// More is set if further pages exist.
	More bool
	// Must is set when all agents on the list have passed on the opening, some of
	// them only to balance the load. Index is then that of the least loaded of these,
	// which may no longer pass it on for this reason.
	Must bool
}

// Current returns the hop at Index.
func (l *HopList) Current() *Hop { return &l.Hops[l.Index] }

// Last reports whether the current hop is the last one.
func (l *HopList) Last() bool { return l.Index+1 >= l.Count }

// PacketKind classifies packets by their role in a flow.
type PacketKind uint8

// Kinds of packet.
const (
	// KindData is a packet of an open flow that is of no other kind.
	KindData PacketKind = iota
	// KindOpening opens a flow: a TCP SYN without ACK, or a QUIC Initial.
	KindOpening
	// KindOpeningReply is an upstream's TCP SYN with ACK.
	KindOpeningReply
	// KindFinish carries a TCP FIN.
	KindFinish
	// KindReset carries a TCP RST.
	KindReset
)

var packetKindNames = []string{"Data", "Opening", "OpeningReply", "Finish", "Reset"}

// MarshalText implements encoding.TextMarshaler.
func (k PacketKind) MarshalText() ([]byte, error) { return []byte(packetKindNames[k]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *PacketKind) UnmarshalText(text []byte) error {
	i := slices.Index(packetKindNames, string(text))
	if i < 0 {
		return fmt.Errorf("unknown packet kind %q", text)
	}
	*k = PacketKind(i)
	return nil
}

// Packet is an IP packet with the decoded header fields on which decisions are
// based. Raw aliases the receive buffer and is valid until the next read.
type Packet struct {
	Flow     Flow
	Kind     PacketKind
	HasAck   bool
	Sequence uint32
	Ack      uint32
	// Length is the number of payload bytes after the transport header.
	Length uint32
	// Repeat is the number of times that the caller has already sent this
	// opening, if the protocol carries it.
	Repeat uint32 `json:",omitempty"`
	// Returned is set on a packet that the upstream rejected and sent back. Tag
	// is the tag with which it was delivered.
	Returned bool   `json:",omitempty"`
	Tag      uint32 `json:",omitempty"`
	Raw      []byte `json:"-"`
}

// End returns the sequence number that follows the packet. SYN and FIN each
// consume one sequence number.
func (p *Packet) End() uint32 {
	end := p.Sequence + p.Length
	if p.Kind == KindOpening || p.Kind == KindOpeningReply || p.Kind == KindFinish {
		end++
	}
	return end
}

// ActionKind is what to do with a packet.
type ActionKind string

// Kinds of action.
const (
	// ActionDeliver delivers the packet to the upstream.
	ActionDeliver ActionKind = "Deliver"
	// ActionReturn sends the packet to the caller.
	ActionReturn ActionKind = "Return"
	// ActionPass forwards the packet to the current hop of the hop list. Without a
	// hop list, packages admission and placement define the destination.
	ActionPass ActionKind = "Pass"
	// ActionNextPage sends the packet back to the balancer for the next page of
	// hops.
	ActionNextPage ActionKind = "NextPage"
	// ActionRefuse sends a reset in response to an opening that no upstream accepts,
	// or to a packet of a flow that no upstream owns.
	ActionRefuse ActionKind = "Refuse"
	// ActionReset sends a reset to the caller and closes the flow at the
	// upstream.
	ActionReset ActionKind = "Reset"
	// ActionProbe sends a keepalive probe to the silent end of a flow.
	ActionProbe ActionKind = "Probe"
	// ActionDrop discards the packet.
	ActionDrop ActionKind = "Drop"
)

// Action is a decision of a PacketFilter. It applies to HeldPacket if that is
// set, otherwise to the packet passed to FromCaller or FromUpstream.
type Action struct {
	Kind ActionKind
	Code ResultCode
	Flow Flow
	// Opened is set if the decision opened or placed the flow.
	Opened bool
	// RetryAfter is how long a refused caller should wait before a retry.
	RetryAfter Duration
	// ToCaller and ToUpstream are control segments that the agent generates and
	// sends.
	ToCaller   *Segment
	ToUpstream *Segment
	// HeldPacket is a packet that was buffered earlier and must be processed
	// now, HeldHopList the hop list with which it was received.
	HeldPacket  []byte
	HeldHopList *HopList
}

// Segment is a TCP segment without payload that an agent generates.
type Segment struct {
	Flow     Flow
	Sequence uint32
	Ack      uint32
	Reset    bool
	HasAck   bool
}
