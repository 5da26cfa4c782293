package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// imageHintsPrefix begins the keys under which the inferred caches are kept for the next owner.
// They are hints: a wrong or lost one costs a fetch, so the keys have no condition but the
// leader's.
const imageHintsPrefix = jobs.PlanPrefix + "images"

// imageHintsInterval spaces the writes of the hints.
const imageHintsInterval = 4 * time.Second

// hintShardMachines is how many machines share one key: a large fleet's hints outgrow a value.
const hintShardMachines = 128

// imageHintRecord is the stored form: machines point at images by place, least recent first.
type imageHintRecord struct {
	Images   []string           `json:"images"`
	GB       []float64          `json:"gb"`
	Machines map[string][]int32 `json:"on"`
}

// nextHintShard is the shard of hints that is due to be written, or -1.
func (f *Fleet) nextHintShard(now time.Duration) int {
	if now-f.hints.writtenAt < imageHintsInterval {
		return -1
	}
	for i := range f.hints.dirtyShards {
		if k := (f.hints.lastShard + 1 + i) % len(f.hints.dirtyShards); f.hints.dirtyShards[k] {
			return k
		}
	}
	return -1
}

// markHintsDirty notes that a machine's inferred cache has changed.
func (f *Fleet) markHintsDirty(machine *Machine) {
	k := int(machine.Index) / hintShardMachines
	for len(f.hints.dirtyShards) <= k {
		f.hints.dirtyShards = append(f.hints.dirtyShards, false)
	}
	f.hints.dirtyShards[k] = true
}

// encodeImageHints writes a shard of the hints, as far as they fit a value.
func (f *Fleet) encodeImageHints(shard int) json.RawMessage {
	limit := f.valueLimit()
	h := imageHintRecord{Machines: map[string][]int32{}}
	at := map[int32]int32{}
	size := 100
	for _, machine := range f.machines[shard*hintShardMachines : min(len(f.machines), (shard+1)*hintShardMachines)] {
		if machine.Condition == Terminated || machine.Condition == LeaseExpired || len(machine.cachedImages) == 0 {
			continue
		}
		if size += len(machine.Name) + 6 + 4*len(machine.cachedImages); size > limit {
			break
		}
		for _, c := range machine.cachedImages {
			i, ok := at[c.image]
			if !ok {
				name := f.Jobs.Names.Images.Name(c.image)
				if size += len(name) + 12; size > limit {
					break
				}
				i = int32(len(h.Images))
				at[c.image] = i
				h.Images = append(h.Images, name)
				h.GB = append(h.GB, c.gb)
			}
			h.Machines[machine.Name] = append(h.Machines[machine.Name], i)
		}
	}
	raw, _ := json.Marshal(h)
	return raw
}

// loadImageHints takes over the hints of the owner before.
func (f *Fleet) loadImageHints(now time.Duration, item store.Item) {
	var h imageHintRecord
	if json.Unmarshal(item.Value, &h) != nil || len(h.GB) != len(h.Images) {
		return
	}
	for name, list := range h.Machines {
		m := f.hints.inherited[name]
		for _, i := range list {
			if i >= 0 && int(i) < len(h.Images) {
				m = append(m, cachedImage{f.Jobs.Names.Images.Index(h.Images[i]), h.GB[i]})
			}
		}
		f.hints.inherited[name] = m
	}
}

// dropUnfetchedImage takes back that a machine has an image: the last task there that waited for it has ended while it was being
// fetched, and the worker has given the fetch up. A gang whose image takes longer than its others wait once started
// all its tasks together, on and on, because one machine was believed to have what it had never finished to fetch.
func (f *Fleet) dropUnfetchedImage(machine *Machine, image int32) {
	for r := range machine.Tasks {
		if f.jobAt(r.Job).Image == image {
			return
		}
	}
	if i := slices.IndexFunc(machine.cachedImages, func(c cachedImage) bool { return c.image == image }); i >= 0 {
		machine.cachedImages = slices.Delete(machine.cachedImages, i, i+1)
		f.markHintsDirty(machine)
	}
}
