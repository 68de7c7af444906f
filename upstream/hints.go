package upstream

import (
	"sync/atomic"

	"bramleyfall.example/bramleyfall"
)

// hintCache is a direct-mapped cache from flow hash to owner. A collision replaces
// the older hint, so memory use is constant. A lost hint costs extra hops.
type hintCache struct {
	mask  uint64
	lines []hintLine
}

// hintLine stores the hash and the XOR of owner and hash, so that a torn read by a
// concurrent reader yields a miss or a key that matches no candidate.
type hintLine struct {
	hash         atomic.Uint64
	ownerXorHash atomic.Uint64
}

func newHintCache(size int) *hintCache {
	n := 1
	for n < size {
		n *= 2
	}
	return &hintCache{mask: uint64(n - 1), lines: make([]hintLine, n)}
}

func (c *hintCache) get(hash uint64) bramleyfall.InstanceKey {
	line := &c.lines[hash&c.mask]
	if line.hash.Load() != hash {
		return 0
	}
	return bramleyfall.InstanceKey(line.ownerXorHash.Load() ^ hash)
}

func (c *hintCache) put(hash uint64, owner bramleyfall.InstanceKey) {
	line := &c.lines[hash&c.mask]
	line.ownerXorHash.Store(uint64(owner) ^ hash)
	line.hash.Store(hash)
}
