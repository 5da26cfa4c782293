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

// MachinePrefix is the prefix of the keys of machines' drain requests, which are used from level rollout.DrainKeys on.
// Below that level the requests are part of the document.
const MachinePrefix = "h/o/machines/"

// machineRecordName is the name of a machine's record in errors for operators.
const machineRecordName = "drain request"

// plainName matches the machine names that can be part of a key without encoding.
var plainName = regexp.MustCompile(`^[A-Za-z0-9._:/-]{1,100}$`)

// MachineKey returns the key of a machine's drain request. A name that can't be part of a key is replaced by its hash;
// the record contains the name itself.
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

// MachineRequests contains the drain requests that have keys of their own, as known from the watched keys and this
// controller's own writes.
type MachineRequests struct {
	byMachine    map[string]VersionedRequest
	machineByKey map[string]string
	// deletedAt maps a key to the version at which this controller's own write deleted the key. An entry is removed
	// when the watched keys show the deletion.
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

// HandleItem applies a stored request. It ignores versions that are not newer than the request or its deletion. If the
// value can't be read, nothing changes and the error is a *rollout.NewerFormatError, a *MachineMismatchError or a JSON
// error.
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

// HandleDelete applies the deletion of a key that the watched keys show. version is the version of the deletion.
func (r *MachineRequests) HandleDelete(key string, version uint64) {
	if version >= r.deletedAt[key] {
		delete(r.deletedAt, key)
	}
	r.deleteBefore(key, version)
}

// HandleOwnDelete applies the deletion of a key by an own write, before the watched keys show the deletion.
func (r *MachineRequests) HandleOwnDelete(key string, version uint64) {
	r.deletedAt[key] = version
	r.deleteBefore(key, version)
}

// HandleReset applies a new listing of all keys as of a revision: it deletes the requests whose keys are absent.
func (r *MachineRequests) HandleReset(revision uint64, isPresent func(key string) bool) {
	for key := range r.machineByKey {
		if !isPresent(key) {
			r.deleteBefore(key, revision+1)
		}
	}
	maps.DeleteFunc(r.deletedAt, func(_ string, version uint64) bool { return version <= revision })
}

// deleteBefore deletes the request of a key if the version of the request is lower than the given one.
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

// Names returns the names of the machines that have a request, sorted.
func (r *MachineRequests) Names() []string { return slices.Sorted(maps.Keys(r.byMachine)) }
