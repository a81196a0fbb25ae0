package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"valvecove/internal/http1"
	"valvecove/internal/testbed/simapi"
)

// LoadOptions describe an open load on one address: requests become due at random times, independent of the outcomes of
// earlier ones.
type LoadOptions struct {
	Target   string                            // address and port, on 127.0.0.0/8
	Rate     float64                           // requests a second
	Conns    int                               // connections, kept alive; default 256
	Threads  int                               // threads that generate the load; default 2
	PinCores []int                             // processor cores for the threads, assigned in turn; empty: any
	Length   time.Duration                     // of the measurement, after the warm-up
	WarmUp   time.Duration                     // of the warm-up, whose requests are not counted
	Grace    time.Duration                     // how long responses are awaited after the measurement; default 1 s
	Seed     uint64                            // of the random times
	Request  func(thread int, n uint64) []byte // request n of a thread; used until the next call. Default: GET /up
}

// LoadResult has the outcome of a load, without the warm-up.
type LoadResult struct {
	Scheduled  uint64 // requests that became due
	Answered   uint64 // requests with a response of any status
	Failed     uint64 // requests whose connection was lost, or for which the queue had no place
	Unanswered uint64 // requests without a response at the end
	Status     map[int]uint64
	Length     time.Duration
	Rate       float64 // responses a second
	// Latency is the time from when a request was due to the last byte of its response, so that it includes the time in
	// which the request waited for earlier ones. Lateness is the part that the load generator caused: from when the
	// request was due to when its thread handled it. Both are in microseconds.
	Latency, Lateness *hdrhistogram.Histogram
}

// InvalidReason says why the result is invalid, because the load generator was late; empty if it is valid.
func (r *LoadResult) InvalidReason() string {
	return latenessMeter{r.Lateness}.lateness().InvalidReason()
}

const maxWaiting = 1 << 20 // requests of one thread that may wait for a connection

var errInvalidLoad = errors.New("a load needs a target on 127.0.0.0/8, a positive rate and a positive length")

// Load generates a load on an address. It blocks until the load has ended.
func Load(ctx context.Context, loadOptions LoadOptions) (LoadResult, error) {
	address, err := netip.ParseAddrPort(loadOptions.Target)
	if err != nil {
		return LoadResult{}, fmt.Errorf("target: %w", err)
	}
	if !address.Addr().IsLoopback() || !address.Addr().Is4() || loadOptions.Rate <= 0 || loadOptions.Length <= 0 {
		return LoadResult{}, errInvalidLoad
	}
	setDefault(&loadOptions.Conns, 256)
	setDefault(&loadOptions.Threads, 2)
	setDefault(&loadOptions.Grace, time.Second)
	if loadOptions.Request == nil {
		up := append(http1.AppendRequestStart(nil, http.MethodGet, "/up", loadOptions.Target), "\r\n"...)
		loadOptions.Request = func(int, uint64) []byte { return up }
	}
	threads := make([]*loadThread, loadOptions.Threads)
	for i := range threads {
		if threads[i], err = newLoadThread(&loadOptions, address, i); err != nil {
			for _, t := range threads[:i] {
				t.close()
			}
			return LoadResult{}, err
		}
	}
	var all sync.WaitGroup
	began := time.Now()
	for _, t := range threads {
		t.startedAt = began
		all.Go(func() { t.failure = t.run(ctx) })
	}
	all.Wait()
	r := LoadResult{
		Status: map[int]uint64{}, Length: loadOptions.Length, Latency: newLatenessMeter().spans,
		Lateness: newLatenessMeter().spans,
	}
	for _, t := range threads {
		err = errors.Join(err, t.failure)
		r.add(&t.result)
	}
	r.Rate = float64(r.Answered) / loadOptions.Length.Seconds()
	return r, err
}

func setDefault[T int | time.Duration](x *T, by T) {
	if *x <= 0 {
		*x = by
	}
}

func (r *LoadResult) add(o *LoadResult) {
	r.Scheduled += o.Scheduled
	r.Answered += o.Answered
	r.Failed += o.Failed
	r.Unanswered += o.Unanswered
	for s, n := range o.Status {
		r.Status[s] += n
	}
	r.Latency.Merge(o.Latency)
	r.Lateness.Merge(o.Lateness)
}

// loadThread generates one thread's part of the load: an event loop with its own connections.
type loadThread struct {
	*poller
	options     *LoadOptions
	target      netip.AddrPort
	number      int
	rng         *rand.Rand
	meanGap     float64 // mean time between two requests, in nanoseconds
	nextDue     time.Duration
	sent        uint64
	conns       []*loadConn
	idle        []*loadConn     // in the order of their last use; the first is used next
	waiting     []time.Duration // due times of requests that wait for a connection
	outstanding int             // requests in flight or waiting
	reader      *reader
	result      LoadResult
	failure     error
}

// loadConn is a connection. It carries one request at a time.
type loadConn struct {
	socketConn
	thread *loadThread
	dueAt  time.Duration // of its request
	busy   bool          // a request is in flight
}

