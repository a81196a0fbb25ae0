package simapi

import "time"

// This file holds the messages that come from a scheduler.

// OutputMessage is one of the messages below.
type OutputMessage interface{ outputMessage() }

// Messages of a scheduler's process.
type (
	// Ready reports that GET /up is answered with 200.
	Ready struct{}

	// Unready reports that GET /up is answered with 503 after it was answered with 200.
	Unready struct{}

	// Exited reports that the process has ended by itself.
	Exited struct {
		Status int // exit code
	}
)

// DatagramWritten is a datagram to another scheduler. Its bytes belong to the environment from then on.
type DatagramWritten struct {
	To    int // index of the scheduler
	Bytes []byte
}

func (DatagramWritten) outputMessage() {}

// Messages to clients.
type (
	// ResponseWritten is a response whose last byte was written.
	ResponseWritten struct {
		Conn       Conn
		RequestID  string
		Status     int           // HTTP status
		RetryAfter time.Duration // Retry-After; 0: none
		Result     string        // the body
	}

	// ClientConnClosed is a connection that the scheduler has closed.
	ClientConnClosed struct {
		Conn Conn
	}

	// ClientConnFailed is a connection that could not be established, so that nothing was sent on it. It comes from the
	// process driver only.
	ClientConnFailed struct {
		Conn Conn
	}
)

// Messages to workers.
type (
	// WorkerDialed begins to open a connection.
	WorkerDialed struct {
		Worker  int
		Machine int // which machine of the worker; 0: the first. A replacement has an ID and an address of its own
		Conn    Conn
	}

	// AttemptWritten is an attempt whose last byte was written.
	AttemptWritten struct {
		Worker         int
		Conn           Conn
		RequestID      string
		IdempotencyKey string
		Budget         time.Duration // X-Budget-Ms
		FirstByteAt    time.Duration // when its first byte was written
	}

	// HealthCheckWritten is a health check whose last byte was written.
	HealthCheckWritten struct {
		Worker          int
		Conn            Conn
		FirstByteAt     time.Duration // when its first byte was written
		WantsLoadReport bool          // it requests the load report
	}

	// CancellationWritten is a DELETE /jobs/RequestID whose last byte was written.
	CancellationWritten struct {
		Worker      int
		Conn        Conn
		RequestID   string
		FirstByteAt time.Duration // when its first byte was written
	}

	// WorkerConnClosed is a connection that the scheduler has closed.
	WorkerConnClosed struct {
		Worker int
		Conn   Conn
	}

	// CallbackAnswered answers a callback.
	CallbackAnswered struct {
		Worker     int
		CallbackID uint64
		Status     int // HTTP status; 0: the callback failed
	}
)

// WatchRequested requests the watch from discovery. It is the only message to discovery.
type WatchRequested struct {
	Revision int64 // the last known revision; 0: none, so the watch begins with a snapshot
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
