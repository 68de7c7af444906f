package directory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

const (
	// leaseTTL is the time after which the store removes the entry of an agent that
	// stopped renewing it. Balancers detect such an agent sooner because packets
	// that they send to it remain unanswered.
	leaseTTL = 8 * time.Second
	// renewInterval is the interval of lease renewals and thus the time within which
	// an agent detects that its entry is missing. It leaves time for further
	// attempts before the lease expires if a renewal fails.
	renewInterval = leaseTTL / 4
	// lateWriteWindow is the time for which a write of unknown outcome may still
	// take effect. The platform's documentation states a few seconds; delays of 6 s
	// have been observed.
	lateWriteWindow = 7 * time.Second
	// propagationTime is the time within which balancers know an entry that was
	// written. A report that the entry is missing is followed up only if the entry was
	// written or read longer ago.
	propagationTime = 2 * time.Second
	// maxConflicts is the number of consecutive attempts to write an entry that may fail
	// because the entry has been changed, before Run pauses.
	maxConflicts = 3
)

// Announcer registers an agent's entry in the store and renews its lease while
// Run is running.
//
// Each write of the entry has the condition that nobody has written it since the last
// revision that this process knows. The store may execute a write of unknown outcome
// seconds later, when the process has ended. Without the condition, such a write could
// remove the entry of the agent's next process, or attach it to a lease that nobody renews.
type Announcer struct {
	store      bramleyfall.LongPollStore
	health     HealthFunc
	onConflict ConflictFunc
	wake       chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	wanted *bramleyfall.Announcement
	// reportedMissing is set when a balancer has reported that the entry is missing.
	reportedMissing bool

	// The fields below are used only by Run.

	// written is the entry that the store holds under lease as far as Run knows, or nil.
	written *bramleyfall.Announcement
	lease   bramleyfall.LeaseID
	// key is the key of the entry.
	key string
	// revision is the revision of the last known write of the entry, or zero if the
	// store does not hold it as far as Run knows.
	revision bramleyfall.Revision
	// confirmedAt is when the entry was last written or read.
	confirmedAt time.Time
	// lateWindow is the time for which a write of unknown outcome may still take
	// effect. The last such window ends at lateUntil; it is zero if none is open. An
	// entry that was removed may be written until then, because the condition that no
	// entry exists holds again.
	lateWindow time.Duration
	lateUntil  time.Time
}

// ConflictFunc receives the key of an entry with the revision and lease that the store
// was expected to hold, and what it holds instead. A revision of zero means that the
// entry does not exist.
type ConflictFunc func(expected, found bramleyfall.KeyValue)

// AnnouncerOption configures an Announcer.
type AnnouncerOption func(*Announcer)

// WithLateWriteWindow sets the time for which a write of unknown outcome may
// still take effect.
func WithLateWriteWindow(d time.Duration) AnnouncerOption {
	return func(a *Announcer) { a.lateWindow = d }
}

// WithConflictObserver sets a function that is called when the store holds another entry
// than expected: that of an earlier process of the agent, or none.
func WithConflictObserver(observe ConflictFunc) AnnouncerOption {
	return func(a *Announcer) { a.onConflict = observe }
}

// NewAnnouncer returns an announcer without an entry.
func NewAnnouncer(store bramleyfall.LongPollStore, health HealthFunc, options ...AnnouncerOption) *Announcer {
	a := &Announcer{
		store: store, health: health, onConflict: func(bramleyfall.KeyValue, bramleyfall.KeyValue) {},
		wake: make(chan struct{}, 1), lateWindow: lateWriteWindow,
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// SetEntry sets the entry that Run keeps in the store; nil withdraws it.
func (a *Announcer) SetEntry(entry *bramleyfall.Announcement) {
	a.mu.Lock()
	a.wanted = entry
	a.mu.Unlock()
	a.wakeRun()
}

// ReportMissing makes Run renew the entry's lease at once because a balancer reported
// the entry missing. If the lease has expired, the entry is written again. If it has
// not, the entry is read, and written again unless the store holds it under that lease.
func (a *Announcer) ReportMissing() {
	a.mu.Lock()
	a.reportedMissing = true
	a.mu.Unlock()
	a.wakeRun()
}

func (a *Announcer) wakeRun() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run keeps the entry in the store until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	retry := newRetry()
	for ctx.Err() == nil {
		wanted, reported := a.next()
		if wanted == nil && a.revision == 0 && !a.lateWriteDue() {
			sleepUntil(ctx, a.untilLateWrite(), a.wake)
			continue
		}
		err := a.reconcile(ctx, wanted, reported)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, bramleyfall.ErrLeaseLost), errors.Is(err, bramleyfall.ErrHistoryLost):
			a.lease, a.written, a.revision = 0, nil, 0
		case err != nil:
			if errors.Is(err, bramleyfall.ErrUnknownOutcome) {
				a.lateUntil = time.Now().Add(a.lateWindow)
			}
			a.health(err)
			sleep(ctx, retry.NextBackOff())
		default:
			a.health(nil)
			retry.Reset()
			sleepUntil(ctx, min(renewInterval, a.untilLateWrite()), a.wake)
		}
	}
}

