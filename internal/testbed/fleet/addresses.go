package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// The part of 127.0.0.0/8 that a rig has to itself: the addresses 127.net.x.y, with one port for all.
const (
	firstBlock       = 16 // of workers, 250 to a block
	lastBlock        = 254
	perBlock         = 250
	maxWorkers       = (lastBlock - firstBlock + 1) * perBlock
	maxSockets       = 40_000         // descriptors that a scheduler is told it has
	maxConns         = maxSockets / 6 // of them may be links to workers
	spareDescriptors = 256            // descriptors of a process that are for anything else
)

type addressPlan struct {
	network    byte
	port       uint16
	lockSocket int // a socket that holds the part against other rigs
}

// findAddresses finds a part that is free. Ports are below those that a kernel gives out by itself.
func findAddresses() (addressPlan, error) {
	var last error
	pid := os.Getpid()
	for i := range 200 {
		p := addressPlan{network: byte(2 + (pid+i)%250), port: uint16(10000 + (pid+i*37)%10000)}
		fd, err := newSocket()
		if err != nil {
			return p, err
		}
		if err = unix.Bind(fd, sockaddr(p.at(255, 254))); err == nil {
			if err = unix.Listen(fd, 1); err == nil {
				p.lockSocket = fd
				return p, nil
			}
		}
		_ = unix.Close(fd)
		last = err
	}
	return addressPlan{}, fmt.Errorf("no part of 127.0.0.0/8 is free: %w", last)
}

func (p addressPlan) close() { _ = unix.Close(p.lockSocket) }

func (p addressPlan) at(third, fourth int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.network, byte(third), byte(fourth)}), p.port)
}

func (p addressPlan) scheduler() netip.AddrPort { return p.at(0, 1) }
func (p addressPlan) discovery() netip.AddrPort { return p.at(0, 2) }

func (p addressPlan) worker(n int) netip.AddrPort { return p.at(firstBlock+n/perBlock, 1+n%perBlock) }

// descriptorPlan is how the rig's descriptors are dealt out.
type descriptorPlan struct {
	limit         int // that the machine allows a process
	workerConns   int // connections to workers at once, at most
	callbackConns int // connections of one worker for its notes, at most
}

var errDescriptors = errors.New("the rig has no room for them")

// planDescriptors tells whether there is room for so many workers and clients, and how it is dealt out: each worker
// has a listener, and one connection for its notes at least; the scheduler, or the proxy, has links to workers.
func planDescriptors(nodes, clients int) (descriptorPlan, error) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return descriptorPlan{}, fmt.Errorf("descriptors: %w", err)
	}
	r := descriptorPlan{limit: int(min(l.Cur, 1<<24))}
	r.workerConns = min(4*nodes+clients, maxConns)
	remaining := r.limit - spareDescriptors - clients - nodes - r.workerConns
	r.callbackConns = min(16, remaining/max(1, nodes))
	if nodes > maxWorkers || r.callbackConns < 1 {
		return r, fmt.Errorf("%d worker nodes, %d clients: %w: %d descriptors are allowed, which ends at %d worker nodes; "+
			"addresses end at %d", nodes, clients, errDescriptors, r.limit, r.needed(clients), maxWorkers)
	}
	return r, nil
}

// needed is how many workers there would be descriptors for.
func (r descriptorPlan) needed(clients int) int {
	remaining := r.limit - spareDescriptors - clients
	if n := (remaining - maxConns) / 2; 4*n+clients >= maxConns {
		return n
	}
	return max(0, (remaining-clients)/6)
}
