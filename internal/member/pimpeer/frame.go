// Package pimpeer sends messages between daemons over TCP. A frame is a four-byte
// little-endian length and a body in msgpack.
//
// A daemon sends only over connections that it opened itself. It pings each of them every
// PingInterval and replaces one that returned no pong for PongTimeout, so that a
// connection whose peer is gone without closing it is not used for long.
package pimpeer

import (
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

// Frame is a message on a connection. From and To are ids of daemons; To is empty if the
// sender knows only the address. A frame without a body is a ping or, in the other
// direction, its pong with the same number.
type Frame struct {
	From string `msgpack:"f,omitempty"`
	To   string `msgpack:"t,omitempty"`
	Body []byte `msgpack:"b,omitempty"`
	Ping uint64 `msgpack:"p,omitempty"`
}

// MaxFrameBytes is the size limit of a frame's body in msgpack.
const MaxFrameBytes = 64 << 20

const lengthBytes = 4

// EncodeFrame returns a frame as sent, with its length in front.
func EncodeFrame(frame Frame) ([]byte, error) {
	body, err := msgpack.Marshal(frame)
	if err != nil {
		return nil, pimcode.New(pimcode.ProgramFailed, "encode frame: %v", err)
	}
	if len(body) > MaxFrameBytes {
		return nil, pimcode.New(pimcode.FrameTooLarge, "%d bytes exceed the limit of %d", len(body), MaxFrameBytes)
	}
	data := binary.LittleEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	return append(data, body...), nil
}

// ReadFrame reads one frame. It fails with FrameTooLarge, UnknownMessage or the reader's error.
func ReadFrame(reader io.Reader) (Frame, error) {
	var frame Frame
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return frame, err
	}
	size := binary.LittleEndian.Uint32(length[:])
	if size > MaxFrameBytes {
		return frame, pimcode.New(pimcode.FrameTooLarge, "%d bytes exceed the limit of %d", size, MaxFrameBytes)
	}
	body, err := readBody(reader, int(size))
	if err != nil {
		return frame, err
	}
	if err := msgpack.Unmarshal(body, &frame); err != nil {
		return frame, pimcode.New(pimcode.UnknownMessage, "decode frame: %v", err)
	}
	return frame, nil
}

// readBody reads size bytes. It allocates in steps as data arrives, so that a wrong length
// does not allocate the whole size at once.
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
