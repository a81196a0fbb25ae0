package gossip

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"
	"time"

	"valvecove/dispatch"
)

// MaxDatagram is the maximum length of a datagram, in bytes. The platform drops longer ones.
const MaxDatagram = 256

const (
	version        = 1
	checksumOffset = 1
	checkedOffset  = checksumOffset + 4 // start of the bytes that the checksum covers
	headerSize     = checkedOffset + 4 + 2
)

// kind is the kind of a message, which is its first byte.
type kind byte

// Kinds of messages. The numbers are part of the wire format.
const (
	kindLeaseRequest kind = iota + 1
	kindLeaseStarted
	kindLeaseReleased
	kindLeaseReport
	kindLeaseGranted
	kindLeaseQueued
)

// Resolution and range of numbers on the wire. Slots and work are encoded as multiples of a power of two, so that a decoded
// number is exact, and is encoded in the same way again.
const (
	slotParts        = 16             // parts of a slot
	workParts        = 1024           // parts of a second of work
	probabilitySteps = math.MaxUint16 // a probability is a multiple of 1/probabilitySteps
	maxSlots         = 1 << 16
	maxWork          = 1 << 20 // seconds
	maxIndex         = math.MaxInt32
)

// Errors of invalid datagrams.
var (
	ErrMalformed = errors.New("malformed datagram")
	ErrVersion   = errors.New("unknown datagram version")
	ErrChecksum  = errors.New("datagram checksum mismatch")
	ErrTooLong   = errors.New("datagram exceeds 256 bytes")
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// header is the header of a datagram, without its version and checksum.
type header struct {
	incarnation uint32
	sequence    uint16
}

// appendHeader appends the header of a datagram, with the checksum 0, which seal replaces.
func appendHeader(b []byte, h header) []byte {
	b = append(b, version, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, h.incarnation)
	return binary.LittleEndian.AppendUint16(b, h.sequence)
}

// seal sets the checksum of a datagram.
func seal(datagram []byte) {
	checksum := crc32.Checksum(datagram[checkedOffset:], checksumTable)
	binary.LittleEndian.PutUint32(datagram[checksumOffset:], checksum)
}

// parseHeader checks the length, the version and the checksum of a datagram, and returns its header and its encoded messages.
func parseHeader(datagram []byte) (h header, messages []byte, err error) {
	switch {
	case len(datagram) > MaxDatagram:
		return h, nil, ErrTooLong
	case len(datagram) < headerSize:
		return h, nil, ErrMalformed
	case datagram[0] != version:
		return h, nil, ErrVersion
	case binary.LittleEndian.Uint32(datagram[checksumOffset:]) != crc32.Checksum(datagram[checkedOffset:], checksumTable):
		return h, nil, ErrChecksum
	}
	h.incarnation = binary.LittleEndian.Uint32(datagram[checkedOffset:])
	h.sequence = binary.LittleEndian.Uint16(datagram[checkedOffset+4:])
	return h, datagram[headerSize:], nil
}

// appendMessage appends a message. It panics if the type is unknown, which is a programming error.
func appendMessage(b []byte, message dispatch.PeerMessage) []byte {
	switch message := message.(type) {
	case dispatch.LeaseRequest:
		return appendLeaseRequest(b, message)
	case dispatch.LeaseStarted:
		b = appendID(append(b, byte(kindLeaseStarted)), message.ID)
		return appendBool(b, message.Prompt)
	case dispatch.LeaseReleased:
		b = appendID(append(b, byte(kindLeaseReleased)), message.ID)
		return append(b, byte(message.Result))
	case dispatch.LeaseReport:
		return appendLeaseReport(b, message)
	case dispatch.LeaseGranted:
		b = appendID(append(b, byte(kindLeaseGranted)), message.ID)
		b = binary.LittleEndian.AppendUint64(b, message.Worker)
		return appendInt(b, int64(message.FreeSlots))
	case dispatch.LeaseQueued:
		b = appendID(append(b, byte(kindLeaseQueued)), message.ID)
		return appendInt(b, int64(message.FreeSlots))
	default:
		panic("gossip: unknown message type")
	}
}

// appendLeaseRequest appends the message, with the first MaxExcluded excluded workers.
func appendLeaseRequest(b []byte, request dispatch.LeaseRequest) []byte {
	b = appendID(append(b, byte(kindLeaseRequest)), request.ID)
	b = appendIndex(b, request.Shard.Zone)
	b = appendIndex(b, request.Shard.Number)
	b = appendIndex(b, request.Class)
	b = appendScaled(b, request.Demand, slotParts, maxSlots)
	b = appendScaled(b, request.Work, workParts, maxWork)
	b = binary.LittleEndian.AppendUint16(b, uint16(math.Round(inRange(request.LongProbability, 1)*probabilitySteps)))
	b = appendBool(b, request.Demoted)
	b = appendInt(b, request.PromoteIn.Milliseconds())
	b = append(b, byte(min(len(request.Excluded), dispatch.MaxExcluded)))
	for _, worker := range request.Excluded[:min(len(request.Excluded), dispatch.MaxExcluded)] {
		b = binary.LittleEndian.AppendUint64(b, worker)
	}
	return b
}

// appendLeaseReport appends the message, with the first MaxReported leases.
func appendLeaseReport(b []byte, report dispatch.LeaseReport) []byte {
	b = appendBool(append(b, byte(kindLeaseReport)), report.Complete)
	b = append(b, byte(min(len(report.Leases), dispatch.MaxReported)))
	for _, held := range report.Leases[:min(len(report.Leases), dispatch.MaxReported)] {
		b = appendID(b, held.ID)
		b = binary.LittleEndian.AppendUint64(b, held.Worker)
		b = appendScaled(b, held.Demand, slotParts, maxSlots)
		b = appendBool(b, held.Started)
	}
	return b
}

// appendID appends the ID of a lease.
func appendID(b []byte, id dispatch.LeaseID) []byte { return binary.AppendUvarint(b, uint64(id)) }

// appendIndex appends an index, limited to the range from 0 to maxIndex.
func appendIndex(b []byte, index int) []byte {
	return binary.AppendUvarint(b, uint64(min(max(index, 0), maxIndex)))
}

// appendInt appends a signed number, limited to the range of 32 bits.
func appendInt(b []byte, number int64) []byte {
	return binary.AppendVarint(b, min(max(number, math.MinInt32), math.MaxInt32))
}

// appendScaled appends a number as a multiple of 1/parts, rounded up, limited to the range from 0 to limit.
func appendScaled(b []byte, number float64, parts, limit float64) []byte {
	return binary.AppendUvarint(b, uint64(math.Ceil(inRange(number, limit)*parts)))
}

// inRange returns a number limited to the range from 0 to limit, and 0 for NaN.
func inRange(number, limit float64) float64 {
	if math.IsNaN(number) {
		return 0
	}
	return min(max(number, 0), limit)
}

// appendBool appends 1 for true and 0 for false.
func appendBool(b []byte, value bool) []byte {
	if value {
		return append(b, 1)
	}
	return append(b, 0)
}

// parseMessages decodes all messages of a datagram. If one of them is malformed, it returns none.
func parseMessages(b []byte) ([]dispatch.PeerMessage, error) {
	reader := reader{unread: b}
	var messages []dispatch.PeerMessage
	for len(reader.unread) > 0 && !reader.failed {
		messages = append(messages, reader.message())
	}
	if reader.failed {
		return nil, ErrMalformed
	}
	return messages, nil
}

// reader decodes fields. After an error, failed is set, and all further fields are zero.
type reader struct {
	unread []byte
	failed bool
}

// message decodes the kind and the fields of a message.
func (r *reader) message() dispatch.PeerMessage {
	switch kind(r.byte()) {
	case kindLeaseRequest:
		return r.leaseRequest()
	case kindLeaseStarted:
		return dispatch.LeaseStarted{ID: r.id(), Prompt: r.bool()}
	case kindLeaseReleased:
		return dispatch.LeaseReleased{ID: r.id(), Result: r.result()}
	case kindLeaseReport:
		return r.leaseReport()
	case kindLeaseGranted:
		return dispatch.LeaseGranted{ID: r.id(), Worker: r.uint64(), FreeSlots: r.int()}
	case kindLeaseQueued:
		return dispatch.LeaseQueued{ID: r.id(), FreeSlots: r.int()}
	}
	r.failed = true
	return nil
}

// leaseRequest decodes the fields that appendLeaseRequest encodes.
func (r *reader) leaseRequest() dispatch.LeaseRequest {
	request := dispatch.LeaseRequest{
		ID:              r.id(),
		Shard:           dispatch.Shard{Zone: r.index(), Number: r.index()},
		Class:           r.index(),
		Demand:          r.scaled(slotParts, maxSlots),
		Work:            r.scaled(workParts, maxWork),
		LongProbability: float64(r.uint16()) / probabilitySteps,
		Demoted:         r.bool(),
		PromoteIn:       time.Duration(r.int()) * time.Millisecond,
	}
	count := int(r.byte())
	if count > dispatch.MaxExcluded {
		r.failed = true
	}
	for i := 0; i < count && !r.failed; i++ {
		request.Excluded = append(request.Excluded, r.uint64())
	}
	return request
}

// leaseReport decodes the fields that appendLeaseReport encodes.
func (r *reader) leaseReport() dispatch.LeaseReport {
	report := dispatch.LeaseReport{Complete: r.bool()}
	count := int(r.byte())
	if count > dispatch.MaxReported {
		r.failed = true
	}
	for i := 0; i < count && !r.failed; i++ {
		report.Leases = append(report.Leases, dispatch.HeldLease{
			ID: r.id(), Worker: r.uint64(), Demand: r.scaled(slotParts, maxSlots), Started: r.bool(),
		})
	}
	return report
}

// take returns the next count bytes, or zeros if fewer are left.
func (r *reader) take(count int) []byte {
	if r.failed || len(r.unread) < count {
		r.failed = true
		return make([]byte, count)
	}
	taken := r.unread[:count]
	r.unread = r.unread[count:]
	return taken
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) uint16() uint16 { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) uint64() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }

