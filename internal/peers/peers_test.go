package peers

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"testing"
)

func sample() Status {
	return Status{Node: "n-1", Term: 7, Leading: true, StateOK: true, Workers: 21,
		Counts: []Count{{"req-000001", 3, 4}, {"req-000002", 0, 9}}}
}

func TestFramesSurviveTheWire(t *testing.T) {
	var buf bytes.Buffer
	want := []Status{sample(), {Node: "n-2"}}
	for _, s := range want {
		if err := WriteFrame(&buf, Encode(s)); err != nil {
			t.Fatal(err)
		}
	}
	for _, w := range want {
		raw, err := ReadFrame(&buf)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(raw)
		if err != nil || !reflect.DeepEqual(got, w) {
			t.Fatalf("got %+v, %v; want %+v", got, err, w)
		}
	}
}

// Whatever a peer sends, decoding returns: it neither panics nor allocates without bound.
func TestHostileFrames(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	good := Encode(sample())
	refused := 0
	for range 20_000 {
		raw := append([]byte(nil), good...)
		for range 1 + rng.IntN(6) {
			raw[rng.IntN(len(raw))] = byte(rng.Uint32())
		}
		if s, err := Decode(raw[:rng.IntN(len(raw)+1)]); err != nil {
			refused++
		} else if len(s.Counts) > len(raw) {
			t.Fatalf("%d counts from %d bytes", len(s.Counts), len(raw))
		}
	}
	if refused == 0 {
		t.Fatal("no broken frame was refused")
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})); err == nil {
		t.Fatal("a frame of 4 GiB was taken")
	}
}
