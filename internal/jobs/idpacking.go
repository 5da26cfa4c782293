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

// Job ids in packed form: sorted by the number of their digits and then by their number, each run of ids with equally
// many digits as that number of digits, how many ids there are, and the differences between them, as varints in
// base64. The ids of a user's jobs are mostly near to one another and take two to three bytes each, so that a job with
// hundreds of predecessors fits in one value of the state service.

// errPackedIDs is wrapped by every error about ids in packed form that can't be read.
var errPackedIDs = errors.New("packed job ids can't be read")

// numberedID is a valid job id as numbers.
type numberedID struct {
	digits int
	number uint64
}

// String returns the id as users write it.
func (id numberedID) String() string { return fmt.Sprintf("%s%0*d", idPrefix, id.digits, id.number) }

// packIDs returns the packed form of valid ids. Their order is not kept.
func packIDs(ids []string) string {
	numbered := make([]numberedID, len(ids))
	for i, id := range ids {
		digits := strings.TrimPrefix(id, idPrefix)
		number, _ := strconv.ParseUint(digits, 10, 64) // 18 digits fit
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

// appendRun appends sorted ids with equally many digits.
func appendRun(packed []byte, run []numberedID) []byte {
	packed = binary.AppendUvarint(packed, uint64(run[0].digits))
	packed = binary.AppendUvarint(packed, uint64(len(run)))
	last := uint64(0)
	for _, id := range run {
		packed = binary.AppendUvarint(packed, id.number-last)
		last = id.number
	}
	return packed
}

// unpackIDs reads the packed form. Its error wraps errPackedIDs.
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
			return nil, fmt.Errorf("%w: an id of %d digits", errPackedIDs, digits)
		}
		for ; count > 0 && !reader.failed; count-- {
			number += reader.next()
			ids = append(ids, numberedID{int(digits), number}.String())
		}
	}
	if reader.failed {
		return nil, fmt.Errorf("%w: cut off", errPackedIDs)
	}
	return ids, nil
}

// varintReader reads unsigned varints one after the other.
type varintReader struct {
	rest   []byte
	failed bool // there was no complete varint
}

// next returns the next varint, 0 if there is none.
func (r *varintReader) next() uint64 {
	value, length := binary.Uvarint(r.rest)
	if length <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[length:]
	return value
}
