package directory

import (
	"maps"
	"time"

	"bramleyfall.example/bramleyfall"
)

// evacuationGracePeriod is the time for which an evacuation that a restore of the store
// undid stays in force, until operators have written it again.
const evacuationGracePeriod = 2 * time.Second

// merge returns s with those parts replaced that are older than the ones in force:
// neither the version nor the set of failure domains in service may revert to an
// earlier state. A restored store may hold an older version beside newer domain
// states, and a peer a newer version beside older ones.
func (w *ConfigurationWatcher) merge(s *bramleyfall.Snapshot) *bramleyfall.Snapshot {
	next := *s
	if s.Version < w.known.Version {
		next.Version, next.IdleTimeout = w.known.Version, w.known.IdleTimeout
		next.Routes, next.Services = w.known.Routes, w.known.Services
	}
	if s.Revision < w.known.Revision {
		next.Revision, next.Out = w.known.Revision, w.known.Out
		return &next
	}
	now := w.clock.Now()
	if s.Revision.Era() > w.known.Revision.Era() {
		w.retained = retainedEvacuations{domains: maps.Clone(w.known.Out), until: now.Add(evacuationGracePeriod)}
	}
	next.Out = w.retained.addTo(s.Out, now)
	return &next
}

// retainedEvacuations holds failure domains that were out of service before a restore
// of the store and have not been seen as such since.
type retainedEvacuations struct {
	domains map[bramleyfall.DomainName]bool
	until   time.Time
}

// addTo returns out with the retained domains added. Domains that out contains are
// retained no longer.
func (r *retainedEvacuations) addTo(out map[bramleyfall.DomainName]bool, now time.Time) map[bramleyfall.DomainName]bool {
	if r.due(now) {
		r.domains = nil
	}
	maps.DeleteFunc(r.domains, func(domain bramleyfall.DomainName, _ bool) bool { return out[domain] })
	if len(r.domains) == 0 {
		return out
	}
	all := maps.Clone(out)
	if all == nil {
		all = make(map[bramleyfall.DomainName]bool)
	}
	maps.Copy(all, r.domains)
	return all
}

// due reports whether there are retained domains whose grace period has passed.
func (r *retainedEvacuations) due(now time.Time) bool {
	return len(r.domains) > 0 && !now.Before(r.until)
}

// limitWait returns wait, shortened so that it ends with the grace period.
func (r *retainedEvacuations) limitWait(wait time.Duration, now time.Time) time.Duration {
	if len(r.domains) == 0 {
		return wait
	}
	return min(wait, max(0, r.until.Sub(now)))
}
