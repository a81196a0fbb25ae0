package process

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

const (
	watchRequestTimeout   = time.Second // a connection without a request by then is closed
	maxDiscoveryAddresses = 64          // addresses at which discovery may listen in the course of a run
)

// watch is a scheduler's connection to discovery. Of several connections of a scheduler only the one with the latest
// request gets events: a scheduler that sends a new request, perhaps to another address, no longer uses the earlier one.
type watch struct {
	socketConn
	driver        *driver
	scheduler     int
	requested     bool   // its request has been read
	wantsSnapshot bool   // the request is for a single snapshot, not for a stream of events
	responding    bool   // the head of the streamed response is written
	closing       bool   // it is to be closed once everything is written
	timer         *timer // the timeout of the request
}

// setDiscoveryMode sets how discovery accepts connections at one of its addresses.
func (d *driver) setDiscoveryMode(index, mode int) error {
	if err := d.openDiscovery(index); err != nil {
		return err
	}
	for _, l := range d.discoveries[index] {
		if err := l.setMode(mode); err != nil {
			return err
		}
	}
	return nil
}

// openDiscovery opens the listeners of a discovery address, one for each scheduler, unless they are open already. They
// accept connections until the environment sets another mode.
func (d *driver) openDiscovery(index int) error {
	if index < 0 || index >= maxDiscoveryAddresses {
		return localError{fmt.Errorf("discovery at %d addresses: %d are allowed", index+1, maxDiscoveryAddresses)}
	}
	for index >= len(d.discoveries) {
		d.discoveries = append(d.discoveries, nil)
	}
	if d.discoveries[index] == nil {
		for sched := range d.schedulers {
			l, err := d.listenAt(d.addresses.discovery(index, sched), func(fd int) { d.acceptWatch(sched, fd) }, d.fail)
			if err != nil {
				return localError{err}
			}
			d.discoveries[index] = append(d.discoveries[index], l)
			if err := l.setMode(simapi.AcceptAll); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *driver) acceptWatch(sched, fd int) {
	w := &watch{driver: d, scheduler: sched}
	if err := d.adopt(&w.socketConn, fd, w); err != nil {
		d.fail(err)
		return
	}
	w.timer = d.after(watchRequestTimeout, w.closeWhenFlushed)
	d.watchConns[w] = struct{}{}
}

func (w *watch) dataReceived(int) {
	if w.requested { // anything after the first request is ignored
		w.consume(len(w.received))
		return
	}
	request, _, n, err := w.driver.reader.request(w.received)
	if n == 0 && err == nil {
		return
	}
	w.requested = true
	w.driver.stop(w.timer)
	if err != nil {
		w.reject(400)
		return
	}
	w.consume(len(w.received))
	at, err := url.ParseRequestURI(request.RequestURI)
	if err != nil || at.Path != "/discovery/hosts" || request.Method != http.MethodGet {
		w.reject(404)
		return
	}
	after := int64(0)
	if request := at.Query(); request.Get("stream") == "1" {
		if after, err = strconv.ParseInt(request.Get("index"), 10, 64); err != nil {
			w.reject(400)
			return
		}
	} else {
		w.wantsSnapshot = true // revision 0 gets the whole list, and the connection is closed after it
	}
	w.driver.watches[w.scheduler] = w // an earlier watch gets nothing more, and stays open until its scheduler closes it
	w.driver.addOutput(w.scheduler, simapi.WatchRequested{Revision: after})
}

// reject responds with an error status and closes the connection.
func (w *watch) reject(status int) {
	w.driver.writeBuffer = http1.AppendResponse(w.driver.writeBuffer[:0], status, "", nil, false)
	w.write(w.driver.writeBuffer)
	w.closeWhenFlushed()
}

// closeWhenFlushed closes the connection once everything is written. No event follows.
func (w *watch) closeWhenFlushed() {
	w.detach()
	if w.closing = true; len(w.unsent) == 0 {
		w.flushed()
	}
}

func (w *watch) flushed() {
	if w.closing {
		w.close()
		delete(w.driver.watchConns, w)
	}
}

// detach stops the timeout, and has no further events sent on this connection.
func (w *watch) detach() {
	w.driver.stop(w.timer)
	if w.driver.watches[w.scheduler] == w {
		delete(w.driver.watches, w.scheduler)
	}
}

func (w *watch) connClosed(error) {
	w.detach()
	delete(w.driver.watchConns, w)
}

// writeLine writes one line of the stream, as an HTTP chunk.
func (w *watch) writeLine(text []byte) {
	b := w.driver.writeBuffer[:0]
	b = strconv.AppendInt(b, int64(len(text)+1), 16)
	b = append(append(b, "\r\n"...), text...)
	b = append(b, "\n\r\n"...)
	w.driver.writeBuffer = b
	w.write(w.driver.writeBuffer)
}

// sendList sends a list of endpoints, whole or changes only, to a scheduler's watch.
func (d *driver) sendList(sched int, list *requests.EndpointList) {
	target := d.watches[sched]
	if target == nil {
		return // the scheduler has closed it meanwhile
	}
	text, err := jsoniter.ConfigDefault.Marshal(d.localEndpoints(sched, *list))
	if err != nil {
		d.fail(err)
		return
	}
	if target.wantsSnapshot {
		d.writeBuffer = http1.AppendResponse(d.writeBuffer[:0], http1.StatusOK, "Content-Type: application/json\r\n", text, false)
		target.write(d.writeBuffer)
		target.closeWhenFlushed()
		return
	}
	if !target.responding {
		target.responding = true
		target.write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
	}
	target.writeLine(text)
}

// sendHeartbeat sends an empty line, which shows that the watch is alive, on a stream that has begun.
func (d *driver) sendHeartbeat(sched int) {
	if w := d.watches[sched]; w != nil && w.responding {
		w.writeLine(nil)
	}
}

// endWatch ends a scheduler's watch: by a response with status 503 if none has begun, else by a reset.
func (d *driver) endWatch(sched int) {
	w := d.watches[sched]
	switch {
	case w == nil:
	case w.responding:
		w.detach()
		w.reset()
		delete(d.watchConns, w)
	default:
		w.reject(503)
	}
}
