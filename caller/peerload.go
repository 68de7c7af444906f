package caller

import (
	"time"

	"bramleyfall.example/bramleyfall"
)

const (
	// peerLoadMaxAge is the age above which the load of a peer is ignored.
	peerLoadMaxAge = time.Second
	// maxPeerLoads limits the number of peers whose load is stored.
	maxPeerLoads = 64
	// loadSlack is about the load of one flow. It is always tolerated above the
	// limit.
	loadSlack = 17
)

// peerLoads stores the loads of peers that were received in hop lists.
type peerLoads struct {
	byPeer map[bramleyfall.InstanceKey]peerLoad
}

type peerLoad struct {
	load uint16
	at   time.Time
}

func newPeerLoads() peerLoads { return peerLoads{byPeer: make(map[bramleyfall.InstanceKey]peerLoad)} }

// record stores the loads that the visited hops other than self wrote into list.
func (l *peerLoads) record(list *bramleyfall.HopList, self bramleyfall.InstanceKey, now time.Time) {
	for i := range int(list.Count) {
		h := &list.Hops[i]
		if h.Load == 0 || h.Upstream == self {
			continue
		}
		if _, ok := l.byPeer[h.Upstream]; !ok && len(l.byPeer) >= maxPeerLoads {
			clear(l.byPeer)
		}
		l.byPeer[h.Upstream] = peerLoad{load: h.Load, at: now}
	}
}

// withinRatio reports whether own is at most ratio times the mean of own and the
// loads of the peers, plus loadSlack. It returns false if no recent load is known,
// so that the opening is forwarded and the hop list collects the loads of the
// peers.
func (l *peerLoads) withinRatio(own uint16, ratio float64, now time.Time) bool {
	sum, count := 0.0, 0.0
	for _, p := range l.byPeer {
		if now.Sub(p.at) > peerLoadMaxAge || p.load == loadUnavailable {
			continue
		}
		sum += float64(p.load)
		count++
	}
	if count == 0 {
		return false
	}
	mean := (sum + float64(own)) / (count + 1)
	return float64(own) <= ratio*mean+loadSlack
}
