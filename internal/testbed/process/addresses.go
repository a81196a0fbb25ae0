package process

import (
	"errors"
	"fmt"
	"net/netip"

	"valvecove/internal/testbed/loopback"
)

// addressPlan assigns the addresses of the run's network. Each worker and each discovery service listens at a separate
// address for each scheduler, so that the address at which a connection arrives identifies the scheduler.
type addressPlan struct {
	*loopback.Network // nil until one is reserved
	schedulers        int
}

const (
	maxSchedulers  = 200
	maxDiscoveries = 1000  // discovery services times schedulers
	maxListeners   = 50000 // workers times schedulers
)

// Address blocks of the network. The schedulers are in block 0.
const (
	firstDiscoveryBlock = 2
	firstWorkerBlock    = 16
	clientBlock         = 230 // source addresses of clients
)

const firstPort = 20000 // start of the port range for runs with real processes

// findAddresses reserves a free network.
func findAddresses(schedulers int) (addressPlan, error) {
	network, err := loopback.Reserve(firstPort)
	return addressPlan{network, schedulers}, err
}

// close releases the network, if one is reserved.
func (p addressPlan) close() {
	if p.Network != nil {
		p.Close()
	}
}

func (p addressPlan) scheduler(i int) netip.AddrPort { return p.At(0, 1+i) }

// peer is the address from which a scheduler sends datagrams and at which it receives them. It equals the TCP address of
// scheduler: UDP ports are separate from TCP ports.
func (p addressPlan) peer(i int) netip.AddrPort { return p.scheduler(i) }

// management is the management address of a scheduler's n-th process. The port alternates, so that a process and its
// successor, which run at the same time during a replacement, have different ones.
func (p addressPlan) management(sched, n int) netip.AddrPort {
	return netip.AddrPortFrom(p.scheduler(sched).Addr(), p.scheduler(sched).Port()+1+uint16(n%2))
}

func (p addressPlan) discovery(index, sched int) netip.AddrPort {
	return p.AtNumber(firstDiscoveryBlock, index*p.schedulers+sched)
}

func (p addressPlan) worker(n, sched int) netip.AddrPort {
	return p.AtNumber(firstWorkerBlock, n*p.schedulers+sched)
}

// client is the source address of client connection n, with port 0 for any port.
func (p addressPlan) client(n uint64) netip.AddrPort {
	return netip.AddrPortFrom(p.AtNumber(clientBlock, int(n%loopback.BlockSize)).Addr(), 0)
}

var errTooFewAddresses = errors.New("not enough loopback addresses for the run")

// checkCapacity returns an error if the network has too few addresses for this number of workers and discovery services.
func (p addressPlan) checkCapacity(workers, discoveries int) error {
	if p.schedulers > maxSchedulers || workers*p.schedulers > maxListeners || discoveries*p.schedulers > maxDiscoveries {
		return fmt.Errorf("%d schedulers, %d workers, %d discoveries: %w", p.schedulers, workers, discoveries, errTooFewAddresses)
	}
	return nil
}
