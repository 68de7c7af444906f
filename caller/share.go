package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// shareAge is the time for which the load of a peer counts.
	shareAge = time.Second
	// maxSharePeers bounds the peers whose load is kept.
	maxSharePeers = 64
	// shareSlack is the load of about one flow, which is always tolerated.
	shareSlack = 17
)

// share knows the loads of the peers that packets have carried past.
type share struct {
	peers map[bramleyfall.InstanceKey]peerLoad
}

type peerLoad struct {
	load uint16
	at   time.Time
}

func newShare() share { return share{peers: make(map[bramleyfall.InstanceKey]peerLoad)} }

// learn keeps the loads that visited hops wrote into list.
func (s *share) learn(list *bramleyfall.HopList, self bramleyfall.InstanceKey, now time.Time) {
	for i := range int(list.Count) {
		h := &list.Hops[i]
		if h.Load == 0 || h.Upstream == self {
			continue
		}
		if _, ok := s.peers[h.Upstream]; !ok && len(s.peers) >= maxSharePeers {
			clear(s.peers)
		}
		s.peers[h.Upstream] = peerLoad{load: h.Load, at: now}
	}
}

// within reports whether own is at most factor times the mean load of the
// peers. Without fresh knowledge it is not, so that the opening visits the
// peers and brings their loads along.
func (s *share) within(own uint16, factor float64, now time.Time) bool {
	sum, count := 0.0, 0.0
	for _, p := range s.peers {
		if now.Sub(p.at) > shareAge || p.load == fullLoad {
			continue
		}
		sum += float64(p.load)
		count++
	}
	if count == 0 {
		return false
	}
	mean := (sum + float64(own)) / (count + 1)
	return float64(own) <= factor*mean+shareSlack
}
