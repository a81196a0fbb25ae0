package scheduler

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// Durations of internal/worker that tests of the whole depend on.
const (
	reuseDelay        = 10 * time.Millisecond // between two attempts on a connection
	smallWriteTimeout = 50 * time.Millisecond // for the rest of a request that a predecessor had begun to write
)

// longestHold is how long a process may be held up.
const longestHold = 150 * time.Millisecond

type noResponder struct{}

func (noResponder) RespondResult([]byte)          {}
func (noResponder) RespondRejected(time.Duration) {}
func (noResponder) RespondFailed()                {}

// delayedPeer is a far end whose connection is not up yet: the loop's side takes nothing until release.
type delayedPeer struct {
	*peer
	filledBytes int
}

// delayConnections has connections come up late from now on. It gives those that were opened, in order, of which the last is the newest.
func (w *harness) delayConnections() *[]*delayedPeer {
	opened := &[]*delayedPeer{}
	w.scheduler.dial = func(at netip.AddrPort) (int, error) {
		p, fd := w.socketPair()
		p.dialedAddress = at
		w.dialed = append(w.dialed, p)
		*opened = append(*opened, &delayedPeer{p, fillSocket(fd)})
		return fd, nil
	}
	return opened
}

// fillSocket fills a socket's buffer, so that it takes nothing more.
func fillSocket(fd int) (held int) {
	b := make([]byte, 512)
	for {
		n, err := unix.Write(fd, b)
		if errors.Is(err, unix.EAGAIN) {
			return held
		}
		held += n
	}
}

// release lets the connection come up.
func (p *delayedPeer) release() {
	for b := make([]byte, 4096); p.filledBytes > 0; {
		n, err := unix.Read(p.fd, b[:min(len(b), p.filledBytes)])
		if err != nil || n == 0 {
			return
		}
		p.filledBytes -= n
	}
}

// attemptHarness is a harness with requests that are sent to its one worker.
type attemptHarness struct {
	*harness
	requests []*requests.Request
}

// runActions has the policy do something in one iteration.
func (w *attemptHarness) runActions(actions ...dispatch.Action) {
	w.policy.Next = append(w.policy.Next, actions...)
	w.scheduler.Requests.Wake()
	w.runIterations()
}

// sendAttempt has an attempt made of a new request.
func (w *attemptHarness) sendAttempt(size int) *requests.Request {
	w.T.Helper()
	q, err := w.scheduler.Requests.Admit(w.now, requests.Arrival{
		CallID: fmt.Sprint("q", len(w.requests)), Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: noResponder{},
	})
	if err != nil {
		w.T.Fatal(err)
	}
	w.requests = append(w.requests, q)
	w.runActions(dispatch.Send{Job: q.ID, Worker: w.workerNumber()})
	return q
}

const acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// acceptedAttempt has an attempt made and accepted, and then loses its connection, so that what follows needs another.
func (w *attemptHarness) acceptedAttempt() *requests.Request {
	q := w.sendAttempt(0)
	p := w.dialed[len(w.dialed)-1]
	p.read(1 << 12)
	p.write([]byte(acceptedResponse))
	w.runIterations()
	p.close()
	w.runIterations()
	return q
}

// outcomes are the results that the policy has received for a request's attempts.
func (w *attemptHarness) outcomes(q *requests.Request) (results []dispatch.Result) {
	for _, e := range w.policy.Received {
		if o, ok := e.(dispatch.Outcome); ok && o.Job == q.ID {
			results = append(results, o.Result)
		}
	}
	return results
}

func (w *attemptHarness) expect(what string, q *requests.Request, want ...dispatch.Result) {
	w.T.Helper()
	if got := w.outcomes(q); !slices.Equal(got, want) {
		w.T.Errorf("%s: outcomes %v, expected %v", what, got, want)
	}
}

// hasDelete reports whether the remote end has received a DELETE for a request.
func (p *peer) hasDelete(q *requests.Request) bool {
	p.read(1 << 12)
	return strings.HasPrefix(string(p.received), "DELETE /jobs/"+q.CallID+" ")
}

// respondDelete has a far end answer a DELETE.
func (w *attemptHarness) respondDelete(p *peer) {
	p.write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	w.runIterations()
}
