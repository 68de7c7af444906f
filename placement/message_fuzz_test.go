package placement_test

import (
	"testing"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/tunnel"
)

// FuzzAgentMessage checks that no message from the address of an agent breaks a balancer's
// decisions, whatever its numbers, and that openings are still decided on.
func FuzzAgentMessage(f *testing.F) {
	for _, m := range []tunnel.Message{
		{Kind: tunnel.Report, Load: bramleyfall.Load{State: bramleyfall.UpstreamReady, Slots: 65535, Busy: 65535, Flows: 65535, Utilization: 65535}},
		{Kind: tunnel.Return, Code: 65535, Version: 1<<64 - 1, Changed: 1<<64 - 1, Boot: 1<<64 - 1},
		{Kind: tunnel.MayBeOwned, Flow: bramleyfall.Flow{Destination: address, Protocol: bramleyfall.TCP}, Ack: 1<<32 - 1},
		{Kind: tunnel.NotOwned},
		{Kind: tunnel.Owned},
	} {
		m.Service = railbook.Key()
		f.Add(tunnel.Append(nil, &m))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m tunnel.Message
		if tunnel.Decode(data, &m) != nil {
			return
		}
		h := newHarness(3)
		packet := bramleyfall.Packet{Kind: bramleyfall.KindData, Flow: m.Flow, Raw: []byte("data")}
		packet.Flow.Destination = address
		h.FromCaller(&packet, h.now)
		h.UpdateLoad(agent(0), m.Service, m.Load, h.now)
		h.FlowOwned(m.Flow, agent(0), h.now)
		h.FlowMayBeOwned(packet.Flow, agent(0), h.now)
		h.FlowNotOwned(packet.Flow, agent(0), h.now)
		packet.Kind, packet.Flow.Source.Port = bramleyfall.KindOpening, packet.Flow.Source.Port+1
		if len(h.FromCaller(&packet, h.now)) != 1 {
			t.Fatal("no decision on an opening")
		}
		h.ReturnedByAgent(&packet, agent(0), m.Code, h.now)
		h.Tick(h.now.Add(time.Minute))
		if _ = m.Code.String(); !h.Ready() {
			t.Fatal("not ready")
		}
	})
}
