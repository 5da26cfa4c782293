package config

import (
	"fmt"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
)

// ArchiveSettings sets how ended jobs are archived, in HCL: archive { ... }.
type ArchiveSettings struct {
	// RetainS is how long an ended job stays in every controller's memory before it is archived, in seconds; 0 means
	// four times cancel_s. Status queries for a job in memory need no read from the state service.
	RetainS float64 `hcl:"retain_s,optional" validate:"gte=0,lte=31536000"`
	// CacheEntries is the number of archived jobs' answers that a controller caches; 0 means eight for each MB of
	// memory that the controller may use.
	CacheEntries int `hcl:"cache_entries,optional" validate:"gte=0,lte=10000000"`
}

// Defaults of ArchiveSettings.
const (
	retainCancelTimeouts = 4 // times cancel_s
	cacheEntriesPerMB    = 8 // an answer takes about 150 bytes in the cache
	minCacheEntries      = 64
)

// Archive holds the derived settings for archiving ended jobs.
type Archive struct {
	Retain       time.Duration // how long an ended job stays in memory
	CacheEntries int
	// Unsupported is the reason if the state service's limits don't allow an archive, and nil otherwise.
	Unsupported error
}

// Archive returns the settings for archiving ended jobs, derived from the operators' settings and the platform's.
func (s *Settings) Archive() Archive {
	var operator ArchiveSettings
	if s.Operator.Archive != nil {
		operator = *s.Operator.Archive
	}
	limits := s.Params.State.Limits()
	derived := Archive{
		Retain:       durationOr(operator.RetainS, jobs.Seconds(s.Params.Workers.CancelS*retainCancelTimeouts)),
		CacheEntries: operator.CacheEntries,
		Unsupported:  archive.CheckLimits(limits.MaxOps, limits.MaxValueBytes),
	}
	if derived.CacheEntries == 0 {
		derived.CacheEntries = max(minCacheEntries, int(s.Params.Limits.MemoryLimitMB()*cacheEntriesPerMB))
	}
	return derived
}

// checkArchive returns an error if operators configure an archive that the state service's limits don't allow.
func (s *Settings) checkArchive() error {
	if s.Operator.Archive == nil {
		return nil
	}
	if err := s.Archive().Unsupported; err != nil {
		return fmt.Errorf("archive is set, but the state service's limits don't allow an archive: %w", err)
	}
	return nil
}
