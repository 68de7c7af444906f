package placement

import (
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
)

// upstream is what the balancer knows of an upstream and the agent beside it.
type upstream struct {
	bramleyfall.Announcement
	key    bramleyfall.InstanceKey
	load   bramleyfall.Load
	loadAt time.Time
	// placed counts the openings that were sent since the load was told.
	placed int
	// lastPlaced is when the last opening was sent.
	lastPlaced time.Time
	// sentSince is when the first message was sent that the agent hasn't
	// followed with one of its own, or zero.
	sentSince time.Time
	// unlistedAt is when its entry vanished from the store, or zero.
	unlistedAt time.Time
	// withdrawn is set when the agent removed its entry, since its upstream has
	// ended.
	withdrawn bool
	lastProbe time.Time
	// heardAt is when the agent was heard first: what it was sent before may have
	// been lost, since it had not started yet.
	heardAt time.Time
	// foreign is set when the agent says that it serves another service.
	foreign bool
}

func (u *upstream) target() Target {
	return Target{Address: u.Packets, Service: u.Service.Key(), EntryMissing: !u.unlistedAt.IsZero()}
}

func (u *upstream) sent(now time.Time) {
	if u.sentSince.IsZero() {
		u.sentSince = now
	}
}

// silent reports whether the agent leaves messages unanswered.
func (u *upstream) silent(after time.Duration, now time.Time) bool {
	return !u.sentSince.IsZero() && now.Sub(u.sentSince) > after
}

// gone reports whether an agent without an entry in the store is to be
// forgotten.
func (u *upstream) gone(c *Config, now time.Time) bool {
	if u.unlistedAt.IsZero() {
		return false
	}
	heard := u.loadAt
	if heard.IsZero() {
		heard = u.unlistedAt // it was announced as one without an entry
	}
	return u.silent(c.SilentAfter, now) || now.Sub(heard) > c.MissingEntryRetention
}

// takes reports whether the upstream is offered openings.
func (u *upstream) takes(c *Config, now time.Time) bool {
	if u.foreign || u.silent(c.SilentAfter, now) {
		return false
	}
	if !u.unlistedAt.IsZero() && now.Sub(u.loadAt) > 2*c.SilentAfter {
		return false
	}
	switch u.load.State {
	case bramleyfall.UpstreamDraining, bramleyfall.UpstreamSilent, bramleyfall.UpstreamUnknown:
		return false
	}
	return true
}

// loadAge is the time for which a load counts.
const loadAge = time.Second

// unknownUse is the use that an upstream of unknown load is taken to have.
const unknownUse = 0.4

// use returns the share of slots in use, averaged and at the moment, with the
// openings that were placed since.
func (u *upstream) use(now time.Time) float64 {
	slots := float64(max(1, u.Slots))
	placed := float64(u.placed) / slots
	if now.Sub(u.loadAt) > loadAge {
		return unknownUse + placed/2
	}
	mean := float64(u.load.Utilization) / 1000
	return (mean + float64(u.load.Busy)/slots + placed) / 2
}

// full reports whether all slots are believed to be taken.
func (u *upstream) full(now time.Time) bool {
	return now.Sub(u.loadAt) <= loadAge && int(u.load.Busy)+u.placed >= max(1, u.Slots)
}

// EntryAdded adds or updates an agent by its entry in the store.
func (p *Placer) EntryAdded(a bramleyfall.Announcement) {
	u := p.upstreams[a.Packets]
	if u != nil && u.Announcement == a {
		u.unlistedAt, u.withdrawn = time.Time{}, false
		return
	}
	if u != nil {
		p.drop(u)
	}
	next := &upstream{Announcement: a, key: bramleyfall.InstanceKeyFor(string(a.Instance)), load: bramleyfall.Load{State: bramleyfall.UpstreamReady}}
	if u != nil && u.Service == a.Service && u.Instance == a.Instance {
		// The same agent announces another run of its upstream.
		*next = *u
		next.Announcement, next.unlistedAt, next.withdrawn, next.foreign = a, time.Time{}, false, false
		for _, f := range p.flows {
			if f.owner == u {
				f.owner = next
			}
		}
	}
	p.upstreams[a.Packets] = next
	p.services[a.Service] = append(p.services[a.Service], next)
}

// EntryMissing records that an agent's entry has lapsed or was removed from the
// store.
func (p *Placer) EntryMissing(instance bramleyfall.InstanceID, now time.Time) {
	for _, u := range p.upstreams {
		if u.Instance == instance && u.unlistedAt.IsZero() {
			u.unlistedAt = now
			u.sent(now) // it is probed, and forgotten if it doesn't answer
		}
	}
}

// EntryWithdrawn records that an agent removed its own entry because its upstream
// has ended.
func (p *Placer) EntryWithdrawn(instance bramleyfall.InstanceID) {
	for _, u := range p.upstreams {
		u.withdrawn = u.withdrawn || u.Instance == instance
	}
}

// drop forgets an upstream.
func (p *Placer) drop(u *upstream) {
	delete(p.upstreams, u.Packets)
	p.services[u.Service] = slices.DeleteFunc(p.services[u.Service], func(x *upstream) bool { return x == u })
}

// UpdateLoad records the load that an agent reported for the upstream of a service.
// It returns whether the state has changed.
func (p *Placer) UpdateLoad(from bramleyfall.Endpoint, service bramleyfall.ServiceKey, load bramleyfall.Load, now time.Time) bool {
	u := p.upstreams[from]
	if u == nil {
		return false
	}
	news := u.load.State != load.State
	u.foreign = service != u.Service.Key()
	if u.heardAt.IsZero() {
		u.heardAt = now
	}
	u.load, u.loadAt, u.placed = load, now, 0
	u.sentSince = time.Time{}
	return news
}

// InstanceAt returns the ID of the agent at an address, or an empty ID if it is
// unknown.
func (p *Placer) InstanceAt(address bramleyfall.Endpoint) bramleyfall.InstanceID {
	if u := p.upstreams[address]; u != nil {
		return u.Instance
	}
	return ""
}

// AgentCount returns the number of known agents.
func (p *Placer) AgentCount() int { return len(p.upstreams) }

// DueProbes returns the agents that must be probed now and records them as probed:
// those that are silent, were never heard or whose entry is missing.
func (p *Placer) DueProbes(now time.Time) []Target {
	p.begin()
	for _, u := range p.upstreams {
		due := u.silent(p.config.ProbeInterval, now) || !u.unlistedAt.IsZero() || u.heardAt.IsZero()
		if due && now.Sub(u.lastProbe) >= p.probeEvery(u, now) {
			u.sent(now)
			u.lastProbe = now
			p.targets = append(p.targets, u.target())
		}
	}
	return p.targets
}

// probeEvery returns the time between two probes of an agent. One that was never
// heard may start at any moment.
func (p *Placer) probeEvery(u *upstream, now time.Time) time.Duration {
	if u.heardAt.IsZero() && !u.silent(p.config.UnheardFlowLossTimeout, now) {
		return p.config.UnheardProbeInterval
	}
	return p.config.ProbeInterval
}

// Isolated reports whether all known agents are silent, so that the balancer is
// better taken out of service. A balancer that knows no agents is not isolated.
func (p *Placer) Isolated(now time.Time) bool {
	for _, u := range p.upstreams {
		if !u.silent(p.config.SilentAfter, now) {
			return false
		}
	}
	return len(p.upstreams) > 0
}
