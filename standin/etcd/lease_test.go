package etcd_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/etcd"
	store "bramleyfall.example/bramleyfall/standin/etcd"
)

// testContact returns the contact of a balancer in the failure domain Ife.
func testContact() etcd.Contact {
	return etcd.Contact{ID: "balancer-1", Domain: "Ife", Control: bramleyfall.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 7000}}
}

func TestLeaseThatLapsedInAPauseIsNotActedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	lease := etcd.NewLease(f.client, f.clock, "Ife", testContact())
	is.NoErr(lease.Renew(context.Background()))
	is.True(lease.Valid())
	f.clock.advance(etcd.ContactTTL + time.Second) // the holder was paused for longer than the TTL
	is.True(!lease.Valid())
	contacts, err := etcd.Contacts(context.Background(), f.client)
	is.NoErr(err)
	is.Equal(len(contacts), 0)
	is.NoErr(lease.Renew(context.Background()))
	is.True(lease.Valid())
}

// Guards against a balancer whose contact is missing for good although its lease is valid:
// a late write of an earlier process moves the contact to a lease that nobody renews, or
// deletes it.
func TestLateWriteOfAnEndedBalancer(t *testing.T) {
	tests := []struct {
		name string
		late func(ctx context.Context, l *etcd.Lease) error
	}{
		{"registration", func(ctx context.Context, l *etcd.Lease) error { return l.Renew(ctx) }},
		{"release", func(ctx context.Context, l *etcd.Lease) error { return l.Release(ctx) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			f := newFixture(t)
			contact := testContact()
			first, second := etcd.NewLease(f.client, f.clock, "Ife", contact), etcd.NewLease(f.client, f.clock, "Ife", contact)
			if test.name == "release" {
				is.NoErr(first.Renew(ctx))
			}
			f.server.SetFaults(store.Faults{LateTxns: 1})
			is.True(test.late(ctx, first) != nil) // no response; the first process ends
			is.NoErr(second.Renew(ctx))
			f.server.ExecuteLateTxns()
			for range 3 { // until the lease of the first process has expired
				f.clock.advance(etcd.ContactTTL / 2)
				is.NoErr(second.Renew(ctx))
			}
			contacts, err := etcd.Contacts(ctx, f.client)
			is.NoErr(err)
			is.Equal(len(contacts), 1)
		})
	}
}

// Guards against a balancer that goes on renewing a lease without its contact.
func TestLostContactIsRegisteredAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFixture(t)
	lease := etcd.NewLease(f.client, f.clock, "Ife", testContact())
	is.NoErr(lease.Renew(ctx))
	contacts, err := etcd.Contacts(ctx, f.client)
	is.NoErr(err)
	is.Equal(len(contacts), 1)
	pairs, _, err := f.client.Range(ctx, "/", "0")
	is.NoErr(err)
	is.Equal(len(pairs), 1)
	_, err = f.client.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{{Key: pairs[0].Key, Delete: true}}})
	is.NoErr(err)
	lease.Lost()
	is.NoErr(lease.Renew(ctx))
	contacts, err = etcd.Contacts(ctx, f.client)
	is.NoErr(err)
	is.Equal(len(contacts), 1)
}
