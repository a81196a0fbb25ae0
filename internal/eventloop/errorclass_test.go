package eventloop

import (
	"errors"
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

// documentedErrors are the errors that the Linux man pages document for a kind of call, and their classes.
var documentedErrors = []struct {
	call   Call
	page   string
	errors map[unix.Errno]ErrorClass
}{
	{CallAccept, "accept(2)", map[unix.Errno]ErrorClass{
		unix.EAGAIN:       ErrorPending,
		unix.EBADF:        ErrorUnusable,
		unix.ECONNABORTED: ErrorRetry,
		unix.EFAULT:       ErrorUnusable,
		unix.EINTR:        ErrorRetry,
		unix.EINVAL:       ErrorUnusable,
		unix.EMFILE:       ErrorNoDescriptor,
		unix.ENFILE:       ErrorNoResource,
		unix.ENOBUFS:      ErrorNoResource,
		unix.ENOMEM:       ErrorNoResource,
		unix.ENOTSOCK:     ErrorUnusable,
		unix.EPERM:        ErrorRetry, // a firewall forbids this connection
		// Network errors of the new socket, which are to be treated like EAGAIN by trying again.
		unix.ENETDOWN:     ErrorRetry,
		unix.EPROTO:       ErrorRetry,
		unix.ENOPROTOOPT:  ErrorRetry,
		unix.EHOSTDOWN:    ErrorRetry,
		unix.ENONET:       ErrorRetry,
		unix.EHOSTUNREACH: ErrorRetry,
		unix.EOPNOTSUPP:   ErrorRetry,
		unix.ENETUNREACH:  ErrorRetry,
		// Other errors that various kernels return.
		unix.ENOSR:           ErrorNoResource,
		unix.ESOCKTNOSUPPORT: ErrorRetry,
		unix.EPROTONOSUPPORT: ErrorRetry,
		unix.ETIMEDOUT:       ErrorRetry,
		unix.ECONNRESET:      ErrorRetry,
	}},
	{CallSocket, "socket(2)", map[unix.Errno]ErrorClass{
		unix.EACCES:          ErrorUnusable,
		unix.EAFNOSUPPORT:    ErrorUnusable,
		unix.EINVAL:          ErrorUnusable,
		unix.EMFILE:          ErrorNoDescriptor,
		unix.ENFILE:          ErrorNoResource,
		unix.ENOBUFS:         ErrorNoResource,
		unix.ENOMEM:          ErrorNoResource,
		unix.EPROTONOSUPPORT: ErrorUnusable,
		unix.EINTR:           ErrorRetry,
	}},
	{CallBind, "bind(2), ip(7), unix(7)", map[unix.Errno]ErrorClass{
		unix.EACCES:        ErrorUnusable,
		unix.EADDRINUSE:    ErrorAddressInUse,
		unix.EBADF:         ErrorUnusable,
		unix.EINVAL:        ErrorUnusable,
		unix.ENOTSOCK:      ErrorUnusable,
		unix.EADDRNOTAVAIL: ErrorNoResource, // an interface that is not up yet
		unix.EFAULT:        ErrorUnusable,
		unix.ELOOP:         ErrorUnusable,
		unix.ENAMETOOLONG:  ErrorUnusable,
		unix.ENOENT:        ErrorUnusable,
		unix.ENOMEM:        ErrorNoResource,
		unix.ENOBUFS:       ErrorNoResource,
		unix.EAGAIN:        ErrorNoResource,
		unix.ENOTDIR:       ErrorUnusable,
		unix.EROFS:         ErrorUnusable,
		unix.EPERM:         ErrorUnusable,
	}},
	{CallListen, "listen(2)", map[unix.Errno]ErrorClass{
		unix.EADDRINUSE: ErrorAddressInUse,
		unix.EBADF:      ErrorUnusable,
		unix.ENOTSOCK:   ErrorUnusable,
		unix.EOPNOTSUPP: ErrorUnusable,
		unix.ENOBUFS:    ErrorNoResource,
	}},
	{CallConnect, "connect(2), tcp(7), ip(7)", map[unix.Errno]ErrorClass{
		unix.EACCES:          ErrorConnectionLost, // a firewall forbids this peer
		unix.EPERM:           ErrorConnectionLost,
		unix.EADDRINUSE:      ErrorNoResource, // no local port for this peer
		unix.EADDRNOTAVAIL:   ErrorNoResource, // no local port at all
		unix.EAFNOSUPPORT:    ErrorUnusable,
		unix.EAGAIN:          ErrorNoResource, // no space in the routing cache; for a Unix socket, a full backlog
		unix.EALREADY:        ErrorPending,
		unix.EBADF:           ErrorUnusable,
		unix.ECONNREFUSED:    ErrorConnectionLost,
		unix.EFAULT:          ErrorUnusable,
		unix.EINPROGRESS:     ErrorPending,
		unix.EINTR:           ErrorPending, // it continues, as after EINPROGRESS
		unix.EISCONN:         ErrorPending,
		unix.ENETUNREACH:     ErrorNoResource, // this machine has no route
		unix.ENETDOWN:        ErrorNoResource,
		unix.ENOTSOCK:        ErrorUnusable,
		unix.EPROTOTYPE:      ErrorUnusable,
		unix.ETIMEDOUT:       ErrorConnectionLost,
		unix.EINVAL:          ErrorUnusable,
		unix.EHOSTUNREACH:    ErrorConnectionLost,
		unix.EHOSTDOWN:       ErrorConnectionLost,
		unix.ECONNRESET:      ErrorConnectionLost,
		unix.ECONNABORTED:    ErrorConnectionLost,
		unix.EPROTO:          ErrorConnectionLost,
		unix.ENONET:          ErrorConnectionLost,
		unix.ENOBUFS:         ErrorNoResource,
		unix.ENOMEM:          ErrorNoResource,
		unix.ENFILE:          ErrorNoResource,
		unix.EMFILE:          ErrorNoDescriptor,
		unix.ENOENT:          ErrorUnusable, // for a Unix socket: its file does not exist
		unix.EOPNOTSUPP:      ErrorUnusable,
		unix.ENOPROTOOPT:     ErrorUnusable,
		unix.ENOPKG:          ErrorUnusable,
		unix.ESOCKTNOSUPPORT: ErrorUnusable,
	}},
	{CallRead, "read(2), recv(2), tcp(7)", map[unix.Errno]ErrorClass{
		unix.EAGAIN:       ErrorPending,
		unix.EINTR:        ErrorRetry,
		unix.EBADF:        ErrorUnusable,
		unix.EFAULT:       ErrorUnusable,
		unix.EINVAL:       ErrorUnusable,
		unix.ENOTSOCK:     ErrorUnusable,
		unix.EIO:          ErrorConnectionLost,
		unix.EISDIR:       ErrorConnectionLost,
		unix.ECONNREFUSED: ErrorConnectionLost,
		unix.ECONNRESET:   ErrorConnectionLost,
		unix.ENOTCONN:     ErrorConnectionLost,
		unix.ETIMEDOUT:    ErrorConnectionLost,
		unix.EPIPE:        ErrorConnectionLost,
		unix.EHOSTUNREACH: ErrorConnectionLost,
		unix.ENETUNREACH:  ErrorConnectionLost,
		unix.EHOSTDOWN:    ErrorConnectionLost,
		unix.ENETDOWN:     ErrorConnectionLost,
		unix.ENETRESET:    ErrorConnectionLost,
		unix.EPROTO:       ErrorConnectionLost,
		unix.ENOMEM:       ErrorNoResource,
		unix.ENOBUFS:      ErrorNoResource,
	}},
	{CallWrite, "write(2), send(2), tcp(7), ip(7)", map[unix.Errno]ErrorClass{
		unix.EAGAIN:       ErrorPending,
		unix.EINTR:        ErrorRetry,
		unix.EACCES:       ErrorConnectionLost,
		unix.EALREADY:     ErrorConnectionLost,
		unix.EBADF:        ErrorUnusable,
		unix.ECONNRESET:   ErrorConnectionLost,
		unix.ECONNREFUSED: ErrorConnectionLost,
		unix.EDESTADDRREQ: ErrorConnectionLost,
		unix.EDQUOT:       ErrorConnectionLost,
		unix.EFAULT:       ErrorUnusable,
		unix.EFBIG:        ErrorConnectionLost,
		unix.EINVAL:       ErrorUnusable,
		unix.EIO:          ErrorConnectionLost,
		unix.EISCONN:      ErrorConnectionLost,
		unix.EMSGSIZE:     ErrorConnectionLost,
		unix.ENOBUFS:      ErrorNoResource,
		unix.ENOMEM:       ErrorNoResource,
		unix.ENOSPC:       ErrorConnectionLost,
		unix.ENOTCONN:     ErrorConnectionLost,
		unix.ENOTSOCK:     ErrorUnusable,
		unix.EOPNOTSUPP:   ErrorConnectionLost,
		unix.EPERM:        ErrorConnectionLost,
		unix.EPIPE:        ErrorConnectionLost,
		unix.ETIMEDOUT:    ErrorConnectionLost,
		unix.EHOSTUNREACH: ErrorConnectionLost,
		unix.ENETUNREACH:  ErrorConnectionLost,
		unix.EHOSTDOWN:    ErrorConnectionLost,
		unix.ENETDOWN:     ErrorConnectionLost,
		unix.ETOOMANYREFS: ErrorNoResource, // unix(7): too many descriptors in flight
	}},
	{CallEpollWait, "epoll_wait(2)", map[unix.Errno]ErrorClass{
		unix.EBADF: ErrorUnusable, unix.EFAULT: ErrorUnusable, unix.EINTR: ErrorRetry, unix.EINVAL: ErrorUnusable,
	}},
	{CallPoll, "poll(2)", map[unix.Errno]ErrorClass{
		unix.EFAULT: ErrorUnusable, unix.EINTR: ErrorRetry, unix.EINVAL: ErrorUnusable, unix.ENOMEM: ErrorNoResource,
		unix.EAGAIN: ErrorNoResource, // on other systems, according to the notes
	}},
	{CallEpollCreate, "epoll_create(2)", map[unix.Errno]ErrorClass{
		unix.EINVAL: ErrorUnusable, unix.EMFILE: ErrorNoDescriptor, unix.ENFILE: ErrorNoResource, unix.ENOMEM: ErrorNoResource,
	}},
	{CallEventfd, "eventfd(2)", map[unix.Errno]ErrorClass{
		unix.EINVAL: ErrorUnusable, unix.EMFILE: ErrorNoDescriptor, unix.ENFILE: ErrorNoResource, unix.ENODEV: ErrorUnusable,
		unix.ENOMEM: ErrorNoResource,
	}},
	{CallEpollControl, "epoll_ctl(2)", map[unix.Errno]ErrorClass{
		unix.EBADF: ErrorUnusable, unix.EEXIST: ErrorUnusable, unix.EINVAL: ErrorUnusable, unix.ELOOP: ErrorUnusable,
		unix.ENOENT: ErrorUnusable, unix.ENOMEM: ErrorNoResource, unix.ENOSPC: ErrorNoResource, unix.EPERM: ErrorUnusable,
	}},
}

func TestErrorClasses(t *testing.T) {
	for _, documented := range documentedErrors {
		for errno, want := range documented.errors {
			if class := Classify(documented.call, fmt.Errorf("wrapped: %w", errno)); class != want {
				t.Errorf("%s, %v: %v, expected %v", documented.page, errno, class, want)
			}
		}
	}
	if class := Classify(CallRead, errors.New("not an errno")); class != ErrorUnusable {
		t.Errorf("an error that is not an errno: %v", class)
	}
}

// All calls that read have the same error classes, and so have all calls that write.
func TestRelatedCallsShareErrorClasses(t *testing.T) {
	related := map[Call][]Call{
		CallRead:  {CallReceive, CallReceiveMessage},
		CallWrite: {CallSendMessage},
	}
	for _, documented := range documentedErrors {
		for _, call := range related[documented.call] {
			for errno, want := range documented.errors {
				if class := Classify(call, errno); class != want {
					t.Errorf("%v, %v: %v, expected %v", call, errno, class, want)
				}
			}
		}
	}
}

func TestShortageClasses(t *testing.T) {
	for class := ErrorRetry; class <= ErrorUnusable; class++ {
		if want := class == ErrorNoDescriptor || class == ErrorNoResource; class.IsShortage() != want {
			t.Errorf("%v is a shortage: %v", class, class.IsShortage())
		}
	}
}
