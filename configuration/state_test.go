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
	is.Equal(s.DomainState("Ife"), bramleyfall.DomainOut) // the older change has no effect
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

// TestNeverReverts applies the accepted changes in any order, any number of
// times, as changes and as snapshots of any age, and checks after each step that
// no key reverted to an older change.
func TestNeverReverts(t *testing.T) {
	names := []string{"Ikeja", "Ibadan", "Ife"}
	rapid.Check(t, func(t *rapid.T) {
		var accepted []bramleyfall.Change
		for r := range rapid.IntRange(1, 30).Draw(t, "changes") {
			state := rapid.SampledFrom([]bramleyfall.DomainState{bramleyfall.DomainIn, bramleyfall.DomainOut}).Draw(t, "state")
			accepted = append(accepted, domainChange(bramleyfall.Revision(r+1), rapid.SampledFrom(names).Draw(t, "name"), state))
		}
		s := configuration.New()
		seenRevisions := make(map[string]bramleyfall.Revision)
		for range rapid.IntRange(1, 60).Draw(t, "deliveries") {
			index := rapid.IntRange(0, len(accepted)-1).Draw(t, "index")
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				s.ApplySnapshot(latestChanges(accepted[:index+1]), accepted[index].Revision)
			} else if _, err := s.Apply(accepted[index]); err != nil {
				t.Fatal(err)
			}
			for _, name := range names {
				key := configuration.DomainKey(bramleyfall.DomainName(name))
				change, _ := s.LatestChange(key)
				if change.Revision < seenRevisions[key] {
					t.Fatalf("%s reverted from revision %d to %d", key, seenRevisions[key], change.Revision)
				}
				seenRevisions[key] = change.Revision
			}
		}
		for _, c := range accepted {
			if _, err := s.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		if s.Revision() != bramleyfall.Revision(len(accepted)) {
			t.Fatalf("revision after all %d changes is %d", len(accepted), s.Revision())
		}
		for _, c := range latestChanges(accepted) {
			if change, _ := s.LatestChange(c.Key); change.Revision != c.Revision {
				t.Fatalf("latest change of %s has revision %d, want %d", c.Key, change.Revision, c.Revision)
			}
		}
	})
}

// latestChanges returns the latest change of each key.
func latestChanges(changes []bramleyfall.Change) []bramleyfall.Change {
	latest := make(map[string]bramleyfall.Change)
	for _, c := range changes {
		latest[c.Key] = c
	}
	var out []bramleyfall.Change
	for _, c := range latest {
		out = append(out, c)
	}
	return out
}
