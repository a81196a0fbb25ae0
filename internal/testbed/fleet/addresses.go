package fleet

import (
	"net/netip"

	"valvecove/internal/testbed/loopback"
)

// Address blocks of the rig's network (loopback.Network). Block 0 has the addresses of the scheduler and of discovery, and
// the workers' addresses start in firstWorkerBlock.
const (
	firstWorkerBlock = 16
	maxWorkers       = (loopback.LastBlock - firstWorkerBlock + 1) * loopback.BlockSize
)

const firstPort = 10000 // start of the port range for rigs

// addressPlan assigns the addresses of the rig's network.
type addressPlan struct{ *loopback.Network }

// findAddresses reserves a free network. The caller has to close the plan.
func findAddresses() (addressPlan, error) {
	network, err := loopback.Reserve(firstPort)
	return addressPlan{network}, err
}

func (p addressPlan) scheduler() netip.AddrPort { return p.At(0, 1) }
func (p addressPlan) discovery() netip.AddrPort { return p.At(0, 2) }

func (p addressPlan) worker(number int) netip.AddrPort { return p.AtNumber(firstWorkerBlock, number) }
