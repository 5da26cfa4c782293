package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// imagesKey begins the keys under which the inferred caches are kept for the next owner.
// They are hints: a wrong or lost one costs a fetch, so the keys have no condition but the
// leader's.
const imagesKey = jobs.PlanPrefix + "images"

// imagesEvery spaces the writes of the hints.
const imagesEvery = 4 * time.Second

// shardMachines is how many machines share one key: a large fleet's hints outgrow a value.
const shardMachines = 128

// imageHints is the stored form: machines point at images by place, least recent first.
type imageHints struct {
	Images   []string           `json:"images"`
	GB       []float64          `json:"gb"`
	Machines map[string][]int32 `json:"on"`
}

// nextShard is the shard of hints that is due to be written, or -1.
func (f *Fleet) nextShard(now time.Duration) int {
	if now-f.imagesAt < imagesEvery {
		return -1
	}
	for i := range f.shards {
		if k := (f.shard + 1 + i) % len(f.shards); f.shards[k] {
			return k
		}
	}
	return -1
}

// newImage notes that a machine's inferred cache has changed.
func (f *Fleet) newImage(m *Machine) {
	k := int(m.Index) / shardMachines
	for len(f.shards) <= k {
		f.shards = append(f.shards, false)
	}
	f.shards[k] = true
}

// encodeImages writes a shard of the hints, as far as they fit a value.
func (f *Fleet) encodeImages(shard int) json.RawMessage {
	limit := f.valueLimit()
	h := imageHints{Machines: map[string][]int32{}}
	at := map[int32]int32{}
	size := 100
	for _, m := range f.machines[shard*shardMachines : min(len(f.machines), (shard+1)*shardMachines)] {
		if m.Condition == Gone || m.Condition == Lost || len(m.images) == 0 {
			continue
		}
		if size += len(m.Name) + 6 + 4*len(m.images); size > limit {
			break
		}
		for _, c := range m.images {
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
			h.Machines[m.Name] = append(h.Machines[m.Name], i)
		}
	}
	raw, _ := json.Marshal(h)
	return raw
}

// loadImages takes over the hints of the owner before.
func (f *Fleet) loadImages(now time.Duration, it store.Item) {
	var h imageHints
	if json.Unmarshal(it.Value, &h) != nil || len(h.GB) != len(h.Images) {
		return
	}
	for name, list := range h.Machines {
		m := f.hints[name]
		for _, i := range list {
			if i >= 0 && int(i) < len(h.Images) {
				m = append(m, cached{f.Jobs.Names.Images.Index(h.Images[i]), h.GB[i]})
			}
		}
		f.hints[name] = m
	}
}

// unfetched takes back that a machine has an image: the last task there that waited for it has ended while it was being
// fetched, and the worker has given the fetch up. A gang whose image takes longer than its others wait once started
// all its tasks together, on and on, because one machine was believed to have what it had never finished to fetch.
func (f *Fleet) unfetched(m *Machine, image int32) {
	for r := range m.On {
		if f.job(r.Job).Image == image {
			return
		}
	}
	if i := slices.IndexFunc(m.images, func(c cached) bool { return c.image == image }); i >= 0 {
		m.images = slices.Delete(m.images, i, i+1)
		f.newImage(m)
	}
}
