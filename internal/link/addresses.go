package link

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/address"
)

// addrPort reads a socket's address; IPv4 written as IPv6 is IPv4.
func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr).Unmap(), uint16(sa.Port))
	}
	return netip.AddrPort{}
}

// admits closes a connection, unread, whose own address may not connect.
func (l *Loop) admits(fd int, from netip.AddrPort) bool {
	if l.lists == nil {
		return true
	}
	why := l.lists.Refuses(from.Addr())
	if why == "" {
		return true
	}
	_ = unix.Close(fd)
	l.linkLogf(" client="+from.String(), "refused, %s", why)
	return false
}

// introduce tells whether requests may be read: it takes a PROXY header that comes first, if one does. One that may
// not be sent, or makes no sense, ends the link, and nothing is written.
func (k *clientLink) introduce() bool {
	for !k.introduced {
		client, n, err := address.Header(k.in)
		trusted := !k.via.IsValid() && k.loop.lists.Trusts(k.client.Addr())
		switch {
		case errors.Is(err, address.ErrNone):
			k.introduced = true
		case errors.Is(err, address.ErrMaybe), trusted && errors.Is(err, address.ErrShort):
			return false
		case !trusted || err != nil:
			if err == nil || errors.Is(err, address.ErrShort) {
				err = errors.New("PROXY header from an address that is not trusted")
			}
			if k.via.IsValid() {
				err = errors.New("more than one PROXY header")
			}
			k.logf("closed: %v", err)
			k.end()
			return false
		default:
			k.took(n)
			if k.via = k.client; client.IsValid() {
				k.client = client
			}
			if len(k.in) == 0 {
				return false
			}
		}
	}
	return true
}

// whose says whom a line of the log is about.
func (k *clientLink) whose() string {
	switch {
	case k.loop == nil || k.loop.lists == nil:
		return ""
	case k.via.IsValid():
		return fmt.Sprintf(" client=%v via=%v", k.client, k.via)
	}
	return fmt.Sprintf(" client=%v", k.client)
}

// logf writes a line about the link or its query, where addresses are of interest.
func (k *clientLink) logf(format string, args ...any) {
	if k.loop != nil && k.loop.lists != nil {
		k.loop.linkLogf(k.whose(), format, args...)
	}
}

// linkLogf keeps lines about client links apart from the others, which they must not crowd out.
func (l *Loop) linkLogf(whose, format string, args ...any) {
	if l.linkLogs.may(l.clock()) {
		fmt.Fprintf(l.log, format+"%s\n", append(args, whose)...)
	}
}
