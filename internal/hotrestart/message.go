package hotrestart

import (
	"fmt"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/requests"
)

// The other process may run another build: the names in the tags, and the order of the fields, are part of the protocol. Bodies
// are JSON, except that SnapshotChunk and BodyPart are sent unencoded, and that TakenOver has no body. Builds without clock readings send
// TransferBegin without a body, and ignore its body when they receive it.

// Message is the content of one frame. It is implemented by the types of this file.
type Message interface {
	// Kind returns the kind of the frame that contains the message.
	Kind() FrameKind
}

// Handshake is the successor's first message.
type Handshake struct {
	Version int `json:"Form"` // ProtocolVersion of the successor

	// AcceptsParts reports that the successor reads messages whose bodies are sent in several frames. Earlier builds do not.
	AcceptsParts bool `json:"Parts,omitempty"`
}

// Accept is the predecessor's positive response to a Handshake. The listening socket for clients is passed along with it.
type Accept struct {
	Version         int      `json:"Form"` // ProtocolVersion of the predecessor
	CordonedWorkers []string `json:"Out"`  // IDs

	// MarksOverrun reports that the predecessor sets ClientConnection.InputOverrun. Earlier builds do not.
	MarksOverrun bool `json:"Overruns,omitempty"`
}

// Reject is the predecessor's negative response to a connection or a Handshake.
type Reject struct {
	Reason string `json:"Why"`
}

// SetCordon forwards an operator's call to the process that serves, to cordon or uncordon a worker.
type SetCordon struct {
	Sequence uint64 `json:"Seq"` // identifies the call in its CordonResult
	WorkerID string `json:"ID"`
	Cordoned bool   `json:"Out"`
}

// CordonResult contains the response to the caller of a SetCordon.
type CordonResult struct {
	Sequence   uint64 `json:"Seq"`
	StatusCode int    `json:"Code"` // HTTP status
	Message    string `json:"What"`
}

// CordonedWorkers contains all cordoned workers. It is sent to a successor in standby after each change.
type CordonedWorkers struct {
	WorkerIDs []string `json:"Out"`
}

// TransferBegin starts the transfer of the predecessor's state. All instants in the transfer are on the predecessor's clock.
type TransferBegin ClockReadings

// SnapshotChunk is a part of the dispatch policy's snapshot. The chunks are sent in order.
type SnapshotChunk []byte

// RequestTable is the state of the request table without its open requests.
type RequestTable requests.State

// OpenRequest is one open request.
type OpenRequest requests.OpenRequest

// ClientConnection is the state of a client's connection. Its socket is passed along with it.
type ClientConnection struct {
	Input             []byte         `json:"In"`         // received and not processed yet
	Output            []byte         `json:"Out"`        // not written yet
	ResponseSlots     []ResponseSlot `json:"Turns"`      // of the requests that are not responded to yet, in order
	LastRequestRead   bool           `json:"Last"`       // the connection is closed after its last response
	InputConsumed     bool           `json:"Ended"`      // the client has closed its side, and all its bytes are processed
	HalfClosed        bool           `json:"Half"`       // the client has closed its side
	ContinueSent      bool           `json:"Continued"`  // 100 Continue was sent for the request that is being received
	RequestSeen       bool           `json:"Spoke"`      // a complete request was received
	UsefulRequestSeen bool           `json:"Useful"`     // a complete request other than a readiness check was received
	ProxyHeaderDone   bool           `json:"Introduced"` // the PROXY header was processed, or its absence detected
	LastActivity      time.Duration  `json:"Since"`      // since the Unix epoch
	ClientAddress     string         `json:"Client"`     // address and port; empty: none
	ProxyAddress      string         `json:"Via"`        // address and port of the load balancer; empty: none

	// Earlier builds neither write nor read the following fields.

	// InputOverrun reports that input after the last complete request in Input was discarded, and that further input must be. The
	// Input that is sent ends with InputOverrunMark then; see WithOverrunMark.
	InputOverrun bool `json:"Overrun,omitempty"`

	// InputArrivals are when the bytes of Input arrived, in their order.
	InputArrivals []InputArrival `json:"Arrivals,omitempty"`
}

