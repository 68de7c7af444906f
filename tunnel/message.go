// Package tunnel holds the messages between balancers and agents: packets on
// their way, and what an agent says of its upstream with each of them.
package tunnel

import (
	"encoding/binary"
	"math"
	"time"

	"bramleyfall.example/bramleyfall"
)

// Kind tells what a message is.
type Kind uint8

// The kinds of message.
const (
	// Forward carries a caller's packet to the agent that it was placed at, or
	// that holds its flow.
	Forward Kind = iota + 1
	// Lookup asks an agent whether its upstream holds a flow.
	Lookup
	// Offer carries a caller's packet to an agent that can't tell whether its
	// upstream holds the flow.
	Offer
	// Probe asks an agent for a report.
	Probe
	// Return hands a forwarded packet back to the balancer, with the reason.
	Return
	// Owned tells a balancer that the agent's upstream holds a flow.
	Owned
	// NotOwned tells a balancer that the agent's upstream doesn't hold a flow.
	NotOwned
	// OwnershipUnknown tells a balancer that the agent, which has started lately, can't tell.
	OwnershipUnknown
	// Report carries the load alone.
	Report
	lastKind = Report
)

// Message is a message between a balancer and an agent.
type Message struct {
	Kind Kind
	// LastResort is set on an opening that every other upstream has refused, Idempotent
	// on one whose requests may be repeated.
	LastResort, Idempotent bool
	// Unlisted is set in a probe where the agent's entry is gone from the store.
	Unlisted bool
	// Code is why a packet is returned.
	Code bramleyfall.ResultCode
	// Version is the sender's version of the configuration, Changed the store's
	// revision of the last change that it knows of what operators have set.
	Version bramleyfall.ConfigVersion
	Changed bramleyfall.Revision
	// Service is the service that the balancer chose.
	Service bramleyfall.ServiceKey
	// Priority and Objective are those of the route, for openings. The objective
	// is carried in milliseconds.
	Priority  bramleyfall.Priority
	Objective time.Duration
	// Load and Boot are the upstream's, in messages of agents.
	Load bramleyfall.Load
	Boot bramleyfall.BootID
	// Flow names the flow in lookups and their answers, and Ack the caller's last
	// acknowledgement on it.
	Flow bramleyfall.Flow
	Ack  uint32
	// Raw is the packet. It aliases the buffer that was decoded.
	Raw []byte
}

// The bits of the flags.
const (
	flagMust       = 1
	flagIdempotent = 2
	flagUnlisted   = 4
)

// The head of a message, in network byte order.
const (
	magic            = 0xB7
	offsetKind       = 1
	offsetFlags      = 2
	offsetPriority   = 3
	offsetCode       = 4
	offsetState      = 6
	offsetVersion    = 8
	offsetService    = 16
	offsetSlots      = 20
	offsetBusy       = 22
	offsetFlows      = 24
	offsetUse        = 26
	offsetBoot       = 28
	offsetSource     = 36
	offsetSourcePort = 40
	offsetTarget     = 42
	offsetTargetPort = 46
	offsetObjective  = 48
	offsetAck        = 50
	offsetChanged    = 54
	headSize         = 62
)

var states = []bramleyfall.UpstreamState{
	bramleyfall.UpstreamUnknown, bramleyfall.UpstreamCold, bramleyfall.UpstreamReady,
	bramleyfall.UpstreamDraining, bramleyfall.UpstreamSilent, bramleyfall.UpstreamFailing, bramleyfall.UpstreamTrial,
}

func stateNumber(state bramleyfall.UpstreamState) byte {
	for i, s := range states {
		if s == state {
			return byte(i)
		}
	}
	return 0
}

