package peers

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"time"
)

func sample() Status {
	return Status{
		Node: "n-1", Term: 7, Leading: true, StateOK: true, Workers: 21,
		Counts: []Count{{"req-000001", 3, 4}, {"req-000002", 0, 9}},
	}
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

// deadEnd is a connection that takes whatever is written, though the other side has ended it.
type deadEnd struct {
	net.Conn
	end   chan struct{}
	wrote chan []byte
}

func (d *deadEnd) Read([]byte) (int, error)         { <-d.end; return 0, io.EOF }
func (d *deadEnd) Write(b []byte) (int, error)      { d.wrote <- b; return len(b), nil }
func (d *deadEnd) SetWriteDeadline(time.Time) error { return nil }
func (d *deadEnd) Close() error                     { return nil }

// The other side ends a connection because nothing came for long: whatever is said next goes over a new one, even where the
// socket would take it.
func TestLinkNoticesTheOtherEnd(t *testing.T) {
	wrote := make(chan []byte, 10)
	dialled := make(chan *deadEnd, 10)
	l := NewLink(func() (net.Conn, error) {
		c := &deadEnd{end: make(chan struct{}), wrote: wrote}
		dialled <- c
		return c, nil
	})
	l.Send([]byte("one"))
	first := <-dialled
	<-wrote
	close(first.end)
	for n := 0; ; n++ { // the end may be noticed a moment later
		l.Send([]byte("two"))
		<-wrote
		select {
		case <-dialled:
			return
		default:
			if n > 1000 {
				t.Fatal("still written to a connection that has ended")
			}
			time.Sleep(time.Millisecond)
		}
	}
}
