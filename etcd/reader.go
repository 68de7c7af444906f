package etcd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bramleyfall.example/bramleyfall"
)

// Reader follows the configuration in the platform. It refuses a platform that
// came back with an older state.
type Reader struct {
	platform bramleyfall.KeyValueStore
	sink     Sink
}

// Sink takes what a Reader read.
type Sink interface {
	// Revision returns the revision up to which all changes are known, with
	// the id of the last change where it is known.
	Revision() (bramleyfall.Revision, bramleyfall.ChangeID)
	// Changes takes changes; a full set is a snapshot at the revision.
	Changes(changes []bramleyfall.Change, full bool, revision bramleyfall.Revision)
	// Health tells whether the platform answers; err is nil if it does.
	Health(err error)
}

// NewReader returns a reader that hands what it reads to sink.
func NewReader(p bramleyfall.KeyValueStore, sink Sink) *Reader {
	return &Reader{platform: p, sink: sink}
}

// Run reads and watches until ctx ends. It retries with jittered backoff.
func (r *Reader) Run(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		started := time.Now()
		err := r.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		r.sink.Health(err)
		if time.Since(started) > retry.MaxInterval {
			retry.Reset()
		}
		sleep(ctx, retry.NextBackOff())
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	const (
		first = 200 * time.Millisecond
		most  = 2 * time.Second
	)
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = most
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// follow reads what is missing and then watches. The watch is opened before
// the read, so that no change falls between them.
func (r *Reader) follow(ctx context.Context) error {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan error, 1)
	go r.loopWatch(watchContext, watched)
	if err := r.CatchUp(ctx); err != nil {
		return err
	}
	r.sink.Health(nil)
	return <-watched
}

func (r *Reader) loopWatch(ctx context.Context, done chan<- error) {
	done <- r.platform.Watch(ctx, changePrefix, func(p bramleyfall.KeyValue) {
		if p.Deleted {
			return
		}
		var c bramleyfall.Change
		if json.Unmarshal(p.Value, &c) == nil {
			r.sink.Changes([]bramleyfall.Change{c}, false, c.Revision)
		}
	})
}

// CatchUp reads the changes after the known revision, or everything where the
// platform no longer holds them.
func (r *Reader) CatchUp(ctx context.Context) error {
	current, err := readHead(ctx, r.platform)
	if err != nil {
		return err
	}
	known, lastID := r.sink.Revision()
	if current.Revision < known {
		return rolledBack(current.Revision, known)
	}
	changes, err := readItems(ctx, r.platform, changeKey(max(known, 1)), PrefixEnd(changePrefix))
	if err != nil {
		return err
	}
	if len(changes) > 0 && changes[0].Revision == known {
		if lastID != "" && changes[0].ID != lastID {
			return rolledBack(current.Revision, known)
		}
		changes = changes[1:]
	}
	if len(changes) == 0 && known == current.Revision {
		return nil
	}
	if len(changes) > 0 && changes[0].Revision == known+1 {
		r.sink.Changes(changes, false, changes[len(changes)-1].Revision)
		return nil
	}
	return r.readAll(ctx)
}

func rolledBack(current, known bramleyfall.Revision) error {
	return bramleyfall.Errorf(bramleyfall.PlatformRolledBack,
		"the platform is at revision %d but revision %d was accepted before: it lost accepted changes", current, known)
}

// readAll reads a snapshot. The head is read on both sides of it, so that the
// snapshot is at one revision.
func (r *Reader) readAll(ctx context.Context) error {
	const tries = 5
	for range tries {
		before, err := readHead(ctx, r.platform)
		if err != nil {
			return err
		}
		items, err := readItems(ctx, r.platform, itemPrefix, PrefixEnd(itemPrefix))
		if err != nil {
			return err
		}
		after, err := readHead(ctx, r.platform)
		if err != nil {
			return err
		}
		if before.Revision == after.Revision {
			r.sink.Changes(items, true, after.Revision)
			return nil
		}
	}
	return bramleyfall.Errorf(bramleyfall.PlatformAway, "the configuration changed during each of %d reads", tries)
}

func readHead(ctx context.Context, p bramleyfall.KeyValueStore) (head, error) {
	pairs, _, err := p.Range(ctx, headKey, "")
	if err != nil || len(pairs) == 0 {
		return head{}, err
	}
	var h head
	err = json.Unmarshal(pairs[0].Value, &h)
	return h, err
}

func readItems(ctx context.Context, p bramleyfall.KeyValueStore, from, to string) ([]bramleyfall.Change, error) {
	pairs, _, err := p.Range(ctx, from, to)
	if err != nil {
		return nil, err
	}
	changes := make([]bramleyfall.Change, 0, len(pairs))
	for _, pair := range pairs {
		var c bramleyfall.Change
		if err := json.Unmarshal(pair.Value, &c); err != nil {
			return nil, bramleyfall.Errorf(bramleyfall.NotAccepted, "key %s: %v", pair.Key, err)
		}
		changes = append(changes, c)
	}
	return changes, nil
}
