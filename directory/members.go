package directory

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

const (
	// rosterPrefix is where the agents' entries and the mark are.
	rosterPrefix = "bramleyfall/"
	// agentPrefix is where agents keep their entries, by service, address and
	// instance.
	agentPrefix = rosterPrefix + "agents/"
	// withdrawnKey is where an agent writes the key of its entry as it removes it,
	// since its upstream has ended. The history tells such an entry from one that
	// has lapsed.
	withdrawnKey = rosterPrefix + "withdrawn"
)

func agentKey(a *bramleyfall.Announcement) string {
	return agentPrefix + string(a.Service) + "/" + a.Packets.String() + "/" + string(a.Instance)
}

// instanceOf returns the instance that a key belongs to.
func instanceOf(key string) bramleyfall.InstanceID {
	return bramleyfall.InstanceID(key[strings.LastIndexByte(key, '/')+1:])
}

// parseKey returns what the key of an entry says of its agent.
func parseKey(key string) (bramleyfall.Announcement, error) {
	words := strings.Split(strings.TrimPrefix(key, agentPrefix), "/")
	const parts = 3
	if len(words) != parts {
		return bramleyfall.Announcement{}, bramleyfall.Errorf(bramleyfall.MalformedMessage, "%q is not the key of an entry", key)
	}
	packets, err := bramleyfall.ParseEndpoint(words[1])
	return bramleyfall.Announcement{
		Instance: bramleyfall.InstanceID(words[2]), Service: bramleyfall.ServiceName(words[0]), Packets: packets,
	}, err
}

// EntryHandler handles changes of the agents' entries in the store. At the first
// list, an agent whose entry was removed by a recent change is passed to
// EntryAdded, with only what the entry's key holds, and then to EntryMissing.
type EntryHandler interface {
	// EntryAdded is called when an agent's entry was added or changed.
	EntryAdded(a bramleyfall.Announcement)
	// EntryMissing is called when an agent's entry is no longer in the store: it
	// has lapsed or was removed.
	EntryMissing(instance bramleyfall.InstanceID)
	// EntryWithdrawn is called when an agent removed its own entry because its
	// upstream has ended.
	EntryWithdrawn(instance bramleyfall.InstanceID)
	// ListComplete is called when all entries that the store held at asOf have
	// been passed to EntryAdded.
	ListComplete(asOf time.Time)
	// ListMayBeIncomplete is called when the first list may lack agents whose
	// entries lapsed shortly before. Reason says why that can't be ruled out.
	ListMayBeIncomplete(reason error)
	// RecordMalformed is called when the key or value of an entry, or a mark that
	// balancers write, can't be parsed.
	RecordMalformed(err error)
}

// EntryWatcher watches the agents' entries for a balancer.
type EntryWatcher struct {
	store   bramleyfall.LongPollStore
	clock   bramleyfall.Clock
	members EntryHandler
	health  HealthFunc
	// listed holds the revisions of the entries that members know.
	listed map[string]int64
	marks  marks
	// revision is that up to which the entries are known, or zero.
	revision bramleyfall.Revision
	// since is when the first list was asked for, and asOf when the last list or look
	// was, or zero.
	since, asOf time.Time
	// refresh holds a request for a look.
	refresh chan struct{}
}

// NewEntryWatcher returns a watcher that passes changes of entries to members.
func NewEntryWatcher(store bramleyfall.LongPollStore, clock bramleyfall.Clock, members EntryHandler, health HealthFunc) *EntryWatcher {
	return &EntryWatcher{
		store: store, clock: clock, members: members, health: health, listed: make(map[string]int64),
		marks:   newMarks(),
		refresh: make(chan struct{}, 1),
	}
}

// Refresh makes Run poll the store for changes at once, since a watch can stop
// delivering changes unnoticed.
func (r *EntryWatcher) Refresh() {
	select {
	case r.refresh <- struct{}{}:
	default:
	}
}

// Run watches the entries until ctx is done. After a failed call it continues
// from the last known revision. If the store no longer holds the changes since
// then, it lists all entries again.
func (r *EntryWatcher) Run(ctx context.Context) {
	retry := newRetry()
	for ctx.Err() == nil {
		err := r.follow(ctx, retry.Reset)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, bramleyfall.ErrHistoryLost) {
			r.revision = 0
			continue
		}
		r.health(err)
		sleep(ctx, retry.NextBackOff())
	}
}

func (r *EntryWatcher) follow(ctx context.Context, succeeded func()) error {
	known := r.revision != 0
	if !known {
		if err := r.list(ctx); err != nil {
			return err
		}
		r.health(nil)
		succeeded()
	}
	return r.watch(ctx, known, succeeded)
}

// list reads all entries.
func (r *EntryWatcher) list(ctx context.Context) error {
	asOf := r.clock.Now()
	pairs, revision, err := r.store.List(ctx, rosterPrefix)
	if err != nil {
		return err
	}
	first := r.since.IsZero()
	if first {
		r.since = asOf
		r.marks.seen(asOf)
	}
	r.replace(pairs)
	if first {
		r.announceRemoved(ctx, revision)
	}
	r.revision = revision
	r.listedAsOf(asOf)
	return nil
}

