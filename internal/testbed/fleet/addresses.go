package fleet

import (
	"net/netip"

	"valvecove/internal/testbed/loopback"
)

// Blocks of the rig's network (loopback.Network): workers have those from firstWorkerBlock on; block 0 has the scheduler
// and discovery.
const (
	firstWorkerBlock = 16
	maxWorkers       = (loopback.LastBlock - firstWorkerBlock + 1) * loopback.BlockSize
)

const firstPort = 10000 // of the rig's range

// addressPlan says who has which address of the rig's network.
type addressPlan struct{ *loopback.Network }

// findAddresses reserves a network that is free. The caller has to close the plan.
func findAddresses() (addressPlan, error) {
	network, err := loopback.Reserve(firstPort)
	return addressPlan{network}, err
}

func (p addressPlan) scheduler() netip.AddrPort { return p.At(0, 1) }
func (p addressPlan) discovery() netip.AddrPort { return p.At(0, 2) }

func (p addressPlan) worker(number int) netip.AddrPort { return p.AtNumber(firstWorkerBlock, number) }
