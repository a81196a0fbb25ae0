// Package succession is what two processes of one scheduler say to each other while the younger one, the heir, takes
// the place of the older one, the elder: frames on a Unix socket, some of which carry a descriptor, and the order in which
// they may come. It has no sockets and no clock.
//
// A frame is four bytes of length, its kind, the number of descriptors that its first byte carries (0 or 1), and as many
// bytes of JSON, or of the module's state, as the length says. Numbers are in network order.
package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/requests"
)

// ProtocolVersion is the version of all this. An heir and an elder of different forms do not talk: the elder says no.
const ProtocolVersion = 1

// Bounds of a frame.
const (
	headerSize = 6
	// MaxBodySize is how many bytes a frame holds beyond its head: a client link with all it may hoard, in JSON's form.
	MaxBodySize = 1 << 20
	// SnapshotChunkSize is how many bytes of the module's state go in one frame, at most.
	SnapshotChunkSize = 256 << 10
	// MaxSnapshotSize is how many bytes the module's state may have.
	MaxSnapshotSize = 64 << 20
)

// FrameKind is what a frame says.
type FrameKind byte

// Kinds, with who says them.
const (
	KindHandshake       FrameKind = 1 + iota // heir: it is there, and would take over
	KindAccept                               // elder: it may stand by; with the listening socket
	KindReject                               // elder: it may not
	KindSetCordon                            // whoever does not serve: a worker node is to be taken out, or brought back
	KindCordonResult                         // whoever serves: what has become of that
	KindCordonedWorkers                      // elder: the worker nodes that are out by now
	KindTransferBegin                        // elder: all that it has comes now
	KindSnapshotChunk                        // a piece of the module's state
	KindRequestTable                         // what the ledger has besides queries
	KindOpenRequest
	KindClientConnection // a client link; with its socket
	KindWorkerConnection // a server link; with its socket
	KindTransferEnd      // elder: that was all
	KindTakenOver        // heir: it is the owner now
	kindLimit
)

func (k FrameKind) String() string {
	if k < KindHandshake || k >= kindLimit {
		return fmt.Sprintf("kind %d", byte(k))
	}
	return [...]string{"hello", "welcome", "denied", "ban", "banned", "bans", "begin", "module", "book", "query", "client link",
		"server link", "end", "taken"}[k-KindHandshake]
}

// carriesDescriptor tells which frames come with a descriptor.
func (k FrameKind) carriesDescriptor() bool {
	return k == KindAccept || k == KindClientConnection || k == KindWorkerConnection
}

