package operator_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/operator"
)

func TestStatementsOfTheLanguagePage(t *testing.T) {
	tests := []struct {
		text    string
		command bool
	}{
		{"show services", false},
		{"show upstreams of railbook where State != Serving and Domain = Ife", false},
		{"show domains", false},
		{"show instances", false},
		{"show revision", false},
		{"show change c-abc", false},
		{"explain flow 127.0.0.9:5555 to 127.0.2.1:443/tcp", false},
		{"create service railbook at 127.0.2.1:443/tcp class orders allow railbook-*, spare-1", true},
		{"create service drawhub at 127.0.2.2:443/udp", true},
		{"add address 127.0.2.1:8443/tcp class feed to railbook", true},
		{"remove address 127.0.2.1:8443/tcp from railbook", true},
		{"allow upstream railbook-* for railbook", true},
		{"forbid upstream railbook-* for railbook", true},
		{"drain upstream railbook-3", true},
		{"undrain upstream railbook-3", true},
		{"take domain Ibadan out", true},
		{"return domain Ibadan in", true},
		{"set railbook WarmUp 30s", true},
		{"delete service railbook", true},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			s, err := operator.Parse(test.text)
			is.NoErr(err)
			is.Equal(s.IsCommand(), test.command)
			_, err = operator.Propose(s)
			is.Equal(err == nil, test.command)
		})
	}
}

func TestFaultsNameColumnAndExpectation(t *testing.T) {
	tests := []struct {
		text, want string
	}{
		{"", "column 1"},
		{"show", "column 5"},
		{"show everything", "column 6"},
		{"take domain Ibadan away", "column 20"},
		{"set railbook Speed 3s", "column 14"},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			_, err := operator.Parse(test.text)
			is.Equal(bramleyfall.CodeOf(err), bramleyfall.BadStatement)
			is.True(strings.Contains(err.Error(), test.want))
			is.True(strings.Contains(err.Error(), "expected")) // the message names valid input
		})
	}
}

func TestProposalsRefuseWhatMakesNoSense(t *testing.T) {
	service := `{"Name":"railbook","Addresses":[{"Endpoint":"127.0.2.1:443","Protocol":"tcp","Class":"orders"}],"Allowed":["railbook-*"]}`
	tests := []struct {
		text, current string
		code          bramleyfall.ResultCode
	}{
		{"create service a/b at 127.0.2.1:443/tcp", "", bramleyfall.BadStatement},
		{"create service railbook at 127.0.2.1/tcp", "", bramleyfall.BadStatement},
		{"create service railbook at 127.0.2.1:443/sctp", "", bramleyfall.BadStatement},
		{"create service railbook at 127.0.2.1:443/tcp", service, bramleyfall.NotAccepted},
		{"add address 127.0.2.1:443/tcp to railbook", service, bramleyfall.NotAccepted},
		{"add address 127.0.2.1:444/tcp to railbook", "", bramleyfall.NoService},
		{"forbid upstream other-* for railbook", service, bramleyfall.NotAccepted},
		{"set railbook WarmUp 3d", service, bramleyfall.BadStatement},
		{"set railbook WarmUp 1ms", service, bramleyfall.BadStatement},
		{"delete service railbook", "", bramleyfall.NoService},
		{"delete service railbook", service, bramleyfall.OK},
		{"set railbook WarmUp 30s", service, bramleyfall.OK},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			s, err := operator.Parse(test.text)
			is.NoErr(err)
			p, err := operator.Propose(s)
			if err == nil {
				var current json.RawMessage
				if test.current != "" {
					current = json.RawMessage(test.current)
				}
				_, err = p.Edit(current)
			}
			is.Equal(bramleyfall.CodeOf(err), test.code)
		})
	}
}

func TestForeseeNamesServicesLeftWithoutUpstreams(t *testing.T) {
	member := func(id, domain string) bramleyfall.Member {
		return bramleyfall.Member{
			ID: bramleyfall.InstanceID(id), Role: bramleyfall.RoleAgent, Domain: bramleyfall.DomainName(domain),
			State: bramleyfall.MemberServing, Services: []bramleyfall.ServiceName{"railbook"},
		}
	}
	view := &operator.View{
		Services: []bramleyfall.Service{{Name: "railbook", Allowed: []string{"railbook-*"}}},
		Members:  []bramleyfall.Member{member("railbook-1", "Ife"), member("railbook-2", "Ife")},
	}
	tests := []struct {
		text     string
		unserved int
	}{
		{"take domain Ife out", 1},
		{"take domain Ibadan out", 0},
		{"drain upstream railbook-1", 0},
		{"forbid upstream railbook-* for railbook", 1},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			s, err := operator.Parse(test.text)
			is.NoErr(err)
			is.Equal(len(operator.PredictImpact(s, view).Unserved), test.unserved)
		})
	}
}

// FuzzParse checks that no statement makes Parse, Propose or the proposal panic.
func FuzzParse(f *testing.F) {
	f.Add("show upstreams of railbook where State != Serving")
	f.Add("create service railbook at 127.0.2.1:443/tcp allow a,b")
	f.Fuzz(func(_ *testing.T, text string) {
		s, err := operator.Parse(text)
		if err != nil || !s.IsCommand() {
			return
		}
		if p, err := operator.Propose(s); err == nil {
			_, _ = p.Edit(nil)
		}
	})
}
