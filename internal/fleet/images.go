package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// cachedImage is an image that is probably in a machine's cache.
type cachedImage struct {
	image int32   // index of the image's name
	gb    float64 // size of the image
}

// HasImage reports whether an image is probably in the machine's cache. The content of the cache is inferred from the
// tasks that were launched on the machine.
func (m *Machine) HasImage(image int32) bool {
	for _, c := range m.cachedImages {
		if c.image == image {
			return true
		}
	}
	return false
}

// touchImage records the use of an image, and removes the least recently used images that exceed a cache of cacheGB. If
// cacheGB is 0, the cache is unbounded.
func (m *Machine) touchImage(image int32, gb, cacheGB float64) {
	for i, c := range m.cachedImages {
		if c.image == image {
			m.cachedImages = append(m.cachedImages[:i], m.cachedImages[i+1:]...)
			break
		}
	}
	m.cachedImages = append(m.cachedImages, cachedImage{image, gb})
	sum := 0.0
	for i := len(m.cachedImages) - 1; i >= 0; i-- {
		sum += m.cachedImages[i].gb
		if cacheGB > 0 && sum > cacheGB && i < len(m.cachedImages)-1 {
			m.cachedImages = append([]cachedImage(nil), m.cachedImages[i+1:]...)
			break
		}
	}
}

// imageHintsPrefix is the prefix of the keys that store the inferred caches for the next leader. These are hints: a
// wrong or lost hint costs one download, so their writes are conditional on the leader key only.
const imageHintsPrefix = jobs.PlanPrefix + "images"

// imageHintsInterval is the minimum time between two writes of hints.
const imageHintsInterval = 4 * time.Second

// machinesPerHintShard is the number of machines whose hints share one key. The hints of all machines of a large fleet
// would exceed the size limit of one value.
const machinesPerHintShard = 128

// imageHintRecord is the stored form of one shard of the hints. Machines lists, by machine name, the positions of
// images in Images, least recently used first. GB has the sizes of the Images.
type imageHintRecord struct {
	Images   []string           `json:"images"`
	GB       []float64          `json:"gb"`
	Machines map[string][]int32 `json:"on"`
}

// nextHintShard returns the next shard of hints to write, or -1 if no shard has changed or the last write was less than
// imageHintsInterval ago.
func (f *Fleet) nextHintShard(now time.Duration) int {
	if now-f.hints.writtenAt < imageHintsInterval {
		return -1
	}
	for i := range f.hints.dirtyShards {
		shard := (f.hints.lastShard + 1 + i) % len(f.hints.dirtyShards)
		if f.hints.dirtyShards[shard] {
			return shard
		}
	}
	return -1
}

// markHintsDirty records that a machine's inferred cache has changed since the last write of its shard.
func (f *Fleet) markHintsDirty(machine *Machine) {
	shard := int(machine.Index) / machinesPerHintShard
	for len(f.hints.dirtyShards) <= shard {
		f.hints.dirtyShards = append(f.hints.dirtyShards, false)
	}
	f.hints.dirtyShards[shard] = true
}

// encodeImageHints returns the stored form of a shard of the hints. Hints that exceed the size limit of a value are
// omitted.
func (f *Fleet) encodeImageHints(shard int) json.RawMessage {
	encoder := imageHintEncoder{
		record:    imageHintRecord{Machines: map[string][]int32{}},
		positions: map[int32]int32{},
		size:      imageHintBaseBytes,
		limit:     f.valueLimit(),
	}
	first := shard * machinesPerHintShard
	for _, machine := range f.machines[first:min(len(f.machines), first+machinesPerHintShard)] {
		if machine.Condition == Terminated || machine.Condition == LeaseExpired || len(machine.cachedImages) == 0 {
			continue
		}
		if !encoder.reserve(len(machine.Name) + imageHintMachineBytes + imageHintEntryBytes*len(machine.cachedImages)) {
			break
		}
		encoder.addMachine(machine, &f.Jobs.Names.Images)
	}
	raw, _ := json.Marshal(encoder.record)
	return raw
}

// Estimated sizes in JSON of the parts of an imageHintRecord, without names.
const (
	imageHintBaseBytes    = 100
	imageHintMachineBytes = 6 // one machine without its references to images
	imageHintEntryBytes   = 4 // one machine's reference to an image
	imageHintImageBytes   = 12
)

// imageHintEncoder builds an imageHintRecord within a size limit.
type imageHintEncoder struct {
	record      imageHintRecord
	positions   map[int32]int32 // position in record.Images, by image
	size, limit int             // estimated size of the record and its limit, in bytes
}

// reserve adds a number of bytes to the record's size, and reports whether the size is still within the limit.
func (e *imageHintEncoder) reserve(bytes int) bool {
	e.size += bytes
	return e.size <= e.limit
}

// addMachine adds a machine's images, up to the first image whose name exceeds the limit.
func (e *imageHintEncoder) addMachine(machine *Machine, names *jobs.Names) {
	for _, cached := range machine.cachedImages {
		position, ok := e.positions[cached.image]
		if !ok {
			name := names.Name(cached.image)
			if !e.reserve(len(name) + imageHintImageBytes) {
				return
			}
			position = int32(len(e.record.Images))
			e.positions[cached.image] = position
			e.record.Images = append(e.record.Images, name)
			e.record.GB = append(e.record.GB, cached.gb)
		}
		e.record.Machines[machine.Name] = append(e.record.Machines[machine.Name], position)
	}
}

// loadImageHints loads a shard of the hints that an earlier leader wrote. It ignores a record that cannot be decoded,
// and references to positions that are not in Images.
func (f *Fleet) loadImageHints(item store.Item) {
	var record imageHintRecord
	if json.Unmarshal(item.Value, &record) != nil || len(record.GB) != len(record.Images) {
		return
	}
	for name, positions := range record.Machines {
		images := f.hints.inherited[name]
		for _, position := range positions {
			if position >= 0 && int(position) < len(record.Images) {
				image := f.Jobs.Names.Images.Index(record.Images[position])
				images = append(images, cachedImage{image: image, gb: record.GB[position]})
			}
		}
		f.hints.inherited[name] = images
	}
}

// dropUnfetchedImage removes an image from a machine's inferred cache if no task with this image is left on the
// machine, since the worker then cancels an incomplete download. Otherwise the fleet would count the machine as having
// the image, and launch all tasks of a gang at once, again and again: the download takes longer than the gang's other
// tasks wait for it.
func (f *Fleet) dropUnfetchedImage(machine *Machine, image int32) {
	for ref := range machine.Tasks {
		if f.jobAt(ref.Job).Image == image {
			return
		}
	}
	for i, cached := range machine.cachedImages {
		if cached.image == image {
			machine.cachedImages = slices.Delete(machine.cachedImages, i, i+1)
			f.markHintsDirty(machine)
			return
		}
	}
}
