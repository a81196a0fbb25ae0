// Package loopback reserves a part of 127.0.0.0/8 for a run on real sockets, so that runs side by side don't meet. It owns the
// choice of the part and the lock on it, and the numbering of addresses within it. Who has which address is up to the run.
package loopback

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// The addresses 127.network.x.y of a network are divided into blocks by x. lockBlock has the address that locks the network.
const (
	BlockSize = 250 // addresses in a block: y is from 1 on
	LastBlock = 254
	lockBlock = 255
	lockIndex = 254
)

const (
	firstNetwork = 2
	networkCount = 250
	portCount    = 10000 // from the first port on
	portStep     = 37    // between attempts
	maxTrials    = 200
)

// Network is a run's own part of 127.0.0.0/8: the addresses 127.network.x.y, with one port for all.
type Network struct {
	number     byte
	port       uint16
	lockSocket int // a listening socket that reserves the network among runs of the same range of ports
}

// Reserve returns a network that is free, with a port of the 10,000 from firstPort on. They should be below those that the
// kernel chooses for clients. The caller has to close the network.
func Reserve(firstPort int) (*Network, error) {
	var lastErr error
	pid := os.Getpid()
	for trial := range maxTrials {
		network := &Network{
			number: byte(firstNetwork + (pid+trial)%networkCount),
			port:   uint16(firstPort + (pid+trial*portStep)%portCount),
		}
		fd, err := NewSocket()
		if err != nil {
			return nil, err
		}
		if err = network.lock(fd); err == nil {
			network.lockSocket = fd
			return network, nil
		}
		_ = unix.Close(fd)
		lastErr = err
	}
	return nil, fmt.Errorf("no part of 127.0.0.0/8 is free: %w", lastErr)
}

// lock listens at the network's lock address, which one socket at a time can do.
func (n *Network) lock(fd int) error {
	if err := unix.Bind(fd, Sockaddr(n.At(lockBlock, lockIndex))); err != nil {
		return err
	}
	return unix.Listen(fd, 1)
}

// Close gives the network up.
func (n *Network) Close() { _ = unix.Close(n.lockSocket) }

// At returns an address of a block, at the network's port.
func (n *Network) At(block, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.number, byte(block), byte(index)}), n.port)
}

// AtNumber returns an address by its number, from 0, in the blocks from firstBlock on.
func (n *Network) AtNumber(firstBlock, number int) netip.AddrPort {
	return n.At(firstBlock+number/BlockSize, 1+number%BlockSize)
}
