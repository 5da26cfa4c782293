package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// maxFrameBytes bounds the memory that a peer can make a controller allocate for one frame.
	maxFrameBytes = 256 << 10
	// frameHeaderBytes is the size of a frame's length, a big-endian uint32.
	frameHeaderBytes = 4
)

// Reasons for not reading a frame or its content.
var (
	errFrameTooLarge = errors.New("frame above the limit")
	errShortFrame    = errors.New("short frame")
	errBrokenFrame   = errors.New("broken frame")
)

// WriteFrame writes one frame with the given content.
func WriteFrame(w io.Writer, content []byte) error {
	frame := make([]byte, frameHeaderBytes+len(content))
	binary.BigEndian.PutUint32(frame, uint32(len(content)))
	copy(frame[frameHeaderBytes:], content)
	_, err := w.Write(frame)
	return err
}

// ReadFrame reads one frame and returns its content. The error of a frame above the limit, of which
// nothing more is read, wraps errFrameTooLarge; any other is that of the reader.
func ReadFrame(r io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", errFrameTooLarge, length)
	}
	content := make([]byte, length)
	_, err := io.ReadFull(r, content)
	return content, err
}
