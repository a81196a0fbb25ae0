package link

import (
	"errors"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/metrics"
)

const (
	operatorsMost  = 16                     // operator links at once
	operatorWhole  = 2 * time.Second        // a caller waits 1 s; one that has not sent its call by then never will
	operatorWaits  = 600 * time.Millisecond // and is told so when what it asks for takes longer
	operatorLonger = 3 * time.Second        // and for the answer to leave
)

// Paths of the operators' calls.
const (
	pathReady   = "/v1/readyz"
	pathMetrics = "/v1/metrics"
	pathNodes   = "/v1/worker-nodes/"
)

// operatorLinks answer operators at the management address. In each turn of the loop they come first: an operator is
// answered however busy the scheduler is.
type operatorLinks struct {
	sideLinks // the oldest first
	counters  *metrics.Counters
	text      []byte
}

// operatorLink is one of them. It carries one call.
type operatorLink struct {
	sideLink
	home      *operatorLinks
	asked     bool // its call is whole
	continued bool // it was told to send on
}

// Priority puts operators first.
func (o *operatorLinks) Priority() eventloop.Priority { return eventloop.PriorityUrgent }

// Priority puts operators first.
func (k *operatorLink) Priority() eventloop.Priority { return eventloop.PriorityUrgent }

// serveOperators answers the operators' calls at their own address.
func (l *Loop) serveOperators(at netip.AddrPort, counters *metrics.Counters) (err error) {
	o := &operatorLinks{sideLinks: sideLinks{loop: l}, counters: counters}
	if o.fd, err = l.Listen(at, o); err == nil {
		l.operators = o
		o.sweep()
	}
	return err
}

// HandleEvents accepts whoever connects: the address is the operators' alone.
func (o *operatorLinks) HandleEvents(uint32) {
	o.accept(operatorsMost, func(int, netip.AddrPort) bool { return true }, o.adopt)
}

// adopt makes a link of a connection. Where there are too many, the oldest goes that does not wait for its answer: one
// that stalls never keeps out a good one.
func (o *operatorLinks) adopt(fd int) {
	if o.links.Len() >= operatorsMost {
		oldest := o.links.Front().Value.(*operatorLink)
		for e := o.links.Front(); e != nil; e = e.Next() {
			if k := e.Value.(*operatorLink); !k.asked || k.last {
				oldest = k
				break
			}
		}
		oldest.end()
	}
	k := &operatorLink{home: o}
	if o.enter(fd, &k.sideLink, k) {
		// What it calls for has most likely come with it, and another turn may be long.
		o.loop.Protect(k, func() { k.HandleEvents(unix.EPOLLIN) })
	}
}

// sweep ends links whose call does not come, or whose answer is not taken.
func (o *operatorLinks) sweep() {
	o.loop.StartTimer(sweepEvery, o, o.sweep)
	for e := o.links.Front(); e != nil; {
		k := e.Value.(*operatorLink)
		e = e.Next()
		switch age := o.loop.Now() - k.since; {
		case !k.asked && age >= operatorWhole:
			k.answer(408, "", []byte("call not whole\n"))
		case k.asked && !k.last && age >= operatorWaits: // for a directory, or another process
			k.answer(503, "", []byte("not done in time\n"))
		case age >= operatorLonger:
			k.end()
		}
	}
}

func (k *operatorLink) HandleEvents(events uint32) {
	ended, ok := k.exchange(events)
	if !ok {
		return
	}
	if !k.asked && len(k.Input()) > 0 {
		m := &k.home.loop.request
		_, err := m.Parse(k.Input())
		var bad *http1.ParseError
		switch {
		case errors.As(err, &bad):
			k.answer(bad.StatusCode, "", []byte(bad.Reason+"\n"))
		case err == nil:
			k.call(string(m.Method), string(m.Target))
		case m.ExpectContinue && !ended && !k.continued:
			k.continued = true
			_ = k.Send([]byte(http1.ContinueResponse))
		}
	} else if k.asked {
		k.DropInput() // what comes behind a call is nothing to us
	}
	switch {
	case !k.IsOpen() || !ended:
	case len(k.Output()) == 0 && (k.last || !k.asked):
		k.end()
	default: // its end is told for as long as it is asked for
		k.SetEvents(k.Events() &^ eventloop.StreamEvents)
	}
}

// call does what an operator asks for.
func (k *operatorLink) call(method, target string) {
	k.asked = true
	k.DropInput()
	k.since = k.home.loop.Now()
	path, _, _ := strings.Cut(target, "?")
	want := "GET"
	node, what, _ := strings.Cut(strings.TrimPrefix(path, pathNodes), "/")
	id, err := url.PathUnescape(node)
	switch {
	case path == pathReady || path == pathMetrics:
	case strings.HasPrefix(path, pathNodes) && (what == "suspend" || what == "resume") && err == nil && id != "":
		want = "PUT"
	default:
		k.answer(404, "", []byte("no such path\n"))
		return
	}
	if method != want {
		k.answer(405, "Allow: "+want+"\r\n", []byte(want+" only\n"))
		return
	}
	switch path {
	case pathReady:
		if why := k.home.loop.unready(); why != "" {
			k.answer(503, "", []byte(why+"\n"))
		} else {
			k.answer(200, "", []byte("ready\n"))
		}
	case pathMetrics:
		o := k.home
		o.text = o.counters.AppendText(o.text[:0], metrics.Gauges{
			OpenRequests: k.home.loop.inflight(), ListedWorkers: k.home.loop.Ledger.ListedCount(),
			AvoidedWorkers: k.home.loop.avoided(),
		})
		k.answer(200, "Content-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\n", o.text)
	default:
		k.setCordoned(id, what == "suspend")
	}
}

// setCordoned cordons or uncordons a worker, and answers once that holds and is stored.
func (k *operatorLink) setCordoned(workerID string, cordoned bool) {
	k.home.loop.setCordoned(workerID, cordoned, func(statusCode int, message string) {
		k.answer(statusCode, "", []byte(message+"\n"))
	})
}

// answer ends the call.
func (k *operatorLink) answer(code int, fields string, body []byte) {
	if k.IsOpen() && !k.last {
		k.asked = true
		k.reply(code, fields, body, false)
	}
}

// unready tells why this process is not ready to serve; nothing if it is.
func (l *Loop) unready() string {
	switch {
	case l.hasRelinquished():
		return "replaced"
	case l.clients.draining:
		return "draining"
	case l.successorRole != nil && l.successorRole.notReadyReason() != "":
		return l.successorRole.notReadyReason()
	case l.Ledger.AwaitsEndpoints():
		return "no word from discovery yet"
	case !l.Ledger.HasReadyWorker():
		return "no worker node known"
	}
	return ""
}

// avoided counts the listed worker nodes that the module avoids.
func (l *Loop) avoided() int {
	if l.decides == nil {
		return 0
	}
	return l.decides.AvoidedWorkers()
}

// inflight counts the jobs that this process has taken and that have not ended.
func (l *Loop) inflight() int {
	if l.hasRelinquished() {
		return 0
	}
	return l.Ledger.OpenCount()
}
