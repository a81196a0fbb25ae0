package simapi

import "time"

// This file holds the messages that come from a scheduler.

// OutputMessage is one of the messages below.
type OutputMessage interface{ outputMessage() }

// Messages of a scheduler's process.
type (
	// Ready says that GET /up answers 200.
	Ready struct{}

	// Unready says that GET /up answers 503 after it was ready.
	Unready struct{}

	// Exited says that the process has ended by itself.
	Exited struct {
		Status int // exit code
	}
)

// DatagramWritten is a datagram to another scheduler. The bytes are the environment's from then on.
type DatagramWritten struct {
	To    int // index of the scheduler
	Bytes []byte
}

func (DatagramWritten) outputMessage() {}

// Messages to clients.
type (
	// ResponseWritten is the last byte of a response.
	ResponseWritten struct {
		Conn       Conn
		RequestID  string
		Status     int           // HTTP status
		RetryAfter time.Duration // Retry-After; 0: none
		Result     string        // the body
	}

	// ClientConnClosed is the scheduler's close of a connection.
	ClientConnClosed struct {
		Conn Conn
	}

	// ClientConnFailed is a connection that was never opened, so that nothing was sent on it. It comes from the process
	// driver only.
	ClientConnFailed struct {
		Conn Conn
	}
)

// Messages to workers.
type (
	// WorkerDialed opens a connection.
	WorkerDialed struct {
		Worker  int
		Machine int // which machine of the worker, 0 the first; a replacement has an ID and an address of its own
		Conn    Conn
	}

	// AttemptWritten is the last byte of an attempt.
	AttemptWritten struct {
		Worker         int
		Conn           Conn
		RequestID      string
		IdempotencyKey string
		Budget         time.Duration // X-Budget-Ms
		FirstByteAt    time.Duration // when its first byte was written
	}

	// HealthCheckWritten is the last byte of a health check.
	HealthCheckWritten struct {
		Worker          int
		Conn            Conn
		FirstByteAt     time.Duration // when its first byte was written
		WantsLoadReport bool          // it asked for the load report
	}

	// CancellationWritten is the last byte of DELETE /jobs/RequestID.
	CancellationWritten struct {
		Worker      int
		Conn        Conn
		RequestID   string
		FirstByteAt time.Duration // when its first byte was written
	}

	// WorkerConnClosed is the scheduler's close of a connection.
	WorkerConnClosed struct {
		Worker int
		Conn   Conn
	}

	// CallbackAnswered answers a callback.
	CallbackAnswered struct {
		Worker     int
		CallbackID uint64
		Status     int // HTTP status; 0: the call failed
	}
)

// WatchRequested asks discovery for the watch. It is the only message to discovery.
type WatchRequested struct {
	Revision int64 // the last one known; 0: none, so that a snapshot comes first
}

func (Ready) outputMessage()               {}
func (Unready) outputMessage()             {}
func (Exited) outputMessage()              {}
func (ResponseWritten) outputMessage()     {}
func (ClientConnClosed) outputMessage()    {}
func (ClientConnFailed) outputMessage()    {}
func (WorkerDialed) outputMessage()        {}
func (AttemptWritten) outputMessage()      {}
func (HealthCheckWritten) outputMessage()  {}
func (CancellationWritten) outputMessage() {}
func (WorkerConnClosed) outputMessage()    {}
func (CallbackAnswered) outputMessage()    {}
func (WatchRequested) outputMessage()      {}
