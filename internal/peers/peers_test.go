package peers

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"time"
)

func sample() Status {
	return Status{
		Node: "n-1", Term: 7, Leading: true, StateServiceReachable: true, ForeignHeartbeats: 21,
		Counts: []JobCount{{"req-000001", 3, 4}, {"req-000002", 0, 9}},
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
			if !errors.Is(err, errShortFrame) && !errors.Is(err, errBrokenFrame) {
				t.Fatalf("an error without its reason: %v", err)
			}
			refused++
		} else if len(s.Counts) > len(raw) {
			t.Fatalf("%d counts from %d bytes", len(s.Counts), len(raw))
		}
	}
	if refused == 0 {
		t.Fatal("no broken frame was refused")
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})); !errors.Is(err, errFrameTooLarge) {
		t.Fatalf("a frame of 4 GiB: %v", err)
	}
}

// closableConn is a connection that takes whatever is written, also after the peer has closed it.
type closableConn struct {
	net.Conn
	closed chan struct{}
	wrote  chan []byte
}

func (c *closableConn) Read([]byte) (int, error)         { <-c.closed; return 0, io.EOF }
func (c *closableConn) Write(b []byte) (int, error)      { c.wrote <- b; return len(b), nil }
func (c *closableConn) SetWriteDeadline(time.Time) error { return nil }
func (c *closableConn) Close() error                     { return nil }

// The peer closes a connection because nothing came for long: the next frame goes over a new connection, even where
// the socket would still take it.
func TestLinkReconnectsWhenThePeerCloses(t *testing.T) {
	wrote := make(chan []byte, 10)
	dialled := make(chan *closableConn, 10)
	l := NewLink(func() (net.Conn, error) {
		c := &closableConn{closed: make(chan struct{}), wrote: wrote}
		dialled <- c
		return c, nil
	})
	l.Send([]byte("one"))
	first := <-dialled
	<-wrote
	close(first.closed)
	for n := 0; ; n++ { // the close may be noticed a moment later
		l.Send([]byte("two"))
		<-wrote
		select {
		case <-dialled:
			return
		default:
			if n > 1000 {
				t.Fatal("frames are still written to a closed connection")
			}
			time.Sleep(time.Millisecond)
		}
	}
}
