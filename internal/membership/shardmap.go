package membership

import "hash/fnv"

// ShardMap names the controllers that own machines. It is the stored value of the shard map's key.
type ShardMap struct {
	// Term is the term in which the map was written.
	Term   uint64   `json:"term"`
	Owners []string `json:"owners"`
}

// Owner returns the controller that owns a machine, by rendezvous hashing, or "" if the map has no owners. When the
// list of owners changes, machines move only to added owners and from removed ones.
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

// rendezvousWeight returns the weight of an owner for a machine.
func rendezvousWeight(owner, machine string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(owner))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(machine))
	// The high bits of an FNV hash vary too little for short names, so the bits are mixed.
	weight := hash.Sum64()
	weight ^= weight >> 33
	weight *= 0xff51afd7ed558ccd
	weight ^= weight >> 33
	return weight
}
