package link

import (
	"log/slog"
	"strconv"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// responseSlot is one request's place in the order of answers. It is the Asker of a query.
type responseSlot struct {
	connection *clientConnection
	request    *requests.Request // while it is served
	keepAlive  bool              // the request lets the link live on
	isComplete bool
	statusCode int
	body       []byte
	retryAfter time.Duration
}

// maxResponseSlots is how many requests of a link are taken in at once. A client sends one at a time; one that does
// not wait for its answers is served in turn, and its time counts from when each request came.
const maxResponseSlots = 16

// maxUnreadOutput is how much of a link's answers may wait to be read before no more is taken in.
const maxUnreadOutput = http1.MaxBodySize

// reserveSlot gives a request its turn; one that does not let the link live on is the last.
func (k *clientConnection) reserveSlot(keep bool) *responseSlot {
	t := &responseSlot{connection: k, keepAlive: keep}
	k.slots = append(k.slots, t)
	k.lastRequestRead = k.lastRequestRead || !keep
	return t
}

// complete answers a turn. Answers leave in the order in which the requests came.
func (t *responseSlot) complete(status int, body []byte, retry time.Duration) {
	k := t.connection
	if t.request != nil && k.isLogEnabled(slog.LevelInfo) {
		k.logEvent(slog.LevelInfo, "query answered", slog.String("query", t.request.CallID), slog.Int("status", status))
	}
	if t.request = nil; t.isComplete || !k.IsOpen() {
		return
	}
	t.isComplete, t.statusCode, t.body, t.retryAfter = true, status, body, retry
	k.listener.loop.Protect(k, k.sendResponses)
}

func (k *clientConnection) sendResponses() {
	for k.IsOpen() && len(k.slots) > 0 && k.slots[0].isComplete {
		t := k.slots[0]
		if k.slots = k.slots[1:]; len(k.slots) == 0 {
			k.slots = nil
		}
		k.lastActivity = k.listener.loop.Now()
		// A link that ends says so with its last answer.
		k.lastRequestRead = k.lastRequestRead || k.closesAfterResponse() && len(k.slots) == 0 && len(k.Input()) == k.currentRequestSize
		fields := ""
		if t.retryAfter > 0 {
			fields = "Retry-After: " + strconv.FormatFloat(t.retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
		}
		b := http1.AppendResponse(k.listener.loop.writeBuffer[:0], t.statusCode, fields, t.body, !k.lastRequestRead || len(k.slots) > 0)
		if k.listener.loop.writeBuffer = b[:0]; cap(b) > 4*http1.MaxBodySize {
			k.listener.loop.writeBuffer = nil
		}
		if err := k.Send(b); err != nil {
			k.terminate()
			return
		}
	}
	if k.updateBufferedBytes(); k.IsOpen() && (len(k.slots) == 0 || len(k.Input()) > 0) {
		k.listener.loop.StartTimer(0, k, k.readRequests) // what came in meanwhile has its turn, though not in the midst of a step
	}
}

// respond answers at once.
func (t *responseSlot) respond(status int, body string) { t.complete(status, []byte(body), 0) }

// RespondResult hands on what a worker node made.
func (t *responseSlot) RespondResult(result []byte) { t.complete(200, result, 0) }

// RespondRejected refuses; the client may come back.
func (t *responseSlot) RespondRejected(after time.Duration) { t.complete(503, nil, after) }

// RespondFailed promises nothing.
func (t *responseSlot) RespondFailed() { t.complete(500, nil, 0) }
