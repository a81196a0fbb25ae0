package process

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// addressPlan is a run's own part of 127.0.0.0/8: the addresses 127.net.x.y, with one port for all. Each scheduler has
// addresses of its own for each worker and each discovery, so that whoever connects is known by where it does.
type addressPlan struct {
	network    byte
	port       uint16
	schedulers int
	lockSocket int // a socket that holds the part against other plays
}

const (
	maxSchedulers   = 200
	maxDiscoveries  = 1000  // times schedulers
	maxListeners    = 50000 // workers times schedulers
	clientBlock     = 230   // 127.net.230.1 to .250: where clients connect from
	clientAddresses = 250
)

// findAddresses finds a part that is free. Ports are below those that a kernel gives out by itself.
func findAddresses(scheds int) (addressPlan, error) {
	var last error
	pid := os.Getpid()
	for i := range 200 {
		p := addressPlan{network: byte(2 + (pid+i)%250), port: uint16(20000 + (pid+i*37)%10000), schedulers: scheds}
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

func (p addressPlan) scheduler(i int) netip.AddrPort { return p.at(0, 1+i) }

// management is where the n-th process of a scheduler answers operators: neighbours in time have ports of their own.
func (p addressPlan) management(sched, n int) netip.AddrPort {
	return netip.AddrPortFrom(p.scheduler(sched).Addr(), p.port+1+uint16(n%2))
}

func (p addressPlan) discovery(index, sched int) netip.AddrPort {
	n := index*p.schedulers + sched
	return p.at(2+n/250, 1+n%250)
}

func (p addressPlan) worker(n, sched int) netip.AddrPort {
	n = n*p.schedulers + sched
	return p.at(16+n/250, 1+n%250)
}

// client is where the n-th connection of a client comes from.
func (p addressPlan) client(n uint64) netip.AddrPort {
	return netip.AddrPortFrom(p.at(clientBlock, 1+int(n%clientAddresses)).Addr(), 0)
}

var errAddresses = errors.New("there are not so many addresses for them")

// hasAddresses tells whether there are addresses for so many.
func (p addressPlan) hasAddresses(nodes, discos int) error {
	if p.schedulers > maxSchedulers || nodes*p.schedulers > maxListeners || discos*p.schedulers > maxDiscoveries {
		return fmt.Errorf("%d schedulers, %d workers, %d discoveries: %w", p.schedulers, nodes, discos, errAddresses)
	}
	return nil
}
