package link

import (
	"strconv"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	healthCheckTimeout = 500 * time.Millisecond // an answer to a probe is worth nothing later
	cancelTimeout      = time.Second
	responseGrace      = time.Second // a link outlasts its attempt by so long, in case the answer still comes

	maxSingleWrite = 4 << 10 // a request of that size goes into any socket's buffer whole
)

type exchangeKind int

const (
	exchangeAttempt exchangeKind = iota
	exchangeHealthCheck
	exchangeCancel
)

// exchange is what a link is used for, one at a time.
type exchange struct {
	kind    exchangeKind
	attempt *requests.Attempt // nil for a probe
}

// assign gives the link its errand.
func (k *workerConnection) assign(e exchange) {
	k.exchange, k.lastKind, k.stage = e, e.kind, requests.StageNotConnected
	if e.kind == exchangeAttempt {
		k.pool.byAttempt[e.attempt] = k
	}
}

// writeRequest sends the errand's request. What the worker node is told to have for an attempt is what is left now, however late the
// connection came up. A large request may go in parts: that it takes the time for a connection at most is taken off.
func (k *workerConnection) writeRequest() {
	l, a := k.pool.loop, k.exchange.attempt
	var parts time.Duration
	b, host := l.writeBuffer[:0], k.endpoint.address.String()
	switch k.exchange.kind {
	case exchangeAttempt:
		left := a.At - l.Clock()
		if left < time.Millisecond { // the ledger gives it up in a moment, and the link ends with it
			l.StopTimer(k.timer)
			return
		}
		p := &a.Request.Payload
		if parts = min(k.pool.connectTimeout, left/2); len(p.Body) > maxSingleWrite {
			left -= parts
		}
		b = http1.AppendRequestStart(b, p.Method, p.Path, host)
		b = http1.AppendField(b, "X-Call-Id", a.Request.CallID)
		b = http1.AppendField(b, "Idempotency-Key", p.IdempotencyKey)
		b = append(b, "X-Budget-Ms: "...)
		b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(p.Body)), 10)
		b = append(b, "\r\n\r\n"...)
		b = append(b, p.Body...)
		k.setTimeout(parts)
	case exchangeHealthCheck:
		b = append(http1.AppendRequestStart(b, "GET", "/alive", host), "\r\n"...)
		k.setTimeout(healthCheckTimeout)
	case exchangeCancel:
		b = append(http1.AppendRequestStart(b, "DELETE", "/jobs/"+a.Request.CallID, host), "\r\n"...)
		k.setTimeout(cancelTimeout)
	}
	l.writeBuffer = b
	k.state = workerAwaitingResponse
	k.setStage(requests.StagePartlyWritten)
	if err := k.Send(b); err != nil {
		k.terminate(err)
		return
	}
	k.reportIfWritten()
}

// reportIfWritten notes once the last byte has left: from there on it may run.
func (k *workerConnection) reportIfWritten() {
	if len(k.Output()) == 0 && k.stage < requests.StageWritten {
		k.setStage(requests.StageWritten)
		if a := k.exchange.attempt; k.exchange.kind == exchangeAttempt {
			k.setTimeout(a.At - k.pool.loop.Now() + responseGrace)
			k.pool.loop.Requests.ReportWritten(a)
		}
	}
}

func (k *workerConnection) setStage(stage requests.Stage) {
	if k.stage = stage; k.exchange.kind == exchangeAttempt {
		k.exchange.attempt.Stage = stage
	}
}

// isObsolete tells whether what it was to write has ended before its last byte was written, by a late note of an attempt
// before: what is written on would be a send after the query was over, or one more than the module knows of. Nor is a
// DELETE of any use once the worker node has told how the attempt ended.
func (k *workerConnection) isObsolete() bool {
	a := k.exchange.attempt
	return k.stage < requests.StageWritten && a != nil && (k.exchange.kind == exchangeAttempt && a.HasEnded() || a.EndedByWorker())
}

// finishExchange ends the errand.
func (k *workerConnection) finishExchange(fault *requests.AttemptError) {
	e := k.exchange
	k.exchange = exchange{kind: exchangeCancel}
	switch e.kind {
	case exchangeAttempt:
		delete(k.pool.byAttempt, e.attempt)
		k.pool.loop.Requests.EndAttempt(e.attempt, nil, fault)
	case exchangeHealthCheck:
		k.pool.loop.Requests.HealthChecked(k.endpoint.worker, fault)
	case exchangeCancel:
		if e.attempt != nil {
			k.pool.handleCancelResult(e.attempt, fault)
		}
	}
}