// recentChanges is the number of changes of the store that count as recent: as
// many as the entries of a hundred agents make that lapse together.
const recentChanges = 256

// announceRemoved announces the agents whose entries were removed by a recent
// change and not written again, as ones without an entry. They may have lapsed in
// an outage: members that follow the entries for longer know these agents, and
// keep them while they answer.
func (r *EntryWatcher) announceRemoved(ctx context.Context, revision bramleyfall.Revision) {
	addresses, instances := r.taken()
	changes, err := r.recent(ctx, revision)
	if err != nil {
		r.members.ListMayBeIncomplete(err)
	}
	withdrawn := make(map[string]bool)
	for _, change := range changes {
		if change.Key == withdrawnKey {
			withdrawn[string(change.Value)] = true
		}
	}
	for _, change := range changes {
		if !change.Deleted || change.Key == markKey || change.Key == withdrawnKey {
			continue
		}
		a, err := parseKey(change.Key)
		if err != nil {
			r.members.RecordMalformed(err)
			continue
		}
		if addresses[a.Packets] || instances[a.Instance] {
			continue // it has an entry again, or its address is another's now
		}
		r.members.EntryAdded(a)
		r.members.EntryMissing(a.Instance)
		if withdrawn[change.Key] {
			r.members.EntryWithdrawn(a.Instance)
		}
	}
}

// taken returns the addresses and instances that are listed.
func (r *EntryWatcher) taken() (map[bramleyfall.Endpoint]bool, map[bramleyfall.InstanceID]bool) {
	addresses, instances := make(map[bramleyfall.Endpoint]bool), make(map[bramleyfall.InstanceID]bool)
	for key := range r.listed {
		if a, err := parseKey(key); err == nil { // those that aren't well formed were reported
			addresses[a.Packets], instances[a.Instance] = true, true
		}
	}
	return addresses, instances
}

// recent returns the last changes: those since the oldest mark that the store
// still knows the changes after. Where it knows them after none, it returns those
// that it does know, and an error.
func (r *EntryWatcher) recent(ctx context.Context, revision bramleyfall.Revision) ([]bramleyfall.KeyValue, error) {
	for _, previous := range r.marks.previous {
		changes, _, err := r.store.Await(ctx, rosterPrefix, bramleyfall.Revision(previous), 0)
		if !errors.Is(err, bramleyfall.ErrHistoryLost) {
			return changes, err
		}
	}
	known, err := r.search(ctx, revision)
	if err == nil {
		err = errNoHistory
	}
	return known, err
}

// search returns the last changes, as many as the store still knows. It doesn't
// tell how far back that is, so that the limit is searched for.
func (r *EntryWatcher) search(ctx context.Context, revision bramleyfall.Revision) ([]bramleyfall.KeyValue, error) {
	var known []bramleyfall.KeyValue
	most := min(revision, recentChanges)
	kept, lost := bramleyfall.Revision(0), 2*most
	for kept < most && lost-kept > 1 {
		back := (kept + lost) / 2
		changes, _, err := r.store.Await(ctx, rosterPrefix, revision-back, 0)
		switch {
		case errors.Is(err, bramleyfall.ErrHistoryLost):
			lost = back
		case err != nil:
			return known, err
		default:
			known, kept = changes, back
		}
	}
	return known, nil
}

// replace takes a full list.
func (r *EntryWatcher) replace(pairs []bramleyfall.KeyValue) {
	present := make(map[string]bool, len(pairs))
	for _, pair := range pairs {
		present[pair.Key] = true
		r.change(pair)
	}
	for key := range r.listed {
		if !present[key] {
			r.change(bramleyfall.KeyValue{Key: key, Deleted: true})
		}
	}
}

func (r *EntryWatcher) change(pair bramleyfall.KeyValue) {
	switch {
	case pair.Key == markKey:
		if err := r.marks.take(pair, r.clock.Now()); err != nil {
			r.members.RecordMalformed(err)
		}
		return
	case pair.Key == withdrawnKey:
		r.withdraw(pair)
		return
	case pair.Deleted:
		delete(r.listed, pair.Key)
		r.members.EntryMissing(instanceOf(pair.Key))
		return
	}
	if known, ok := r.listed[pair.Key]; ok && known == pair.ModRevision {
		return // a list names again what a watch brought
	}
	var a bramleyfall.Announcement
	err := json.Unmarshal(pair.Value, &a)
	if err == nil && (a.Instance != instanceOf(pair.Key) || a.Packets.IsZero() || a.Service == "") {
		err = bramleyfall.Errorf(bramleyfall.MalformedMessage, "the entry lacks a field or has another's key")
	}
	if err != nil {
		r.members.RecordMalformed(errors.Wrapf(err, "entry %s", pair.Key))
		return
	}
	r.listed[pair.Key] = pair.ModRevision
	r.members.EntryAdded(a)
}

// withdraw takes the key of an entry that its agent removed, unless it was written
// again since.
func (r *EntryWatcher) withdraw(pair bramleyfall.KeyValue) {
	key := string(pair.Value)
	if r.listed[key] < pair.ModRevision {
		r.members.EntryWithdrawn(instanceOf(key))
	}
}
