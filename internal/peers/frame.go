package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// maxFrameBytes bounds the content of a frame, and so the memory that a peer can make a controller allocate for it.
	maxFrameBytes = 256 << 10
	// frameHeaderBytes is the size of a frame's header: the length of the content as a big-endian uint32.
	frameHeaderBytes = 4
)

// Errors of ReadFrame and Decode.
var (
	errFrameTooLarge = errors.New("frame exceeds the size limit")
	errFrameTooShort = errors.New("frame too short for a status")
	errInvalidFrame  = errors.New("frame content is not a valid status")
)

// WriteFrame writes one frame with the given content.
func WriteFrame(w io.Writer, content []byte) error {
	frame := make([]byte, frameHeaderBytes+len(content))
	binary.BigEndian.PutUint32(frame, uint32(len(content)))
	copy(frame[frameHeaderBytes:], content)
	_, err := w.Write(frame)
	return err
}

// ReadFrame reads one frame and returns its content. If the content exceeds maxFrameBytes, only the header is read and
// the error wraps errFrameTooLarge. Other errors are those of r.
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
