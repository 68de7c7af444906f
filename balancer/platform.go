package main

import (
	"context"
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/etcd"
)

const (
	// readerCheck is the time between two looks at who reads.
	readerCheck = time.Second
)

// runPlatform reads the platform while this balancer is one of the readers of
// its failure domain, and keeps its contact point there under a lease.
func (s *server) runPlatform(ctx context.Context) {
	contact := etcd.Contact{ID: s.config.ID, Domain: s.config.Domain, Control: s.config.AdvertiseControl}
	lease := etcd.NewLease(s.platform, s.clock, s.config.Domain, contact)
	var cancel context.CancelFunc
	var renewed time.Time
	for ctx.Err() == nil {
		s.join(ctx)
		reads := s.isReader()
		switch {
		case reads && cancel == nil:
			var readContext context.Context
			readContext, cancel = context.WithCancel(ctx)
			go etcd.NewReader(s.platform, s.controller).Run(readContext)
			s.telemetry.Log.Info().Str("Event", "Reader").Str("Reason", "among the first of the failure domain").Msg("")
		case !reads && cancel != nil:
			cancel()
			cancel = nil
			s.release(lease)
		}
		if reads && s.clock.Now().Sub(renewed) > etcd.ContactTTL/3 {
			renewed = s.clock.Now()
			s.joinDue = true
			s.renew(ctx, lease)
		}
		s.wait(ctx)
	}
	if cancel != nil {
		cancel()
		s.release(lease)
	}
}

// join asks the platform for balancers to join while no other one is known.
// Readers ask again with each renewal, so that groups that formed apart meet.
func (s *server) join(ctx context.Context) {
	alone := false
	_ = s.controller.do(ctx, func() { alone = s.controller.node.Alone() })
	if !alone && !s.joinDue {
		return
	}
	s.joinDue = false
	contacts, err := etcd.Contacts(ctx, s.platform)
	if err != nil {
		s.telemetry.Log.Warn().Str("Event", "NoContacts").Str("Reason", err.Error()).Msg("")
		_ = s.controller.do(ctx, func() { s.controller.hold.othersDead = false })
		return
	}
	known := slices.Clone(s.config.Peers)
	others := 0
	for _, c := range contacts {
		if c.ID != s.config.ID {
			known = append(known, c.Control)
		}
		if c.Domain != s.config.Domain {
			others++
		}
	}
	_ = s.controller.do(ctx, func() {
		s.controller.hold.othersDead = others == 0
		s.controller.node.SetContacts(known)
	})
}

func (s *server) isReader() bool {
	reads := false
	_ = s.controller.do(context.Background(), func() { reads = s.controller.node.IsReader(etcd.ReadersPerDomain) })
	return reads
}

func (s *server) renew(ctx context.Context, lease *etcd.Lease) {
	held := lease.Held()
	if err := lease.Renew(ctx); err != nil {
		s.telemetry.Log.Warn().Str("Event", "LeaseFailed").Str("Code", bramleyfall.CodeOf(err).String()).Str("Reason", err.Error()).Msg("")
		return
	}
	if !held {
		s.telemetry.Log.Info().Str("Event", "LeaseTaken").Msg("")
	}
}

func (s *server) release(lease *etcd.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := lease.Release(ctx); err != nil {
		s.telemetry.Log.Warn().Str("Event", "LeaseNotReleased").Str("Reason", err.Error()).Msg("")
	}
}

func (s *server) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(readerCheck):
	}
}
