package jobs

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// The packed form of job ids is a sequence of unsigned varints, encoded in base64. The ids are sorted by their number
// of digits and then by value. Each run of ids with the same number of digits is stored as that number of digits, the
// number of ids, and the difference of each id from the one before. The ids of a user's jobs are mostly close to one
// another and take two to three bytes each, so a job with hundreds of predecessors fits in one value of the state
// service.

// errPackedIDs is wrapped by every error of unpackIDs.
var errPackedIDs = errors.New("invalid packed job ids")

// numberedID is a job id as the number of its digits and their value.
type numberedID struct {
	digits int
	number uint64
}

// String returns the id as users write it, with leading zeros.
func (id numberedID) String() string { return fmt.Sprintf("%s%0*d", idPrefix, id.digits, id.number) }

// packIDs returns the packed form of ids, all of which must be valid. Their order is not preserved.
func packIDs(ids []string) string {
	numbered := make([]numberedID, len(ids))
	for i, id := range ids {
		digits := strings.TrimPrefix(id, idPrefix)
		number, _ := strconv.ParseUint(digits, 10, 64) // can't fail: maxIDDigits digits fit in 64 bits
		numbered[i] = numberedID{len(digits), number}
	}
	slices.SortFunc(numbered, func(a, b numberedID) int {
		return cmp.Or(cmp.Compare(a.digits, b.digits), cmp.Compare(a.number, b.number))
	})
	var packed []byte
	for len(numbered) > 0 {
		end := 1
		for end < len(numbered) && numbered[end].digits == numbered[0].digits {
			end++
		}
		packed = appendRun(packed, numbered[:end])
		numbered = numbered[end:]
	}
	return base64.RawStdEncoding.EncodeToString(packed)
}

// appendRun appends a run of sorted ids that have the same number of digits.
func appendRun(packed []byte, run []numberedID) []byte {
	packed = binary.AppendUvarint(packed, uint64(run[0].digits))
	packed = binary.AppendUvarint(packed, uint64(len(run)))
	previous := uint64(0)
	for _, id := range run {
		packed = binary.AppendUvarint(packed, id.number-previous)
		previous = id.number
	}
	return packed
}

// unpackIDs returns the sorted ids of a packed form. Its error wraps errPackedIDs.
func unpackIDs(text string) ([]string, error) {
	packed, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errPackedIDs, err)
	}
	reader := varintReader{rest: packed}
	var ids []string
	for len(reader.rest) > 0 && !reader.failed {
		digits := reader.next()
		count := reader.next()
		number := uint64(0)
		if digits < 1 || digits > maxIDDigits {
			return nil, fmt.Errorf("%w: number of digits %d is out of range", errPackedIDs, digits)
		}
		for ; count > 0 && !reader.failed; count-- {
			number += reader.next()
			ids = append(ids, numberedID{int(digits), number}.String())
		}
	}
	if reader.failed {
		return nil, fmt.Errorf("%w: truncated or oversized varint", errPackedIDs)
	}
	return ids, nil
}

// varintReader reads a sequence of unsigned varints.
type varintReader struct {
	rest   []byte
	failed bool // set when the next varint was incomplete or exceeded 64 bits
}

// next returns the next varint. If none can be read, it sets failed and returns 0.
func (r *varintReader) next() uint64 {
	value, length := binary.Uvarint(r.rest)
	if length <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[length:]
	return value
}
