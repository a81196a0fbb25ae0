package client

import (
	"log/slog"
	"net/netip"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/requests"
)

// RequestTable is the part of the request table that a Listener uses. *requests.Table implements it.
type RequestTable interface {
	Admitter
	CallbackHandler
	// Ready reports whether a new request could be sent to a worker.
	Ready() bool
	// ClientDisconnected ends a request whose client no longer waits for the response.
	ClientDisconnected(request *requests.Request)
}

// Admitter admits requests, and is notified of those that are rejected without being admitted.
type Admitter interface {
	Admit(now time.Duration, arrival requests.Arrival) (*requests.Request, error)
	// ReportRejection does not retain the arrival, which is nil if the request could not be parsed.
	ReportRejection(arrival *requests.Arrival, statusCode int)
	// CheckCallID returns why a request of a class may not be admitted with a call ID, or nil.
	CheckCallID(now time.Duration, callID string, class int) error
	// CanRemember reports whether the call ID of another request of a class can be remembered, if it has to be.
	CanRemember(now time.Duration, class int) bool
	// OpenCount returns the number of admitted requests without a response.
	OpenCount() int
	// PayloadBytes returns the size of the payloads of open requests.
	PayloadBytes() int
}

// CallbackHandler applies the callbacks of workers. known reports whether the callback is about an attempt in the table.
type CallbackHandler interface {
	HandleCallback(callback requests.Callback) (known bool, err error)
}

// AccessLists say which addresses may connect, and which are proxies. *address.AccessLists implements it.
type AccessLists interface {
	// RejectionReason returns why an address may not connect, or an empty string if it may.
	RejectionReason(address netip.Addr) string
	// TrustsProxy reports whether an address may send a PROXY header.
	TrustsProxy(address netip.Addr) bool
}

// Config configures a Listener.
type Config struct {
	Loop          *eventloop.Loop
	Table         RequestTable
	AccessLists   AccessLists // nil: every address may connect, and there are no proxies
	Log           *slog.Logger
	ConnectionLog *slog.Logger // events of single connections and requests; used only with access lists
	Settings      *dispatch.Settings
	Names         requests.NameTable
	Limits        Limits
}

// Limits bound the resources that clients use.
type Limits struct {
	Connections int // open at once
	Requests    int // open at once
	BufferBytes int // of the buffers of connections; responses that wait, and payloads of open requests, may use as much each
}
