package jobs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Unpacking restores the packed ids, including leading zeros, for any number of digits.
func TestPackedIDsRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var ids []string
		for range 1 + rng.IntN(40) {
			digits := 1 + rng.IntN(maxIDDigits)
			ids = append(ids, fmt.Sprintf("req-%0*d", digits, rng.Uint64N(pow10(digits))))
		}
		unpacked, err := unpackIDs(packIDs(ids))
		if err != nil {
			t.Fatal(err)
		}
		slices.Sort(ids)
		slices.Sort(unpacked)
		if !slices.Equal(ids, unpacked) {
			t.Fatalf("packed %v, unpacked %v, want the same ids", ids, unpacked)
		}
	}
}

func pow10(digits int) uint64 {
	product := uint64(1)
	for range digits {
		product *= 10
	}
	return product
}

// The record of a job with 500 predecessors is at most 2 KiB long.
func TestRecordWith500PredecessorsFitsIn2KiB(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	spec := &Spec{ID: "req-999999", Class: "class", Team: "team", Kind: Gang, Priority: "prod", Tasks: 4, CPUs: 1}
	for len(spec.Follows) < 500 {
		spec.Follows = append(spec.Follows, fmt.Sprintf("req-%06d", rng.IntN(200_000)))
	}
	if size := len(EncodeRecord(Pending, 1_700_000_000_000, 4, spec)); size > 2<<10 {
		t.Errorf("record with 500 predecessors: got %d bytes, want at most 2 KiB", size)
	}
}

// Damaged packed ids, truncated ones included, yield an error.
func TestUnpackIDsRejectsDamagedInput(t *testing.T) {
	for _, text := range []string{"?", "AQ", "gA", packIDs([]string{"req-1", "req-2"})[:3], "EwEB"} {
		if ids, err := unpackIDs(text); !errors.Is(err, errPackedIDs) {
			t.Errorf("unpackIDs(%q): got ids %v, error %v, want errPackedIDs", text, ids, err)
		}
	}
}
