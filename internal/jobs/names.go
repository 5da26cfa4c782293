package jobs

import (
	"strings"

	"github.com/harewalk/harewalk/internal/licences"
)

// Names maps the names of one kind, such as zones, to dense indices, which are never reused. The zero value is empty
// and ready to use.
type Names struct {
	indices map[string]int32
	names   []string
}

// Index returns a name's index. It assigns the next free index to a new name.
func (n *Names) Index(name string) int32 {
	if index, found := n.indices[name]; found {
		return index
	}
	if n.indices == nil {
		n.indices = map[string]int32{}
	}
	index := int32(len(n.names))
	name = strings.Clone(name) // the name may be a substring of a large message, which it would keep in memory
	n.names = append(n.names, name)
	n.indices[name] = index
	return index
}

// Name returns the name with an index. The index must come from Index.
func (n *Names) Name(index int32) string { return n.names[index] }

// Len returns the number of names.
func (n *Names) Len() int { return len(n.names) }

// NameIndex holds the indices of all kinds of names in specifications.
type NameIndex struct {
	Classes, Teams, Images, Zones, Types Names
	// Pools is the catalog of the declared licence pools.
	Pools *licences.Catalog
}

// assign sets a job's indices and licence units from the names in its specification.
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

// licenceUnits returns the licence units that each task of a job needs. If a pool isn't declared in this controller's
// settings, the job was accepted by a controller that declares the pool and must not start here: the result is one unit
// of pool None, which can't be granted.
func (x *NameIndex) licenceUnits(spec *Spec) []licences.Requirement {
	if len(spec.Licences) == 0 {
		return nil
	}
	units, err := x.Pools.UnitsByIndex(spec.Licences)
	if err != nil {
		return []licences.Requirement{{Pool: None, Units: 1}}
	}
	return units
}
