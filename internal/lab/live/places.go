package live

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// places is a play's own part of 127.0.0.0/8: the addresses 127.net.x.y, with one port for all. Each scheduler has
// addresses of its own for each worker node and each discovery, so that whoever connects is known by where it does.
type places struct {
	net    byte
	port   uint16
	scheds int
	lock   int // a socket that holds the part against other plays
}

const (
	mostScheds  = 200
	mostDiscos  = 1000  // times schedulers
	mostListens = 50000 // worker nodes times schedulers
	clientPlace = 230   // 127.net.230.1 to .250: where clients connect from
	clientHosts = 250
)

// place finds a part that is free. Ports are below those that a kernel gives out by itself.
func place(scheds int) (places, error) {
	var last error
	pid := os.Getpid()
	for i := range 200 {
		p := places{net: byte(2 + (pid+i)%250), port: uint16(20000 + (pid+i*37)%10000), scheds: scheds}
		fd, err := socket()
		if err != nil {
			return p, err
		}
		if err = unix.Bind(fd, address(p.at(255, 254))); err == nil {
			if err = unix.Listen(fd, 1); err == nil {
				p.lock = fd
				return p, nil
			}
		}
		_ = unix.Close(fd)
		last = err
	}
	return places{}, fmt.Errorf("no part of 127.0.0.0/8 is free: %w", last)
}

func (p places) close() { _ = unix.Close(p.lock) }

func (p places) at(third, fourth int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.net, byte(third), byte(fourth)}), p.port)
}

func (p places) sched(i int) netip.AddrPort { return p.at(0, 1+i) }

// manage is where the n-th process of a scheduler answers operators: neighbours in time have ports of their own.
func (p places) manage(sched, n int) netip.AddrPort {
	return netip.AddrPortFrom(p.sched(sched).Addr(), p.port+1+uint16(n%2))
}

func (p places) disco(index, sched int) netip.AddrPort {
	n := index*p.scheds + sched
	return p.at(2+n/250, 1+n%250)
}

func (p places) node(n, sched int) netip.AddrPort {
	n = n*p.scheds + sched
	return p.at(16+n/250, 1+n%250)
}

// client is where the n-th connection of a client comes from.
func (p places) client(n uint64) netip.AddrPort {
	return netip.AddrPortFrom(p.at(clientPlace, 1+int(n%clientHosts)).Addr(), 0)
}

var errPlaces = errors.New("there are not so many addresses for them")

// holds tells whether there are addresses for so many.
func (p places) holds(nodes, discos int) error {
	if p.scheds > mostScheds || nodes*p.scheds > mostListens || discos*p.scheds > mostDiscos {
		return fmt.Errorf("%d schedulers, %d worker nodes, %d discoveries: %w", p.scheds, nodes, discos, errPlaces)
	}
	return nil
}
