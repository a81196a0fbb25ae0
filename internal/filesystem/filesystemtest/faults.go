package filesystemtest

import (
	"math/rand/v2"
	"syscall"
)

// Errors are those that a test of a failing disk goes through.
var Errors = []error{syscall.ENOSPC, syscall.EIO, syscall.EINTR, syscall.EROFS, syscall.EDQUOT}

// FailCall has one call, by its number, fail.
func FailCall(number int, fault Fault) func(Call) Fault {
	return func(call Call) Fault {
		if call.Number == number {
			return fault
		}
		return Fault{}
	}
}

// KillAt kills the process at a call, a write after so many of its bytes.
func KillAt(number, bytes int) func(Call) Fault {
	return FailCall(number, Fault{Err: ErrKilled, Bytes: bytes})
}

// FailAll has every call of these operations fail, or every call if none is named.
func FailAll(err error, operations ...Operation) func(Call) Fault {
	return func(call Call) Fault {
		for _, operation := range operations {
			if call.Operation == operation {
				return Fault{Err: err}
			}
		}
		if len(operations) == 0 {
			return Fault{Err: err}
		}
		return Fault{}
	}
}

// FailShare has a share of the calls, drawn by a seed, fail with one of Errors: a write with any part of it written, any
// other call with its effect or without.
func FailShare(seed uint64, share float64) func(Call) Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(call Call) Fault {
		if random.Float64() >= share {
			return Fault{}
		}
		fault := Fault{Err: Errors[random.IntN(len(Errors))], Bytes: random.IntN(call.Size + 1)}
		fault.After = call.Operation != Open && call.Operation != Write && random.IntN(2) == 0
		return fault
	}
}