func newLoadThread(o *LoadOptions, address netip.AddrPort, n int) (*loadThread, error) {
	created, err := newPoller()
	if err != nil {
		return nil, err
	}
	t := &loadThread{
		poller: created, options: o, target: address, number: n, rng: rand.New(rand.NewPCG(o.Seed, uint64(n))), reader: newReader(),
		meanGap: float64(time.Second) * float64(o.Threads) / o.Rate,
	}
	t.result = LoadResult{Status: map[int]uint64{}, Latency: newLatenessMeter().spans, Lateness: newLatenessMeter().spans}
	for range max(1, o.Conns/o.Threads) {
		c := &loadConn{thread: t}
		if err := created.dial(&c.socketConn, netip.AddrPort{}, address, c); err != nil {
			t.close()
			return nil, fmt.Errorf("connecting to %v: %w", address, err)
		}
		t.conns, t.idle = append(t.conns, c), append(t.idle, c)
	}
	return t, nil
}

func (t *loadThread) close() {
	for _, c := range t.conns {
		c.reset()
	}
	t.poller.close()
}

// pin locks the goroutine to its thread, and binds the thread to a core; if no cores are given, to none.
func pin(cores []int, n int) error {
	runtime.LockOSThread()
	if len(cores) == 0 {
		return nil
	}
	var set unix.CPUSet
	set.Set(cores[n%len(cores)])
	return unix.SchedSetaffinity(0, &set)
}

func (t *loadThread) run(ctx context.Context) error {
	defer t.close()
	// The goroutine stays locked, so that its thread ends with it: no other goroutine may run on a thread bound to a core.
	if err := pin(t.options.PinCores, t.number); err != nil {
		return err
	}
	end := t.options.WarmUp + t.options.Length
	last := end + t.options.Grace
	for {
		now := t.clock()
		for t.nextDue <= now && t.nextDue < end {
			t.requestDue(now)
		}
		if now >= last || now >= end && t.outstanding == 0 || ctx.Err() != nil {
			break
		}
		until := last
		if now < end {
			until = min(t.nextDue, end)
		}
		if err := t.wait(until, true); err != nil {
			return err
		}
	}
	t.result.Unanswered = t.result.Scheduled - t.result.Answered - t.result.Failed
	return ctx.Err()
}

// requestDue sends the next request, or queues it while all connections are busy, and determines when the one after it
// is due.
func (t *loadThread) requestDue(now time.Duration) {
	dueAt := t.nextDue
	t.nextDue += time.Duration(t.rng.ExpFloat64() * t.meanGap)
	if dueAt >= t.options.WarmUp {
		t.result.Scheduled++
		_ = t.result.Lateness.RecordValue((now - dueAt).Microseconds())
	}
	t.outstanding++
	switch {
	case len(t.idle) > 0:
		t.sendRequest(dueAt)
	case len(t.waiting) < maxWaiting:
		t.waiting = append(t.waiting, dueAt)
	default:
		t.requestLost(dueAt)
	}
}

// sendRequest sends a request on the connection that has been idle longest.
func (t *loadThread) sendRequest(dueAt time.Duration) {
	c := t.idle[0]
	t.idle = t.idle[1:]
	c.dueAt, c.busy = dueAt, true
	c.write(t.options.Request(t.number, t.sent))
	t.sent++
}

// requestLost counts a failed request, unless it was due in the warm-up.
func (t *loadThread) requestLost(dueAt time.Duration) {
	if t.outstanding--; dueAt >= t.options.WarmUp {
		t.result.Failed++
	}
}

// release marks a connection as idle, and sends the request that has waited longest, if there is one.
func (t *loadThread) release(c *loadConn) {
	if t.idle = append(t.idle, c); len(t.waiting) > 0 {
		dueAt := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.sendRequest(dueAt)
	}
}

func (c *loadConn) dataReceived(int) {
	status, n, ended := parseSimpleResponse(c.received)
	if n == 0 && !ended {
		a, _, m, err := c.thread.reader.response(c.received, false)
		if err != nil || m == 0 {
			if err != nil {
				c.fail(err)
			}
			return
		}
		status, n, ended = a.StatusCode, m, a.Close
	}
	if n == 0 {
		return
	}
	t := c.thread
	if c.consume(n); !c.busy {
		c.fail(nil)
		return
	}
	c.busy = false
	if t.outstanding--; c.dueAt >= t.options.WarmUp {
		t.result.Answered++
		t.result.Status[status]++
		_ = t.result.Latency.RecordValue((t.clock() - c.dueAt).Microseconds())
	}
	if ended {
		c.fail(nil)
		return
	}
	t.release(c)
}

