package etcd_test

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/etcd"
)

// Guards against readers that stop following the configuration, lose an item or believe in
// revisions that do not exist, because another writer left a record among theirs.
func TestRecordsOfOtherWriters(t *testing.T) {
	const root = "/bramleyfall/"
	odd := strings.Repeat("[", 1<<15)
	tests := []struct {
		name, key, value string
		// known is the revision that the reader knows before.
		known bramleyfall.Revision
	}{
		{"nested deeply among the changes", root + "change/000000000009", odd, 1},
		{"a change with a revision out of range", root + "change/000000000009", `{"Revision":18446744073709551616}`, 1},
		{"a change with another revision than its key", root + "change/000000000009", `{"Revision":18446744073709551615,"Key":"domain/Ife"}`, 1},
		{"a change under a foreign key", root + "change/zzz", `7`, 1},
		{"a change that was overwritten", root + "change/000000000002", odd, 1},
		{"an item under a foreign key", root + "item/banana", odd, 0},
		{"an item with the key of another", root + "item/domain/Abeokuta", `{"Revision":18446744073709551615,"Key":"domain/Ife"}`, 0},
		{"an item of a foreign type", root + "item/service/x", `{"Revision":"1","Key":[]}`, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			f := newFixture(t)
			first, second := f.takeOut(t, "Ife"), f.takeOut(t, "Ibadan")
			sink := &recordingSink{state: configuration.New()}
			if test.known > 0 {
				_, err := sink.state.Apply(first)
				is.NoErr(err)
				sink.revision, sink.lastChange = first.Revision, first.ID
			} else { // the reader needs a snapshot
				_, err := f.client.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{{Key: root + "change/000000000001", Delete: true}}})
				is.NoErr(err)
			}
			_, err := f.client.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{{Key: test.key, Value: []byte(test.value)}}})
			is.NoErr(err)
			is.NoErr(etcd.NewReader(f.client, sink).CatchUp(ctx))
			is.Equal(len(sink.malformed), 1)
			is.Equal(sink.state.Revision(), second.Revision)
			is.Equal(sink.state.NewestRevision(), second.Revision)
			latest, ok := sink.state.LatestChange(second.Key)
			is.True(ok)
			is.Equal(latest.ID, second.ID)
		})
	}
}

// Guards against the loss of an item whose record another writer has replaced.
func TestOverwrittenItemStays(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFixture(t)
	change := f.takeOut(t, "Ife")
	f.takeOut(t, "Ibadan")
	sink := &recordingSink{state: configuration.New()}
	is.NoErr(etcd.NewReader(f.client, sink).CatchUp(ctx))
	for _, key := range []string{"/bramleyfall/item/" + change.Key, "/bramleyfall/change/000000000002"} {
		_, err := f.client.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{{Key: key, Value: []byte("7")}}})
		is.NoErr(err)
	}
	is.NoErr(etcd.NewReader(f.client, sink).CatchUp(ctx))
	is.True(len(sink.malformed) > 0)
	latest, ok := sink.state.LatestChange(change.Key)
	is.True(ok)
	is.Equal(latest.ID, change.ID)
}

// Guards against contacts that name no balancer.
func TestContactsOfOtherWriters(t *testing.T) {
	const prefix = "/bramleyfall/contact/"
	tests := []struct{ name, key, value string }{
		{"nested deeply", "Ife/balancer-2", strings.Repeat("[", 1<<15)},
		{"port out of range", "Ife/balancer-2", `{"ID":"balancer-2","Domain":"Ife","Control":"10.0.0.1:65536"}`},
		{"no address", "Ife/balancer-2", `{"ID":"balancer-2","Domain":"Ife"}`},
		{"name of another", "Ife/balancer-2", `{"ID":"balancer-1","Domain":"Ife","Control":"10.0.0.1:7000"}`},
		{"foreign types", "Ife/balancer-2", `{"ID":2,"Domain":{},"Control":[]}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			f := newFixture(t)
			is.NoErr(etcd.NewLease(f.client, f.clock, "Ife", testContact()).Renew(ctx))
			_, err := f.client.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{{Key: prefix + test.key, Value: []byte(test.value)}}})
			is.NoErr(err)
			contacts, err := etcd.Contacts(ctx, f.client)
			is.NoErr(err)
			is.Equal(contacts, []etcd.Contact{testContact()})
		})
	}
}
