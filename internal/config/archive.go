package config

import (
	"fmt"
	"time"

	"github.com/harewalk/harewalk/internal/archive"
)

// ArchiveSettings say how ended jobs leave the followed keys, in HCL: archive { ... }.
type ArchiveSettings struct {
	// RetainS is for how long an ended job stays in every controller's memory before it is archived, in seconds;
	// 0: four times cancel_s. Users may ask at any time: until then they are answered without a read.
	RetainS float64 `hcl:"retain_s,optional" validate:"gte=0,lte=31536000"`
	// CacheEntries is how many archived answers a controller keeps in memory; 0: eight for each MB that it may use.
	CacheEntries int `hcl:"cache_entries,optional" validate:"gte=0,lte=10000000"`
}

const (
	retainCancelTimeouts = 4 // times cancel_s
	cacheEntriesPerMB    = 8 // for each MB; an answer takes some 150 bytes in the cache
	bytesPerKB           = 1024
	minCacheEntries      = 64
)

// Archive is how ended jobs are archived here.
type Archive struct {
	Retain       time.Duration
	CacheEntries int
	// Unsupported says why nothing can be archived, nil: it can.
	Unsupported error
}

// Archive derives it from the operators' settings and the platform's.
func (s *Settings) Archive() Archive {
	var o ArchiveSettings
	if s.Operator.Archive != nil {
		o = *s.Operator.Archive
	}
	a := Archive{Retain: Seconds(o.RetainS), CacheEntries: o.CacheEntries}
	if a.Retain == 0 {
		a.Retain = Seconds(s.Params.Workers.CancelS * retainCancelTimeouts)
	}
	if a.CacheEntries == 0 {
		a.CacheEntries = max(minCacheEntries, int(s.Params.Limits.MemoryLimitMB()*cacheEntriesPerMB))
	}
	limits := s.Params.State.Limits()
	a.Unsupported = archive.Fits(limits.MaxOps, limits.MaxValueBytes)
	return a
}

// checkArchive refuses operators' settings for an archive that the state service's limits have no room for.
func (s *Settings) checkArchive() error {
	if s.Operator.Archive == nil {
		return nil
	}
	if err := s.Archive().Unsupported; err != nil {
		return fmt.Errorf("archive is set, but nothing can be archived: %w", err)
	}
	return nil
}
