package frame

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// walk writes the fields that it is shown, or reads into them: one walk over a message serves both ways. Read past the
// end of a message, fields are zero.
type walk struct {
	b       []byte // written so far, or left to be read
	end     int    // written, without the zero fields at the end
	writing bool
	bad     bool // a field out of range, or bytes that make no sense

	// Of a reader, reused from message to message.
	parts *parts
}

// parts is what messages that were read point to.
type parts struct {
	head  tier.HeadOf
	word  tier.WordOf
	load  tier.LoadOf
	past  []tier.Past
	names map[string]string
}

// name gives the text of some bytes. Few names go round, so that most are made once.
func (p *parts) name(b []byte) string {
	if s, ok := p.names[string(b)]; ok {
		return s
	}
	if p.names == nil || len(p.names) >= mostNames {
		p.names = make(map[string]string, mostNames)
	}
	s := string(b)
	p.names[s] = s
	return s
}

// wrote ends a field: one that is not zero is kept, with all before it.
func (w *walk) wrote(zero bool) {
	if !zero {
		w.end = len(w.b)
	}
}

func (w *walk) uint(x *uint64) {
	if w.writing {
		w.b = binary.AppendUvarint(w.b, *x)
		w.wrote(*x == 0)
		return
	}
	*x = 0
	if len(w.b) == 0 {
		return
	}
	v, n := binary.Uvarint(w.b)
	if n <= 0 {
		w.fail()
		return
	}
	*x, w.b = v, w.b[n:]
}

func (w *walk) fail() { w.bad, w.b = true, nil }

func (w *walk) signed(x *int64) {
	v := uint64(*x<<1) ^ uint64(*x>>63)
	w.uint(&v)
	*x = int64(v>>1) ^ -int64(v&1)
}

func (w *walk) span(x *time.Duration) { w.signed((*int64)(x)) }

// int is a count or an index, and fits 32 bits.
func (w *walk) int(x *int) {
	v := int64(*x)
	if w.signed(&v); v < math.MinInt32 || v > math.MaxInt32 {
		w.bad, v = true, 0
	}
	*x = int(v)
}

// float is short for numbers of few digits: their low bits, which are zero, come last.
func (w *walk) float(x *float64) {
	v := bits.ReverseBytes64(math.Float64bits(*x))
	w.uint(&v)
	*x = math.Float64frombits(bits.ReverseBytes64(v))
}

// fixed is for hashes and instants, which a varint would make longer.
func (w *walk) fixed(x *uint64) {
	if w.writing {
		w.b = binary.LittleEndian.AppendUint64(w.b, *x)
		w.wrote(*x == 0)
		return
	}
	*x = 0
	switch {
	case len(w.b) == 0:
	case len(w.b) < 8:
		w.fail()
	default:
		*x, w.b = binary.LittleEndian.Uint64(w.b), w.b[8:]
	}
}

func (w *walk) byte(x *uint8) {
	if w.writing {
		w.b = append(w.b, *x)
		w.wrote(*x == 0)
		return
	}
	*x = 0
	if len(w.b) > 0 {
		*x, w.b = w.b[0], w.b[1:]
	}
}

