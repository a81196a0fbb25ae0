package scheduler

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/requests"
)

// Durations of internal/worker that these tests depend on.
const (
	reuseDelay        = 10 * time.Millisecond // between two attempts on a connection
	smallWriteTimeout = 50 * time.Millisecond // for the rest of a request that a predecessor has partly written
)

// maxSuspension is the longest time for which a process may be suspended.
const maxSuspension = 150 * time.Millisecond

type discardingResponder struct{}

func (discardingResponder) RespondResult([]byte)          {}
func (discardingResponder) RespondRejected(time.Duration) {}
func (discardingResponder) RespondFailed()                {}

// delayedPeer is the remote end of a connection that is not established until release is called.
type delayedPeer struct {
	*peer
	filledBytes int
}

// delayConnections makes connections that are opened from now on wait for release. It returns them, the newest last.
func (h *harness) delayConnections() *[]*delayedPeer {
	opened := &[]*delayedPeer{}
	h.scheduler.dial = func(at netip.AddrPort) (int, error) {
		p, fd := h.socketPair()
		p.dialedAddress = at
		h.dialed = append(h.dialed, p)
		*opened = append(*opened, &delayedPeer{p, eventlooptest.FillSocket(fd)})
		return fd, nil
	}
	return opened
}

// release establishes the connection.
func (d *delayedPeer) release() {
	for b := make([]byte, 4096); d.filledBytes > 0; {
		n, err := unix.Read(d.FD, b[:min(len(b), d.filledBytes)])
		if err != nil || n == 0 {
			return
		}
		d.filledBytes -= n
	}
}

// attemptHarness is a harness with requests that are sent to its only worker.
type attemptHarness struct {
	*harness
	requests []*requests.Request
}

// runActions makes the policy return actions in one iteration.
func (a *attemptHarness) runActions(actions ...dispatch.Action) {
	a.policy.Next = append(a.policy.Next, actions...)
	a.scheduler.Requests.Wake()
	a.runIterations()
}

// sendAttempt admits a new request with a body of the given size, and makes the policy send it.
func (a *attemptHarness) sendAttempt(size int) *requests.Request {
	a.T.Helper()
	q, err := a.scheduler.Requests.Admit(a.now, requests.Arrival{
		CallID: fmt.Sprint("q", len(a.requests)), Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: discardingResponder{},
	})
	if err != nil {
		a.T.Fatal(err)
	}
	a.requests = append(a.requests, q)
	a.runActions(dispatch.Send{Job: q.ID, Worker: a.workerNumber()})
	return q
}

const acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// sendAcceptedAttempt sends an attempt that is accepted, and then closes its connection, so that later messages need another one.
func (a *attemptHarness) sendAcceptedAttempt() *requests.Request {
	q := a.sendAttempt(0)
	p := a.dialed[len(a.dialed)-1]
	p.Read(1 << 12)
	p.Write([]byte(acceptedResponse))
	a.runIterations()
	p.Close()
	a.runIterations()
	return q
}

// outcomes returns the results that the policy has received for a request's attempts.
func (a *attemptHarness) outcomes(q *requests.Request) (results []dispatch.Result) {
	for _, e := range a.policy.Received {
		if o, ok := e.(dispatch.Outcome); ok && o.Job == q.ID {
			results = append(results, o.Result)
		}
	}
	return results
}

func (a *attemptHarness) expectOutcomes(what string, q *requests.Request, want ...dispatch.Result) {
	a.T.Helper()
	if got := a.outcomes(q); !slices.Equal(got, want) {
		a.T.Errorf("%s: outcomes %v, expected %v", what, got, want)
	}
}

// hasReceivedDelete reports whether the remote end has received a DELETE for a request.
func (p *peer) hasReceivedDelete(q *requests.Request) bool {
	p.Read(1 << 12)
	return strings.HasPrefix(string(p.Received), "DELETE /jobs/"+q.CallID+" ")
}

// respondDelete answers a DELETE.
func (a *attemptHarness) respondDelete(p *peer) {
	p.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	a.runIterations()
}
