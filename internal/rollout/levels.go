package rollout

// Level is a version of the stored state and of the controllers' behaviour together. A format or behaviour that
// came with a level is used only if the cluster's level is at least that.
type Level int

// The levels.
const (
	// Base is what releases without levels wrote.
	Base Level = 1
	// Paged stores plans in pages that many jobs share, and the term in a form that releases without levels can't
	// read, so that they can't lead.
	Paged Level = 2
	// Archived moves ended jobs from the followed keys to the archive.
	Archived Level = 3
	// DrainKeys stores the drain request of each machine under a key of its own, in place of one document for all.
	DrainKeys Level = 4
	// Dependencies accepts jobs that wait for predecessors, whose records have a format of their own.
	Dependencies Level = 5
	// Newest is the highest level of this release.
	Newest = Dependencies
)

// Release is the version of this program, a semantic version.
const Release = "v0.24.0"

// The releases that began to write new formats.
const (
	// firstAnnouncingRelease introduced levels and announcements. Before it each record had only its format 1.
	firstAnnouncingRelease = "v0.21.0"
	firstArchivingRelease  = "v0.22.0"
	firstDrainKeysRelease  = "v0.23.0"
	firstDependencyRelease = "v0.24.0"
)

// levelBehaviours names what each level introduced, for the announcements.
var levelBehaviours = map[Level]string{
	Base:         "base",
	Paged:        "plan-pages",
	Archived:     "archive",
	DrainKeys:    "drain-keys",
	Dependencies: "dependencies",
}

// IsCompatible reports whether a controller may act in a cluster, by the highest level that it supports and the
// cluster's level.
func IsCompatible(supported, cluster Level) bool { return cluster <= supported }
