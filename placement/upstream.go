package placement

import (
	"slices"
	"time"

	"bramleyfall.example/bramleyfall"
)

// upstream is what the balancer knows about an upstream and its agent.
type upstream struct {
	bramleyfall.Announcement
	key    bramleyfall.InstanceKey
	load   bramleyfall.Load
	loadAt time.Time
	// placedSinceReport is the number of openings placed with the upstream since its
	// last load report.
	placedSinceReport int
	// lastPlaced is when the last opening was placed with the upstream.
	lastPlaced time.Time
	// unansweredSince is when the first message was sent to the agent since its last
	// message arrived, or zero if none was.
	unansweredSince time.Time
	// entryMissingSince is when the agent's entry disappeared from the store, or zero.
	entryMissingSince time.Time
	// withdrawn is set if the agent removed its entry because its upstream has ended.
	withdrawn  bool
	lastProbed time.Time
	// firstHeardAt is when the agent's first message arrived, or zero. Messages sent
	// to it earlier may have been lost because it had not started yet.
	firstHeardAt time.Time
	// wrongService is set if the agent reports that it serves another service.
	wrongService bool
}

func (u *upstream) target() Target {
	return Target{Address: u.Packets, Service: u.Service.Key(), EntryMissing: !u.entryMissingSince.IsZero()}
}

func (u *upstream) noteSent(now time.Time) {
	if u.unansweredSince.IsZero() {
		u.unansweredSince = now
	}
}

// silent reports whether the agent has left messages unanswered for longer than after.
func (u *upstream) silent(after time.Duration, now time.Time) bool {
	return !u.unansweredSince.IsZero() && now.Sub(u.unansweredSince) > after
}

// expired reports whether an agent without an entry in the store is to be removed.
func (u *upstream) expired(c *Config, now time.Time) bool {
	if u.entryMissingSince.IsZero() {
		return false
	}
	lastReport := u.loadAt
	if lastReport.IsZero() {
		lastReport = u.entryMissingSince // no report yet: the entry was already missing when the agent was added
	}
	return u.silent(c.SilentAfter, now) || now.Sub(lastReport) > c.MissingEntryRetention
}

// acceptsFlows reports whether openings may be placed with the upstream.
func (u *upstream) acceptsFlows(c *Config, now time.Time) bool {
	if u.wrongService || u.silent(c.SilentAfter, now) {
		return false
	}
	if !u.entryMissingSince.IsZero() && now.Sub(u.loadAt) > 2*c.SilentAfter {
		return false
	}
	switch u.load.State {
	case bramleyfall.UpstreamDraining, bramleyfall.UpstreamSilent, bramleyfall.UpstreamUnknown:
		return false
	}
	return true
}

// maxLoadAge is the age up to which a load report is used.
const maxLoadAge = time.Second

// unknownUtilization is the utilization assumed for an upstream whose load is unknown.
const unknownUtilization = 0.4

// utilization returns the estimated fraction of slots in use: the mean of the averaged
// and the current utilization, the latter with the openings placed since the report.
func (u *upstream) utilization(now time.Time) float64 {
	slots := float64(max(1, u.Slots))
	placed := float64(u.placedSinceReport) / slots
	if now.Sub(u.loadAt) > maxLoadAge {
		return unknownUtilization + placed/2
	}
	mean := float64(u.load.Utilization) / 1000
	return (mean + float64(u.load.Busy)/slots + placed) / 2
}

// full reports whether all slots are believed to be in use.
func (u *upstream) full(now time.Time) bool {
	return now.Sub(u.loadAt) <= maxLoadAge && int(u.load.Busy)+u.placedSinceReport >= max(1, u.Slots)
}

// EntryAdded adds or updates an agent according to its entry in the store.
func (p *Placer) EntryAdded(a bramleyfall.Announcement) {
	u := p.upstreams[a.Packets]
	if u != nil && u.Announcement == a {
		u.entryMissingSince, u.withdrawn = time.Time{}, false
		return
	}
	if u != nil {
		p.removeUpstream(u)
	}
	added := &upstream{Announcement: a, key: bramleyfall.InstanceKeyFor(string(a.Instance)), load: bramleyfall.Load{State: bramleyfall.UpstreamReady}}
	if u != nil && u.Service == a.Service && u.Instance == a.Instance {
		// The agent has updated its entry after a restart of its upstream.
		*added = *u
		added.Announcement, added.entryMissingSince, added.withdrawn, added.wrongService = a, time.Time{}, false, false
		for _, f := range p.flows {
			if f.owner == u {
				f.owner = added
			}
		}
	}
	p.upstreams[a.Packets] = added
	p.services[a.Service] = append(p.services[a.Service], added)
}

// EntryMissing records that an agent's entry has expired or was removed from the
// store.
func (p *Placer) EntryMissing(instance bramleyfall.InstanceID, now time.Time) {
	for _, u := range p.upstreams {
		if u.Instance == instance && u.entryMissingSince.IsZero() {
			u.entryMissingSince = now
			u.noteSent(now) // it is probed, and removed if it does not answer
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

func (p *Placer) removeUpstream(u *upstream) {
	delete(p.upstreams, u.Packets)
	p.services[u.Service] = slices.DeleteFunc(p.services[u.Service], func(x *upstream) bool { return x == u })
}

// UpdateLoad records the load that an agent reported for the upstream of a service. It
// reports whether the upstream's state has changed.
func (p *Placer) UpdateLoad(from bramleyfall.Endpoint, service bramleyfall.ServiceKey, load bramleyfall.Load, now time.Time) bool {
	u := p.upstreams[from]
	if u == nil {
		return false
	}
	changed := u.load.State != load.State
	u.wrongService = service != u.Service.Key()
	if u.firstHeardAt.IsZero() {
		u.firstHeardAt = now
	}
	u.load, u.loadAt, u.placedSinceReport = load, now, 0
	u.unansweredSince = time.Time{}
	return changed
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
// those that are silent, have never sent a message or have no entry in the store.
func (p *Placer) DueProbes(now time.Time) []Target {
	p.clearResults()
	for _, u := range p.upstreams {
		due := u.silent(p.config.ProbeInterval, now) || !u.entryMissingSince.IsZero() || u.firstHeardAt.IsZero()
		if due && now.Sub(u.lastProbed) >= p.probeInterval(u, now) {
			u.noteSent(now)
			u.lastProbed = now
			p.targets = append(p.targets, u.target())
		}
	}
	return p.targets
}

// probeInterval returns the time between two probes of an agent. An agent that has
// never sent a message may start at any moment and is probed more often at first.
func (p *Placer) probeInterval(u *upstream, now time.Time) time.Duration {
	if u.firstHeardAt.IsZero() && !u.silent(p.config.UnheardFlowLossTimeout, now) {
		return p.config.UnheardProbeInterval
	}
	return p.config.ProbeInterval
}

// Isolated reports whether all known agents are silent, so that the balancer should be
// taken out of service. A balancer that knows no agents is not isolated.
func (p *Placer) Isolated(now time.Time) bool {
	for _, u := range p.upstreams {
		if !u.silent(p.config.SilentAfter, now) {
			return false
		}
	}
	return len(p.upstreams) > 0
}
