// Package pimlog keeps the durable state of one replicated group in a folder.
//
// A segment is a file of frames. A frame is one synced batch:
//
//	magic (4 bytes) | length (4) | CRC-32C of the payload (4) | payload
//
// all numbers little-endian, the payload a msgpack Batch. A batch is written only
// after the one before it was synced. So a bad frame with a good one behind it is
// corruption and stops the start, while a bad frame at the very end is a write
// that never finished and is cut off.
package pimlog

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	frameMagic       = 0x4d495031
	frameHeaderBytes = 12
	maxFrameBytes    = 64 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	magicBytes = binary.LittleEndian.AppendUint32(nil, frameMagic)
)

// appendFrame adds the frame of payload to buffer.
func appendFrame(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, frameMagic)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...)
}

// readFrame returns the payload at the start of data and the frame's size, or false.
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

// hasFrame reports whether a good frame starts anywhere in data.
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
