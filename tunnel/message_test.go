package tunnel_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/tunnel"
)

func example() tunnel.Message {
	return tunnel.Message{
		Kind: tunnel.Return, LastResort: true, Idempotent: true, EntryMissing: true, Code: bramleyfall.NotRunClass, Version: 1 << 40, Changed: 1 << 41, Service: 7,
		Priority: 2, Objective: 120 * time.Millisecond,
		Load: bramleyfall.Load{State: bramleyfall.UpstreamTrial, Slots: 2, Busy: 3, Flows: 400, Utilization: 1500},
		Boot: 1 << 60,
		Flow: bramleyfall.Flow{
			Source:      bramleyfall.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001},
			Destination: bramleyfall.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
			Protocol:    bramleyfall.TCP,
		},
		Ack: 1 << 31, Raw: []byte("a packet"),
	}
}

func TestMessageComesBackAsItWas(t *testing.T) {
	is := is.New(t)
	sent := example()
	var got tunnel.Message
	is.NoErr(tunnel.Decode(tunnel.Append(nil, &sent), &got))
	is.Equal(got, sent)
}

func TestWhatIsNoMessage(t *testing.T) {
	good := example()
	tests := []struct {
		name   string
		change func(b []byte) []byte
	}{
		{"empty", func([]byte) []byte { return nil }},
		{"truncated header", func(b []byte) []byte { return b[:20] }},
		{"wrong magic byte", func(b []byte) []byte { b[0] = 0x45; return b }},
		{"kind is zero", func(b []byte) []byte { b[1] = 0; return b }},
		{"unknown kind", func(b []byte) []byte { b[1] = 200; return b }},
		{"unknown state", func(b []byte) []byte { b[6] = 200; return b }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got tunnel.Message
			err := tunnel.Decode(test.change(tunnel.Append(nil, &good)), &got)
			is.New(t).Equal(bramleyfall.CodeOf(err), bramleyfall.MalformedMessage)
		})
	}
}

func FuzzMessage(f *testing.F) {
	good := example()
	f.Add(tunnel.Append(nil, &good))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m tunnel.Message
		if tunnel.Decode(b, &m) != nil {
			return
		}
		var again tunnel.Message
		if err := tunnel.Decode(tunnel.Append(nil, &m), &again); err != nil {
			t.Fatal(err)
		}
	})
}
