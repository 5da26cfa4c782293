package rollout

// Level is the version of the stored formats and the controllers' behaviour together. A controller uses a format or
// behaviour only if the cluster's level is at least the level that introduced it.
type Level int

// The levels.
const (
	// Base is the level of clusters whose controllers run releases without levels.
	Base Level = 1
	// Paged stores plans in pages shared by many jobs. It also stores the term in a format that releases without
	// levels can't read, so that their controllers can't become leader.
	Paged Level = 2
	// Archived moves ended jobs from the watched keys to the archive.
	Archived Level = 3
	// DrainKeys stores the drain request of each machine under a key of its own instead of in one document.
	DrainKeys Level = 4
	// Dependencies accepts jobs that wait for predecessors, whose records have a format of their own.
	Dependencies Level = 5
	// Newest is the highest level that this release supports.
	Newest = Dependencies
)

// Release is the semantic version of this program.
const Release = "v0.24.0"

// The releases that introduced stored formats.
const (
	// firstAnnouncingRelease introduced levels and announcements. Earlier releases wrote all records in format 1.
	firstAnnouncingRelease = "v0.21.0"
	firstArchivingRelease  = "v0.22.0"
	firstDrainKeysRelease  = "v0.23.0"
	firstDependencyRelease = "v0.24.0"
)

// levelBehaviours is the name, in announcements, of the behaviour that each level introduced.
var levelBehaviours = map[Level]string{
	Base:         "base",
	Paged:        "plan-pages",
	Archived:     "archive",
	DrainKeys:    "drain-keys",
	Dependencies: "dependencies",
}

// IsCompatible reports whether a controller may act, given the highest level that it supports and the cluster's
// level.
func IsCompatible(supported, cluster Level) bool { return cluster <= supported }
