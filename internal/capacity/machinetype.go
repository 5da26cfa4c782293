package capacity

import (
	"encoding/json"
	"errors"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/planner"
)

// ErrNoMachineTypes is returned by ParseTypes for a response without any type.
var ErrNoMachineTypes = errors.New("no machine types")

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name          string
	CPUs          float64
	GPUs          float64
	MemoryGB      float64  // memory, GB
	CacheGB       float64  // size of the image cache
	FetchGBPerS   float64  // rate at which images are fetched, GB per second
	OnDemandPrice float64  // on-demand price per hour
	SpotPrice     float64  // spot price per hour
	BootS         float64  // usual boot time, seconds
	Zones         []string // zones that offer the type
}

// machineTypeBody is a MachineType on the wire.
type machineTypeBody struct {
	Name          string   `json:"name"`
	CPUs          float64  `json:"cpus"`
	GPUs          float64  `json:"accelerators"`
	MemoryGB      float64  `json:"memory_gb"`
	CacheGB       float64  `json:"cache_gb"`
	FetchGBPerS   float64  `json:"fetch_gb_per_s"`
	OnDemandPrice float64  `json:"price"`
	SpotPrice     float64  `json:"low_price"`
	BootS         float64  `json:"ready_s"`
	Zones         []string `json:"meadows"`
}

// machineTypesBody is the body of the cloud's response with its machine types.
type machineTypesBody struct {
	Types []machineTypeBody `json:"builds"`
}

// ParseTypes decodes the cloud's response with its machine types. It returns ErrNoMachineTypes if there are none.
func ParseTypes(raw []byte) ([]MachineType, error) {
	var body machineTypesBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, err
	}
	if len(body.Types) == 0 {
		return nil, ErrNoMachineTypes
	}
	types := make([]MachineType, len(body.Types))
	for i, wireType := range body.Types {
		types[i] = MachineType(wireType)
	}
	return types, nil
}

// MarshalJSON encodes a type in the cloud's wire format, for simulated clouds.
func (t MachineType) MarshalJSON() ([]byte, error) { return json.Marshal(machineTypeBody(t)) }

// Size returns the resources of a machine of the type.
func (t MachineType) Size() planner.Size {
	return planner.Size{CPUs: t.CPUs, GPUs: t.GPUs, Mem: t.MemoryGB}
}

// hourlyPrice returns the spot or the on-demand price of a machine of the type.
func (t MachineType) hourlyPrice(isSpot bool) float64 {
	if isSpot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// machineType returns the type with an index, or nil if the cloud doesn't offer the type or the index is jobs.None.
func (m *Manager) machineType(index int32) *MachineType {
	if index == jobs.None {
		return nil
	}
	name := m.Names.Types.Name(index)
	for i, machineType := range m.Types() {
		if machineType.Name == name {
			return &m.Types()[i]
		}
	}
	return nil
}

// secondsUntilUseful returns how long a new machine of a type takes until it runs its first task: the usual boot time
// and the time to fetch an image of mean size.
func (m *Manager) secondsUntilUseful(machineType *MachineType) float64 {
	seconds := machineType.BootS
	if machineType.FetchGBPerS > 0 {
		seconds += m.Fleet.MeanImageGB() / machineType.FetchGBPerS
	}
	return seconds
}
