package drain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"regexp"
	"slices"

	"github.com/harewalk/harewalk/internal/rollout"
)

// MachinePrefix is where the drain requests of machines are stored, each under a key of its own, from the cluster's
// level on at which every controller reads them. Before, they are part of the document.
const MachinePrefix = "h/o/machines/"

// machineRecordName is a machine's record in errors, which operators read.
const machineRecordName = "drain request"

// plainName matches the names of machines that can be part of a key as they are.
var plainName = regexp.MustCompile(`^[A-Za-z0-9._:/-]{1,100}$`)

// MachineKey returns the key of a machine's drain request. A name that doesn't fit a key is hashed: the record has
// the machine's name.
func MachineKey(machine string) string {
	if plainName.MatchString(machine) {
		return MachinePrefix + machine
	}
	sum := sha256.Sum256([]byte(machine))
	return MachinePrefix + "%" + hex.EncodeToString(sum[:])
}

// MachineRecord is the stored drain request of one machine.
type MachineRecord struct {
	Format  int    `json:"v,omitempty"` // 0 means 1
	Machine string `json:"machine"`
	Request
}

// VersionedRequest is a drain request with the version of its key.
type VersionedRequest struct {
	Request
	Version uint64
}

// MachineRequests are the drain requests that have keys of their own, as far as they were followed or written by this
// controller.
type MachineRequests struct {
	byMachine    map[string]VersionedRequest
	machineByKey map[string]string
	// deletedAt are the versions, by key, at which this controller's own writes deleted keys, until the followed keys
	// show that.
	deletedAt map[string]uint64
}

// NewMachineRequests returns MachineRequests without any request.
func NewMachineRequests() *MachineRequests {
	return &MachineRequests{
		byMachine:    map[string]VersionedRequest{},
		machineByKey: map[string]string{},
		deletedAt:    map[string]uint64{},
	}
}

// HandleItem takes over a stored request. Versions that are not newer than one seen already are ignored. The error
// of a value that can't be read, which changes nothing, is a *rollout.NewerFormatError, a *MachineMismatchError or that
// of the JSON.
func (r *MachineRequests) HandleItem(key string, raw json.RawMessage, version uint64) error {
	if version <= r.deletedAt[key] || version <= r.byMachine[r.machineByKey[key]].Version {
		return nil
	}
	var record MachineRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	if record.Format > newestFormat {
		return &rollout.NewerFormatError{Record: machineRecordName, Format: record.Format}
	}
	if MachineKey(record.Machine) != key {
		return &MachineMismatchError{record.Machine}
	}
	r.machineByKey[key] = record.Machine
	r.byMachine[record.Machine] = VersionedRequest{Request: record.Request, Version: version}
	return nil
}

// HandleDelete takes over that the followed keys show a key as deleted.
func (r *MachineRequests) HandleDelete(key string, version uint64) {
	if version >= r.deletedAt[key] {
		delete(r.deletedAt, key)
	}
	r.deleteBefore(key, version)
}

// ConfirmDelete takes over that an own write has deleted a key, before the followed keys show it.
func (r *MachineRequests) ConfirmDelete(key string, version uint64) {
	r.deletedAt[key] = version
	r.deleteBefore(key, version)
}

// Reset takes over a new reading of all keys, as of a revision: requests that it lacks were deleted.
func (r *MachineRequests) Reset(revision uint64, isPresent func(key string) bool) {
	for key := range r.machineByKey {
		if !isPresent(key) {
			r.deleteBefore(key, revision+1)
		}
	}
	maps.DeleteFunc(r.deletedAt, func(_ string, version uint64) bool { return version <= revision })
}

// deleteBefore deletes the request of a key if its version is below the given one.
func (r *MachineRequests) deleteBefore(key string, version uint64) {
	machine, ok := r.machineByKey[key]
	if !ok || r.byMachine[machine].Version >= version {
		return
	}
	delete(r.machineByKey, key)
	delete(r.byMachine, machine)
}

// Get returns the request of a machine, and whether there is one.
func (r *MachineRequests) Get(machine string) (VersionedRequest, bool) {
	request, ok := r.byMachine[machine]
	return request, ok
}

// Names returns the machines that have a request, in the order of their names.
func (r *MachineRequests) Names() []string { return slices.Sorted(maps.Keys(r.byMachine)) }