// InputArrival is when a number of bytes of a connection's input arrived.
type InputArrival struct {
	Bytes int           `json:"Bytes"`
	At    time.Duration `json:"At"` // since the Unix epoch
}

// InputOverrunMark is the end of the input of a connection with InputOverrun. It is not a request: earlier builds, which do not know
// InputOverrun and would take what the client sends next for the rest of a request, reject it with 400 and read no further.
const InputOverrunMark = "input discarded\r\n\r\n"

// WithOverrunMark returns the state as it is sent. After an overrun its input is a copy that ends with InputOverrunMark.
func (c ClientConnection) WithOverrunMark() ClientConnection {
	if c.InputOverrun {
		c.Input = slices.Concat(c.Input, []byte(InputOverrunMark))
	}
	return c
}

// ResponseSlot is the place of a pipelined request's response in the order of responses on its connection.
type ResponseSlot struct {
	RequestID  uint64        `json:"Query"` // 0: no open request
	KeepAlive  bool          `json:"Keep"`  // the connection stays open after the response
	Complete   bool          `json:"Done"`  // the fields below are set
	Status     int           `json:"Status"`
	Body       []byte        `json:"Body"`
	RetryAfter time.Duration `json:"Retry"`
}

// WorkerConnectionState is the state of a connection to a worker. The numbers are part of the protocol.
type WorkerConnectionState int

// States of a connection to a worker.
const (
	WorkerConnecting       WorkerConnectionState = 0
	WorkerIdle             WorkerConnectionState = 1
	WorkerAwaitingResponse WorkerConnectionState = 2
)

// WorkerConnection is the state of a connection to a worker, idle or with an attempt. Its socket is passed along with it.
type WorkerConnection struct {
	WorkerID   string                `json:"Host"`
	State      WorkerConnectionState `json:"State"`
	RequestID  uint64                `json:"Query"`   // of the attempt; 0: none
	Attempt    int                   `json:"Attempt"` // number of the attempt within the request
	Stage      requests.Stage        `json:"Stage"`
	Input      []byte                `json:"In"`     // received and not processed yet
	Output     []byte                `json:"Out"`    // not written yet
	IdleBefore time.Duration         `json:"Rested"` // idle time of the connection before the attempt; 0: it is new
	IdleSince  time.Duration         `json:"IdleAt"` // since the Unix epoch

	// WriteDeadline is until when the rest of a request may be written; 0: not known. Earlier builds neither write nor read it.
	WriteDeadline time.Duration `json:"WriteBy,omitempty"` // since the Unix epoch
}

// TransferEnd ends the transfer.
type TransferEnd struct {
	FrameCount int `json:"Frames"` // frames between TransferBegin and this one
}

// TakenOver is the successor's response to TransferEnd. The successor owns everything from then on.
type TakenOver struct{}

// BodyPart is a part of the body of the message that follows, before the part in that message's own frame.
type BodyPart []byte

// Kind implements Message.
func (Handshake) Kind() FrameKind { return KindHandshake }

// Kind implements Message.
func (Accept) Kind() FrameKind { return KindAccept }

// Kind implements Message.
func (Reject) Kind() FrameKind { return KindReject }

// Kind implements Message.
func (SetCordon) Kind() FrameKind { return KindSetCordon }

// Kind implements Message.
func (CordonResult) Kind() FrameKind { return KindCordonResult }

// Kind implements Message.
func (CordonedWorkers) Kind() FrameKind { return KindCordonedWorkers }

// Kind implements Message.
func (TransferBegin) Kind() FrameKind { return KindTransferBegin }

// Kind implements Message.
func (SnapshotChunk) Kind() FrameKind { return KindSnapshotChunk }

// Kind implements Message.
func (RequestTable) Kind() FrameKind { return KindRequestTable }

// Kind implements Message.
func (OpenRequest) Kind() FrameKind { return KindOpenRequest }

// Kind implements Message.
func (ClientConnection) Kind() FrameKind { return KindClientConnection }

// Kind implements Message.
func (WorkerConnection) Kind() FrameKind { return KindWorkerConnection }

// Kind implements Message.
func (TransferEnd) Kind() FrameKind { return KindTransferEnd }