// bool decodes a value that appendBool has encoded.
func (r *reader) bool() bool {
	value := r.byte()
	r.failed = r.failed || value > 1
	return value == 1
}

// result decodes the result of an attempt.
func (r *reader) result() dispatch.Result {
	result := dispatch.Result(r.byte())
	r.failed = r.failed || result > dispatch.NotSent
	return result
}

// uvarint decodes an unsigned varint.
func (r *reader) uvarint() uint64 {
	value, size := binary.Uvarint(r.unread)
	if r.failed || size <= 0 {
		r.failed = true
		return 0
	}
	r.unread = r.unread[size:]
	return value
}

// id decodes the ID of a lease.
func (r *reader) id() dispatch.LeaseID {
	value := r.uvarint()
	r.failed = r.failed || value > math.MaxUint32
	return dispatch.LeaseID(value)
}

// index decodes an index that appendIndex has encoded.
func (r *reader) index() int {
	value := r.uvarint()
	r.failed = r.failed || value > maxIndex
	return int(value)
}

// int decodes a number that appendInt has encoded.
func (r *reader) int() int {
	value, size := binary.Varint(r.unread)
	if r.failed || size <= 0 || value < math.MinInt32 || value > math.MaxInt32 {
		r.failed = true
		return 0
	}
	r.unread = r.unread[size:]
	return int(value)
}

// scaled decodes a number that appendScaled has encoded.
func (r *reader) scaled(parts, limit float64) float64 {
	number := float64(r.uvarint()) / parts
	r.failed = r.failed || number > limit
	return number
}
