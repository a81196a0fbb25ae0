package environment

import (
	"strings"
)

// This file derives the IDs of requests, the idempotency keys and the random numbers of each job from the seed and the job's
// number.

// The ID of a request is a permutation, which depends on the seed, of the job's number and the request's number within the
// job. So it is deterministic, unique, and can be inverted to find the job without a table.
const (
	requestBits = 8 // bits of the request's number
	maxRequests = 1 << requestBits
)

// permutation is an invertible permutation of the 64-bit numbers.
type permutation struct{ add, mul, inv uint64 }

func newPermutation(add, mul uint64) permutation {
	p := permutation{add: add, mul: mul | 1}
	p.inv = p.mul // the inverse in the low 3 bits; each iteration doubles the number of correct bits
	for range 5 {
		p.inv *= 2 - p.mul*p.inv
	}
	return p
}

func (p permutation) apply(x uint64) uint64 {
	x += p.add
	for range 3 {
		x ^= x >> 32
		x *= p.mul
	}
	return x ^ x>>32
}

func (p permutation) invert(x uint64) uint64 {
	x ^= x >> 32
	for range 3 {
		x *= p.inv
		x ^= x >> 32
	}
	return x - p.add
}

const hexDigits = "0123456789abcdef"

func putHex(dst []byte, x uint64) {
	for i := range dst {
		dst[i] = hexDigits[x>>60]
		x <<= 4
	}
}

func (c *clients) requestID(job uint64, number int) string {
	var b [16]byte
	putHex(b[:], c.requestIDs.apply(job<<requestBits|uint64(number)))
	return string(b[:])
}

func (c *clients) idempotencyKey(job uint64) string {
	var b [32]byte
	putHex(b[:16], c.requestIDs.apply(job^c.salt))
	putHex(b[16:], c.requestIDs.apply(job^c.salt>>1))
	return string(b[:])
}

// findRequest returns the request with the given ID; nil: no client sent it, or it has been forgotten. Requests are kept for
// as long as an attempt at them may exist.
func (c *clients) findRequest(id string) *request {
	if len(id) != 16 {
		return nil
	}
	var x uint64
	for i := range len(id) {
		digit := strings.IndexByte(hexDigits, id[i])
		if digit < 0 {
			return nil
		}
		x = x<<4 | uint64(digit)
	}
	x = c.requestIDs.invert(x)
	return c.jobs.find(x>>requestBits, int(x%maxRequests))
}

// The purposes of the random numbers of a job.
const (
	drawForZone = iota
	drawForConn
	drawForBackoff
)

// randomBits returns random bits that depend only on the seed, the job, the number of the request and the purpose.
func (c *clients) randomBits(job uint64, number, purpose int) uint64 {
	return mix64(mix64(c.salt+job<<requestBits+uint64(number)) + uint64(purpose)*0x9e3779b97f4a7c15)
}

// unitInterval converts random bits to a number in [0, 1).
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }
