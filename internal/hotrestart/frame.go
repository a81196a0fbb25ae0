package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ProtocolVersion is the version of frames and messages. Processes of different versions do not hand over to each other: the
// predecessor rejects the successor.
const ProtocolVersion = 1

// Limits of frames.
const (
	// MaxBodySize is the largest body of a frame, in bytes. A client connection with full buffers, as JSON, fits into it.
	MaxBodySize = 1 << 20

	// SnapshotChunkSize is how many bytes of the policy's snapshot a predecessor sends in one frame, at most.
	SnapshotChunkSize = 256 << 10
)

// A frame is a header and a body. The header holds the length of the body (four bytes in network order), the kind, and the
// number of descriptors that are passed along with the frame's first byte (0 or 1).
const (
	headerSize             = 6
	headerKindOffset       = 4
	headerDescriptorOffset = 5
)

// FrameKind says which message a frame carries. The numbers are part of the protocol.
type FrameKind byte

// Kinds of frames, by number. The names of the message types are those of the kinds.
const (
	KindHandshake FrameKind = 1 + iota
	KindAccept
	KindReject
	KindSetCordon
	KindCordonResult
	KindCordonedWorkers
	KindTransferBegin
	KindSnapshotChunk
	KindRequestTable
	KindOpenRequest
	KindClientConnection
	KindWorkerConnection
	KindTransferEnd
	KindTakenOver
	kindLimit // one more than the last kind
)

var frameKindNames = [kindLimit]string{
	KindHandshake:        "handshake",
	KindAccept:           "accept",
	KindReject:           "reject",
	KindSetCordon:        "set cordon",
	KindCordonResult:     "cordon result",
	KindCordonedWorkers:  "cordoned workers",
	KindTransferBegin:    "transfer begin",
	KindSnapshotChunk:    "snapshot chunk",
	KindRequestTable:     "request table",
	KindOpenRequest:      "open request",
	KindClientConnection: "client connection",
	KindWorkerConnection: "worker connection",
	KindTransferEnd:      "transfer end",
	KindTakenOver:        "taken over",
}

// String returns the name of the kind, for logs and errors.
func (k FrameKind) String() string {
	if !k.isValid() {
		return fmt.Sprintf("kind %d", byte(k))
	}
	return frameKindNames[k]
}

func (k FrameKind) isValid() bool { return k >= KindHandshake && k < kindLimit }

// CarriesDescriptor reports whether frames of this kind carry a file descriptor.
func (k FrameKind) CarriesDescriptor() bool {
	return k == KindAccept || k == KindClientConnection || k == KindWorkerConnection
}

// isState reports whether frames of this kind carry a part of the predecessor's state.
func (k FrameKind) isState() bool { return k >= KindSnapshotChunk && k <= KindWorkerConnection }

// Frame is one frame as it was read. Body is a part of the buffer that it was read from.
type Frame struct {
	Kind            FrameKind
	DescriptorCount int // 0 or 1
	Body            []byte
}

// ErrIncomplete means that the buffer ends before the frame does: more is to be read first.
var ErrIncomplete = errors.New("incomplete frame")

// FrameError reports a frame that breaks the protocol.
type FrameError struct {
	Kind   FrameKind
	Reason string
}

// Error names the kind of the frame and what is wrong with it.
func (e *FrameError) Error() string { return fmt.Sprintf("invalid frame (%v): %s", e.Kind, e.Reason) }

// ReadFrame returns the frame at the start of buffer and its size in bytes, header included. The error is ErrIncomplete or a
// *FrameError.
func ReadFrame(buffer []byte) (frame Frame, size int, err error) {
	if len(buffer) < headerSize {
		return Frame{}, 0, ErrIncomplete
	}
	bodySize := binary.BigEndian.Uint32(buffer)
	frame = Frame{Kind: FrameKind(buffer[headerKindOffset]), DescriptorCount: int(buffer[headerDescriptorOffset])}
	if err := frame.checkHeader(bodySize); err != nil {
		return Frame{}, 0, err
	}
	size = headerSize + int(bodySize)
	if len(buffer) < size {
		return Frame{}, 0, ErrIncomplete
	}
	frame.Body = buffer[headerSize:size]
	return frame, size, nil
}

func (f Frame) checkHeader(bodySize uint32) error {
	switch {
	case bodySize > MaxBodySize:
		return bodySizeError(f.Kind, int(bodySize))
	case !f.Kind.isValid():
		return &FrameError{f.Kind, "unknown kind"}
	case f.DescriptorCount != f.Kind.descriptorCount():
		return &FrameError{f.Kind, fmt.Sprintf("%d descriptors announced, %d expected", f.DescriptorCount, f.Kind.descriptorCount())}
	}
	return nil
}

func (k FrameKind) descriptorCount() int {
	if k.CarriesDescriptor() {
		return 1
	}
	return 0
}

// appendFrame appends a frame to buffer.
func appendFrame(buffer []byte, kind FrameKind, body []byte) ([]byte, error) {
	if len(body) > MaxBodySize {
		return buffer, bodySizeError(kind, len(body))
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = append(buffer, byte(kind), byte(kind.descriptorCount()))
	return append(buffer, body...), nil
}

func bodySizeError(kind FrameKind, size int) error {
	return &FrameError{kind, fmt.Sprintf("body of %d bytes, at most %d allowed", size, MaxBodySize)}
}
