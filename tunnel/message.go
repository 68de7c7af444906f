// Package tunnel defines the messages between balancers and agents and their
// binary encoding. Messages carry forwarded packets, flow lookups and the load
// of the agent's upstream. Package direct sends and receives them.
//
// An upstream owns the flows that are open at it. The agent of this upstream
// answers lookups for it and is also called the owner of the flow.
package tunnel

import (
	"encoding/binary"
	"math"
	"time"

	"bramleyfall.example/bramleyfall"
)

// Kind is the type of a message.
type Kind uint8

// Kinds of message.
const (
	// Forward carries a caller's packet to the agent that was selected for it or
	// that owns its flow.
	Forward Kind = iota + 1
	// Lookup asks an agent whether its upstream owns a flow.
	Lookup
	// TentativeForward carries a caller's packet to an agent that cannot tell
	// whether its upstream owns the flow. The upstream returns the packet if it
	// does not.
	TentativeForward
	// Probe requests a Report from an agent.
	Probe
	// Return sends a forwarded packet back to the balancer with the reason.
	Return
	// Owned tells a balancer that the agent's upstream owns a flow.
	Owned
	// NotOwned tells a balancer that the agent's upstream does not own a flow.
	NotOwned
	// MayBeOwned tells a balancer that the agent cannot tell whether its upstream
	// owns a flow, because the flow may have been opened before the agent started.
	MayBeOwned
	// Report carries only the load.
	Report
	lastKind = Report
)

// Message is a message between a balancer and an agent.
type Message struct {
	Kind Kind
	// LastResort is set on an opening for which no upstream is believed to have a
	// free slot, Idempotent on an opening whose requests may be repeated.
	LastResort, Idempotent bool
	// EntryMissing is set in a probe if the agent's entry is missing from the store.
	EntryMissing bool
	// Code is the reason for a Return.
	Code bramleyfall.ResultCode
	// Version is the sender's version of the configuration, Changed the store
	// revision of the last operator change known to the sender.
	Version bramleyfall.ConfigVersion
	Changed bramleyfall.Revision
	// Service is the service selected by the balancer.
	Service bramleyfall.ServiceKey
	// Priority and Objective are those of the route, for openings. Objective is
	// encoded in milliseconds and capped at 65535 ms.
	Priority  bramleyfall.Priority
	Objective time.Duration
	// Load and Boot are those of the upstream, in messages from agents.
	Load bramleyfall.Load
	Boot bramleyfall.BootID
	// Flow is the flow of a lookup or its response, Ack the caller's last
	// acknowledgement number on the flow.
	Flow bramleyfall.Flow
	Ack  uint32
	// Raw is the packet. After Decode it aliases the decoded buffer.
	Raw []byte
}

// Bits of the flags byte.
const (
	flagLastResort   = 1
	flagIdempotent   = 2
	flagEntryMissing = 4
)

// Layout of the message header: offsets in bytes, integers in network byte
// order.
const (
	magic                 = 0xB7
	offsetKind            = 1
	offsetFlags           = 2
	offsetPriority        = 3
	offsetCode            = 4
	offsetState           = 6
	offsetVersion         = 8
	offsetService         = 16
	offsetSlots           = 20
	offsetBusy            = 22
	offsetFlows           = 24
	offsetUtilization     = 26
	offsetBoot            = 28
	offsetSource          = 36
	offsetSourcePort      = 40
	offsetDestination     = 42
	offsetDestinationPort = 46
	offsetObjective       = 48
	offsetAck             = 50
	offsetChanged         = 54
	headerSize            = 62
)

// statesByCode maps the state code on the wire to the state. New states must be
// appended.
var statesByCode = []bramleyfall.UpstreamState{
	bramleyfall.UpstreamUnknown, bramleyfall.UpstreamCold, bramleyfall.UpstreamReady,
	bramleyfall.UpstreamDraining, bramleyfall.UpstreamSilent, bramleyfall.UpstreamFailing, bramleyfall.UpstreamTrial,
}

func encodeState(state bramleyfall.UpstreamState) byte {
	for i, s := range statesByCode {
		if s == state {
			return byte(i)
		}
	}
	return 0
}

