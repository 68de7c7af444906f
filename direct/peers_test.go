package direct

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/admission"
	"bramleyfall.example/bramleyfall/placement"
)

const validSnapshot = `{"Revision":7,"Changed":6,"Version":3,"Routes":{"198.18.0.1:443":{"Address":"198.18.0.1:443",` +
	`"Targets":[{"Service":"railbook","Weight":1}],"Objective":200000000}},` +
	`"Services":{"railbook":{"Name":"railbook","Connections":9,"ColdFor":1,"ColdRate":3.5}},"Out":{"Ife":true},"IdleTimeout":15000000000}`

// Guards against a crash by the configuration of a peer, and against numbers in it that
// overflow later on.
func TestConfigurationOfAPeer(t *testing.T) {
	replace := func(old, replacement string) string { return strings.Replace(validSnapshot, old, replacement, 1) }
	tests := []struct {
		name, body string
		valid      bool
	}{
		{"valid", validSnapshot, true},
		{"empty", ``, false},
		{"null", `null`, false},
		{"without a version", replace(`"Version":3,`, ``), false},
		{"version out of the type", replace(`"Version":3`, `"Version":18446744073709551616`), false},
		{"revision above the range", replace(`"Revision":7`, `"Revision":9223372036854775808`), false},
		{"change above the range", replace(`"Changed":6`, `"Changed":18446744073709551615`), false},
		{"route without content", replace(`"Routes":{`, `"Routes":{"198.18.0.1:80":null,`), false},
		{"route under another address", replace(`{"198.18.0.1:443"`, `{"198.18.0.1:80"`), false},
		{"route without targets", replace(`"Targets":[{"Service":"railbook","Weight":1}]`, `"Targets":[]`), false},
		{"weight out of the type", replace(`"Weight":1`, `"Weight":4294967296`), false},
		{"negative weight", replace(`"Weight":1`, `"Weight":-1`), false},
		{"port out of range", replace(`{"198.18.0.1:443"`, `{"198.18.0.1:65536"`), false},
		{"objective at the limit of the type", replace(`200000000`, `9223372036854775807`), false},
		{"negative objective", replace(`200000000`, `-1`), false},
		{"cold time at the limit of the type", replace(`"ColdFor":1`, `"ColdFor":9223372036854775807`), false},
		{"largest cold rate", replace(`"ColdRate":3.5`, `"ColdRate":1.7976931348623157e308`), false},
		{"negative idle timeout", replace(`15000000000`, `-9223372036854775808`), false},
		{"nested deeply", strings.Repeat(`{"Routes":`, 1<<15), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := decodeSnapshot(strings.NewReader(test.body))
			is.New(t).Equal(err == nil, test.valid)
		})
	}
}

// FuzzConfigurationOfAPeer checks that no accepted configuration of a peer breaks the
// decisions that are made with it.
func FuzzConfigurationOfAPeer(f *testing.F) {
	f.Add(validSnapshot)
	f.Add(`{"Version":1,"Routes":{"198.18.0.1:443":null}}`)
	f.Add(`{"Version":18446744073709551615,"Services":{"railbook":{"ColdFor":86400000000000}}}`)
	f.Fuzz(func(t *testing.T, body string) {
		s, err := decodeSnapshot(strings.NewReader(body))
		if err != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		p := placement.New()
		p.Configure(s)
		p.EntryAdded(bramleyfall.Announcement{Instance: "agent-1", Service: "railbook", Packets: bramleyfall.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 8000}})
		p.ListComplete(now)
		gate, err := admission.New(now, admission.WithService("railbook"))
		if err != nil {
			t.Fatal(err)
		}
		gate.Configure(s, now)
		for address := range s.Routes {
			opening := bramleyfall.Packet{Kind: bramleyfall.KindOpening, Flow: bramleyfall.Flow{Source: bramleyfall.Endpoint{Port: 1}, Destination: address}}
			p.FromCaller(&opening, now)
			gate.FromBalancer(&opening, admission.ForwardMetadata{Service: bramleyfall.ServiceName("railbook").Key()}, now)
		}
		p.Tick(now.Add(time.Minute))
		p.Configure(s)
		if _, err := json.Marshal(s); err != nil {
			t.Fatal(err)
		}
	})
}
