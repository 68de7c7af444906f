package configuration_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
)

func domainChange(r bramleyfall.Revision, name string, state bramleyfall.DomainState) bramleyfall.Change {
	value, err := json.Marshal(bramleyfall.Domain{Name: bramleyfall.DomainName(name), State: state})
	if err != nil {
		panic(err)
	}
	return bramleyfall.Change{
		Revision: r, ID: bramleyfall.ChangeID(fmt.Sprintf("c-%d", r)), Key: configuration.DomainKey(bramleyfall.DomainName(name)), Value: value,
	}
}

func TestChangeTakesEffectAtOnceButCountsInOrder(t *testing.T) {
	is := is.New(t)
	s := configuration.New()
	_, err := s.Apply(domainChange(2, "Ife", bramleyfall.DomainOut))
	is.NoErr(err)
	is.Equal(s.DomainState("Ife"), bramleyfall.DomainOut)
	is.Equal(s.Revision(), bramleyfall.Revision(0)) // revision 1 is missing
	_, err = s.Apply(domainChange(1, "Ife", bramleyfall.DomainIn))
	is.NoErr(err)
	is.Equal(s.DomainState("Ife"), bramleyfall.DomainOut) // never reverts
	is.Equal(s.Revision(), bramleyfall.Revision(2))
}

func TestMalformedChangeIsRefusedAndDoesNotBlock(t *testing.T) {
	is := is.New(t)
	s := configuration.New()
	_, err := s.Apply(bramleyfall.Change{Revision: 1, ID: "c-1", Key: "domain/Ife", Value: []byte("{")})
	is.Equal(bramleyfall.CodeOf(err), bramleyfall.NotAccepted)
	_, err = s.Apply(domainChange(2, "Ife", bramleyfall.DomainOut))
	is.NoErr(err)
	is.Equal(s.Revision(), bramleyfall.Revision(2))
}

func TestOlderSnapshotChangesNothing(t *testing.T) {
	is := is.New(t)
	s := configuration.New()
	_, err := s.Apply(domainChange(1, "Ife", bramleyfall.DomainOut))
	is.NoErr(err)
	is.Equal(len(s.ApplySnapshot(nil, 0)), 0)
	is.Equal(s.DomainState("Ife"), bramleyfall.DomainOut)
}

// TestNeverReverts hands the accepted changes to an instance in any order, any
// number of times, as changes and as snapshots of any age, and checks after
// each step that no key went back to an older change.
func TestNeverReverts(t *testing.T) {
	names := []string{"Ikeja", "Ibadan", "Ife"}
	rapid.Check(t, func(t *rapid.T) {
		var accepted []bramleyfall.Change
		for r := range rapid.IntRange(1, 30).Draw(t, "changes") {
			state := rapid.SampledFrom([]bramleyfall.DomainState{bramleyfall.DomainIn, bramleyfall.DomainOut}).Draw(t, "state")
			accepted = append(accepted, domainChange(bramleyfall.Revision(r+1), rapid.SampledFrom(names).Draw(t, "name"), state))
		}
		s := configuration.New()
		seen := make(map[string]bramleyfall.Revision)
		for range rapid.IntRange(1, 60).Draw(t, "deliveries") {
			n := rapid.IntRange(0, len(accepted)-1).Draw(t, "index")
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				s.ApplySnapshot(newest(accepted[:n+1]), accepted[n].Revision)
			} else if _, err := s.Apply(accepted[n]); err != nil {
				t.Fatal(err)
			}
			for _, name := range names {
				key := configuration.DomainKey(bramleyfall.DomainName(name))
				item, _ := s.LatestChange(key)
				if item.Revision < seen[key] {
					t.Fatalf("%s went from revision %d back to %d", key, seen[key], item.Revision)
				}
				seen[key] = item.Revision
			}
		}
		for _, c := range accepted {
			if _, err := s.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		if s.Revision() != bramleyfall.Revision(len(accepted)) {
			t.Fatalf("all %d changes were delivered, the revision is %d", len(accepted), s.Revision())
		}
		for _, c := range newest(accepted) {
			if item, _ := s.LatestChange(c.Key); item.Revision != c.Revision {
				t.Fatalf("%s is at %d, accepted was %d", c.Key, item.Revision, c.Revision)
			}
		}
	})
}

// newest returns the newest change of each key.
func newest(changes []bramleyfall.Change) []bramleyfall.Change {
	last := make(map[string]bramleyfall.Change)
	for _, c := range changes {
		last[c.Key] = c
	}
	var out []bramleyfall.Change
	for _, c := range last {
		out = append(out, c)
	}
	return out
}
