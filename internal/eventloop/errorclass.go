package eventloop

import (
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sys/unix"
)

// ErrorClass says what to do about a system call that has failed.
type ErrorClass int

// The classes of errors.
const (
	// ErrorRetry is of a call to be made again at once, so many times at most: it was interrupted, or, of an accept, what has
	// failed is the connection that was to be accepted.
	ErrorRetry ErrorClass = iota
	// ErrorPending is of a call that is in progress, or has nothing to do yet: there will be an event for it.
	ErrorPending
	// ErrorNoDescriptor is of a call to be made again later: this process has no descriptor left. Closing one of its own helps.
	ErrorNoDescriptor
	// ErrorNoResource is of a call to be made again later: the system has no descriptor, memory, buffer, local port or route
	// left. Nothing that this process closes is sure to help.
	ErrorNoResource
	// ErrorAddressInUse is of an address that another socket has. It is for the caller to say whether that may pass.
	ErrorAddressInUse
	// ErrorConnectionLost is of a connection that has failed or ended, however that shows.
	ErrorConnectionLost
	// ErrorUnusable is of something that will not work however often it is tried: a descriptor that is none, or an address that
	// makes no sense.
	ErrorUnusable
)

func (c ErrorClass) String() string {
	switch c {
	case ErrorRetry:
		return "retry"
	case ErrorPending:
		return "pending"
	case ErrorNoDescriptor:
		return "no descriptor"
	case ErrorNoResource:
		return "no resource"
	case ErrorAddressInUse:
		return "address in use"
	case ErrorConnectionLost:
		return "connection lost"
	case ErrorUnusable:
		return "unusable"
	}
	return fmt.Sprintf("ErrorClass(%d)", int(c))
}

// IsShortage reports whether something is lacking at this machine that may be there again in a moment.
func (c ErrorClass) IsShortage() bool { return c == ErrorNoDescriptor || c == ErrorNoResource }

// IsMomentary reports whether the same call may succeed in a moment, without an event for it.
func (c ErrorClass) IsMomentary() bool { return c == ErrorRetry || c.IsShortage() }

// classifiedErrors are the errors that do not belong to a call's default class.
type classifiedErrors struct {
	class  ErrorClass
	errnos []unix.Errno
}

// Errors that mean the same of every call.
var commonErrors = []classifiedErrors{
	{ErrorRetry, []unix.Errno{unix.EINTR}},
	{ErrorNoDescriptor, []unix.Errno{unix.EMFILE}},
	{ErrorNoResource, []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}},
}

// errorRules say of a kind of call what its errors mean, where that differs from commonErrors.
type errorRules struct {
	otherwise ErrorClass
	errors    []classifiedErrors
}

var (
	// accept(2) hands on network errors of the new connection, any of them: all but these are of that one.
	acceptErrors = errorRules{ErrorRetry, []classifiedErrors{
		{ErrorPending, []unix.Errno{unix.EAGAIN}},
		{ErrorNoResource, []unix.Errno{unix.ENOSR}},
		{ErrorUnusable, []unix.Errno{unix.EBADF, unix.EFAULT, unix.EINVAL, unix.ENOTSOCK}},
	}}
	// The kernel has EAGAIN where it finds no local port or no room in its tables. A network that is out of reach at once is so
	// by this machine's own routes, whatever the peer: a host that is unreachable at once is that host alone.
	connectErrors = errorRules{ErrorUnusable, []classifiedErrors{
		{ErrorPending, []unix.Errno{unix.EINTR, unix.EINPROGRESS, unix.EALREADY, unix.EISCONN}},
		{ErrorNoResource, []unix.Errno{unix.EAGAIN, unix.EADDRINUSE, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN}},
		{ErrorConnectionLost, []unix.Errno{
			unix.ECONNREFUSED, unix.ECONNRESET, unix.ECONNABORTED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EHOSTDOWN,
			unix.ENONET, unix.EPROTO, unix.EACCES, unix.EPERM,
		}},
	}}
	bindErrors = errorRules{ErrorUnusable, []classifiedErrors{
		{ErrorAddressInUse, []unix.Errno{unix.EADDRINUSE}},
		{ErrorNoResource, []unix.Errno{unix.EAGAIN, unix.EADDRNOTAVAIL}},
	}}
	// A broken connection shows as whatever the network met last.
	transferErrors = errorRules{ErrorConnectionLost, []classifiedErrors{
		{ErrorPending, []unix.Errno{unix.EAGAIN}},
		{ErrorNoResource, []unix.Errno{unix.ETOOMANYREFS}}, // descriptors on their way
		{ErrorUnusable, []unix.Errno{unix.EBADF, unix.EFAULT, unix.EINVAL, unix.ENOTSOCK}},
	}}
	waitErrors  = errorRules{ErrorUnusable, []classifiedErrors{{ErrorNoResource, []unix.Errno{unix.EAGAIN}}}}
	epollErrors = errorRules{ErrorUnusable, []classifiedErrors{{ErrorNoResource, []unix.Errno{unix.ENOSPC}}}}
	otherErrors = errorRules{otherwise: ErrorUnusable}
)

func rulesFor(call Call) *errorRules {
	switch call {
	case CallAccept:
		return &acceptErrors
	case CallConnect:
		return &connectErrors
	case CallBind, CallListen:
		return &bindErrors
	case CallRead, CallReceive, CallReceiveMessage, CallWrite, CallSendMessage:
		return &transferErrors
	case CallEpollWait, CallPoll:
		return &waitErrors
	case CallEpollControl:
		return &epollErrors
	default:
		return &otherErrors
	}
}

// Classify returns the class of the error of a call, which may be wrapped. An error that is not an errno is ErrorUnusable.
//
// SO_ERROR of a connect that was in progress is not an error of the call, but of the network: a first packet was sent, and was not
// answered, or a router reported that the peer can't be reached. It is attributed to the peer, whichever errno it is: a peer that is
// cut off looks the same.
func Classify(call Call, err error) ErrorClass {
	var errno unix.Errno
	if !errors.As(err, &errno) {
		return ErrorUnusable
	}
	rules := rulesFor(call)
	for _, classified := range [][]classifiedErrors{rules.errors, commonErrors} {
		for _, entry := range classified {
			if slices.Contains(entry.errnos, errno) {
				return entry.class
			}
		}
	}
	return rules.otherwise
}

// CallError says which call an error is of. Its text is that of the error.
type CallError struct {
	Call Call
	Err  error
}

func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the error.
func (e *CallError) Unwrap() error { return e.Err }

// NewCallError adds the call to an error; nil stays nil.
func NewCallError(call Call, err error) error {
	if err == nil {
		return nil
	}
	return &CallError{Call: call, Err: err}
}

// ClassOf classifies an error that says which call it is of. Any other, and nil, is ErrorUnusable.
func ClassOf(err error) ErrorClass {
	var failed *CallError
	if !errors.As(err, &failed) {
		return ErrorUnusable
	}
	return Classify(failed.Call, failed.Err)
}