// The bodies of frames; those of the module are its bytes, and KindBegin and KindTaken have none. The other process may be
// of another build: the names in the tags, and the order of the fields, are part of the form.
type (
	// Handshake opens the talk.
	Handshake struct {
		Version int `json:"Form"`
	}
	// Accept answers it.
	Accept struct {
		Version         int      `json:"Form"`
		CordonedWorkers []string `json:"Out"` // worker nodes that are out by hand
	}
	// Reject says why not.
	Reject struct {
		Reason string `json:"Why"`
	}
	// SetCordon is an operator's call that came to the process that does not serve.
	SetCordon struct {
		Sequence uint64 `json:"Seq"`
		WorkerID string `json:"ID"`
		Cordoned bool   `json:"Out"`
	}
	// CordonResult is how its caller is to be answered.
	CordonResult struct {
		Sequence   uint64 `json:"Seq"`
		StatusCode int    `json:"Code"`
		Message    string `json:"What"`
	}
	// CordonedWorkers are the ids of all worker nodes that are out.
	CordonedWorkers struct {
		WorkerIDs []string `json:"Out"`
	}
	// ClientConnection is one accepted connection.
	ClientConnection struct {
		Input             []byte         `json:"In"`
		Output            []byte         `json:"Out"`
		ResponseSlots     []ResponseSlot `json:"Turns"`
		LastRequestRead   bool           `json:"Last"`
		InputConsumed     bool           `json:"Ended"`
		HalfClosed        bool           `json:"Half"`
		ContinueSent      bool           `json:"Continued"`
		RequestSeen       bool           `json:"Spoke"`
		UsefulRequestSeen bool           `json:"Useful"`
		ProxyHeaderDone   bool           `json:"Introduced"`
		LastActivity      time.Duration  `json:"Since"`  // as Unix time
		ClientAddress     string         `json:"Client"` // an address, as the next
		ProxyAddress      string         `json:"Via"`    // none: empty
	}
	// ResponseSlot is a request's place in the order of a link's answers.
	ResponseSlot struct {
		RequestID  uint64        `json:"Query"` // 0: none, or left
		KeepAlive  bool          `json:"Keep"`
		Complete   bool          `json:"Done"`
		Status     int           `json:"Status"`
		Body       []byte        `json:"Body"`
		RetryAfter time.Duration `json:"Retry"`
	}
	// WorkerConnection is a connection to a worker node: idle, or with an attempt.
	WorkerConnection struct {
		WorkerID   string         `json:"Host"`
		State      int            `json:"State"`
		RequestID  uint64         `json:"Query"` // of the attempt; 0: none
		Attempt    int            `json:"Attempt"`
		Stage      requests.Stage `json:"Stage"`
		Input      []byte         `json:"In"`
		Output     []byte         `json:"Out"`
		IdleBefore time.Duration  `json:"Rested"`
		IdleSince  time.Duration  `json:"IdleAt"`
	}
	// TransferEnd counts the frames since KindBegin, itself left out.
	TransferEnd struct {
		FrameCount int `json:"Frames"`
	}
)

// Frame is one of them. Its body lies in the bytes that were read.
type Frame struct {
	Kind            FrameKind
	DescriptorCount int
	Body            []byte
}

// ErrIncomplete means that a frame is not whole yet.
var ErrIncomplete = errors.New("more is needed")

// ReadFrame finds the frame at the start of b and how many bytes it takes up.
func ReadFrame(b []byte) (f Frame, n int, err error) {
	if len(b) < headerSize {
		return Frame{}, 0, ErrIncomplete
	}
	size := binary.BigEndian.Uint32(b)
	f = Frame{Kind: FrameKind(b[4]), DescriptorCount: int(b[5])}
	switch {
	case size > MaxBodySize:
		return Frame{}, 0, fmt.Errorf("a frame of %d bytes, %d allowed", size, MaxBodySize)
	case f.Kind < KindHandshake || f.Kind >= kindLimit:
		return Frame{}, 0, fmt.Errorf("a frame of %v", f.Kind)
	case f.DescriptorCount > 1 || (f.DescriptorCount == 1) != f.Kind.carriesDescriptor():
		return Frame{}, 0, fmt.Errorf("%v with %d descriptors", f.Kind, f.DescriptorCount)
	case len(b) < headerSize+int(size):
		return Frame{}, 0, ErrIncomplete
	}
	f.Body = b[headerSize : headerSize+int(size)]
	return f, headerSize + int(size), nil
}

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// AppendFrame writes a frame to b. body is one of the types above, bytes, or nil.
func AppendFrame(b []byte, kind FrameKind, body any) ([]byte, error) {
	var text []byte
	switch x := body.(type) {
	case nil:
	case []byte:
		text = x
	default:
		var err error
		if text, err = json.Marshal(body); err != nil {
			return b, fmt.Errorf("%v: %w", kind, err)
		}
	}
	if len(text) > MaxBodySize {
		return b, fmt.Errorf("%v of %d bytes, %d allowed", kind, len(text), MaxBodySize)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	fds := byte(0)
	if kind.carriesDescriptor() {
		fds = 1
	}
	return append(append(b, byte(kind), fds), text...), nil
}

// Decode reads the body of a frame into one of the types above.
func (f Frame) Decode(into any) error {
	if err := json.Unmarshal(f.Body, into); err != nil {
		return fmt.Errorf("%v: %w", f.Kind, err)
	}
	return nil
}
