package directory

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

const (
	// watchedPrefix is the common prefix of the agents' entries, the checkpoint and
	// the withdrawal record, which are listed and watched together.
	watchedPrefix = "bramleyfall/"
	// agentPrefix is the prefix of the agents' entries. It is followed by the
	// service, the packet address and the instance.
	agentPrefix = watchedPrefix + "agents/"
	// withdrawnKey is the key under which an agent writes the key of its entry when
	// it removes the entry because its upstream has ended. The history thereby
	// distinguishes such an entry from one that expired.
	withdrawnKey = watchedPrefix + "withdrawn"
)

func agentKey(a *bramleyfall.Announcement) string {
	return agentPrefix + string(a.Service) + "/" + a.Packets.String() + "/" + string(a.Instance)
}

// instanceFromKey returns the instance to which the entry under key belongs.
func instanceFromKey(key string) bramleyfall.InstanceID {
	return bramleyfall.InstanceID(key[strings.LastIndexByte(key, '/')+1:])
}

// parseKey returns the instance, service and packet address that the key of an
// entry contains.
func parseKey(key string) (bramleyfall.Announcement, error) {
	suffix, ok := strings.CutPrefix(key, agentPrefix)
	parts := strings.Split(suffix, "/")
	const partCount = 3
	if !ok || len(parts) != partCount {
		return bramleyfall.Announcement{}, bramleyfall.Errorf(bramleyfall.MalformedMessage, "entry key %q does not have the form prefix/service/address/instance", key)
	}
	packets, err := bramleyfall.ParseEndpoint(parts[1])
	if err != nil || packets.Port == 0 || packets.String() != parts[1] || parts[0] == "" || parts[2] == "" {
		return bramleyfall.Announcement{}, bramleyfall.Errorf(bramleyfall.MalformedMessage, "entry key %q has no service, instance or valid address", key)
	}
	return bramleyfall.Announcement{
		Instance: bramleyfall.InstanceID(parts[2]), Service: bramleyfall.ServiceName(parts[0]), Packets: packets,
	}, nil
}

// EntryHandler handles changes of the agents' entries in the store. At the first
// list, an agent whose entry was removed by a recent change is passed to
// EntryAdded, with only what the entry's key holds, and then to EntryMissing.
type EntryHandler interface {
	// EntryAdded is called when an agent's entry was added or changed.
	EntryAdded(a bramleyfall.Announcement)
	// EntryMissing is called when an agent's entry is no longer in the store because
	// it expired or was removed.
	EntryMissing(instance bramleyfall.InstanceID)
	// EntryWithdrawn is called when an agent removed its own entry because its
	// upstream has ended.
	EntryWithdrawn(instance bramleyfall.InstanceID)
	// ListComplete is called when all entries that the store held at asOf have
	// been passed to EntryAdded.
	ListComplete(asOf time.Time)
	// ListMayBeIncomplete is called when the first list may lack agents whose
	// entries expired shortly before, or a list those whose entries a restore of the
	// store undid. The reason is the error because of which that cannot be ruled out.
	ListMayBeIncomplete(reason error)
	// RecordMalformed is called when the key or value of an entry or the checkpoint
	// that balancers write cannot be parsed.
	RecordMalformed(err error)
}

// EntryWatcher watches the agents' entries for a balancer.
type EntryWatcher struct {
	store   bramleyfall.LongPollStore
	clock   bramleyfall.Clock
	handler EntryHandler
	health  HealthFunc
	// listed holds the entries in the store.
	listed      entrySet
	checkpoints checkpointState
	// withdrawals holds the withdrawal records that were read since the last call of
	// applyWithdrawals.
	withdrawals []bramleyfall.KeyValue
	// revision is the store revision up to which all changes are known, or zero if
	// the entries have to be listed.
	revision bramleyfall.Revision
	// era is the era of the last list, and restoredAt the revision of the first list
	// after the last restore, or zero.
	era        bramleyfall.Era
	restoredAt bramleyfall.Revision
	// startedAt is when the first list of the era was requested, and lastListAt when
	// the last list or poll was requested. They are zero before.
	startedAt, lastListAt time.Time
	// refresh holds a request for a poll.
	refresh chan struct{}
}

// NewEntryWatcher returns a watcher that passes changes of entries to handler.
func NewEntryWatcher(store bramleyfall.LongPollStore, clock bramleyfall.Clock, handler EntryHandler, health HealthFunc) *EntryWatcher {
	return &EntryWatcher{
		store: store, clock: clock, handler: handler, health: health, listed: newEntrySet(),
		checkpoints: newCheckpointState(),
		refresh:     make(chan struct{}, 1),
	}
}

// Refresh makes Run poll the store for changes at once, since a watch can stop
// delivering changes unnoticed.
func (w *EntryWatcher) Refresh() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

