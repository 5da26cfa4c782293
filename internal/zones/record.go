package zones

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Prefix is where the keys of zones are stored.
const Prefix = "h/z/"

// Key is where the health of the zones is stored for the next leader.
const Key = Prefix + "zones"

// newestFormat is the newest stored format that this release reads.
const newestFormat = 1

// record is the stored form of Zones. Times are Unix times in milliseconds.
type record struct {
	Format int          `json:"v,omitempty"` // 0 means 1
	Zones  []zoneRecord `json:"zones"`
}

type zoneRecord struct {
	Zone     string `json:"zone"`
	State    string `json:"state"`
	SinceMS  int64  `json:"since_ms"`
	LostAtMS int64  `json:"out_ms,omitempty"`
	Flaps    int    `json:"flaps,omitempty"`
}

// Dirty reports whether there are changes that aren't stored.
func (z *Zones) Dirty() bool { return z.isDirty }

// MarkStored records that what was encoded last is being stored.
func (z *Zones) MarkStored() { z.isDirty = false }

// MarkDirty records that it was not stored after all.
func (z *Zones) MarkDirty() { z.isDirty = true }

// Encode returns what is stored for the next leader: zones that are not healthy, or have flapped. name returns the
// name of a zone by its index, unixMS the Unix time in milliseconds of a monotonic time.
func (z *Zones) Encode(name func(int32) string, unixMS func(time.Duration) int64) json.RawMessage {
	out := record{Zones: []zoneRecord{}}
	for index, zone := range z.zones {
		if zone.State == Healthy && zone.Flaps == 0 {
			continue
		}
		state := zone.State
		if state == Suspect {
			state = Healthy
		}
		out.Zones = append(out.Zones, zoneRecord{
			Zone:     name(index),
			State:    state.String(),
			SinceMS:  unixMS(zone.Since),
			LostAtMS: unixMS(zone.LostAt),
			Flaps:    zone.Flaps,
		})
	}
	slices.SortFunc(out.Zones, func(a, b zoneRecord) int { return cmp.Compare(a.Zone, b.Zone) })
	raw, _ := json.Marshal(out)
	return raw
}

// Restore takes over what an earlier leader has stored. It is a hint: where heartbeats arrive, the zone returns
// all the same. index returns the index of a zone by its name, monotonic the monotonic time of a Unix time in
// milliseconds. If the value can't be read, nothing is taken over and the error is a
// *rollout.NewerFormatError or that of the JSON.
func (z *Zones) Restore(
	raw json.RawMessage,
	index func(string) int32,
	monotonic func(unixMS int64) time.Duration,
) error {
	var stored record
	if err := json.Unmarshal(raw, &stored); err != nil {
		return err
	}
	if stored.Format > newestFormat {
		return &rollout.NewerFormatError{Record: "zones", Format: stored.Format}
	}
	for _, zone := range stored.Zones {
		state, ok := parseState(zone.State)
		if !ok {
			continue
		}
		z.zones[index(zone.Zone)] = &Zone{
			State:      state,
			Since:      monotonic(zone.SinceMS),
			LostAt:     monotonic(zone.LostAtMS),
			ReturnedAt: monotonic(zone.SinceMS),
			Flaps:      min(max(0, zone.Flaps), maxFlaps),
			wasLost:    zone.LostAtMS > 0,
		}
	}
	return nil
}
