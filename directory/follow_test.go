package directory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/directory"
)

var errAway = errors.New("the store is away")

// source is a configuration source whose answers a test sets. Its watch answers
// when the test sends a configuration.
type source struct {
	reads chan *bramleyfall.Snapshot // nil stands for a failure
	next  chan *bramleyfall.Snapshot // nil stands for lost history
}

func newSource() *source {
	return &source{reads: make(chan *bramleyfall.Snapshot, 8), next: make(chan *bramleyfall.Snapshot)}
}

func (s *source) Read(ctx context.Context) (*bramleyfall.Snapshot, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case snapshot := <-s.reads:
		if snapshot == nil {
			return nil, errAway
		}
		return snapshot, nil
	}
}

func (s *source) Next(ctx context.Context, known *bramleyfall.Snapshot, _ time.Duration) (*bramleyfall.Snapshot, error) {
	select {
	case <-ctx.Done():
		return known, ctx.Err()
	case snapshot := <-s.next:
		if snapshot == nil {
			return nil, bramleyfall.ErrHistoryLost
		}
		return snapshot, nil
	}
}

func version(v bramleyfall.ConfigVersion, out ...bramleyfall.DomainName) *bramleyfall.Snapshot {
	s := &bramleyfall.Snapshot{
		Version: v, Out: make(map[bramleyfall.DomainName]bool), Revision: bramleyfall.Revision(v), Changed: bramleyfall.Revision(v),
	}
	for _, domain := range out {
		s.Out[domain] = true
	}
	return s
}

// following starts a follower of s that hands configurations to the channel.
func following(t *testing.T, s *source, fetch directory.FetchFunc) (*directory.ConfigurationWatcher, <-chan *bramleyfall.Snapshot) {
	taken := make(chan *bramleyfall.Snapshot, 8)
	f := directory.NewConfigurationWatcher(s, fetch, func(x *bramleyfall.Snapshot) { taken <- x }, func(error) {}, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, taken
}

func noPeer(context.Context, bramleyfall.Endpoint) (*bramleyfall.Snapshot, error) {
	return nil, errors.New("no peer is to be asked")
}

func TestFollowerNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := newSource()
	_, taken := following(t, s, noPeer)
	s.reads <- version(7)
	is.Equal((<-taken).Version, bramleyfall.ConfigVersion(7))
	s.next <- version(9)
	is.Equal((<-taken).Version, bramleyfall.ConfigVersion(9))
	s.next <- nil // the history is lost: it is read again
	s.reads <- version(7)
	s.next <- version(12)
	is.Equal((<-taken).Version, bramleyfall.ConfigVersion(12)) // 7 was left out
}

func TestFollowerTakesEvacuations(t *testing.T) {
	is := is.New(t)
	s := newSource()
	_, taken := following(t, s, noPeer)
	s.reads <- version(7)
	<-taken
	s.next <- version(7, "Ikeja")
	is.True((<-taken).Out["Ikeja"])
	s.next <- version(7)
	is.True(!(<-taken).Out["Ikeja"])
}

// The store turns this process away while a peer shows a newer version.
func TestFollowerAsksPeersWhileTheStoreTurnsItAway(t *testing.T) {
	is := is.New(t)
	peer := bramleyfall.Endpoint{IP: [4]byte{10, 0, 0, 9}, Port: 8172}
	s := newSource()
	f, taken := following(t, s, func(_ context.Context, asked bramleyfall.Endpoint) (*bramleyfall.Snapshot, error) {
		is.Equal(asked, peer)
		return version(9), nil
	})
	s.reads <- version(7)
	is.Equal((<-taken).Version, bramleyfall.ConfigVersion(7))
	s.reads <- nil
	f.ObservePeerRevision(peer, 9)
	is.Equal((<-taken).Version, bramleyfall.ConfigVersion(9))
}

// heard has a follower that knows version 7 hear of a change at revision 9.
func heard(t *testing.T, play func(is *is.I, s *source, taken <-chan *bramleyfall.Snapshot)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		f, taken := following(t, s, noPeer)
		s.reads <- version(7)
		<-taken
		f.ObservePeerRevision(bramleyfall.Endpoint{IP: [4]byte{10, 0, 0, 9}, Port: 8172}, 9)
		play(is.New(t), s, taken)
	})
}

// A domain that was taken out changes no version; a deaf watch doesn't bring it.
func TestFollowerReadsAgainWhatAPeerKnows(t *testing.T) {
	heard(t, func(is *is.I, s *source, taken <-chan *bramleyfall.Snapshot) {
		next := version(7, "Ikeja")
		next.Revision, next.Changed = 9, 9
		s.reads <- next
		is.True((<-taken).Out["Ikeja"])
	})
}

// A change that the watch brings a moment later costs no further call.
func TestFollowerGivesItsWatchAMoment(t *testing.T) {
	heard(t, func(is *is.I, s *source, taken <-chan *bramleyfall.Snapshot) {
		s.reads <- version(11)
		time.Sleep(100 * time.Millisecond)
		s.next <- version(9)
		is.Equal((<-taken).Version, bramleyfall.ConfigVersion(9))
		time.Sleep(30 * time.Second)
		is.Equal(len(s.reads), 1) // not read
	})
}

// What was read in full shows no removal: its date is that of the read.
func TestFollowerDatesARemoval(t *testing.T) {
	tests := []struct {
		name          string
		out           []bramleyfall.DomainName
		read, changed bramleyfall.Revision
	}{
		{"a domain is back", nil, 12, 12},
		{"nothing has changed", []bramleyfall.DomainName{"Ikeja"}, 12, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSource()
			_, taken := following(t, s, noPeer)
			s.reads <- version(7, "Ikeja")
			is.Equal((<-taken).Changed, bramleyfall.Revision(7))
			s.next <- nil // the history is lost: it is read again
			again := version(7, test.out...)
			again.Revision, again.Changed = test.read, 5
			s.reads <- again
			is.Equal((<-taken).Changed, test.changed)
		})
	}
}