// connClosed fails the request in flight and opens the connection again.
func (c *loadConn) connClosed(error) {
	t := c.thread
	idle := !c.busy
	if c.busy {
		c.busy = false
		t.requestLost(c.dueAt)
	}
	if idle {
		for i, k := range t.idle {
			if k == c {
				t.idle = append(t.idle[:i:i], t.idle[i+1:]...)
				break
			}
		}
	}
	if err := t.dial(&c.socketConn, netip.AddrPort{}, t.target, c); err == nil {
		t.release(c)
	}
}

// parseSimpleResponse parses a response of the most common form at the start of b, faster than reader.response. n is its
// length, or 0 if it is incomplete or of another form. ended says that its connection closes after it.
func parseSimpleResponse(b []byte) (status, n int, ended bool) {
	headerLen := bytes.Index(b, headerEnd)
	if headerLen < 12 || !bytes.HasPrefix(b, []byte("HTTP/1.1 ")) {
		return 0, 0, false
	}
	status, err := strconv.Atoi(string(b[9:12]))
	if err != nil || status < 200 {
		return 0, 0, false
	}
	length := 0
	switch value, ok := findField(b[:headerLen+2], "\r\nContent-Length: "); {
	case ok:
		if length, err = strconv.Atoi(string(value)); err != nil || length < 0 || length > maxBody {
			return 0, 0, false
		}
	case status != http.StatusNoContent:
		return 0, 0, false
	}
	if n = headerLen + len(headerEnd) + length; n > len(b) {
		return 0, 0, false
	}
	value, _ := findField(b[:headerLen+2], "\r\nConnection: ")
	return status, n, string(value) == "close"
}

// findField returns the value of a header field. name is the text from the line break before the field to its value, in
// the exact spelling. Every line of the header has its line break.
func findField(header []byte, name string) (value []byte, ok bool) {
	at := bytes.Index(header, []byte(name))
	if at < 0 {
		return nil, false
	}
	value = header[at+len(name):]
	return value[:bytes.IndexByte(value, '\r')], true
}

// ---- A server as a baseline ----

// Responder answers every request with an empty 200 as fast as it can. A load on it shows what the load generator itself
// can do.
type Responder struct {
	Addr    string
	threads []*responderThread
	closed  atomic.Bool
	running sync.WaitGroup
}

type responderThread struct {
	*poller
	listener *listener
	conns    map[*responderConn]struct{}
	failure  error
}

type responderConn struct {
	socketConn
	thread *responderThread
}

// StartResponder starts a responder at an address of 127.0.0.0/8; if the port is 0, the kernel chooses one. It has a number
// of threads, which are bound to the cores in turn if there are any.
func StartResponder(at string, threads int, cores []int) (*Responder, error) {
	address, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, err
	}
	if !address.Addr().IsLoopback() || !address.Addr().Is4() {
		return nil, fmt.Errorf("%v is not an address of 127.0.0.0/8", address)
	}
	responder := &Responder{}
	for i := range threads {
		t := &responderThread{conns: map[*responderConn]struct{}{}}
		if t.poller, err = newPoller(); err != nil {
			break
		}
		responder.threads = append(responder.threads, t)
		if t.listener, err = t.listenShared(address, t.accept, func(err error) { t.failure = err }); err != nil {
			break
		}
		address = t.listener.address
		if err = t.listener.setMode(simapi.AcceptAll); err != nil {
			break
		}
		responder.running.Go(func() {
			if t.failure = pin(cores, i); t.failure == nil {
				responder.run(t)
			}
		})
	}
	if responder.Addr = address.String(); err != nil {
		return nil, errors.Join(err, responder.Close())
	}
	return responder, nil
}

// Close stops the responder, and returns the errors that its threads met.
func (r *Responder) Close() (err error) {
	r.closed.Store(true)
	for _, t := range r.threads {
		t.wake()
	}
	r.running.Wait()
	for _, t := range r.threads {
		for c := range t.conns {
			c.reset()
		}
		if t.listener != nil {
			t.listener.close()
		}
		t.close()
		err = errors.Join(err, t.failure)
	}
	return err
}

func (r *Responder) run(t *responderThread) {
	for t.failure == nil && !r.closed.Load() {
		t.failure = t.wait(0, false)
	}
}

func (t *responderThread) accept(fd int) {
	c := &responderConn{thread: t}
	if err := t.adopt(&c.socketConn, fd, c); err != nil {
		t.failure = err
		return
	}
	t.conns[c] = struct{}{}
}

var emptyResponse = http1.AppendResponse(nil, http.StatusOK, "", nil, true)

func (c *responderConn) dataReceived(int) {
	for !c.closed {
		headerLen := bytes.Index(c.received, headerEnd)
		if headerLen < 0 {
			return
		}
		length := 0
		if value, ok := findField(c.received[:headerLen+2], "\r\nContent-Length: "); ok {
			length, _ = strconv.Atoi(string(value))
		}
		n := headerLen + len(headerEnd) + length
		if length < 0 || n > len(c.received) {
			return
		}
		c.consume(n)
		c.write(emptyResponse)
	}
}

func (c *responderConn) connClosed(error) { delete(c.thread.conns, c) }
