package main

import (
	"context"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/etcd"
)

const (
	// readerPollInterval is the time between two checks whether this balancer is a
	// reader.
	readerPollInterval = time.Second
)

// runPlatform watches the configuration in the platform and registers this
// balancer there as a contact under a lease, while the balancer is one of the
// readers of its failure domain.
func (s *server) runPlatform(ctx context.Context) {
	contact := etcd.Contact{ID: s.config.ID, Domain: s.config.Domain, Control: s.config.AdvertiseControl}
	lease := etcd.NewLease(s.platform, s.clock, s.config.Domain, contact)
	var cancel context.CancelFunc
	var lastRenewal time.Time
	for ctx.Err() == nil {
		s.updateContacts(ctx, lease)
		isReader := s.isReader()
		switch {
		case isReader && cancel == nil:
			var readContext context.Context
			readContext, cancel = context.WithCancel(ctx)
			go etcd.NewReader(s.platform, s.controller).Run(readContext)
			s.telemetry.Log.Info().Str("Event", "Reader").Str("Reason", "selected as a reader of the failure domain").Msg("")
		case !isReader && cancel != nil:
			cancel()
			cancel = nil
			s.releaseLease(lease)
		}
		if isReader && s.clock.Now().Sub(lastRenewal) > etcd.ContactTTL/3 {
			lastRenewal = s.clock.Now()
			s.contactsOutdated = true
			s.renewLease(ctx, lease)
		}
		s.wait(ctx)
	}
	if cancel != nil {
		cancel()
		s.releaseLease(lease)
	}
}

// updateContacts reads the contacts from the platform while no other live balancer
// is known. Readers read them again with each lease renewal, so that groups of
// balancers that formed separately merge. A contact of this balancer that is missing is
// registered again with the next renewal.
func (s *server) updateContacts(ctx context.Context, lease *etcd.Lease) {
	noLivePeers := false
	_ = s.controller.runTask(ctx, func() { noLivePeers = s.controller.node.NoLivePeers() })
	if !noLivePeers && !s.contactsOutdated {
		return
	}
	s.contactsOutdated = false
	contacts, err := etcd.Contacts(ctx, s.platform)
	if err != nil {
		s.telemetry.Log.Warn().Str("Event", "NoContacts").Str("Reason", err.Error()).Msg("")
		_ = s.controller.runTask(ctx, func() { s.controller.forwarding.otherDomainsGone = false })
		return
	}
	endpoints := slices.Clone(s.config.Peers)
	otherDomainContacts, registered := 0, false
	for _, c := range contacts {
		if c.ID != s.config.ID {
			endpoints = append(endpoints, c.Control)
		}
		registered = registered || c.ID == s.config.ID
		if c.Domain != s.config.Domain {
			otherDomainContacts++
		}
	}
	if lease.Valid() && !registered {
		s.telemetry.Log.Warn().Str("Event", "ContactLost").Str("Reason", "the store lacks the contact though its lease is valid").Msg("")
		lease.Lost()
	}
	_ = s.controller.runTask(ctx, func() {
		s.controller.forwarding.otherDomainsGone = otherDomainContacts == 0
		s.controller.node.SetContacts(endpoints)
	})
}

func (s *server) isReader() bool {
	isReader := false
	_ = s.controller.runTask(context.Background(), func() { isReader = s.controller.node.IsReader(etcd.ReadersPerDomain) })
	return isReader
}

func (s *server) renewLease(ctx context.Context, lease *etcd.Lease) {
	wasValid := lease.Valid()
	if err := lease.Renew(ctx); err != nil {
		s.telemetry.Log.Warn().Str("Event", "LeaseFailed").Str("Code", bramleyfall.CodeOf(err).String()).Str("Reason", err.Error()).Msg("")
		return
	}
	if !wasValid {
		s.telemetry.Log.Info().Str("Event", "LeaseTaken").Msg("")
	}
}

func (s *server) releaseLease(lease *etcd.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := lease.Release(ctx); err != nil {
		s.telemetry.Log.Warn().Str("Event", "LeaseNotReleased").Str("Reason", err.Error()).Msg("")
	}
}

func (s *server) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(readerPollInterval):
	}
}
