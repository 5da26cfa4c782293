package fleet

import (
	"encoding/json"
	"time"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/store"
)

// imagesKey is where the inferred caches are kept for the next owner. They are hints: a
// wrong or lost one costs a fetch, so the key has no condition but the leader's.
const imagesKey = jobs.PlanPrefix + "images"

// imagesEvery spaces the writes of the hints.
const imagesEvery = 4 * time.Second

// maxImages bounds the value in bytes.
const maxImages = 7 << 10

// imageHints is the stored form: machines point at images by place, least recent first.
type imageHints struct {
	Images   []string           `json:"images"`
	GB       []float64          `json:"gb"`
	Machines map[string][]int32 `json:"on"`
}

// encodeImages writes the hints, or nil if they are not due.
func (f *Fleet) encodeImages(now time.Duration) json.RawMessage {
	if !f.imagesDirty || now-f.imagesAt < imagesEvery {
		return nil
	}
	h := imageHints{Machines: map[string][]int32{}}
	at := map[int32]int32{}
	size := 100
	for _, m := range f.machines {
		if m.Condition == Gone || m.Condition == Lost || len(m.images) == 0 {
			continue
		}
		if size += len(m.Name) + 6 + 4*len(m.images); size > maxImages {
			break
		}
		for _, c := range m.images {
			i, ok := at[c.image]
			if !ok {
				name := f.Book.Door.Images.Name(c.image)
				if size += len(name) + 12; size > maxImages {
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
				m = append(m, cached{f.Book.Door.Images.Index(h.Images[i]), h.GB[i]})
			}
		}
		f.hints[name] = m
	}
}
