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

func sampleStatus() Status {
	return Status{
		Node: "n-1", Term: 7, Leading: true, StateServiceReachable: true, ForeignHeartbeats: 21,
		Counts: []JobCount{{"req-000001", 3, 4}, {"req-000002", 0, 9}},
	}
}

func TestStatusesAreUnchangedByEncoding(t *testing.T) {
	var buf bytes.Buffer
	want := []Status{sampleStatus(), {Node: "n-2"}}
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
			t.Fatalf("got %+v, error %v; want %+v", got, err, w)
		}
	}
}

// For any content of a frame, Decode returns a status or one of its documented errors. It neither panics nor allocates
// without bound.
func TestDecodeOfCorruptFrames(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	valid := Encode(sampleStatus())
	rejected := 0
	for range 20_000 {
		raw := append([]byte(nil), valid...)
		for range 1 + rng.IntN(6) {
			raw[rng.IntN(len(raw))] = byte(rng.Uint32())
		}
		if s, err := Decode(raw[:rng.IntN(len(raw)+1)]); err != nil {
			if !errors.Is(err, errFrameTooShort) && !errors.Is(err, errInvalidFrame) {
				t.Fatalf("got error %v, want errFrameTooShort or errInvalidFrame", err)
			}
			rejected++
		} else if len(s.Counts) > len(raw) {
			t.Fatalf("got %d job counts from at most %d bytes", len(s.Counts), len(raw))
		}
	}
	if rejected == 0 {
		t.Fatal("no corrupt frame was rejected, want at least one")
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})); !errors.Is(err, errFrameTooLarge) {
		t.Fatalf("frame of 4 GiB: got error %v, want errFrameTooLarge", err)
	}
}

// closableConn is a connection on which writes succeed even after the peer has closed it, as they do while the socket
// buffers them.
type closableConn struct {
	net.Conn
	closed chan struct{}
	wrote  chan []byte
}

func (c *closableConn) Read([]byte) (int, error)         { <-c.closed; return 0, io.EOF }
func (c *closableConn) Write(b []byte) (int, error)      { c.wrote <- b; return len(b), nil }
func (c *closableConn) SetWriteDeadline(time.Time) error { return nil }
func (c *closableConn) Close() error                     { return nil }

// When the peer has closed the connection, for instance by its read timeout, the link sends the next frame over a new
// connection, even if writes on the old one still succeed.
func TestLinkReconnectsAfterPeerCloses(t *testing.T) {
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
	for n := 0; ; n++ { // the link's goroutine may detect the close later
		l.Send([]byte("two"))
		<-wrote
		select {
		case <-dialled:
			return
		default:
			if n > 1000 {
				t.Fatal("more than 1000 frames were written to the closed connection, want a new connection")
			}
			time.Sleep(time.Millisecond)
		}
	}
}
