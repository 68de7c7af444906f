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

// maxContactAttempts is the maximum number of transactions for one change of a contact.
const maxContactAttempts = 3

// ReadersPerDomain is the number of balancers of a failure domain that watch the
// platform's store, however many balancers the domain has.
const ReadersPerDomain = 3

// Contacts returns the registered contacts. Malformed entries are skipped.
func Contacts(ctx context.Context, store bramleyfall.KeyValueStore) ([]Contact, error) {
	pairs, _, err := store.Range(ctx, contactPrefix, PrefixEnd(contactPrefix))
	if err != nil {
		return nil, err
	}
	contacts := make([]Contact, 0, len(pairs))
	for _, pair := range pairs {
		var c Contact
		if json.Unmarshal(pair.Value, &c) == nil && contactKey(c.Domain, c.ID) == pair.Key && c.Control.Port != 0 {
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

// Lost marks the lease as expired because its contact is missing from the store, so that
// Renew registers the contact again.
func (l *Lease) Lost() { l.expires = time.Time{} }

func (l *Lease) acquire(ctx context.Context, requested time.Time) error {
	id, err := l.store.Grant(ctx, ContactTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(l.contact)
	if err != nil {
		return err
	}
	err = l.commit(ctx, func(bramleyfall.KeyValue) *bramleyfall.Write {
		return &bramleyfall.Write{Key: l.key(), Value: value, Lease: id}
	})
	if err != nil {
		return err
	}
	l.id = id
	l.expires = requested.Add(ContactTTL)
	return nil
}

// Release deletes the contact from the store, unless it is that of a later process, and
// marks the lease as expired.
func (l *Lease) Release(ctx context.Context) error {
	l.expires = time.Time{}
	return l.commit(ctx, func(current bramleyfall.KeyValue) *bramleyfall.Write {
		if l.id == 0 || current.Lease != l.id {
			return nil
		}
		return &bramleyfall.Write{Key: l.key(), Delete: true}
	})
}

func (l *Lease) key() string { return contactKey(l.domain, l.contact.ID) }

// commit executes the write that choose returns for the present state of the contact, on
// condition that this has not changed. The store may execute a write whose response was
// lost after the process has ended; the condition keeps it from moving the contact of the
// next process to an old lease, or from deleting it.
func (l *Lease) commit(ctx context.Context, choose func(current bramleyfall.KeyValue) *bramleyfall.Write) error {
	for range maxContactAttempts {
		pairs, _, err := l.store.Range(ctx, l.key(), "")
		if err != nil {
			return err
		}
		var current bramleyfall.KeyValue
		if len(pairs) > 0 {
			current = pairs[0]
		}
		write := choose(current)
		if write == nil {
			return nil
		}
		committed, err := l.store.Commit(ctx, bramleyfall.Txn{
			Conditions: []bramleyfall.Condition{{Key: l.key(), ModRevision: current.ModRevision}},
			Writes:     []bramleyfall.Write{*write},
		})
		if committed || err != nil {
			return err
		}
	}
	return bramleyfall.Errorf(bramleyfall.PlatformAway, "contact %s was changed by others in each of %d attempts", l.key(), maxContactAttempts)
}