// flags are up to eight in one byte. Those that are not known are skipped.
func (w *walk) flags(xs ...*bool) {
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

func (w *walk) result(x *logic.Result) {
	v := uint8(*x)
	if w.writing && int(*x) != int(v) {
		w.bad = true
	}
	w.byte(&v)
	*x = logic.Result(v)
}

// size is a length, of no more than there are bytes.
func (w *walk) size(n, most int) int {
	v := uint64(n)
	if w.uint(&v); v > uint64(most) || !w.writing && v > uint64(len(w.b)) {
		w.fail()
		return 0
	}
	return int(v)
}

func (w *walk) text(x *string) {
	n := w.size(len(*x), longestText)
	switch {
	case w.bad:
		*x = ""
	case w.writing:
		w.b = append(w.b, *x...)
		w.wrote(n == 0)
	default:
		*x, w.b = w.parts.name(w.b[:n]), w.b[n:]
	}
}

// bytes that were read lie in the reader's buffer.
func (w *walk) bytes(x *[]byte) {
	n := w.size(len(*x), Longest)
	switch {
	case w.bad:
		*x = nil
	case w.writing:
		w.b = append(w.b, *x...)
		w.wrote(n == 0)
	case n == 0:
		*x = nil
	default:
		*x, w.b = w.b[:n:n], w.b[n:]
	}
}

// message walks the fields of a message but its kind and epoch. known is false for a kind of a later version.
func (w *walk) message(m *tier.Message) (known bool) {
	switch m.Kind {
	case tier.Hello, tier.Greet:
		w.opening(m)
	case tier.Welcome:
		w.opening(m)
		w.int(&m.Credit)
	case tier.Head:
		w.uint(&m.Query)
		w.head(m)
	case tier.Ended:
		w.uint(&m.Query)
		w.int(&m.Attempt)
		w.result(&m.Result)
		w.byte((*uint8)(&m.Why))
	case tier.Started, tier.Cancel:
		w.uint(&m.Query)
		w.int(&m.Attempt)
	case tier.Progress:
		w.uint(&m.Query)
		w.int(&m.Attempt)
		w.float(&m.Share)
	case tier.Over, tier.Fail:
		w.uint(&m.Query)
	case tier.Probed:
		w.fixed(&m.Worker)
		w.result(&m.Result)
	case tier.Asked:
		w.uint(&m.Number)
	case tier.Credit:
		w.int(&m.Credit)
	case tier.Send:
		w.uint(&m.Query)
		w.int(&m.Attempt)
		w.fixed(&m.Worker)
		w.span(&m.Patience)
	case tier.Refuse:
		w.uint(&m.Query)
		w.span(&m.After)
	case tier.Probe, tier.Free:
		w.fixed(&m.Worker)
	case tier.Move:
		w.uint(&m.Query)
		w.text(&m.Name)
	case tier.Here:
		w.uint(&m.Number)
		w.span(&m.Late)
	case tier.Snapshot:
		w.span(&m.Age)
		w.bytes(&m.Bytes)
	case tier.Bye:
	case tier.Word:
		w.word(m)
	case tier.Load:
		w.load(m)
	default:
		return false
	}
	return true
}

// opening is what all versions write alike.
func (w *walk) opening(m *tier.Message) {
	w.text(&m.Name)
	w.fixed(&m.Process)
	w.int(&m.Version)
}

func (w *walk) head(m *tier.Message) {
	if w.writing {
		if m.Head == nil {
			w.bad = true
			return
		}
	} else {
		w.parts.head = tier.HeadOf{}
		m.Head = &w.parts.head
	}
	h := m.Head
	keyed := h.Key != 0
	w.int(&h.Class)
	w.span(&h.Left)
	w.float(&h.Slots)
	w.span(&h.Hint)
	if w.flags(&h.Retry, &keyed); keyed {
		w.fixed(&h.Key)
	}
	w.int(&h.Tenant)
	w.float(&h.Memory)
	w.span(&h.Waited)
	w.int(&h.Moves)
	w.attempts(h)
}

// attempts have lengths of their own, so that they may grow like messages.
func (w *walk) attempts(h *tier.HeadOf) {
	n := w.size(len(h.Attempts), mostAttempts)
	if w.bad {
		return
	}
	if w.writing {
		for i := range h.Attempts {
			at := len(w.b)
			w.b = append(w.b, 0)
			inner := walk{b: w.b, end: len(w.b), writing: true}
			inner.past(&h.Attempts[i])
			w.b = inner.b[:inner.end]
			w.b[at] = byte(inner.end - at - 1) // 30 at most
			w.bad = w.bad || inner.bad
			w.wrote(false)
		}
		return
	}
	p := w.parts
	p.past = p.past[:0]
	for range n {
		size := w.size(0, Longest)
		if w.bad {
			return
		}
		inner := walk{b: w.b[:size], parts: p}
		p.past = append(p.past, tier.Past{})
		inner.past(&p.past[len(p.past)-1])
		w.bad = w.bad || inner.bad
		w.b = w.b[size:]
	}
	if h.Attempts = p.past; n == 0 {
		h.Attempts = nil
	}
}

func (w *walk) past(p *tier.Past) {
	w.fixed(&p.Worker)
	w.span(&p.Ago)
	w.flags(&p.Ended, &p.MayRun)
	w.result(&p.Result)
	w.span(&p.Began)
}

func (w *walk) word(m *tier.Message) {
	if w.writing {
		if m.Word == nil {
			w.bad = true
			return
		}
	} else {
		w.parts.word = tier.WordOf{}
		m.Word = &w.parts.word
	}
	w.fixed(&m.Word.Worker)
	w.byte((*uint8)(&m.Word.State))
	w.signed(&m.Word.StartedMs)
	w.signed(&m.Word.Generation)
}

func (w *walk) load(m *tier.Message) {
	if w.writing {
		if m.Load == nil {
			w.bad = true
			return
		}
	} else {
		w.parts.load = tier.LoadOf{}
		m.Load = &w.parts.load
	}
	w.int(&m.Load.Heads)
	w.int(&m.Load.Held)
	w.int(&m.Load.Forwarders)
	w.span(&m.Load.Late)
	w.float(&m.Load.Slots)
	w.float(&m.Load.Room)
}