// Run watches the entries until ctx is done. After a failed call it continues
// from the last known revision. If the store no longer holds the changes since
// then, it lists all entries again.
func (w *EntryWatcher) Run(ctx context.Context) {
	retry := newRetry()
	for ctx.Err() == nil {
		err := w.listAndWatch(ctx, retry.Reset)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, bramleyfall.ErrHistoryLost) {
			w.revision = 0
			continue
		}
		w.health(err)
		sleep(ctx, retry.NextBackOff())
	}
}

// listAndWatch lists all entries unless they are known up to some revision, and
// watches them until a call fails. It calls succeeded after each successful call.
func (w *EntryWatcher) listAndWatch(ctx context.Context, succeeded func()) error {
	resume := w.revision != 0
	if !resume {
		if err := w.list(ctx); err != nil {
			return err
		}
		w.health(nil)
		succeeded()
	}
	return w.watch(ctx, resume, succeeded)
}

var errRestored = errors.New("the store was restored from an older copy")

// list reads all entries. The first list is completed from the history with the
// agents whose entries were removed shortly before. The first list after a restore
// of the store lacks the entries that were written since the copy, and no history
// shows them.
func (w *EntryWatcher) list(ctx context.Context) error {
	asOf := w.clock.Now()
	pairs, revision, err := w.store.List(ctx, watchedPrefix)
	if err != nil {
		return err
	}
	first := w.startedAt.IsZero()
	restored := !first && revision.Era() != w.era
	w.era = revision.Era()
	if first || restored {
		w.startedAt = asOf
		w.checkpoints.reschedule(asOf)
	}
	if restored {
		w.restoredAt = revision
		w.handler.ListMayBeIncomplete(errRestored)
	}
	w.applyList(pairs)
	if first {
		w.reportRemovedEntries(ctx, revision)
	}
	w.revision = revision
	w.reportComplete(asOf)
	return nil
}

// maxRecentChanges is the number of revisions that are searched for removed
// entries if no checkpoint can be used: as many as the entries of a hundred agents
// cause when they expire together.
const maxRecentChanges = 256

// reportRemovedEntries reports the agents whose entries were removed by a recent
// change and not written again as agents without an entry. The entries may have
// expired in an outage: balancers that have watched the entries for longer know
// these agents and keep them as long as they answer.
func (w *EntryWatcher) reportRemovedEntries(ctx context.Context, revision bramleyfall.Revision) {
	changes, err := w.recentChanges(ctx, revision)
	if err != nil {
		w.handler.ListMayBeIncomplete(err)
	}
	withdrawn := make(map[string]bool)
	for _, change := range changes {
		if change.Key == withdrawnKey {
			withdrawn[string(change.Value)] = true
		}
	}
	for _, change := range changes {
		if !change.Deleted || change.Key == checkpointKey || change.Key == withdrawnKey {
			continue
		}
		a, err := parseKey(change.Key)
		if err != nil {
			w.handler.RecordMalformed(err)
			continue
		}
		if w.listed.holder(a.Packets) != nil || w.listed.lists(a.Instance) {
			continue // has an entry again, or another agent now uses its address
		}
		w.handler.EntryAdded(a)
		w.handler.EntryMissing(a.Instance)
		if withdrawn[change.Key] {
			w.handler.EntryWithdrawn(a.Instance)
		}
	}
}

// recentChanges returns the changes since the oldest checkpoint from which the
// store's history is still available. If there is no such checkpoint, it returns
// the changes that searchHistory finds, and an error.
func (w *EntryWatcher) recentChanges(ctx context.Context, revision bramleyfall.Revision) ([]bramleyfall.KeyValue, error) {
	for _, previous := range w.checkpoints.previous {
		changes, _, err := w.store.Await(ctx, watchedPrefix, bramleyfall.Revision(previous), 0)
		if !errors.Is(err, bramleyfall.ErrHistoryLost) {
			return changes, err
		}
	}
	known, err := w.searchHistory(ctx, revision)
	if err == nil {
		err = errNoHistory
	}
	return known, err
}

// searchHistory returns the latest changes that the store still retains, but not
// more than those of the last maxRecentChanges revisions. The store does not
// report how far back its history reaches, so a binary search determines it.
func (w *EntryWatcher) searchHistory(ctx context.Context, revision bramleyfall.Revision) ([]bramleyfall.KeyValue, error) {
	var known []bramleyfall.KeyValue
	limit := bramleyfall.Revision(min(revision.Number(), maxRecentChanges))
	retained, lost := bramleyfall.Revision(0), 2*limit
	for retained < limit && lost-retained > 1 {
		distance := (retained + lost) / 2
		changes, _, err := w.store.Await(ctx, watchedPrefix, revision-distance, 0)
		switch {
		case errors.Is(err, bramleyfall.ErrHistoryLost):
			lost = distance
		case err != nil:
			return known, err
		default:
			known, retained = changes, distance
		}
	}
	return known, nil
}