// Append appends the encoded message to b.
func Append(b []byte, m *Message) []byte {
	var head [headSize]byte
	head[0] = magic
	head[offsetKind] = byte(m.Kind)
	if m.LastResort {
		head[offsetFlags] |= flagMust
	}
	if m.Idempotent {
		head[offsetFlags] |= flagIdempotent
	}
	if m.Unlisted {
		head[offsetFlags] |= flagUnlisted
	}
	head[offsetPriority] = byte(m.Priority)
	head[offsetState] = stateNumber(m.Load.State)
	binary.BigEndian.PutUint16(head[offsetCode:], uint16(m.Code))
	binary.BigEndian.PutUint64(head[offsetVersion:], uint64(m.Version))
	binary.BigEndian.PutUint32(head[offsetService:], uint32(m.Service))
	binary.BigEndian.PutUint16(head[offsetSlots:], m.Load.Slots)
	binary.BigEndian.PutUint16(head[offsetBusy:], m.Load.Busy)
	binary.BigEndian.PutUint16(head[offsetFlows:], m.Load.Flows)
	binary.BigEndian.PutUint16(head[offsetUse:], m.Load.Utilization)
	binary.BigEndian.PutUint64(head[offsetBoot:], uint64(m.Boot))
	copy(head[offsetSource:], m.Flow.Source.IP[:])
	binary.BigEndian.PutUint16(head[offsetSourcePort:], m.Flow.Source.Port)
	binary.BigEndian.PutUint16(head[offsetObjective:], uint16(min(m.Objective.Milliseconds(), math.MaxUint16)))
	binary.BigEndian.PutUint32(head[offsetAck:], m.Ack)
	binary.BigEndian.PutUint64(head[offsetChanged:], uint64(m.Changed))
	copy(head[offsetTarget:], m.Flow.Destination.IP[:])
	binary.BigEndian.PutUint16(head[offsetTargetPort:], m.Flow.Destination.Port)
	return append(append(b, head[:]...), m.Raw...)
}

// Decode reads a message.
func Decode(b []byte, m *Message) error {
	if len(b) < headSize || b[0] != magic || b[offsetKind] == 0 || Kind(b[offsetKind]) > lastKind || int(b[offsetState]) >= len(states) {
		return bramleyfall.Errorf(bramleyfall.MalformedMessage, "%d bytes are not a message between balancer and agent", len(b))
	}
	*m = Message{
		Kind:       Kind(b[offsetKind]),
		LastResort: b[offsetFlags]&flagMust != 0,
		Idempotent: b[offsetFlags]&flagIdempotent != 0,
		Unlisted:   b[offsetFlags]&flagUnlisted != 0,
		Priority:   bramleyfall.Priority(b[offsetPriority]),
		Objective:  time.Duration(binary.BigEndian.Uint16(b[offsetObjective:])) * time.Millisecond,
		Code:       bramleyfall.ResultCode(binary.BigEndian.Uint16(b[offsetCode:])),
		Version:    bramleyfall.ConfigVersion(binary.BigEndian.Uint64(b[offsetVersion:])),
		Changed:    bramleyfall.Revision(binary.BigEndian.Uint64(b[offsetChanged:])),
		Service:    bramleyfall.ServiceKey(binary.BigEndian.Uint32(b[offsetService:])),
		Load: bramleyfall.Load{
			State:       states[b[offsetState]],
			Slots:       binary.BigEndian.Uint16(b[offsetSlots:]),
			Busy:        binary.BigEndian.Uint16(b[offsetBusy:]),
			Flows:       binary.BigEndian.Uint16(b[offsetFlows:]),
			Utilization: binary.BigEndian.Uint16(b[offsetUse:]),
		},
		Boot: bramleyfall.BootID(binary.BigEndian.Uint64(b[offsetBoot:])),
		Flow: bramleyfall.Flow{
			Source:      endpoint(b, offsetSource, offsetSourcePort),
			Destination: endpoint(b, offsetTarget, offsetTargetPort),
			Protocol:    bramleyfall.TCP,
		},
		Ack: binary.BigEndian.Uint32(b[offsetAck:]),
		Raw: b[headSize:],
	}
	return nil
}

func endpoint(b []byte, address, port int) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte(b[address : address+4]), Port: binary.BigEndian.Uint16(b[port:])}
}
