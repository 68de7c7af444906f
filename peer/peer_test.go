package peer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"bramleyfall.example/bramleyfall"
	"bramleyfall.example/bramleyfall/configuration"
	"bramleyfall.example/bramleyfall/peer"
	"bramleyfall.example/bramleyfall/peer/peerpb"
)

var (
	oldKey = peer.Key{ID: 1, Secret: []byte("the-old-fleet-key")}
	newKey = peer.Key{ID: 2, Secret: []byte("the-new-fleet-key")}
	badKey = peer.Key{ID: 1, Secret: []byte("not-the-fleet-key")}
)

func TestSealOpensWithAValidKeyOnly(t *testing.T) {
	tests := []struct {
		name    string
		sealer  *peer.Keys
		opener  *peer.Keys
		corrupt bool
		purpose peer.Purpose
		want    bramleyfall.ResultCode
	}{
		{"same key", peer.NewKeys(oldKey), peer.NewKeys(oldKey), false, peer.PurposeDatagram, bramleyfall.OK},
		{"rotation: sender seals with the old key", peer.NewKeys(oldKey), peer.NewKeys(newKey, oldKey), false, peer.PurposeDatagram, bramleyfall.OK},
		{"rotation: sender seals with the new key", peer.NewKeys(newKey, oldKey), peer.NewKeys(oldKey, newKey), false, peer.PurposeDatagram, bramleyfall.OK},
		{"wrong secret", peer.NewKeys(badKey), peer.NewKeys(oldKey), false, peer.PurposeDatagram, bramleyfall.BadSeal},
		{"key no longer valid", peer.NewKeys(oldKey), peer.NewKeys(newKey), false, peer.PurposeDatagram, bramleyfall.BadSeal},
		{"modified in transit", peer.NewKeys(oldKey), peer.NewKeys(oldKey), true, peer.PurposeDatagram, bramleyfall.BadSeal},
		{"sealed for another purpose", peer.NewKeys(oldKey), peer.NewKeys(oldKey), false, peer.PurposeNotice, bramleyfall.BadSeal},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sealed := test.sealer.Seal(peer.PurposeDatagram, []byte("body"))
			if test.corrupt {
				sealed[len(sealed)-1] ^= 1
			}
			_, err := test.opener.Open(test.purpose, sealed)
			is.Equal(bramleyfall.CodeOf(err), test.want)
		})
	}
}

func TestSealedCallRejectsStrangersAndOldRequests(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	clock := func(at time.Time) bramleyfall.Clock { return bramleyfall.ClockFunc(func() time.Time { return at }) }
	handled := 0
	next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled++
		_, _ = io.WriteString(w, "answer")
	})
	server := httptest.NewServer(peer.NewKeys(oldKey).Handler(next, clock(now), func(error) {}))
	defer server.Close()
	tests := []struct {
		name     string
		keys     *peer.Keys
		sentAt   time.Time
		accepted bool
	}{
		{"fleet key", peer.NewKeys(oldKey), now, true},
		{"wrong key", peer.NewKeys(badKey), now, false},
		{"replayed an hour later", peer.NewKeys(oldKey), now.Add(-time.Hour), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			previous := handled
			response, err := test.keys.Client(clock(test.sentAt), time.Second, [4]byte{}).Post(server.URL+"/x", "text/plain", strings.NewReader("ask"))
			is.Equal(err == nil, test.accepted)
			if err == nil {
				_ = response.Body.Close()
			}
			is.Equal(handled > previous, test.accepted) // a rejected request does not reach the handler
		})
	}
}

func newNode() *peer.Node {
	self := bramleyfall.Member{ID: "balancer-1", Domain: "Ife", Boot: 5, Control: bramleyfall.Endpoint{IP: [4]byte{127, 0, 0, 1}, Port: 7000}}
	return peer.NewNode(self, configuration.New(), time.Unix(1_800_000_000, 0))
}

func gossip(boot, sequence uint64, member *peerpb.Member) *peerpb.Datagram {
	return &peerpb.Datagram{
		Sender: "balancer-2", Boot: boot, Sequence: sequence, Control: &peerpb.Endpoint{Ip: 0x7f000002, Port: 7000},
		Body: &peerpb.Datagram_Rumor{Rumor: &peerpb.Rumor{Members: []*peerpb.Member{member}}},
	}
}

func TestReplayedMessagesChangeNothing(t *testing.T) {
	is := is.New(t)
	n := newNode()
	now := time.Unix(1_800_000_000, 0)
	agentRecord := func(version uint64, state uint32) *peerpb.Member {
		return &peerpb.Member{Id: "railbook-1", Role: 1, Domain: "Ife", Boot: 9, Version: version, State: state, Services: []string{"railbook"}}
	}
	old := gossip(7, 1, agentRecord(1, 0))
	n.Receive(old, now)
	n.Receive(gossip(7, 100, agentRecord(2, 3)), now) // Left
	is.Equal(len(n.Serving("railbook")), 0)
	n.Receive(old, now)                               // behind the reorder window
	n.Receive(gossip(6, 500, agentRecord(1, 0)), now) // from an earlier boot
	n.Receive(gossip(7, 101, agentRecord(1, 0)), now) // new message with an outdated record
	is.Equal(len(n.Serving("railbook")), 0)
}

// FuzzReceive checks that no datagram makes a node or an announcer panic. An
// authenticated datagram can still have any content if its sender runs another
// version.
func FuzzReceive(f *testing.F) {
	for _, d := range []*peerpb.Datagram{
		gossip(1, 1, &peerpb.Member{Id: "x", Role: 1}),
		{Sender: "a", Body: &peerpb.Datagram_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}},
		{Sender: "a", Body: &peerpb.Datagram_Probe{Probe: &peerpb.Probe{Nonce: 1}}},
		{Sender: "a", Body: &peerpb.Datagram_StatusAsk{StatusAsk: &peerpb.StatusAsk{}}},
		{},
	} {
		data, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		d := &peerpb.Datagram{}
		if proto.Unmarshal(data, d) != nil {
			return
		}
		n := newNode()
		now := time.Unix(1_800_000_000, 0)
		n.Receive(d, now)
		n.Tick(now.Add(time.Second))
		announcer := peer.NewAnnouncer(bramleyfall.Member{ID: "railbook-1"}, nil, 1)
		announcer.Receive(d, now)
		announcer.Tick(now.Add(time.Second))
	})
}

func TestAgentSaysNothingBeforeItKnowsItsUpstream(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name    string
		boot    bramleyfall.BootID
		elapsed time.Duration
		sends   bool
	}{
		{"upstream unknown", 0, 100 * time.Millisecond, false},
		{"upstream known", 7, 100 * time.Millisecond, true},
		{"upstream absent for long", 0, 3 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			contacts := []bramleyfall.Endpoint{{IP: [4]byte{127, 0, 0, 2}, Port: 7000}}
			a := peer.NewAnnouncer(bramleyfall.Member{ID: "railbook-1"}, contacts, 1)
			is.Equal(len(a.Tick(now)), 0)
			a.Announce(test.boot != 0, test.boot)
			is.Equal(len(a.Tick(now.Add(test.elapsed))) > 0, test.sends)
		})
	}
}
