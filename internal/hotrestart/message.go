package hotrestart

import (
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/requests"
)

// The other process may be of another build: the names in the tags, and the order of the fields, are part of the protocol.
// Bodies are JSON, except that SnapshotChunk is sent as it is, and that TakenOver has none. TransferBegin has none from builds
// that send no clocks, and those builds ignore the body that others send.

// Message is the content of one frame. Each type of this file that has a Kind method is one.
type Message interface {
	// Kind is the kind of the frame that carries the message.
	Kind() FrameKind
}

// Handshake is the successor's first message.
type Handshake struct {
	Version int `json:"Form"` // ProtocolVersion of the successor
}

// Accept is the predecessor's answer to a Handshake. It carries the socket that clients connect to.
type Accept struct {
	Version         int      `json:"Form"` // ProtocolVersion of the predecessor
	CordonedWorkers []string `json:"Out"`  // ids
}

// Reject is the predecessor's answer to a successor that it does not accept.
type Reject struct {
	Reason string `json:"Why"`
}

// SetCordon forwards an operator's call to the process that serves: the worker is to be cordoned or uncordoned.
type SetCordon struct {
	Sequence uint64 `json:"Seq"` // names the call in its CordonResult
	WorkerID string `json:"ID"`
	Cordoned bool   `json:"Out"`
}

// CordonResult is the answer to the caller of a SetCordon.
type CordonResult struct {
	Sequence   uint64 `json:"Seq"`
	StatusCode int    `json:"Code"` // of HTTP
	Message    string `json:"What"`
}

// CordonedWorkers notifies a successor in standby of all cordoned workers.
type CordonedWorkers struct {
	WorkerIDs []string `json:"Out"`
}

// TransferBegin opens the transfer of the predecessor's state. All instants in it are of the predecessor's clock.
type TransferBegin ClockReadings

// SnapshotChunk is a piece of the dispatch policy's snapshot. The pieces are sent in order.
type SnapshotChunk []byte

// RequestTable is the state of the request table without its open requests.
type RequestTable requests.State

// OpenRequest is one open request.
type OpenRequest requests.OpenRequest

// ClientConnection is a client's connection. It carries the socket.
type ClientConnection struct {
	Input             []byte         `json:"In"`         // read from the socket and not yet consumed
	Output            []byte         `json:"Out"`        // still to be written
	ResponseSlots     []ResponseSlot `json:"Turns"`      // of the requests not answered yet, in order
	LastRequestRead   bool           `json:"Last"`       // the connection ends with its last response
	InputConsumed     bool           `json:"Ended"`      // the client has ended its side, and all that it sent is consumed
	HalfClosed        bool           `json:"Half"`       // the client has ended its side
	ContinueSent      bool           `json:"Continued"`  // 100 Continue was sent for the request that is being read
	RequestSeen       bool           `json:"Spoke"`      // a whole request has come
	UsefulRequestSeen bool           `json:"Useful"`     // and one that was not a mere readiness check
	ProxyHeaderDone   bool           `json:"Introduced"` // it is known whether a PROXY header comes first
	LastActivity      time.Duration  `json:"Since"`      // since the Unix epoch
	ClientAddress     string         `json:"Client"`     // address and port; empty: none
	ProxyAddress      string         `json:"Via"`        // address and port of the load balancer; empty: none
}

// ResponseSlot is the place of a pipelined request's response on its connection.
type ResponseSlot struct {
	RequestID  uint64        `json:"Query"` // 0: no open request
	KeepAlive  bool          `json:"Keep"`  // the connection lives on after the response
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

// WorkerConnection is a connection to a worker, idle or with an attempt. It carries the socket.
type WorkerConnection struct {
	WorkerID   string                `json:"Host"`
	State      WorkerConnectionState `json:"State"`
	RequestID  uint64                `json:"Query"`   // of the attempt; 0: none
	Attempt    int                   `json:"Attempt"` // by number within the request
	Stage      requests.Stage        `json:"Stage"`
	Input      []byte                `json:"In"`     // read from the socket and not yet consumed
	Output     []byte                `json:"Out"`    // still to be written
	IdleBefore time.Duration         `json:"Rested"` // how long the connection was idle before the attempt; 0: it is new
	IdleSince  time.Duration         `json:"IdleAt"` // since the Unix epoch
}

// TransferEnd closes the transfer.
type TransferEnd struct {
	FrameCount int `json:"Frames"` // frames between TransferBegin and this one
}

// TakenOver is the successor's answer to TransferEnd: it owns all state from here on.
type TakenOver struct{}

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

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// AppendMessage appends a frame that carries the message to buffer. On an error buffer is returned as it was; a body over
// MaxBodySize is a *FrameError.
func AppendMessage(buffer []byte, message Message) ([]byte, error) {
	body, err := encodeBody(message)
	if err != nil {
		return buffer, fmt.Errorf("encode %v: %w", message.Kind(), err)
	}
	return appendFrame(buffer, message.Kind(), body)
}

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
	default:
		return json.Marshal(message)
	}
}

// decoders decode the body of each kind of frame.
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
}

// Message decodes the frame's body. Only a SnapshotChunk keeps a reference to the frame's buffer.
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

func decodeJSON[M Message](body []byte) (Message, error) {
	var message M
	err := json.Unmarshal(body, &message)
	return message, err
}

func decodeTransferBegin(body []byte) (Message, error) {
	if len(body) == 0 {
		return TransferBegin{}, nil
	}
	return decodeJSON[TransferBegin](body)
}

// decodeReject ignores errors: a successor whose rejection can't be read is rejected all the same.
func decodeReject(body []byte) (Message, error) {
	var reject Reject
	_ = json.Unmarshal(body, &reject)
	return reject, nil
}
