// Package loopback reserves a part of 127.0.0.0/8 for a run on real sockets, so that concurrent runs do not share addresses.
// It chooses and locks that part, and numbers the addresses in it. The run decides what it uses each address for.
package loopback

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// The addresses 127.network.x.y of a network are divided into blocks by x.
const (
	BlockSize = 250 // addresses in a block, with y from 1 to 250
	LastBlock = 254
	lockBlock = 255 // of the address that locks the network
	lockIndex = 254 // of the address that locks the network
)

const (
	firstNetwork = 2
	networkCount = 250
	portCount    = 10000 // ports to choose from
	portStep     = 37    // between the ports of two attempts
	maxTrials    = 200   // attempts to find a free network
)

// Network is a run's own part of 127.0.0.0/8: the addresses 127.network.x.y, with one port for all.
type Network struct {
	number     byte
	port       uint16
	lockSocket int // a listening socket that locks the network and port against other runs
}

// Reserve returns a free network, with one of the 10,000 ports from firstPort on. These should be below the kernel's range
// of ephemeral ports. The caller has to close the network.
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

// lock listens at the network's lock address. It fails if another run has locked the same network and port.
func (n *Network) lock(fd int) error {
	if err := unix.Bind(fd, Sockaddr(n.At(lockBlock, lockIndex))); err != nil {
		return err
	}
	return unix.Listen(fd, 1)
}

// Close releases the network.
func (n *Network) Close() { _ = unix.Close(n.lockSocket) }

// At returns an address of a block, at the network's port.
func (n *Network) At(block, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.number, byte(block), byte(index)}), n.port)
}

// AtNumber returns an address by its number, counted from 0 through the blocks from firstBlock on.
func (n *Network) AtNumber(firstBlock, number int) netip.AddrPort {
	return n.At(firstBlock+number/BlockSize, 1+number%BlockSize)
}
