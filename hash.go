package bramleyfall

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// InstanceKeyFor returns the key for an instance or upstream ID.
func InstanceKeyFor(id string) InstanceKey { return InstanceKey(xxhash.Sum64String(id)) }

// Key returns the key for the service name: the low 32 bits of its hash.
func (n ServiceName) Key() ServiceKey { return ServiceKey(xxhash.Sum64String(string(n))) }

// Hash returns a 64-bit hash of the flow that is the same on all instances.
func (f Flow) Hash() uint64 {
	var b [13]byte
	copy(b[0:4], f.Source.IP[:])
	binary.BigEndian.PutUint16(b[4:6], f.Source.Port)
	copy(b[6:10], f.Destination.IP[:])
	binary.BigEndian.PutUint16(b[10:12], f.Destination.Port)
	b[12] = byte(f.Protocol)
	return xxhash.Sum64(b[:])
}

// Score returns the rendezvous hashing score of k for the hash of a flow. The
// key with the highest score ranks first.
func (k InstanceKey) Score(hash uint64) uint64 {
	x := hash ^ uint64(k)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
