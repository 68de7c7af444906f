package directory

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"bramleyfall.example/bramleyfall"
)

// agentPrefix is where agents keep their entries, by service and instance.
const agentPrefix = "bramleyfall/agents/"

func agentKey(a *bramleyfall.Announcement) string {
	return agentPrefix + string(a.Service) + "/" + string(a.Instance)
}

// instanceOf returns the instance that a key belongs to.
func instanceOf(key string) bramleyfall.InstanceID {
	return bramleyfall.InstanceID(key[strings.LastIndexByte(key, '/')+1:])
}

// Members takes the agents' entries.
type Members interface {
	// Announce takes an entry.
	Announce(a bramleyfall.Announcement)
	// Unlist notes that an agent's entry is no longer in the store.
	Unlist(instance bramleyfall.InstanceID)
	// Malformed takes the fault of an entry that can't be read.
	Malformed(err error)
}

// Roster keeps a balancer up to date with the agents' entries.
type Roster struct {
	store   bramleyfall.Store
	members Members
	health  Dependency
	listed  map[string]bool
	ready   func()
}

// NewRoster returns a roster that hands entries to members. It calls ready after
// each full list.
func NewRoster(store bramleyfall.Store, members Members, health Dependency, ready func()) *Roster {
	return &Roster{store: store, members: members, health: health, listed: make(map[string]bool), ready: ready}
}

// Run follows the entries until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	retry := newRetry()
	for ctx.Err() == nil {
		err := r.follow(ctx, retry.Reset)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, bramleyfall.ErrHistoryLost) {
			continue
		}
		r.health(err)
		sleep(ctx, retry.NextBackOff())
	}
}

func (r *Roster) follow(ctx context.Context, succeeded func()) error {
	pairs, revision, err := r.store.List(ctx, agentPrefix)
	if err != nil {
		return err
	}
	r.replace(pairs)
	r.ready()
	for {
		r.health(nil)
		succeeded()
		changes, next, err := r.store.Await(ctx, agentPrefix, revision, rosterWait)
		if err != nil {
			return err
		}
		for _, change := range changes {
			r.change(change)
		}
		revision = next
		if len(changes) > 0 {
			sleep(ctx, settleFor)
		}
	}
}

// replace takes a full list.
func (r *Roster) replace(pairs []bramleyfall.Pair) {
	present := make(map[string]bool, len(pairs))
	for _, pair := range pairs {
		present[pair.Key] = true
		r.change(pair)
	}
	for key := range r.listed {
		if !present[key] {
			r.change(bramleyfall.Pair{Key: key, Deleted: true})
		}
	}
}

func (r *Roster) change(pair bramleyfall.Pair) {
	if pair.Deleted {
		delete(r.listed, pair.Key)
		r.members.Unlist(instanceOf(pair.Key))
		return
	}
	var a bramleyfall.Announcement
	err := json.Unmarshal(pair.Value, &a)
	if err == nil && (a.Instance != instanceOf(pair.Key) || a.Packets.IsZero() || a.Service == "") {
		err = bramleyfall.Errorf(bramleyfall.MalformedMessage, "the entry lacks a field or has another's key")
	}
	if err != nil {
		r.members.Malformed(errors.Wrapf(err, "entry %s", pair.Key))
		return
	}
	r.listed[pair.Key] = true
	r.members.Announce(a)
}