// Kind implements Message.
func (TakenOver) Kind() FrameKind { return KindTakenOver }

// Kind implements Message.
func (BodyPart) Kind() FrameKind { return KindBodyPart }

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// AppendMessage appends a frame with the message to buffer. On an error it returns buffer unchanged. A body over MaxBodySize is a
// *FrameError.
func AppendMessage(buffer []byte, message Message) ([]byte, error) {
	body, err := encodeBody(message)
	if err != nil {
		return buffer, fmt.Errorf("encode %v: %w", message.Kind(), err)
	}
	return appendFrame(buffer, message.Kind(), body)
}

// AppendMessageInParts is AppendMessage for a process that accepts parts: a body over MaxBodySize is sent in BodyPart frames before
// the message's own frame. A body over MaxMessageSize is a *FrameError.
func AppendMessageInParts(buffer []byte, message Message) ([]byte, error) {
	body, err := encodeBody(message)
	if err != nil {
		return buffer, fmt.Errorf("encode %v: %w", message.Kind(), err)
	}
	if len(body) > MaxMessageSize {
		return buffer, messageSizeError(message.Kind(), len(body))
	}
	complete := buffer
	for len(body) > MaxBodySize {
		if complete, err = appendFrame(complete, KindBodyPart, body[:MaxBodySize]); err != nil {
			return buffer, err
		}
		body = body[MaxBodySize:]
	}
	return appendFrame(complete, message.Kind(), body)
}

// encodeBody returns the body of the frame with a message.
func encodeBody(message Message) ([]byte, error) {
	switch message := message.(type) {
	case TakenOver:
		return nil, nil
	case TransferBegin:
		if message == (TransferBegin{}) {
			return nil, nil
		}
		return json.Marshal(message)
	case SnapshotChunk:
		return message, nil
	case BodyPart:
		return message, nil
	default:
		return json.Marshal(message)
	}
}

// decoders contains a function for each kind of frame that decodes its body.
var decoders = [kindLimit]func(body []byte) (Message, error){
	KindHandshake:        decodeJSON[Handshake],
	KindAccept:           decodeJSON[Accept],
	KindReject:           decodeReject,
	KindSetCordon:        decodeJSON[SetCordon],
	KindCordonResult:     decodeJSON[CordonResult],
	KindCordonedWorkers:  decodeJSON[CordonedWorkers],
	KindTransferBegin:    decodeTransferBegin,
	KindSnapshotChunk:    func(body []byte) (Message, error) { return SnapshotChunk(body), nil },
	KindRequestTable:     decodeJSON[RequestTable],
	KindOpenRequest:      decodeJSON[OpenRequest],
	KindClientConnection: decodeJSON[ClientConnection],
	KindWorkerConnection: decodeJSON[WorkerConnection],
	KindTransferEnd:      decodeJSON[TransferEnd],
	KindTakenOver:        func([]byte) (Message, error) { return TakenOver{}, nil },
	KindBodyPart:         func(body []byte) (Message, error) { return BodyPart(body), nil },
}

// Message decodes the frame's body. Only a SnapshotChunk and a BodyPart reference the frame's buffer afterwards.
func (f Frame) Message() (Message, error) {
	if !f.Kind.isValid() {
		return nil, &FrameError{f.Kind, "unknown kind"}
	}
	message, err := decoders[f.Kind](f.Body)
	if err != nil {
		return nil, fmt.Errorf("decode %v: %w", f.Kind, err)
	}
	return message, nil
}

// decodeJSON decodes a body as JSON.
func decodeJSON[M Message](body []byte) (Message, error) {
	var message M
	err := json.Unmarshal(body, &message)
	return message, err
}

// decodeTransferBegin decodes a body that may be empty.
func decodeTransferBegin(body []byte) (Message, error) {
	if len(body) == 0 {
		return TransferBegin{}, nil
	}
	return decodeJSON[TransferBegin](body)
}

// decodeReject ignores errors: a rejection is valid without a reason.
func decodeReject(body []byte) (Message, error) {
	var reject Reject
	_ = json.Unmarshal(body, &reject)
	return reject, nil
}
