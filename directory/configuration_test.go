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

var errUnavailable = errors.New("the store is unavailable")

// fakeSource is a configuration source whose results a test sends on channels.
// Calls block until a result is sent.
type fakeSource struct {
	reads chan *bramleyfall.Snapshot // nil makes the call fail
	next  chan *bramleyfall.Snapshot // nil makes the call fail with ErrHistoryLost
}

func newFakeSource() *fakeSource {
	return &fakeSource{reads: make(chan *bramleyfall.Snapshot, 8), next: make(chan *bramleyfall.Snapshot)}
}

func (s *fakeSource) Read(ctx context.Context) (*bramleyfall.Snapshot, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case snapshot := <-s.reads:
		if snapshot == nil {
			return nil, errUnavailable
		}
		return snapshot, nil
	}
}

func (s *fakeSource) Next(ctx context.Context, known *bramleyfall.Snapshot, wait time.Duration) (*bramleyfall.Snapshot, error) {
	select {
	case <-time.After(wait):
		return known, nil
	case <-ctx.Done():
		return known, ctx.Err()
	case snapshot := <-s.next:
		if snapshot == nil {
			return nil, bramleyfall.ErrHistoryLost
		}
		return snapshot, nil
	}
}

func newSnapshot(v bramleyfall.ConfigVersion, out ...bramleyfall.DomainName) *bramleyfall.Snapshot {
	s := &bramleyfall.Snapshot{
		Version: v, Out: make(map[bramleyfall.DomainName]bool), Revision: bramleyfall.Revision(v), Changed: bramleyfall.Revision(v),
	}
	for _, domain := range out {
		s.Out[domain] = true
	}
	return s
}

// startWatcher starts a watcher of s that sends the applied configurations to the
// returned channel.
func startWatcher(t *testing.T, s *fakeSource, fetch directory.FetchFunc) (*directory.ConfigurationWatcher, <-chan *bramleyfall.Snapshot) {
	applied := make(chan *bramleyfall.Snapshot, 8)
	w := directory.NewConfigurationWatcher(s, fetch, func(snapshot *bramleyfall.Snapshot) { applied <- snapshot }, func(error) {}, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w, applied
}

func unexpectedFetch(context.Context, bramleyfall.Endpoint) (*bramleyfall.Snapshot, error) {
	return nil, errors.New("unexpected fetch from a peer")
}

// Guards against reverting to an older version that is read after the history was
// lost.
func TestFollowerNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := newFakeSource()
	_, applied := startWatcher(t, s, unexpectedFetch)
	s.reads <- newSnapshot(7)
	is.Equal((<-applied).Version, bramleyfall.ConfigVersion(7))
	s.next <- newSnapshot(9)
	is.Equal((<-applied).Version, bramleyfall.ConfigVersion(9))
	s.next <- nil // the history is lost, so the configuration is read again
	s.reads <- newSnapshot(7)
	s.next <- newSnapshot(12)
	is.Equal((<-applied).Version, bramleyfall.ConfigVersion(12)) // 7 was ignored
}

// An evacuation changes the failure domains in service but not the version.
func TestFollowerTakesEvacuations(t *testing.T) {
	is := is.New(t)
	s := newFakeSource()
	_, applied := startWatcher(t, s, unexpectedFetch)
	s.reads <- newSnapshot(7)
	<-applied
	s.next <- newSnapshot(7, "Ikeja")
	is.True((<-applied).Out["Ikeja"])
	s.next <- newSnapshot(7)
	is.True(!(<-applied).Out["Ikeja"])
}

// While the store rejects the calls of this process, the watcher must fetch a newer
// version from the peer that has it.
func TestFollowerAsksPeersWhileTheStoreTurnsItAway(t *testing.T) {
	is := is.New(t)
	peer := bramleyfall.Endpoint{IP: [4]byte{10, 0, 0, 9}, Port: 8172}
	s := newFakeSource()
	w, applied := startWatcher(t, s, func(_ context.Context, asked bramleyfall.Endpoint) (*bramleyfall.Snapshot, error) {
		is.Equal(asked, peer)
		return newSnapshot(9), nil
	})
	s.reads <- newSnapshot(7)
	is.Equal((<-applied).Version, bramleyfall.ConfigVersion(7))
	s.reads <- nil
	w.ObservePeer(peer, 9, 9)
	is.Equal((<-applied).Version, bramleyfall.ConfigVersion(9))
}

// runWithNewerPeer runs a watcher that knows version 7 and has observed a peer that
// knows a change at revision 9.
func runWithNewerPeer(t *testing.T, check func(is *is.I, s *fakeSource, applied <-chan *bramleyfall.Snapshot)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSource()
		w, applied := startWatcher(t, s, unexpectedFetch)
		s.reads <- newSnapshot(7)
		<-applied
		w.ObservePeer(bramleyfall.Endpoint{IP: [4]byte{10, 0, 0, 9}, Port: 8172}, 9, 7)
		check(is.New(t), s, applied)
	})
}

// Guards against missing an evacuation, which changes no version, while the watch
// has stopped delivering changes.
func TestFollowerReadsAgainWhatAPeerKnows(t *testing.T) {
	runWithNewerPeer(t, func(is *is.I, s *fakeSource, applied <-chan *bramleyfall.Snapshot) {
		next := newSnapshot(7, "Ikeja")
		next.Revision, next.Changed = 9, 9
		s.reads <- next
		is.True((<-applied).Out["Ikeja"])
	})
}

// Guards against a needless read if the watch delivers the change within the grace
// period.
func TestFollowerGivesItsWatchAMoment(t *testing.T) {
	runWithNewerPeer(t, func(is *is.I, s *fakeSource, applied <-chan *bramleyfall.Snapshot) {
		s.reads <- newSnapshot(11)
		time.Sleep(100 * time.Millisecond)
		s.next <- newSnapshot(9)
		is.Equal((<-applied).Version, bramleyfall.ConfigVersion(9))
		time.Sleep(30 * time.Second)
		is.Equal(len(s.reads), 1) // not read again
	})
}

// A full read does not show when a failure domain was returned to service. Changed
// is then the revision of the read.
func TestFollowerDatesARemoval(t *testing.T) {
	tests := []struct {
		name          string
		out           []bramleyfall.DomainName
		read, changed bramleyfall.Revision
	}{
		{"a domain was returned to service", nil, 12, 12},
		{"nothing has changed", []bramleyfall.DomainName{"Ikeja"}, 12, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeSource()
			_, applied := startWatcher(t, s, unexpectedFetch)
			s.reads <- newSnapshot(7, "Ikeja")
			is.Equal((<-applied).Changed, bramleyfall.Revision(7))
			s.next <- nil // the history is lost, so the configuration is read again
			again := newSnapshot(7, test.out...)
			again.Revision, again.Changed = test.read, 5
			s.reads <- again
			is.Equal((<-applied).Changed, test.changed)
		})
	}
}
