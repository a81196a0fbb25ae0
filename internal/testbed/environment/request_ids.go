package environment

import (
	"strings"
)

// This file holds the ids of requests, the idempotency keys, and the random numbers of each job. All follow from the seed
// and the job's number.

// A request's id is its job's number and its own among the job's requests, scrambled: it follows from the seed alone,
// never comes twice, and leads back to the job without a table.
const (
	requestBits = 8
	maxRequests = 1 << requestBits
)

// permutation is a permutation of 64-bit numbers that can be undone.
type permutation struct{ add, mul, inv uint64 }

func newPermutation(a, b uint64) permutation {
	s := permutation{add: a, mul: b | 1}
	s.inv = s.mul // right in its last 3 bits; each turn doubles those
	for range 5 {
		s.inv *= 2 - s.mul*s.inv
	}
	return s
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

// findRequest finds a request by its id; nil: no client sent it. Requests are known for as long as an attempt of theirs may be
// anywhere.
func (c *clients) findRequest(call string) *request {
	if len(call) != 16 {
		return nil
	}
	var x uint64
	for i := range len(call) {
		d := strings.IndexByte(hexDigits, call[i])
		if d < 0 {
			return nil
		}
		x = x<<4 | uint64(d)
	}
	x = c.requestIDs.invert(x)
	return c.jobs.find(x>>requestBits, int(x%maxRequests))
}

// What a job's own random numbers are drawn for. They follow from its number and the request's alone.
const (
	drawZone = iota
	drawConn
	drawWait
)

func (c *clients) drawBits(job uint64, number, what int) uint64 {
	return mix64(mix64(c.salt+job<<requestBits+uint64(number)) + uint64(what)*0x9e3779b97f4a7c15)
}

// unitInterval turns random bits into a number from 0 up to 1.
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }
