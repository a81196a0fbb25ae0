package codec

import (
	"encoding/binary"
	"hash/crc32"
)

// The protocol version that this package writes. Version is the form used in handshake messages.
const (
	Major   = 1
	Minor   = 0
	Version = Major<<8 | Minor
)

// Limits of frames and buffers, in bytes.
const (
	MaxPayloadSize = 8 << 20 // of a frame; enough for a model snapshot of a large fleet

	batchSize         = 64 << 10 // no message is added to a frame beyond this size, as a reader decodes only complete frames
	maxReusedCapacity = 1 << 20  // larger buffers are not kept for reuse
)

// The layout of a frame's header.
const (
	magic0 = 'v'
	magic1 = 'C'

	majorOffset    = 2
	minorOffset    = 3
	lengthOffset   = 4
	checkOffset    = 7
	checksumOffset = 8
	headerSize     = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// sealFrame writes the header of a frame with a complete payload.
func sealFrame(frame []byte, major, minor byte) {
	length := len(frame) - headerSize
	frame[0] = magic0
	frame[1] = magic1
	frame[majorOffset] = major
	frame[minorOffset] = minor
	frame[lengthOffset] = byte(length)
	frame[lengthOffset+1] = byte(length >> 8)
	frame[lengthOffset+2] = byte(length >> 16)
	frame[checkOffset] = headerChecksum(frame)
	binary.LittleEndian.PutUint32(frame[checksumOffset:], frameChecksum(frame))
}

// payloadLength returns the length of the payload that a header states.
func payloadLength(header []byte) int {
	field := header[lengthOffset:checkOffset]
	return int(field[0]) | int(field[1])<<8 | int(field[2])<<16
}

// headerChecksum returns the checksum of the header's bytes before the checksum.
func headerChecksum(header []byte) byte {
	return byte(crc32.Checksum(header[:checkOffset], castagnoli))
}

// frameChecksum returns the checksum of a frame, excluding the bytes of the checksum itself.
func frameChecksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[:checksumOffset], castagnoli), castagnoli, frame[headerSize:])
}
