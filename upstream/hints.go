package upstream

import (
	"sync/atomic"

	"bramleyfall.example/bramleyfall"
)

// hintCache is a direct-mapped cache from flow hash to owner. A collision
// replaces the older hint, so its memory is fixed. Losing a hint costs a hop.
type hintCache struct {
	mask  uint64
	lines []hintLine
}

// hintLine holds the hash and the owner xor the hash, so that a torn read by a
// concurrent reader is seen as a miss or as an owner that no list holds.
type hintLine struct {
	hash  atomic.Uint64
	mixed atomic.Uint64
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
	return bramleyfall.InstanceKey(line.mixed.Load() ^ hash)
}

func (c *hintCache) put(hash uint64, owner bramleyfall.InstanceKey) {
	line := &c.lines[hash&c.mask]
	line.mixed.Store(uint64(owner) ^ hash)
	line.hash.Store(hash)
}
