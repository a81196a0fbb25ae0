package eventloop

import (
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sys/unix"
)

// ErrorClass classifies the error of a failed system call by how it must be handled.
type ErrorClass int

// The classes of errors.
const (
	// ErrorRetry means that the call may be retried at once, a limited number of times: it was interrupted or, for accept(2), the
	// connection that was to be accepted has failed.
	ErrorRetry ErrorClass = iota
	// ErrorPending means that the call is in progress or would block: there will be an event for it.
	ErrorPending
	// ErrorNoDescriptor means that this process has no descriptor left. The call may be retried once it has closed one.
	ErrorNoDescriptor
	// ErrorNoResource means that the system has no descriptor, memory, buffer, local port or route left. The call may be retried
	// later; closing descriptors of this process does not necessarily help.
	ErrorNoResource
	// ErrorAddressInUse means that another socket uses the address. The caller decides whether to retry.
	ErrorAddressInUse
	// ErrorConnectionLost means that the connection has failed or ended, whatever the errno.
	ErrorConnectionLost
	// ErrorUnusable means that a retry would fail too, as for an invalid descriptor or address.
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

// IsShortage reports whether this machine lacks a resource that may soon be available again.
func (c ErrorClass) IsShortage() bool { return c == ErrorNoDescriptor || c == ErrorNoResource }

// IsMomentary reports whether the call may soon succeed if it is retried, without an event for it.
func (c ErrorClass) IsMomentary() bool { return c == ErrorRetry || c.IsShortage() }

// classifiedErrors are errors of a class.
type classifiedErrors struct {
	class  ErrorClass
	errnos []unix.Errno
}

// commonErrors are the errors that have the same class for every call, unless the rules of the call differ.
var commonErrors = []classifiedErrors{
	{ErrorRetry, []unix.Errno{unix.EINTR}},
	{ErrorNoDescriptor, []unix.Errno{unix.EMFILE}},
	{ErrorNoResource, []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}},
}

// errorRules are the classes of the errors of a kind of call. They take precedence over commonErrors.
type errorRules struct {
	defaultClass ErrorClass // of errors that are in neither list
	errors       []classifiedErrors
}

var (
	// accept(2) returns network errors of the new connection: all errors but these concern only that connection.
	acceptErrors = errorRules{ErrorRetry, []classifiedErrors{
		{ErrorPending, []unix.Errno{unix.EAGAIN}},
		{ErrorNoResource, []unix.Errno{unix.ENOSR}},
		{ErrorUnusable, []unix.Errno{unix.EBADF, unix.EFAULT, unix.EINVAL, unix.ENOTSOCK}},
	}}
	// The kernel returns EAGAIN if it has no local port or no space in its routing tables. An immediate ENETUNREACH results from
	// this machine's own routes, whatever the peer. An immediate EHOSTUNREACH concerns that peer only.
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
	// A broken connection is reported with the last error of the network, whichever that is.
	transferErrors = errorRules{ErrorConnectionLost, []classifiedErrors{
		{ErrorPending, []unix.Errno{unix.EAGAIN}},
		{ErrorNoResource, []unix.Errno{unix.ETOOMANYREFS}}, // too many descriptors in flight
		{ErrorUnusable, []unix.Errno{unix.EBADF, unix.EFAULT, unix.EINVAL, unix.ENOTSOCK}},
	}}
	waitErrors  = errorRules{ErrorUnusable, []classifiedErrors{{ErrorNoResource, []unix.Errno{unix.EAGAIN}}}}
	epollErrors = errorRules{ErrorUnusable, []classifiedErrors{{ErrorNoResource, []unix.Errno{unix.ENOSPC}}}}
	otherErrors = errorRules{defaultClass: ErrorUnusable}
)

// rulesFor returns the rules for the errors of a call.
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
// It is not meant for SO_ERROR of a connect that was in progress. That is an error of the network, not of the call: the first
// packet got no reply, or a router reported that the peer can't be reached. It is attributed to the peer, whatever the errno, as
// a partitioned peer causes the same errors.
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
	return rules.defaultClass
}

// CallError is an error with the system call that has failed. Its text is that of the error.
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

// ClassOf returns the class of an error that wraps a CallError. Any other error, and nil, is ErrorUnusable.
func ClassOf(err error) ErrorClass {
	var failed *CallError
	if !errors.As(err, &failed) {
		return ErrorUnusable
	}
	return Classify(failed.Call, failed.Err)
}
