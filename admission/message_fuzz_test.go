package admission_test

import (
	"testing"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/admission"
	"bramleyfall.example/bramleyfall/tunnel"
)

// FuzzBalancerMessage checks that no message of a balancer breaks an agent's decisions,
// whatever its numbers, and that the next ordinary opening is admitted.
func FuzzBalancerMessage(f *testing.F) {
	for _, m := range []tunnel.Message{
		{Kind: tunnel.Forward, Version: 1<<64 - 1, Priority: 255, Objective: 65535 * time.Millisecond, LastResort: true},
		{Kind: tunnel.TentativeForward, Changed: 1<<64 - 1},
		{Kind: tunnel.Lookup, Ack: 1<<32 - 1},
	} {
		f.Add(tunnel.Append(nil, &m), uint8(0))
	}
	f.Fuzz(func(t *testing.T, data []byte, kind uint8) {
		var m tunnel.Message
		if tunnel.Decode(data, &m) != nil {
			return
		}
		h := newHarness(t)
		packet := bramleyfall.Packet{Kind: bramleyfall.PacketKind(kind % 4), Flow: m.Flow, Ack: m.Ack, Raw: m.Raw}
		h.Ownership(m.Flow, m.Service, m.Ack, h.now)
		h.FromBalancer(&packet, admission.ForwardMetadata{
			Service: m.Service, Version: m.Version, Priority: m.Priority, Objective: m.Objective, LastResort: m.LastResort,
			Idempotent: m.Idempotent, Tentative: m.Kind == tunnel.TentativeForward,
		}, h.now)
		h.Sweep(h.now)
		opening := bramleyfall.Packet{Kind: bramleyfall.KindOpening, Flow: bramleyfall.Flow{Source: bramleyfall.Endpoint{IP: [4]byte{100, 64, 0, 9}, Port: 9}, Destination: address, Protocol: bramleyfall.TCP}}
		if action := h.FromBalancer(&opening, defaultMetadata, h.now); action.Kind != bramleyfall.ActionDeliver {
			t.Fatalf("an opening after the message: %s %s", action.Kind, action.Code)
		}
	})
}

// Guards against heartbeats with numbers at their limits that silence an upstream or give it
// load that its reports cannot represent.
func TestHeartbeatsAtTheLimits(t *testing.T) {
	const maxBoot = 1<<63 - 1
	tests := []struct {
		name      string
		heartbeat bramleyfall.Heartbeat
	}{
		{"most slots", bramleyfall.Heartbeat{Slots: bramleyfall.MaxSlots, Boot: 7, Sequence: 1}},
		{"more slots than a report can state", bramleyfall.Heartbeat{Slots: 1 << 40, Boot: 7, Sequence: 1}},
		{"latest boot", bramleyfall.Heartbeat{Slots: 2, Boot: maxBoot, Sequence: 1}},
		{"cold for the longest time", bramleyfall.Heartbeat{Slots: 2, Boot: 7, Sequence: 1, ColdRemaining: bramleyfall.MaxInterval}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate, err := admission.New(start, admission.WithService(railbook), admission.WithHeartbeatInterval(time.Second))
			if err != nil {
				t.Fatal(err)
			}
			gate.Configure(snapshot(1, 0), start)
			test.heartbeat.Upstream, test.heartbeat.Service = "i-1", railbook
			gate.Heartbeat(test.heartbeat, start)
			if load := gate.Load(start); load.Slots != uint16(min(test.heartbeat.Slots, bramleyfall.MaxSlots)) {
				t.Errorf("%d slots reported", load.Slots)
			}
			for port := range uint16(2) {
				opening := bramleyfall.Packet{Kind: bramleyfall.KindOpening, Flow: bramleyfall.Flow{Source: bramleyfall.Endpoint{Port: 1 + port}, Destination: address, Protocol: bramleyfall.TCP}}
				if action := gate.FromBalancer(&opening, lastResortMetadata, start); action.Kind != bramleyfall.ActionDeliver {
					t.Errorf("opening: %s", action.Code)
				}
			}
		})
	}
}
