// Package peers carries what controllers tell each other over "back": length-prefixed
// FlatBuffers frames, one way on each connection. The frames only improve what users see;
// a lost, late or repeated one changes nothing that the rules depend on.
package peers

//go:generate sh -c "flatc --go --gen-onefile --go-namespace wire -o wire status.fbs"

import (
	"bufio"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"

	"github.com/harewalk/harewalk/internal/peers/wire"
)

// maxFrame bounds what a peer may make us hold.
const maxFrame = 256 << 10

// MostCounts bounds the jobs of which a status tells: with ids of the greatest length they fit a frame.
const MostCounts = 4096

// maxConns bounds the connections that peers may open.
const maxConns = 16

// Count is what one job shows users.
type Count struct {
	Job           string
	Done, Running uint32
}

// Status is one controller's view of itself.
type Status struct {
	Node    string
	Term    uint64
	Leading bool
	StateOK bool
	Workers uint32 // workers heard lately
	Leaving bool   // it drains
	Counts  []Count
}

// Encode writes a status without its length.
func Encode(s Status) []byte {
	b := flatbuffers.NewBuilder(256 + 48*len(s.Counts))
	offs := make([]flatbuffers.UOffsetT, len(s.Counts))
	for i, c := range s.Counts {
		id := b.CreateString(c.Job)
		wire.JobCountStart(b)
		wire.JobCountAddJob(b, id)
		wire.JobCountAddDone(b, c.Done)
		wire.JobCountAddRunning(b, c.Running)
		offs[i] = wire.JobCountEnd(b)
	}
	wire.StatusStartCountsVector(b, len(offs))
	for i := len(offs) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offs[i])
	}
	counts := b.EndVector(len(offs))
	node := b.CreateString(s.Node)
	wire.StatusStart(b)
	wire.StatusAddNode(b, node)
	wire.StatusAddTerm(b, s.Term)
	wire.StatusAddLeading(b, s.Leading)
	wire.StatusAddStateOk(b, s.StateOK)
	wire.StatusAddWorkers(b, s.Workers)
	wire.StatusAddCounts(b, counts)
	wire.StatusAddLeaving(b, s.Leaving)
	b.Finish(wire.StatusEnd(b))
	return b.FinishedBytes()
}

// Decode reads a status. FlatBuffers checks no offsets, so a frame that makes its
// accessors run out of bounds is caught here.
func Decode(raw []byte) (s Status, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("broken frame: %v", r)
		}
	}()
	if len(raw) < 8 {
		return s, errors.New("short frame")
	}
	w := wire.GetRootAsStatus(raw, 0)
	s = Status{
		Node: string(w.Node()), Term: w.Term(), Leading: w.Leading(), StateOK: w.StateOk(), Workers: w.Workers(),
		Leaving: w.Leaving(),
	}
	n := w.CountsLength()
	if n < 0 || n > len(raw)/4 {
		return Status{}, fmt.Errorf("broken frame: %d counts", n)
	}
	for i := range n {
		var c wire.JobCount
		if w.Counts(&c, i) {
			s.Counts = append(s.Counts, Count{string(c.Job()), c.Done(), c.Running()})
		}
	}
	return s, nil
}

// WriteFrame sends one frame.
func WriteFrame(w io.Writer, raw []byte) error {
	buf := make([]byte, 4+len(raw))
	binary.BigEndian.PutUint32(buf, uint32(len(raw)))
	copy(buf[4:], raw)
	_, err := w.Write(buf)
	return err
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return nil, fmt.Errorf("frame of %d bytes", n)
	}
	raw := make([]byte, n)
	_, err := io.ReadFull(r, raw)
	return raw, err
}

// Serve takes frames from the other controllers and hands them to the event loop.
func Serve(ln net.Listener, deliver func(Status)) {
	slots := make(chan struct{}, maxConns)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		go func() {
			defer func() { _ = conn.Close(); <-slots }()
			r := bufio.NewReader(conn)
			for {
				// A silent peer sends a status every second: a longer silence is a cut.
				_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
				raw, err := ReadFrame(r)
				if err != nil {
					return
				}
				s, err := Decode(raw)
				if err != nil {
					// Of another release, perhaps: what follows may be readable.
					slog.Debug("peer frame passed over", "cause", err)
					continue
				}
				deliver(s)
			}
		}()
	}
}

// Link sends frames to one other controller. Frames wait in a queue of one: a newer
// status replaces one that was not sent yet.
type Link struct {
	dial Dial
	out  chan []byte
}

// Dial connects to another controller, within 1.5 s.
type Dial func() (net.Conn, error)

// dialFor bounds a connection's making.
const dialFor = 1500 * time.Millisecond

// Plain connects without TLS.
func Plain(addr string) Dial {
	return func() (net.Conn, error) { return net.DialTimeout("tcp4", addr, dialFor) }
}

// Secure connects over TLS, with what config says at that moment.
func Secure(addr string, config func() *tls.Config) Dial {
	return func() (net.Conn, error) {
		return tls.DialWithDialer(&net.Dialer{Timeout: dialFor}, "tcp4", addr, config())
	}
}

// NewLink opens a link; its goroutine dials as often as needed.
func NewLink(dial Dial) *Link {
	l := &Link{dial: dial, out: make(chan []byte, 1)}
	go l.run()
	return l
}

// Send queues a frame without waiting.
func (l *Link) Send(raw []byte) {
	select {
	case <-l.out:
	default:
	}
	select {
	case l.out <- raw:
	default:
	}
}

// ended waits until the other side ends a connection, on which it says nothing. Writing alone doesn't show that: after a
// controller had stood still for more than the other's patience, what it wrote went nowhere for as long as the socket
// took it, and a leader never learned that its workers asked that controller.
func ended(c net.Conn, over chan<- struct{}) {
	defer close(over)
	for buf := make([]byte, 16); ; {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

func (l *Link) run() {
	var conn net.Conn
	var over chan struct{} // closed when the other side has ended the connection
	for raw := range l.out {
		if conn != nil {
			select {
			case <-over:
				_ = conn.Close()
				conn = nil
			default:
			}
		}
		if conn == nil {
			c, err := l.dial()
			if err != nil {
				slog.Debug("peer not reached", "cause", err)
				continue
			}
			conn, over = c, make(chan struct{})
			go ended(c, over)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		if err := WriteFrame(conn, raw); err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
}