// applyList applies a list of all entries. Known entries that it lacks count as
// removed.
func (w *EntryWatcher) applyList(pairs []bramleyfall.KeyValue) {
	present := make(map[string]bool, len(pairs))
	for _, pair := range slices.SortedStableFunc(slices.Values(pairs), compareForList) {
		present[pair.Key] = true
		w.applyChange(pair)
	}
	for key := range w.listed.byKey {
		if !present[key] {
			w.applyChange(bramleyfall.KeyValue{Key: key, Deleted: true})
		}
	}
	if !present[checkpointKey] {
		w.applyChange(bramleyfall.KeyValue{Key: checkpointKey, Deleted: true})
	}
	w.applyWithdrawals()
}

// compareForList orders the entries of a list by revision, and before all other keys.
func compareForList(a, b bramleyfall.KeyValue) int {
	aIsEntry, bIsEntry := strings.HasPrefix(a.Key, agentPrefix), strings.HasPrefix(b.Key, agentPrefix)
	switch {
	case aIsEntry && !bIsEntry:
		return -1
	case !aIsEntry && bIsEntry:
		return 1
	}
	return cmp.Compare(a.ModRevision, b.ModRevision)
}

func (w *EntryWatcher) applyChange(pair bramleyfall.KeyValue) {
	switch {
	case pair.Key == checkpointKey:
		if err := w.checkpoints.observe(pair, w.clock.Now()); err != nil {
			w.handler.RecordMalformed(err)
		}
		return
	case pair.Key == withdrawnKey:
		w.withdrawals = append(w.withdrawals, pair)
		return
	case pair.Deleted:
		w.removeEntry(pair.Key)
		return
	}
	if known := w.listed.byKey[pair.Key]; known != nil && known.revision == pair.ModRevision {
		return // listed again after a watch delivered it
	}
	a, err := decodeEntry(pair)
	if err != nil {
		w.handler.RecordMalformed(errors.Wrapf(err, "entry %s", pair.Key))
		w.reportOverwritten(pair.Key)
		return
	}
	before := w.listed.holder(a.Packets)
	w.listed.put(&listedEntry{Announcement: a, key: pair.Key, revision: pair.ModRevision})
	if holder := w.listed.holder(a.Packets); holder != before {
		w.handler.EntryAdded(holder.Announcement)
	}
}

// decodeEntry decodes and validates an agent's entry.
func decodeEntry(pair bramleyfall.KeyValue) (bramleyfall.Announcement, error) {
	var a bramleyfall.Announcement
	if err := json.Unmarshal(pair.Value, &a); err != nil {
		return a, err
	}
	named, err := parseKey(pair.Key)
	if err != nil {
		return a, err
	}
	if a.Service != named.Service || a.Packets != named.Packets || a.Instance != named.Instance {
		return a, bramleyfall.Errorf(bramleyfall.MalformedMessage, "service, packet address or instance differs from that of the key")
	}
	if a.Boot > math.MaxInt64 || a.Slots < 0 || a.Slots > bramleyfall.MaxSlots {
		return a, bramleyfall.Errorf(bramleyfall.MalformedMessage, "boot ID or slots out of range")
	}
	return a, nil
}

// reportOverwritten reports an agent as missing whose entry another writer has replaced
// with a malformed value, so that the agent is asked and writes its entry again. The key of
// a malformed entry names no agent if an entry with its address or instance is listed.
func (w *EntryWatcher) reportOverwritten(key string) {
	if known := w.listed.byKey[key]; known != nil {
		if w.listed.holder(known.Packets) == known {
			w.handler.EntryMissing(known.Instance)
		}
		return
	}
	a, err := parseKey(key)
	if err != nil || w.listed.holder(a.Packets) != nil || w.listed.lists(a.Instance) {
		return
	}
	w.handler.EntryAdded(a)
	w.handler.EntryMissing(a.Instance)
}

// removeEntry applies the removal of an entry. Its agent has no entry any more unless it
// has another one, or another agent uses its address now.
func (w *EntryWatcher) removeEntry(key string) {
	removed := w.listed.remove(key)
	if removed == nil {
		return // malformed, or removed already
	}
	if holder := w.listed.holder(removed.Packets); holder != nil {
		if removed.startedAfter(holder) {
			w.handler.EntryAdded(holder.Announcement)
		}
		return
	}
	w.handler.EntryMissing(removed.Instance)
	for _, other := range w.listed.byInstance[removed.Instance] {
		if w.listed.holder(other.Packets) == other {
			w.handler.EntryAdded(other.Announcement)
		}
	}
}

// applyWithdrawals reports the agents that removed their entries, after the other changes
// that were read with the records have been applied. An agent that has an entry has
// written it again since, or the record is not its own. A restore may have undone that
// write, so a record that may come from the copy is ignored.
func (w *EntryWatcher) applyWithdrawals() {
	for _, record := range w.withdrawals {
		instance := instanceFromKey(string(record.Value))
		if bramleyfall.Revision(record.ModRevision) > w.restoredAt && !w.listed.lists(instance) {
			w.handler.EntryWithdrawn(instance)
		}
	}
	w.withdrawals = nil
}
