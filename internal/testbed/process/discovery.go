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
	watchRequestTimeout   = time.Second // a connection that has asked nothing by then is not kept
	maxDiscoveryAddresses = 64          // addresses at which discovery may be in a run
)

// watch is a scheduler's connection to discovery. Of several the one that asked last counts: a scheduler that asks
// anew, perhaps at another address, has no use for the one before.
type watch struct {
	socketConn
	driver        *driver
	scheduler     int
	requested     bool
	wantsSnapshot bool // it wants the list once
	responding    bool // its answer has
	leaving       bool // it is closed once all is written
	timer         *timer
}

// setDiscoveryMode has discovery at an address accept by a mode.
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

// openDiscovery sees to it that discovery has an address of an index, one for each scheduler. One that the environment has said
// nothing of accepts.
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
	d.watchCallers[w] = struct{}{}
}

func (w *watch) dataReceived(int) {
	if w.requested { // it has nothing more to say
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
		w.wantsSnapshot = true // asked for anew it is whole, and once it is told the call is over
	}
	w.driver.watches[w.scheduler] = w // the one before is silent from now on, until its scheduler closes it
	w.driver.addOutput(w.scheduler, simapi.WatchRequested{Revision: after})
}

func (w *watch) reject(status int) {
	w.driver.writeBuffer = http1.AppendResponse(w.driver.writeBuffer[:0], status, "", nil, false)
	w.write(w.driver.writeBuffer)
	w.closeWhenFlushed()
}

// closeWhenFlushed closes it once all that was written has left.
func (w *watch) closeWhenFlushed() {
	w.detach()
	if w.leaving = true; len(w.unsent) == 0 {
		w.flushed()
	}
}

func (w *watch) flushed() {
	if w.leaving {
		w.close()
		delete(w.driver.watchCallers, w)
	}
}

// detach has it told nothing any more.
func (w *watch) detach() {
	w.driver.stop(w.timer)
	if w.driver.watches[w.scheduler] == w {
		delete(w.driver.watches, w.scheduler)
	}
}

func (w *watch) connClosed(error) {
	w.detach()
	delete(w.driver.watchCallers, w)
}

// writeLine writes one line of the stream.
func (w *watch) writeLine(text []byte) {
	b := w.driver.writeBuffer[:0]
	b = strconv.AppendInt(b, int64(len(text)+1), 16)
	b = append(append(b, "\r\n"...), text...)
	b = append(b, "\n\r\n"...)
	w.driver.writeBuffer = b
	w.write(w.driver.writeBuffer)
}

// sendList hands on news of the fleet.
func (d *driver) sendList(sched int, list *requests.EndpointList) {
	watch := d.watches[sched]
	if watch == nil {
		return // the scheduler has left meanwhile
	}
	text, err := jsoniter.ConfigDefault.Marshal(d.localEndpoints(sched, *list))
	if err != nil {
		d.fail(err)
		return
	}
	if watch.wantsSnapshot {
		d.writeBuffer = http1.AppendResponse(d.writeBuffer[:0], http1.StatusOK, "Content-Type: application/json\r\n", text, false)
		watch.write(d.writeBuffer)
		watch.closeWhenFlushed()
		return
	}
	if !watch.responding {
		watch.responding = true
		watch.write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
	}
	watch.writeLine(text)
}

// sendHeartbeat tells that there is no news.
func (d *driver) sendHeartbeat(sched int) {
	if w := d.watches[sched]; w != nil && w.responding {
		w.writeLine(nil)
	}
}

// endWatch ends a watch, or has the call for it fail: in 503 before anything was said, by a reset after that.
func (d *driver) endWatch(sched int) {
	w := d.watches[sched]
	switch {
	case w == nil:
	case w.responding:
		w.detach()
		w.reset()
		delete(d.watchCallers, w)
	default:
		w.reject(503)
	}
}
