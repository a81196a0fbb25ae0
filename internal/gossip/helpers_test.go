package gossip

import (
	"math"
	"math/rand/v2"
	"time"

	"valvecove/dispatch"
)

// sampleMessages returns one message of each kind, by the name of its golden file.
func sampleMessages() map[string]dispatch.PeerMessage {
	return map[string]dispatch.PeerMessage{
		"lease-request": dispatch.LeaseRequest{
			ID: 70_001, Shard: dispatch.Shard{Zone: 2, Number: 5}, Class: 3, Demand: 1.5, Work: 0.25, LongProbability: 1,
			Demoted: true, PromoteIn: -120 * time.Millisecond, Excluded: []uint64{7, math.MaxUint64},
		},
		"lease-started":  dispatch.LeaseStarted{ID: 300, Prompt: true},
		"lease-released": dispatch.LeaseReleased{ID: 301, Result: dispatch.NotSent},
		"lease-report": dispatch.LeaseReport{Complete: true, Leases: []dispatch.HeldLease{
			{ID: 1, Worker: 0x0102030405060708, Demand: 0.0625, Started: true},
			{ID: math.MaxUint32, Worker: 9, Demand: 2},
		}},
		"lease-granted": dispatch.LeaseGranted{ID: 302, Worker: 11, FreeSlots: 40},
		"lease-queued":  dispatch.LeaseQueued{ID: 303, FreeSlots: -17},
	}
}

// largestMessages returns one message of each kind, with the values that have the longest encodings.
func largestMessages() []dispatch.PeerMessage {
	report := dispatch.LeaseReport{Complete: true}
	for range dispatch.MaxReported {
		report.Leases = append(report.Leases, dispatch.HeldLease{
			ID: math.MaxUint32, Worker: math.MaxUint64, Demand: maxSlots, Started: true,
		})
	}
	excluded := make([]uint64, dispatch.MaxExcluded)
	for i := range excluded {
		excluded[i] = math.MaxUint64 - uint64(i)
	}
	return []dispatch.PeerMessage{
		dispatch.LeaseRequest{
			ID: math.MaxUint32, Shard: dispatch.Shard{Zone: maxIndex, Number: maxIndex}, Class: maxIndex, Demand: maxSlots,
			Work: maxWork, LongProbability: 1, Demoted: true, PromoteIn: math.MinInt32 * time.Millisecond, Excluded: excluded,
		},
		dispatch.LeaseStarted{ID: math.MaxUint32, Prompt: true},
		dispatch.LeaseReleased{ID: math.MaxUint32, Result: dispatch.NotSent},
		report,
		dispatch.LeaseGranted{ID: math.MaxUint32, Worker: math.MaxUint64, FreeSlots: math.MinInt32},
		dispatch.LeaseQueued{ID: math.MaxUint32, FreeSlots: math.MinInt32},
	}
}

// drawMessage returns a random message whose values can be encoded exactly.
func drawMessage(rng *rand.Rand) dispatch.PeerMessage {
	id := dispatch.LeaseID(rng.Uint32() >> rng.IntN(32))
	slots := float64(rng.IntN(maxSlots*slotParts+1)) / slotParts
	switch kind(rng.IntN(int(kindLeaseQueued)) + 1) {
	case kindLeaseRequest:
		request := dispatch.LeaseRequest{
			ID: id, Shard: dispatch.Shard{Zone: rng.IntN(maxIndex), Number: rng.IntN(1000)}, Class: rng.IntN(20),
			Demand: slots, Work: float64(rng.IntN(maxWork*workParts)) / workParts,
			LongProbability: float64(rng.IntN(probabilitySteps+1)) / probabilitySteps,
			Demoted:         rng.IntN(2) == 0, PromoteIn: time.Duration(int32(rng.Uint32())) * time.Millisecond,
		}
		for range rng.IntN(dispatch.MaxExcluded + 1) {
			request.Excluded = append(request.Excluded, rng.Uint64())
		}
		return request
	case kindLeaseStarted:
		return dispatch.LeaseStarted{ID: id, Prompt: rng.IntN(2) == 0}
	case kindLeaseReleased:
		return dispatch.LeaseReleased{ID: id, Result: dispatch.Result(rng.IntN(int(dispatch.NotSent) + 1))}
	case kindLeaseReport:
		report := dispatch.LeaseReport{Complete: rng.IntN(2) == 0}
		for range rng.IntN(dispatch.MaxReported + 1) {
			report.Leases = append(report.Leases, dispatch.HeldLease{
				ID: dispatch.LeaseID(rng.Uint32()), Worker: rng.Uint64(), Demand: slots, Started: rng.IntN(2) == 0,
			})
		}
		return report
	case kindLeaseGranted:
		return dispatch.LeaseGranted{ID: id, Worker: rng.Uint64(), FreeSlots: int(int32(rng.Uint32()))}
	default:
		return dispatch.LeaseQueued{ID: id, FreeSlots: int(int32(rng.Uint32()))}
	}
}
