package jobs

import (
	"strings"

	"github.com/harewalk/harewalk/internal/licences"
)

// Names maps the names of one kind to dense indices, which are never reused. Its zero value is empty and ready to
// use.
type Names struct {
	indices map[string]int32
	names   []string
}

// Index returns a name's index; a new name gets the next one.
func (n *Names) Index(name string) int32 {
	if index, known := n.indices[name]; known {
		return index
	}
	if n.indices == nil {
		n.indices = map[string]int32{}
	}
	index := int32(len(n.names))
	name = strings.Clone(name) // it may be a part of a large message
	n.names = append(n.names, name)
	n.indices[name] = index
	return index
}

// Name returns the name of an index that Index returned.
func (n *Names) Name(index int32) string { return n.names[index] }

// Len returns the number of names.
func (n *Names) Len() int { return len(n.names) }

// NameIndex holds the tables of all kinds of names that specifications use.
type NameIndex struct {
	Classes, Teams, Images, Zones, Types Names
	// Pools finds the licence pools by name.
	Pools *licences.Catalog
}

// assign sets a job's indices by the names in its specification.
func (x *NameIndex) assign(job *Job) {
	spec := job.Spec
	job.Class = x.Classes.Index(spec.Class)
	job.Team = x.Teams.Index(spec.Team)
	job.Image = x.Images.Index(spec.Image)
	job.Zone = None
	if spec.Zone != nil {
		job.Zone = x.Zones.Index(*spec.Zone)
	}
	job.Types = nil
	for _, machineType := range spec.Types {
		job.Types = append(job.Types, x.Types.Index(machineType))
	}
	job.LicenceUnits = x.licenceUnits(spec)
}

// licenceUnits returns what each task of a job holds of the licence pools. A job that names a pool which isn't
// declared here was accepted by a controller that declares it: it must not start here, so it needs a unit of no
// pool.
func (x *NameIndex) licenceUnits(spec *Spec) []licences.Unit {
	if len(spec.Licences) == 0 {
		return nil
	}
	units, err := x.Pools.UnitsByIndex(spec.Licences)
	if err != nil {
		return []licences.Unit{{Pool: None, N: 1}}
	}
	return units
}
