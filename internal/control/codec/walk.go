package codec

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// fieldCodec writes the fields that it is shown, or reads into them: one walk over a message serves both ways. Read past the
// end of a message, fields are zero.
type fieldCodec struct {
	buffer      []byte // written so far, or left to be read
	significant int    // written, without the zero fields at the end
	writing     bool
	failed      bool // a field out of range, or bytes that make no sense

	// Of a reader, reused from message to message.
	storage *messageStorage
}

// messageStorage is what messages that were read point to.
type messageStorage struct {
	head     message.RequestSummary
	word     message.WorkerStatus
	load     message.LoadReport
	attempts []message.PastAttempt
	names    map[string]string
}

// name gives the text of some bytes. Few names go round, so that most are made once.
func (p *messageStorage) name(b []byte) string {
	if s, ok := p.names[string(b)]; ok {
		return s
	}
	if p.names == nil || len(p.names) >= maxInternedNames {
		p.names = make(map[string]string, maxInternedNames)
	}
	s := string(b)
	p.names[s] = s
	return s
}

// finishField ends a field: one that is not zero is kept, with all before it.
func (w *fieldCodec) finishField(zero bool) {
	if !zero {
		w.significant = len(w.buffer)
	}
}

func (w *fieldCodec) unsigned(x *uint64) {
	if w.writing {
		w.buffer = binary.AppendUvarint(w.buffer, *x)
		w.finishField(*x == 0)
		return
	}
	*x = 0
	if len(w.buffer) == 0 {
		return
	}
	v, n := binary.Uvarint(w.buffer)
	if n <= 0 {
		w.fail()
		return
	}
	*x, w.buffer = v, w.buffer[n:]
}

func (w *fieldCodec) fail() { w.failed, w.buffer = true, nil }

func (w *fieldCodec) signed(x *int64) {
	v := uint64(*x<<1) ^ uint64(*x>>63)
	w.unsigned(&v)
	*x = int64(v>>1) ^ -int64(v&1)
}

func (w *fieldCodec) duration(x *time.Duration) { w.signed((*int64)(x)) }

// int is a count or an index, and fits 32 bits.
func (w *fieldCodec) int(x *int) {
	v := int64(*x)
	if w.signed(&v); v < math.MinInt32 || v > math.MaxInt32 {
		w.failed, v = true, 0
	}
	*x = int(v)
}

// float is short for numbers of few digits: their low bits, which are zero, come last.
func (w *fieldCodec) float(x *float64) {
	v := bits.ReverseBytes64(math.Float64bits(*x))
	w.unsigned(&v)
	*x = math.Float64frombits(bits.ReverseBytes64(v))
}

// fixed is for hashes and instants, which a varint would make longer.
func (w *fieldCodec) fixed(x *uint64) {
	if w.writing {
		w.buffer = binary.LittleEndian.AppendUint64(w.buffer, *x)
		w.finishField(*x == 0)
		return
	}
	*x = 0
	switch {
	case len(w.buffer) == 0:
	case len(w.buffer) < 8:
		w.fail()
	default:
		*x, w.buffer = binary.LittleEndian.Uint64(w.buffer), w.buffer[8:]
	}
}

func (w *fieldCodec) byte(x *uint8) {
	if w.writing {
		w.buffer = append(w.buffer, *x)
		w.finishField(*x == 0)
		return
	}
	*x = 0
	if len(w.buffer) > 0 {
		*x, w.buffer = w.buffer[0], w.buffer[1:]
	}
}

// flags are up to eight in one byte. Those that are not known are skipped.
func (w *fieldCodec) flags(xs ...*bool) {
	var v uint8
	for i, x := range xs {
		if *x {
			v |= 1 << i
		}
	}
	w.byte(&v)
	for i, x := range xs {
		*x = v&(1<<i) != 0
	}
}

func (w *fieldCodec) result(x *dispatch.Result) {
	v := uint8(*x)
	if w.writing && int(*x) != int(v) {
		w.failed = true
	}
	w.byte(&v)
	*x = dispatch.Result(v)
}

// length is a length, of no more than there are bytes.
func (w *fieldCodec) length(n, most int) int {
	v := uint64(n)
	if w.unsigned(&v); v > uint64(most) || !w.writing && v > uint64(len(w.buffer)) {
		w.fail()
		return 0
	}
	return int(v)
}

func (w *fieldCodec) text(x *string) {
	n := w.length(len(*x), maxTextLength)
	switch {
	case w.failed:
		*x = ""
	case w.writing:
		w.buffer = append(w.buffer, *x...)
		w.finishField(n == 0)
	default:
		*x, w.buffer = w.storage.name(w.buffer[:n]), w.buffer[n:]
	}
}

// bytes that were read lie in the reader's buffer.
func (w *fieldCodec) bytes(x *[]byte) {
	n := w.length(len(*x), MaxPayloadSize)
	switch {
	case w.failed:
		*x = nil
	case w.writing:
		w.buffer = append(w.buffer, *x...)
		w.finishField(n == 0)
	case n == 0:
		*x = nil
	default:
		*x, w.buffer = w.buffer[:n:n], w.buffer[n:]
	}
}

