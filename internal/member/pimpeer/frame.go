// Package pimpeer carries messages between entry daemons over TCP: frames of a
// four-byte length and a msgpack body. Each daemon sends over connections that it
// opened itself. A ping goes over each of them twice a second, and one that brings
// no pong is closed and opened anew, so that a connection which went silent is not
// used for long.
package pimpeer

import (
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

// Frame is one message on a connection. A frame without a body is a ping, or a pong
// on the way back.
type Frame struct {
	From string `msgpack:"f,omitempty"`
	To   string `msgpack:"t,omitempty"`
	Body []byte `msgpack:"b,omitempty"`
	Ping uint64 `msgpack:"p,omitempty"`
}

// MaxFrameBytes is the largest frame that is read or written.
const MaxFrameBytes = 64 << 20

const lengthBytes = 4

// EncodeFrame returns a frame's bytes with its length in front.
func EncodeFrame(frame Frame) ([]byte, error) {
	body, err := msgpack.Marshal(frame)
	if err != nil {
		return nil, pimcode.New(pimcode.ProgramFailed, "encode frame: %v", err)
	}
	if len(body) > MaxFrameBytes {
		return nil, pimcode.New(pimcode.FrameTooLarge, "%d bytes", len(body))
	}
	data := binary.LittleEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	return append(data, body...), nil
}

// ReadFrame reads one frame.
func ReadFrame(reader io.Reader) (Frame, error) {
	var frame Frame
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return frame, err
	}
	size := binary.LittleEndian.Uint32(length[:])
	if size > MaxFrameBytes {
		return frame, pimcode.New(pimcode.FrameTooLarge, "%d bytes", size)
	}
	body, err := readBody(reader, int(size))
	if err != nil {
		return frame, err
	}
	if err := msgpack.Unmarshal(body, &frame); err != nil {
		return frame, pimcode.New(pimcode.UnknownMessage, "frame: %v", err)
	}
	return frame, nil
}

// readBody grows with what arrives, so that a false length costs nothing.
func readBody(reader io.Reader, size int) ([]byte, error) {
	const step = 1 << 20
	body := make([]byte, 0, min(size, step))
	for len(body) < size {
		part := make([]byte, min(size-len(body), step))
		if _, err := io.ReadFull(reader, part); err != nil {
			return nil, err
		}
		body = append(body, part...)
	}
	return body, nil
}