// next returns the wanted entry, and whether it has been reported missing since the last
// call.
func (a *Announcer) next() (wanted *bramleyfall.Announcement, reported bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reported, a.reportedMissing = a.reportedMissing, false
	return a.wanted, reported
}

// lateWriteDue reports whether a write of unknown outcome can no longer take effect, so
// that the entry may be checked for it.
func (a *Announcer) lateWriteDue() bool { return !a.lateUntil.IsZero() && a.untilLateWrite() == 0 }

// untilLateWrite returns the time until the entry may be checked for a late write, or
// leaseTTL if none is expected.
func (a *Announcer) untilLateWrite() time.Duration {
	if a.lateUntil.IsZero() {
		return leaseTTL
	}
	return max(0, time.Until(a.lateUntil))
}

// reconcile renews the lease if the store holds the wanted entry; otherwise it
// writes the wanted entry or removes the old one.
func (a *Announcer) reconcile(ctx context.Context, wanted *bramleyfall.Announcement, reported bool) error {
	if wanted == nil {
		return a.remove(ctx)
	}
	if a.lateWriteDue() {
		a.lateUntil = time.Time{} // the condition has kept it from replacing the entry
	}
	if a.holds(wanted) {
		if err := a.store.KeepAlive(ctx, a.lease); err != nil || !reported || time.Since(a.confirmedAt) < propagationTime {
			return err
		}
		if err := a.read(ctx, wanted); err != nil || a.holds(wanted) {
			return err
		}
	}
	return a.write(ctx, wanted)
}

// holds reports whether the store holds the wanted entry under the lease, as far as Run
// knows.
func (a *Announcer) holds(wanted *bramleyfall.Announcement) bool {
	return a.written != nil && *a.written == *wanted
}

// write writes the wanted entry under the lease.
func (a *Announcer) write(ctx context.Context, wanted *bramleyfall.Announcement) error {
	if err := a.ensureLease(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(wanted)
	if err != nil {
		return err
	}
	a.key = agentKey(wanted)
	put := bramleyfall.Write{Key: a.key, Value: value, Lease: a.lease}
	for range maxConflicts {
		committed, err := a.commit(ctx, wanted, put)
		if err != nil {
			return err
		}
		if committed {
			a.written = wanted
		}
		if a.holds(wanted) {
			return nil // also if an attempt of unknown outcome took effect
		}
	}
	return errEntryChanged
}

// remove removes the entry and records that its agent removed it; for an entry that
// expires there is no such record.
func (a *Announcer) remove(ctx context.Context) error {
	if a.lateWriteDue() {
		if err := a.read(ctx, nil); err != nil {
			return err
		}
		a.lateUntil = time.Time{}
	}
	for range maxConflicts {
		if a.revision == 0 {
			return nil
		}
		committed, err := a.commit(ctx, nil,
			bramleyfall.Write{Key: a.key, Delete: true}, bramleyfall.Write{Key: withdrawnKey, Value: []byte(a.key)})
		if err != nil {
			return err
		}
		if committed {
			a.revision, a.written = 0, nil
		}
	}
	return errEntryChanged
}

var errEntryChanged = errors.New("the entry has been changed repeatedly by others")

// commit executes writes if nobody has changed the entry since its last known revision.
// Otherwise it records what the store holds instead and returns false.
func (a *Announcer) commit(ctx context.Context, wanted *bramleyfall.Announcement, writes ...bramleyfall.Write) (bool, error) {
	result, err := a.store.Commit(ctx, bramleyfall.Txn{
		Conditions: []bramleyfall.Condition{{Key: a.key, ModRevision: int64(a.revision)}},
		Writes:     writes,
	})
	if err != nil {
		return false, err
	}
	a.confirmedAt = time.Now()
	if result.Committed {
		a.revision = result.Revision
		return true, nil
	}
	a.observe(result.Current, wanted)
	return false, nil
}

// read reads the entry from the store.
func (a *Announcer) read(ctx context.Context, wanted *bramleyfall.Announcement) error {
	pairs, _, err := a.store.List(ctx, a.key)
	if err != nil {
		return err
	}
	a.confirmedAt = time.Now()
	a.observe(pairs, wanted)
	return nil
}

// observe records which entry the store holds, given pairs that include it if it exists.
func (a *Announcer) observe(pairs []bramleyfall.KeyValue, wanted *bramleyfall.Announcement) {
	found := bramleyfall.KeyValue{Key: a.key}
	for _, pair := range pairs {
		if pair.Key == a.key {
			found = pair
		}
	}
	if bramleyfall.Revision(found.ModRevision) != a.revision {
		a.onConflict(bramleyfall.KeyValue{Key: a.key, ModRevision: int64(a.revision), Lease: a.lease}, found)
	}
	a.revision, a.written = bramleyfall.Revision(found.ModRevision), nil
	var entry bramleyfall.Announcement
	if wanted != nil && a.lease != 0 && found.Lease == a.lease && json.Unmarshal(found.Value, &entry) == nil && entry == *wanted {
		a.written = wanted
	}
}

func (a *Announcer) ensureLease(ctx context.Context) error {
	if a.lease != 0 {
		return nil
	}
	lease, err := a.store.Grant(ctx, leaseTTL)
	a.lease = lease
	return err
}
