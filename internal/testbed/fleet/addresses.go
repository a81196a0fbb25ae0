package fleet

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Addresses 127.network.x.y are divided into blocks by x. Workers have the blocks from firstWorkerBlock on; block 0 has
// the scheduler and discovery.
const (
	firstWorkerBlock = 16
	lastWorkerBlock  = 254
	workersPerBlock  = 250
	maxWorkers       = (lastWorkerBlock - firstWorkerBlock + 1) * workersPerBlock
	lockBlock        = 255 // has the address that locks the network
)

const (
	firstNetwork     = 2
	networkCount     = 250
	firstPort        = 10000 // ports are below those that the kernel chooses for clients
	portCount        = 10000
	portStep         = 37 // between attempts
	maxNetworkTrials = 200
)

// addressPlan is a rig's own part of 127.0.0.0/8: the addresses 127.network.x.y, with one port for all.
type addressPlan struct {
	network    byte
	port       uint16
	lockSocket int // a listening socket that reserves the network among rigs
}

// findAddresses reserves a network that is free. The caller has to close the plan.
func findAddresses() (addressPlan, error) {
	var lastErr error
	pid := os.Getpid()
	for trial := range maxNetworkTrials {
		plan := addressPlan{
			network: byte(firstNetwork + (pid+trial)%networkCount),
			port:    uint16(firstPort + (pid+trial*portStep)%portCount),
		}
		fd, err := newSocket()
		if err != nil {
			return plan, err
		}
		if err = plan.lock(fd); err == nil {
			plan.lockSocket = fd
			return plan, nil
		}
		_ = unix.Close(fd)
		lastErr = err
	}
	return addressPlan{}, fmt.Errorf("no part of 127.0.0.0/8 is free: %w", lastErr)
}

// lock listens at the network's lock address, which one socket at a time can do.
func (p addressPlan) lock(fd int) error {
	if err := unix.Bind(fd, sockaddr(p.at(lockBlock, 254))); err != nil {
		return err
	}
	return unix.Listen(fd, 1)
}

func (p addressPlan) close() { _ = unix.Close(p.lockSocket) }

func (p addressPlan) at(block, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.network, byte(block), byte(index)}), p.port)
}

func (p addressPlan) scheduler() netip.AddrPort { return p.at(0, 1) }
func (p addressPlan) discovery() netip.AddrPort { return p.at(0, 2) }

func (p addressPlan) worker(number int) netip.AddrPort {
	return p.at(firstWorkerBlock+number/workersPerBlock, 1+number%workersPerBlock)
}
