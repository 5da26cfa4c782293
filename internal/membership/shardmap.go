package membership

import "hash/fnv"

// ShardMap names the controllers that own machines. It is the stored value of the shard map's key.
type ShardMap struct {
	// Term is the term in which the map was written.
	Term   uint64   `json:"term"`
	Owners []string `json:"owners"`
}

// Owner returns the controller that owns a machine, by rendezvous hashing; "" if the map has no owners. A change of
// the owners moves only the machines of those that were added or removed.
func (s ShardMap) Owner(machine string) string {
	maxWeight, owner := uint64(0), ""
	for _, candidate := range s.Owners {
		weight := rendezvousWeight(candidate, machine)
		if owner == "" || weight > maxWeight {
			maxWeight, owner = weight, candidate
		}
	}
	return owner
}

// rendezvousWeight hashes an owner together with a machine.
func rendezvousWeight(owner, machine string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(owner))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(machine))
	// FNV's high bits vary too little on short names: mix them.
	weight := hash.Sum64()
	weight ^= weight >> 33
	weight *= 0xff51afd7ed558ccd
	weight ^= weight >> 33
	return weight
}