// message walks the fields of a message but its kind and epoch. known is false for a kind of a later version.
func (w *fieldCodec) message(m *message.Message) (known bool) {
	switch m.Kind {
	case message.KindHandshake, message.KindPeerHandshake:
		w.handshake(m)
	case message.KindHandshakeAccept:
		w.handshake(m)
		w.int(&m.Credit)
	case message.KindRequestOffer:
		w.unsigned(&m.RequestID)
		w.requestSummary(m)
	case message.KindAttemptEnded:
		w.unsigned(&m.RequestID)
		w.int(&m.Attempt)
		w.result(&m.Result)
		w.byte((*uint8)(&m.Reason))
	case message.KindAttemptStarted, message.KindCancelCommand:
		w.unsigned(&m.RequestID)
		w.int(&m.Attempt)
	case message.KindAttemptProgress:
		w.unsigned(&m.RequestID)
		w.int(&m.Attempt)
		w.float(&m.Fraction)
	case message.KindRequestClosed, message.KindFailCommand:
		w.unsigned(&m.RequestID)
	case message.KindHealthCheckResult:
		w.fixed(&m.WorkerID)
		w.result(&m.Result)
	case message.KindHeartbeat:
		w.unsigned(&m.Sequence)
	case message.KindCreditUpdate:
		w.int(&m.Credit)
	case message.KindSendCommand:
		w.unsigned(&m.RequestID)
		w.int(&m.Attempt)
		w.fixed(&m.WorkerID)
		w.duration(&m.Timeout)
	case message.KindRejectCommand:
		w.unsigned(&m.RequestID)
		w.duration(&m.RetryAfter)
	case message.KindHealthCheckCommand, message.KindCloseIdleCommand:
		w.fixed(&m.WorkerID)
	case message.KindTransferCommand:
		w.unsigned(&m.RequestID)
		w.text(&m.Name)
	case message.KindHeartbeatReply:
		w.unsigned(&m.Sequence)
		w.duration(&m.TimerLag)
	case message.KindModelSnapshot:
		w.duration(&m.Age)
		w.bytes(&m.Data)
	case message.KindGoodbye:
	case message.KindWorkerStatus:
		w.workerStatus(m)
	case message.KindLoadReport:
		w.loadReport(m)
	default:
		return false
	}
	return true
}

// handshake is what all versions write alike.
func (w *fieldCodec) handshake(m *message.Message) {
	w.text(&m.Name)
	w.fixed(&m.Incarnation)
	w.int(&m.Version)
}

func (w *fieldCodec) requestSummary(m *message.Message) {
	if w.writing {
		if m.Summary == nil {
			w.failed = true
			return
		}
	} else {
		w.storage.head = message.RequestSummary{}
		m.Summary = &w.storage.head
	}
	h := m.Summary
	keyed := h.Key != 0
	w.int(&h.Class)
	w.duration(&h.Remaining)
	w.float(&h.Slots)
	w.duration(&h.Hint)
	if w.flags(&h.Retry, &keyed); keyed {
		w.fixed(&h.Key)
	}
	w.int(&h.Tenant)
	w.float(&h.Memory)
	w.duration(&h.Waited)
	w.int(&h.Transfers)
	w.attempts(h)
}

// attempts have lengths of their own, so that they may grow like messages.
func (w *fieldCodec) attempts(h *message.RequestSummary) {
	n := w.length(len(h.Attempts), maxAttempts)
	if w.failed {
		return
	}
	if w.writing {
		for i := range h.Attempts {
			at := len(w.buffer)
			w.buffer = append(w.buffer, 0)
			inner := fieldCodec{buffer: w.buffer, significant: len(w.buffer), writing: true}
			inner.pastAttempt(&h.Attempts[i])
			w.buffer = inner.buffer[:inner.significant]
			w.buffer[at] = byte(inner.significant - at - 1) // 30 at most
			w.failed = w.failed || inner.failed
			w.finishField(false)
		}
		return
	}
	p := w.storage
	p.attempts = p.attempts[:0]
	for range n {
		size := w.length(0, MaxPayloadSize)
		if w.failed {
			return
		}
		inner := fieldCodec{buffer: w.buffer[:size], storage: p}
		p.attempts = append(p.attempts, message.PastAttempt{})
		inner.pastAttempt(&p.attempts[len(p.attempts)-1])
		w.failed = w.failed || inner.failed
		w.buffer = w.buffer[size:]
	}
	if h.Attempts = p.attempts; n == 0 {
		h.Attempts = nil
	}
}

func (w *fieldCodec) pastAttempt(p *message.PastAttempt) {
	w.fixed(&p.WorkerID)
	w.duration(&p.SentAgo)
	w.flags(&p.Ended, &p.PossiblyExecuted)
	w.result(&p.Result)
	w.duration(&p.StartedAgo)
}

func (w *fieldCodec) workerStatus(m *message.Message) {
	if w.writing {
		if m.Status == nil {
			w.failed = true
			return
		}
	} else {
		w.storage.word = message.WorkerStatus{}
		m.Status = &w.storage.word
	}
	w.fixed(&m.Status.WorkerID)
	w.byte((*uint8)(&m.Status.State))
	w.signed(&m.Status.StartedMs)
	w.signed(&m.Status.Revision)
}

func (w *fieldCodec) loadReport(m *message.Message) {
	if w.writing {
		if m.LoadReport == nil {
			w.failed = true
			return
		}
	} else {
		w.storage.load = message.LoadReport{}
		m.LoadReport = &w.storage.load
	}
	w.int(&m.LoadReport.OpenRequests)
	w.int(&m.LoadReport.QueuedRequests)
	w.int(&m.LoadReport.Forwarders)
	w.duration(&m.LoadReport.TimerLag)
	w.float(&m.LoadReport.UsedSlots)
	w.float(&m.LoadReport.FreeSlots)
}
