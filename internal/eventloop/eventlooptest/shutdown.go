package eventlooptest

import "golang.org/x/sys/unix"

// CloseWrite closes the sending side of this end, which can still read.
func (p *Peer) CloseWrite() { _ = unix.Shutdown(p.FD, unix.SHUT_WR) }

// Reset closes this end of a TCP connection with a reset.
func (p *Peer) Reset() {
	_ = unix.SetsockoptLinger(p.FD, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	p.Close()
}