// Append appends the encoding of m to b.
func Append(b []byte, m *Message) []byte {
	var header [headerSize]byte
	header[0] = magic
	header[offsetKind] = byte(m.Kind)
	if m.LastResort {
		header[offsetFlags] |= flagLastResort
	}
	if m.Idempotent {
		header[offsetFlags] |= flagIdempotent
	}
	if m.EntryMissing {
		header[offsetFlags] |= flagEntryMissing
	}
	header[offsetPriority] = byte(m.Priority)
	header[offsetState] = encodeState(m.Load.State)
	binary.BigEndian.PutUint16(header[offsetCode:], uint16(m.Code))
	binary.BigEndian.PutUint64(header[offsetVersion:], uint64(m.Version))
	binary.BigEndian.PutUint32(header[offsetService:], uint32(m.Service))
	binary.BigEndian.PutUint16(header[offsetSlots:], m.Load.Slots)
	binary.BigEndian.PutUint16(header[offsetBusy:], m.Load.Busy)
	binary.BigEndian.PutUint16(header[offsetFlows:], m.Load.Flows)
	binary.BigEndian.PutUint16(header[offsetUtilization:], m.Load.Utilization)
	binary.BigEndian.PutUint64(header[offsetBoot:], uint64(m.Boot))
	copy(header[offsetSource:], m.Flow.Source.IP[:])
	binary.BigEndian.PutUint16(header[offsetSourcePort:], m.Flow.Source.Port)
	binary.BigEndian.PutUint16(header[offsetObjective:], uint16(min(m.Objective.Milliseconds(), math.MaxUint16)))
	binary.BigEndian.PutUint32(header[offsetAck:], m.Ack)
	binary.BigEndian.PutUint64(header[offsetChanged:], uint64(m.Changed))
	copy(header[offsetDestination:], m.Flow.Destination.IP[:])
	binary.BigEndian.PutUint16(header[offsetDestinationPort:], m.Flow.Destination.Port)
	return append(append(b, header[:]...), m.Raw...)
}

// Decode decodes b into m. The Raw field of m aliases b.
func Decode(b []byte, m *Message) error {
	if len(b) < headerSize || b[0] != magic || b[offsetKind] == 0 || Kind(b[offsetKind]) > lastKind || int(b[offsetState]) >= len(statesByCode) {
		return bramleyfall.Errorf(bramleyfall.MalformedMessage, "malformed tunnel message of %d bytes", len(b))
	}
	*m = Message{
		Kind:         Kind(b[offsetKind]),
		LastResort:   b[offsetFlags]&flagLastResort != 0,
		Idempotent:   b[offsetFlags]&flagIdempotent != 0,
		EntryMissing: b[offsetFlags]&flagEntryMissing != 0,
		Priority:     bramleyfall.Priority(b[offsetPriority]),
		Objective:    time.Duration(binary.BigEndian.Uint16(b[offsetObjective:])) * time.Millisecond,
		Code:         bramleyfall.ResultCode(binary.BigEndian.Uint16(b[offsetCode:])),
		Version:      bramleyfall.ConfigVersion(binary.BigEndian.Uint64(b[offsetVersion:])),
		Changed:      bramleyfall.Revision(binary.BigEndian.Uint64(b[offsetChanged:])),
		Service:      bramleyfall.ServiceKey(binary.BigEndian.Uint32(b[offsetService:])),
		Load: bramleyfall.Load{
			State:       statesByCode[b[offsetState]],
			Slots:       binary.BigEndian.Uint16(b[offsetSlots:]),
			Busy:        binary.BigEndian.Uint16(b[offsetBusy:]),
			Flows:       binary.BigEndian.Uint16(b[offsetFlows:]),
			Utilization: binary.BigEndian.Uint16(b[offsetUtilization:]),
		},
		Boot: bramleyfall.BootID(binary.BigEndian.Uint64(b[offsetBoot:])),
		Flow: bramleyfall.Flow{
			Source:      decodeEndpoint(b, offsetSource, offsetSourcePort),
			Destination: decodeEndpoint(b, offsetDestination, offsetDestinationPort),
			Protocol:    bramleyfall.TCP,
		},
		Ack: binary.BigEndian.Uint32(b[offsetAck:]),
		Raw: b[headerSize:],
	}
	return nil
}

func decodeEndpoint(b []byte, address, port int) bramleyfall.Endpoint {
	return bramleyfall.Endpoint{IP: [4]byte(b[address : address+4]), Port: binary.BigEndian.Uint16(b[port:])}
}
