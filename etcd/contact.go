package etcd

import (
	"context"
	"encoding/json"
	"time"

	"bramleyfall.example/bramleyfall"
)

// ContactTTL is the time after which a contact that stopped is removed.
const ContactTTL = 15 * time.Second

// ReadersPerDomain is the number of balancers of a failure domain that watch the
// platform, however many there are.
const ReadersPerDomain = 3

// Contacts returns the balancers that others may ask.
func Contacts(ctx context.Context, p bramleyfall.KeyValueStore) ([]Contact, error) {
	pairs, _, err := p.Range(ctx, contactPrefix, PrefixEnd(contactPrefix))
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

// Lease keeps a contact in the platform for as long as it is kept alive. A
// lease whose holder was paused past its end is not acted on: Held compares the
// clock each time.
type Lease struct {
	platform bramleyfall.KeyValueStore
	clock    bramleyfall.Clock
	domain   bramleyfall.DomainName
	contact  Contact
	id       bramleyfall.LeaseID
	until    time.Time
}

// NewLease returns a lease on the contact point of a balancer.
func NewLease(p bramleyfall.KeyValueStore, clock bramleyfall.Clock, domain bramleyfall.DomainName, contact Contact) *Lease {
	return &Lease{platform: p, clock: clock, domain: domain, contact: contact}
}

// Held reports whether the lease is held now.
func (l *Lease) Held() bool { return l.clock.Now().Before(l.until) }

// Renew extends the lease, or takes a new one if it has lapsed.
func (l *Lease) Renew(ctx context.Context) error {
	asked := l.clock.Now()
	if l.Held() {
		left, err := l.platform.KeepAlive(ctx, l.id)
		if err != nil {
			return err
		}
		if left > 0 {
			l.until = asked.Add(left)
			return nil
		}
	}
	l.until = time.Time{}
	return l.take(ctx, asked)
}

func (l *Lease) take(ctx context.Context, asked time.Time) error {
	id, err := l.platform.Grant(ctx, ContactTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(l.contact)
	if err != nil {
		return err
	}
	_, err = l.platform.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{
		{Key: contactKey(l.domain, l.contact.ID), Value: value, Lease: id},
	}})
	if err != nil {
		return err
	}
	l.id = id
	l.until = asked.Add(ContactTTL)
	return nil
}

// Release removes the contact.
func (l *Lease) Release(ctx context.Context) error {
	l.until = time.Time{}
	_, err := l.platform.Commit(ctx, bramleyfall.Txn{Writes: []bramleyfall.Write{
		{Key: contactKey(l.domain, l.contact.ID), Delete: true},
	}})
	return err
}
