package link

import (
	"errors"
	"log/slog"
	"time"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
)

// maxReadAhead is how much is read and kept while answers are due: a whole message and the start of another. Where there
// is memory it may be mostHoarded. What comes beyond that is taken in unread, so that the client's end is noticed all the
// same: the requests that are kept are answered, one more is refused, and the link ends.
const (
	maxReadAhead           = http1.MaxHeaderSize + http1.MaxBodySize
	maxReadAheadWithMemory = 8 * maxReadAhead
)

// readRequests takes in what can be taken.
func (k *clientConnection) readRequests() {
	for !k.lastRequestRead && k.IsOpen() && len(k.slots) < maxResponseSlots && len(k.Output()) <= maxUnreadOutput && len(k.Input()) > 0 && k.readProxyHeader() {
		m := &k.listener.loop.request
		n, err := m.Parse(k.Input())
		var bad *http1.ParseError
		if errors.As(err, &bad) {
			k.rejectInput(bad.StatusCode, bad.Reason+"\n")
			break
		}
		if err != nil {
			if k.usefulRequestSeen {
				k.leaveWaitingList()
			}
			if k.inputOverrun {
				k.rejectOverrun()
			} else if k.listener.bufferedBytes > k.listener.maxBufferedBytes && len(k.Input()) > eventloop.MaxIdleBuffer {
				k.rejectInput(503, "no memory for a large request now\n")
			} else if m.ExpectContinue && !k.continueSent && len(k.slots) == 0 {
				k.continueSent = true
				_ = k.Send([]byte(http1.ContinueResponse))
			}
			break
		}
		k.leaveWaitingList()
		if !k.requestSeen && k.isLogEnabled(slog.LevelInfo) {
			k.logEvent(slog.LevelInfo, "client link open")
		}
		k.continueSent, k.requestSeen, k.lastActivity = false, true, k.listener.loop.Now()
		k.currentRequestSize, k.currentArrival = n, k.arrivalTime(n)
		k.handleRequest(m, k.reserveSlot(m.KeepAlive))
		if k.currentRequestSize = 0; k.IsOpen() {
			k.Consume(n)
		}
	}
	if k.inputOverrun && !k.lastRequestRead && len(k.Input()) == 0 && len(k.slots) < maxResponseSlots {
		k.rejectOverrun()
	}
	if !k.IsOpen() {
		return
	}
	if k.lastRequestRead {
		k.DropInput()
		k.arrivals = nil
	}
	k.recordArrival()
	k.inputOverrun = k.inputOverrun || k.exceedsReadAhead()
	if k.halfClosed && len(k.slots) > 0 {
		if k.probeHalfClosed(); !k.IsOpen() {
			return
		}
	}
	k.updateInputEvents()
	switch {
	case len(k.slots) > 0 || len(k.Output()) > 0:
	case k.inputEnded:
		k.terminate()
		return
	case k.lastRequestRead && !k.lingering:
		k.linger(&k.listener.finished)
	case len(k.Input()) == 0 && !k.lastRequestRead:
		if k.becomeIdle(); k.closesAfterResponse() && k.requestSeen {
			k.linger(&k.listener.finished)
		}
	}
	k.updateBufferedBytes()
}

// rejectInput answers what can't be read any further; the link ends with that.
func (k *clientConnection) rejectInput(status int, what string) {
	k.leaveWaitingList()
	k.listener.loop.Requests.ReportRejection(nil, status)
	k.reserveSlot(false).respond(status, what)
}

// arrival is when some bytes came that wait to be looked at.
type arrival struct {
	bytes int
	at    time.Duration
}

const arrivalResolution = 100 * time.Millisecond // a client may send a byte at a time

// recordArrival remembers when what waits came; what came shortly after other bytes counts as come with them.
func (k *clientConnection) recordArrival() {
	fresh := len(k.Input())
	for _, a := range k.arrivals {
		fresh -= a.bytes
	}
	if last := len(k.arrivals) - 1; fresh > 0 && last >= 0 && k.listener.loop.Now()-k.arrivals[last].at < arrivalResolution {
		k.arrivals[last].bytes += fresh
	} else if fresh > 0 {
		k.arrivals = append(k.arrivals, arrival{fresh, k.listener.loop.Now()})
	}
}

// arrivalTime tells when the last of the first n bytes that wait came.
func (k *clientConnection) arrivalTime(n int) time.Duration {
	for _, a := range k.arrivals {
		if n -= a.bytes; n <= 0 {
			return a.at
		}
	}
	return k.listener.loop.Now()
}

// Consume drops the first n bytes of what has come in.
func (k *clientConnection) Consume(n int) {
	k.Stream.Consume(n)
	for len(k.arrivals) > 0 && k.arrivals[0].bytes <= n {
		n -= k.arrivals[0].bytes
		k.arrivals = k.arrivals[1:]
	}
	if len(k.arrivals) == 0 {
		k.arrivals = nil
	} else {
		k.arrivals[0].bytes -= n
	}
}

func (k *clientConnection) rejectOverrun() { k.rejectInput(503, "too much sent ahead of answers\n") }

// exceedsReadAhead tells whether more has been read ahead of answers than is kept.
func (k *clientConnection) exceedsReadAhead() bool {
	n, held := len(k.Input()), k.listener.bufferedBytes
	return n > maxReadAheadWithMemory || n > maxReadAhead && held > k.listener.maxBufferedBytes/2 || n > eventloop.MaxIdleBuffer && held > k.listener.maxBufferedBytes && len(k.slots) > 0
}
