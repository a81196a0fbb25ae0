package process

import (
	"errors"
	"fmt"
	"net/netip"

	"valvecove/internal/testbed/loopback"
)

// addressPlan says who has which address of the run's network. Each scheduler has addresses of its own for each worker and
// each discovery, so that whoever connects is known by where it does.
type addressPlan struct {
	*loopback.Network // nil: none is reserved yet
	schedulers        int
}

const (
	maxSchedulers  = 200
	maxDiscoveries = 1000  // times schedulers
	maxListeners   = 50000 // workers times schedulers
)

// Blocks of the network; block 0 has the schedulers.
const (
	firstDiscoveryBlock = 2
	firstWorkerBlock    = 16
	clientBlock         = 230 // where clients connect from
)

const firstPort = 20000 // of the range for runs

// findAddresses reserves a network that is free.
func findAddresses(schedulers int) (addressPlan, error) {
	network, err := loopback.Reserve(firstPort)
	return addressPlan{network, schedulers}, err
}

// close gives the network up, if one is reserved.
func (p addressPlan) close() {
	if p.Network != nil {
		p.Close()
	}
}

func (p addressPlan) scheduler(i int) netip.AddrPort { return p.At(0, 1+i) }

// peer is where a scheduler sends datagrams from, and receives those of others. UDP has ports of its own.
func (p addressPlan) peer(i int) netip.AddrPort { return p.scheduler(i) }

// management is where the n-th process of a scheduler answers operators: neighbours in time have ports of their own.
func (p addressPlan) management(sched, n int) netip.AddrPort {
	return netip.AddrPortFrom(p.scheduler(sched).Addr(), p.scheduler(sched).Port()+1+uint16(n%2))
}

func (p addressPlan) discovery(index, sched int) netip.AddrPort {
	return p.AtNumber(firstDiscoveryBlock, index*p.schedulers+sched)
}

func (p addressPlan) worker(n, sched int) netip.AddrPort {
	return p.AtNumber(firstWorkerBlock, n*p.schedulers+sched)
}

// client is where the n-th connection of a client comes from.
func (p addressPlan) client(n uint64) netip.AddrPort {
	return netip.AddrPortFrom(p.AtNumber(clientBlock, int(n%loopback.BlockSize)).Addr(), 0)
}

var errAddresses = errors.New("there are not so many addresses for them")

// hasAddresses tells whether there are addresses for so many.
func (p addressPlan) hasAddresses(nodes, discos int) error {
	if p.schedulers > maxSchedulers || nodes*p.schedulers > maxListeners || discos*p.schedulers > maxDiscoveries {
		return fmt.Errorf("%d schedulers, %d workers, %d discoveries: %w", p.schedulers, nodes, discos, errAddresses)
	}
	return nil
}
