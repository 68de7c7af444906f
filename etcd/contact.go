package etcd

import (
	"context"
	"encoding/json"
	"time"

	"bramleyfall.example/bramleyfall"
)

// ContactTTL is the time to live of a contact's lease. The store removes a contact
// whose lease has not been renewed for this long.
const ContactTTL = 15 * time.Second

// ReadersPerDomain is the number of balancers of a failure domain that watch the
// platform's store, however many balancers the domain has.
const ReadersPerDomain = 3

// Contacts returns the registered contacts. Entries that can't be decoded are
// skipped.
func Contacts(ctx context.Context, store bramleyfall.KeyValueStore) ([]Contact, error) {
	pairs, _, err := store.Range(ctx, contactPrefix, PrefixEnd(contactPrefix))
	if err != nil {
		return nil, err
	}
	contacts := make([]Contact, 0, len(pairs))
	for _, pair := range pairs {
		var c Contact
		if json.Unmarshal(pair.Value, &c) == nil {
			contacts = append(contacts, c)
		}
	}
	return contacts, nil
}

// Lease keeps a contact registered in the store for as long as it is renewed. Valid
// compares the clock with the expiry time on each call, so it returns false after the
// process was paused beyond the end of the lease.
type Lease struct {
	store   bramleyfall.KeyValueStore
	clock   bramleyfall.Clock
	domain  bramleyfall.DomainName
	contact Contact
	id      bramleyfall.LeaseID
	expires time.Time
}

// NewLease returns a lease for the contact of a balancer. Renew registers it.
func NewLease(store bramleyfall.KeyValueStore, clock bramleyfall.Clock, domain bramleyfall.DomainName, contact Contact) *Lease {
	return &Lease{store: store, clock: clock, domain: domain, contact: contact}
}

// Valid reports whether the lease has been granted and has not expired.
func (l *Lease) Valid() bool { return l.clock.Now().Before(l.expires) }

// Renew extends the lease, or acquires a new one if it has expired.
func (l *Lease) Renew(ctx context.Context) error {
	requested := l.clock.Now()
	if l.Valid() {
		ttl, err := l.store.KeepAlive(ctx, l.id)
		if err != nil {
			return err
		}
		if ttl > 0 {
			l.expires = requested.Add(ttl)
			return nil
		}
	}
	l.expires = time.Time{}
	return l.acquire(ctx, requested)
}

func (l *Lease) acquire(ctx context.Context, requested time.Time) error {
	id, err := l.store.Grant(ctx, ContactTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(l.contact)
	if err != nil {
		return err
	}
	_, err = l.store.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{
		{Key: contactKey(l.domain, l.contact.ID), Value: value, Lease: id},
	}})
	if err != nil {
		return err
	}
	l.id = id
	l.expires = requested.Add(ContactTTL)
	return nil
}

// Release deletes the contact from the store and marks the lease as expired.
func (l *Lease) Release(ctx context.Context) error {
	l.expires = time.Time{}
	_, err := l.store.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{
		{Key: contactKey(l.domain, l.contact.ID), Delete: true},
	}})
	return err
}
