package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ProtocolVersion is the version of frames and messages. A predecessor rejects a successor with another version.
const ProtocolVersion = 1

// Limits of frames.
const (
	// MaxBodySize is the maximum size of a frame's body, in bytes. A message with a larger body is sent in several frames; see
	// AppendMessageInParts.
	MaxBodySize = 1 << 20

	// MaxMessageSize is the maximum size of a message's body in all its frames, in bytes. It only keeps a faulty process from
	// using up the memory of the other one.
	MaxMessageSize = 64 << 20

	// SnapshotChunkSize is the maximum number of bytes of the policy's snapshot in one frame.
	SnapshotChunkSize = 256 << 10
)

// A frame consists of a header and a body. The header contains the length of the body (four bytes in network order), the kind
// (one byte), and the number of descriptors that are passed along with the frame's first byte (one byte, 0 or 1).
const (
	headerSize             = 6
	headerKindOffset       = 4
	headerDescriptorOffset = 5
)

// FrameKind is the kind of the message in a frame. The numbers are part of the protocol.
type FrameKind byte

// Kinds of frames. The message types have the same names.
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
	KindBodyPart
	kindLimit // one more than the last kind
)

// frameKindNames contains the names of the kinds, for logs and errors.
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
	KindBodyPart:         "body part",
}

// String returns the name of the kind, for logs and errors.
func (f FrameKind) String() string {
	if !f.isValid() {
		return fmt.Sprintf("kind %d", byte(f))
	}
	return frameKindNames[f]
}

// isValid reports whether the kind is a known one.
func (f FrameKind) isValid() bool { return f >= KindHandshake && f < kindLimit }

// CarriesDescriptor reports whether a file descriptor is passed along with frames of this kind.
func (f FrameKind) CarriesDescriptor() bool {
	return f == KindAccept || f == KindClientConnection || f == KindWorkerConnection
}

// isState reports whether frames of this kind contain a part of the predecessor's state.
func (f FrameKind) isState() bool { return f >= KindSnapshotChunk && f <= KindWorkerConnection }

// Frame is a frame that was read. Body is a slice of the buffer that it was read from.
type Frame struct {
	Kind            FrameKind
	DescriptorCount int // 0 or 1
	Body            []byte
}

// ErrIncomplete is returned if the buffer ends before the frame does.
var ErrIncomplete = errors.New("incomplete frame")

// FrameError is the error of a frame that violates the protocol.
type FrameError struct {
	Kind   FrameKind
	Reason string
}

// Error returns the kind of the frame and the reason.
func (f *FrameError) Error() string { return fmt.Sprintf("invalid frame (%v): %s", f.Kind, f.Reason) }

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

// ReadMessageFrame returns the last frame of the message at the start of buffer, and the size in bytes of all its frames. The bodies
// of BodyPart frames before the last frame are joined with its body. The error is ErrIncomplete or a *FrameError.
func ReadMessageFrame(buffer []byte) (last Frame, size int, err error) {
	bodySize := 0
	for {
		frame, frameSize, err := ReadFrame(buffer[size:])
		if err != nil {
			return Frame{}, 0, err
		}
		size += frameSize
		bodySize += len(frame.Body)
		if bodySize > MaxMessageSize {
			return Frame{}, 0, messageSizeError(frame.Kind, bodySize)
		}
		if frame.Kind != KindBodyPart {
			last = frame
			break
		}
	}
	if bodySize > len(last.Body) {
		last.Body = joinBodies(buffer[:size], bodySize)
	}
	return last, size, nil
}

// joinBodies returns the bodies of all frames in a buffer, which have the given size together. The frames are known to be valid.
func joinBodies(buffer []byte, bodySize int) []byte {
	joined := make([]byte, 0, bodySize)
	for len(buffer) > 0 {
		frame, size, err := ReadFrame(buffer)
		if err != nil {
			break
		}
		joined = append(joined, frame.Body...)
		buffer = buffer[size:]
	}
	return joined
}

// checkHeader returns a *FrameError unless the header is valid.
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

// descriptorCount returns the number of descriptors that are passed along with a frame of this kind.
func (f FrameKind) descriptorCount() int {
	if f.CarriesDescriptor() {
		return 1
	}
	return 0
}

// appendFrame appends a frame to buffer. On an error it returns buffer unchanged.
func appendFrame(buffer []byte, kind FrameKind, body []byte) ([]byte, error) {
	if len(body) > MaxBodySize {
		return buffer, bodySizeError(kind, len(body))
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = append(buffer, byte(kind), byte(kind.descriptorCount()))
	return append(buffer, body...), nil
}

// bodySizeError returns the error of a body that is too large.
func bodySizeError(kind FrameKind, size int) error {
	return &FrameError{kind, fmt.Sprintf("body of %d bytes, at most %d allowed", size, MaxBodySize)}
}

// messageSizeError returns the error of a message whose body is too large in all its frames.
func messageSizeError(kind FrameKind, size int) error {
	return &FrameError{kind, fmt.Sprintf("message of %d bytes, at most %d allowed", size, MaxMessageSize)}
}
