package filesystemtest

import (
	"math/rand/v2"
	"syscall"
)

// Errors contains the errors that tests of a failing disk cover.
var Errors = []error{syscall.ENOSPC, syscall.EIO, syscall.EINTR, syscall.EROFS, syscall.EDQUOT}

// FailCall makes the call with a number fail.
func FailCall(number int, fault Fault) func(Call) Fault {
	return func(call Call) Fault {
		if call.Number == number {
			return fault
		}
		return Fault{}
	}
}

// KillAt kills the process at the call with a number. If that is a write, the given number of its bytes is written.
func KillAt(number, bytes int) func(Call) Fault {
	return FailCall(number, Fault{Err: ErrKilled, Bytes: bytes})
}

// FailAll makes all calls of the given operations fail, or all calls if none is given.
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

// FailRandomly makes each call fail with a probability, with one of Errors. A write that fails may have written any part of
// its data. An open that fails has no effect; any other call that fails may have its full effect or none. All choices depend on
// the seed.
func FailRandomly(seed uint64, probability float64) func(Call) Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(call Call) Fault {
		if random.Float64() >= probability {
			return Fault{}
		}
		fault := Fault{Err: Errors[random.IntN(len(Errors))], Bytes: random.IntN(call.Size + 1)}
		fault.AfterEffect = call.Operation != Open && call.Operation != Write && random.IntN(2) == 0
		return fault
	}
}
