package config

import (
	"fmt"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
	"github.com/harewalk/harewalk/internal/jobs"
)

// ArchiveSettings sets how ended jobs are archived, in HCL: archive { ... }.
type ArchiveSettings struct {
	// RetainS is for how long an ended job stays in every controller's memory before it is archived, in seconds;
	// 0: four times cancel_s. Until then status queries are answered without a read.
	RetainS float64 `hcl:"retain_s,optional" validate:"gte=0,lte=31536000"`
	// CacheEntries is how many archived answers a controller caches; 0: eight for each MB that it may use.
	CacheEntries int `hcl:"cache_entries,optional" validate:"gte=0,lte=10000000"`
}

// Defaults of ArchiveSettings.
const (
	retainCancelTimeouts = 4 // times cancel_s
	cacheEntriesPerMB    = 8 // an answer takes about 150 bytes in the cache
	minCacheEntries      = 64
)

// Archive holds how ended jobs are archived.
type Archive struct {
	Retain       time.Duration
	CacheEntries int
	// Unsupported is why nothing can be archived within the state service's limits, nil if it can.
	Unsupported error
}

// Archive returns how ended jobs are archived, from the operators' settings and the platform's.
func (s *Settings) Archive() Archive {
	var operator ArchiveSettings
	if s.Operator.Archive != nil {
		operator = *s.Operator.Archive
	}
	limits := s.Params.State.Limits()
	derived := Archive{
		Retain:       durationOr(operator.RetainS, jobs.Seconds(s.Params.Workers.CancelS*retainCancelTimeouts)),
		CacheEntries: operator.CacheEntries,
		Unsupported:  archive.Fits(limits.MaxOps, limits.MaxValueBytes),
	}
	if derived.CacheEntries == 0 {
		derived.CacheEntries = max(minCacheEntries, int(s.Params.Limits.MemoryLimitMB()*cacheEntriesPerMB))
	}
	return derived
}

// checkArchive refuses operators' settings for an archive that doesn't fit the state service's limits.
func (s *Settings) checkArchive() error {
	if s.Operator.Archive == nil {
		return nil
	}
	if err := s.Archive().Unsupported; err != nil {
		return fmt.Errorf("archive is set, but nothing can be archived: %w", err)
	}
	return nil
}
