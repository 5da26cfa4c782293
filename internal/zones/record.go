package zones

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/harewalk/harewalk/internal/rollout"
)

// Prefix is the prefix of the keys of zones.
const Prefix = "h/z/"

// Key is the key under which the health of all zones is stored for the next leader.
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

// Dirty reports whether there are changes that have not been stored.
func (z *Zones) Dirty() bool { return z.isDirty }

// MarkClean records that the value last returned by Encode is being written.
func (z *Zones) MarkClean() { z.isDirty = false }

// MarkDirty records that the write of that value has failed.
func (z *Zones) MarkDirty() { z.isDirty = true }

// Encode returns the value to be stored for the next leader: the zones that are not healthy or have flaps. name returns
// the name of a zone by its index. unixMS converts a monotonic time to a Unix time in milliseconds.
func (z *Zones) Encode(name func(int32) string, unixMS func(time.Duration) int64) json.RawMessage {
	stored := record{Zones: []zoneRecord{}}
	for index, zone := range z.zones {
		if zone.State == Healthy && zone.Flaps == 0 {
			continue
		}
		state := zone.State
		if state == Suspect {
			state = Healthy
		}
		stored.Zones = append(stored.Zones, zoneRecord{
			Zone:     name(index),
			State:    state.String(),
			SinceMS:  unixMS(zone.Since),
			LostAtMS: unixMS(zone.LostAt),
			Flaps:    zone.Flaps,
		})
	}
	slices.SortFunc(stored.Zones, func(a, b zoneRecord) int { return cmp.Compare(a.Zone, b.Zone) })
	raw, _ := json.Marshal(stored)
	return raw
}

// Restore applies the value that an earlier leader has stored. The stored states are only a starting point: a lost zone
// whose heartbeats arrive returns as usual. index returns the index of a zone by its name. monotonic converts a Unix
// time in milliseconds to a monotonic time. If the value can't be decoded, Restore changes nothing and returns a
// *rollout.NewerFormatError or the error of package json.
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
