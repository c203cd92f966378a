// Package pimlog stores the durable state of one replicated group in a folder: a snapshot
// file and log segments.
//
// A segment is a sequence of frames, each of which holds one synced batch:
//
//	magic (4 bytes) | length (4) | CRC-32C of the payload (4) | payload
//
// Numbers are little-endian; the payload is a Batch in msgpack. A batch is written only
// after the previous one was synced. An invalid frame that a valid one follows is
// therefore corruption and an error at start, while an invalid frame at the end is an
// unfinished write and is truncated. The first batch of a segment holds all that the segments before it hold.
package pimlog

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	frameMagic       = 0x4d495031 // "1PIM" on disk
	frameHeaderBytes = 12
	maxFrameBytes    = 64 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	magicBytes = binary.LittleEndian.AppendUint32(nil, frameMagic)
)

// appendFrame appends a frame with the given payload to buffer.
func appendFrame(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, frameMagic)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...)
}

// readFrame returns the payload and the size of the frame at the start of data, or false if
// there is no valid frame.
func readFrame(data []byte) ([]byte, int, bool) {
	if len(data) < frameHeaderBytes || !bytes.HasPrefix(data, magicBytes) {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxFrameBytes || int(length) > len(data)-frameHeaderBytes {
		return nil, 0, false
	}
	size := frameHeaderBytes + int(length)
	payload := data[frameHeaderBytes:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	return payload, size, true
}

// hasFrame reports whether a valid frame starts anywhere in data.
func hasFrame(data []byte) bool {
	for {
		at := bytes.Index(data, magicBytes)
		if at < 0 {
			return false
		}
		if _, _, ok := readFrame(data[at:]); ok {
			return true
		}
		data = data[at+1:]
	}
}
