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
	firstBlock = 16 // of worker nodes, 250 to a block
	lastBlock  = 254
	perBlock   = 250
	mostNodes  = (lastBlock - firstBlock + 1) * perBlock
	sockets    = 40_000      // descriptors that a scheduler is told it has
	mostLinks  = sockets / 6 // of them may be links to worker nodes
	spare      = 256         // descriptors of a process that are for anything else
)

type places struct {
	net  byte
	port uint16
	lock int // a socket that holds the part against other rigs
}

// findPlaces finds a part that is free. Ports are below those that a kernel gives out by itself.
func findPlaces() (places, error) {
	var last error
	pid := os.Getpid()
	for i := range 200 {
		p := places{net: byte(2 + (pid+i)%250), port: uint16(10000 + (pid+i*37)%10000)}
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

func (p places) scheduler() netip.AddrPort { return p.at(0, 1) }
func (p places) discovery() netip.AddrPort { return p.at(0, 2) }

func (p places) node(n int) netip.AddrPort { return p.at(firstBlock+n/perBlock, 1+n%perBlock) }

// room is how the rig's descriptors are dealt out.
type room struct {
	limit   int // that the machine allows a process
	servers int // connections to worker nodes at once, at most
	notes   int // connections of one worker node for its notes, at most
}

var errRoom = errors.New("the rig has no room for them")

// findRoom tells whether there is room for so many worker nodes and clients, and how it is dealt out: each worker node
// has a listener, and one connection for its notes at least; the scheduler, or the proxy, has links to worker nodes.
func findRoom(nodes, clients int) (room, error) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return room{}, fmt.Errorf("descriptors: %w", err)
	}
	r := room{limit: int(min(l.Cur, 1<<24))}
	r.servers = min(4*nodes+clients, mostLinks)
	left := r.limit - spare - clients - nodes - r.servers
	r.notes = min(16, left/max(1, nodes))
	if nodes > mostNodes || r.notes < 1 {
		return r, fmt.Errorf("%d worker nodes, %d clients: %w: %d descriptors are allowed, which ends at %d worker nodes; "+
			"addresses end at %d", nodes, clients, errRoom, r.limit, r.most(clients), mostNodes)
	}
	return r, nil
}

// most is how many worker nodes there would be descriptors for.
func (r room) most(clients int) int {
	left := r.limit - spare - clients
	if n := (left - mostLinks) / 2; 4*n+clients >= mostLinks {
		return n
	}
	return max(0, (left-clients)/6)
}
