package live

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/http1"
	"valvecove/internal/lab/edge"
)

const (
	askWithin   = time.Second // a connection that has asked nothing by then is not kept
	mostDiscoAt = 64          // addresses at which discovery may be in a play
)

// watch is a scheduler's connection to discovery. Of several the one that asked last counts: a scheduler that asks
// anew, perhaps at another address, has no use for the one before.
type watch struct {
	sock
	d       *driver
	sched   int
	asked   bool
	whole   bool // it wants the list once
	begun   bool // its answer has
	leaving bool // it is closed once all is written
	timer   *timer
}

// hearDisco has discovery at an address accept by a mode.
func (d *driver) hearDisco(index, mode int) error {
	if err := d.openDisco(index); err != nil {
		return err
	}
	for _, l := range d.discos[index] {
		if err := l.hear(mode); err != nil {
			return err
		}
	}
	return nil
}

// openDisco sees to it that discovery has an address of an index, one for each scheduler. One that the world has said
// nothing of accepts.
func (d *driver) openDisco(index int) error {
	if index < 0 || index >= mostDiscoAt {
		return environmentError{fmt.Errorf("discovery at %d addresses: %d are allowed", index+1, mostDiscoAt)}
	}
	for index >= len(d.discos) {
		d.discos = append(d.discos, nil)
	}
	if d.discos[index] == nil {
		for sched := range d.scheds {
			l, err := d.listenAt(d.places.disco(index, sched), func(fd int) { d.acceptWatch(sched, fd) }, d.fail)
			if err != nil {
				return environmentError{err}
			}
			d.discos[index] = append(d.discos[index], l)
			if err := l.hear(edge.Open); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *driver) acceptWatch(sched, fd int) {
	w := &watch{d: d, sched: sched}
	if err := d.adopt(&w.sock, fd, w); err != nil {
		d.fail(err)
		return
	}
	w.timer = d.after(askWithin, w.leave)
	d.callers[w] = struct{}{}
}

func (w *watch) came(int) {
	if w.asked { // it has nothing more to say
		w.take(len(w.in))
		return
	}
	q, _, n, err := w.d.http.request(w.in)
	if n == 0 && err == nil {
		return
	}
	w.asked = true
	w.d.stop(w.timer)
	if err != nil {
		w.refuse(400)
		return
	}
	w.take(len(w.in))
	at, err := url.ParseRequestURI(q.RequestURI)
	if err != nil || at.Path != "/discovery/hosts" || q.Method != http.MethodGet {
		w.refuse(404)
		return
	}
	after := int64(0)
	if query := at.Query(); query.Get("stream") == "1" {
		if after, err = strconv.ParseInt(query.Get("index"), 10, 64); err != nil {
			w.refuse(400)
			return
		}
	} else {
		w.whole = true // asked for anew it is whole, and once it is told the call is over
	}
	w.d.watches[w.sched] = w // the one before is silent from now on, until its scheduler closes it
	w.d.out(edge.Out{Kind: edge.Watch, Sched: w.sched, After: time.Duration(after)})
}

func (w *watch) refuse(status int) {
	w.d.writing = http1.AppendResponse(w.d.writing[:0], status, "", nil, false)
	w.write(w.d.writing)
	w.leave()
}

// leave closes it once all that was written has left.
func (w *watch) leave() {
	w.forget()
	if w.leaving = true; len(w.out) == 0 {
		w.drained()
	}
}

func (w *watch) drained() {
	if w.leaving {
		w.close()
		delete(w.d.callers, w)
	}
}

// forget has it told nothing any more.
func (w *watch) forget() {
	w.d.stop(w.timer)
	if w.d.watches[w.sched] == w {
		delete(w.d.watches, w.sched)
	}
}

func (w *watch) ended(error) {
	w.forget()
	delete(w.d.callers, w)
}

// line writes one line of the stream.
func (w *watch) line(text []byte) {
	b := w.d.writing[:0]
	b = strconv.AppendInt(b, int64(len(text)+1), 16)
	b = append(append(b, "\r\n"...), text...)
	b = append(b, "\n\r\n"...)
	w.d.writing = b
	w.write(w.d.writing)
}

// list hands on news of the fleet.
func (d *driver) list(in *edge.In) {
	w := d.watches[in.Sched]
	if w == nil {
		return // the scheduler has left meanwhile
	}
	text, err := jsoniter.ConfigDefault.Marshal(d.localHosts(in.Sched, *in.List))
	if err != nil {
		d.fail(err)
		return
	}
	if w.whole {
		d.writing = http1.AppendResponse(d.writing[:0], http1.StatusOK, "Content-Type: application/json\r\n", text, false)
		w.write(d.writing)
		w.leave()
		return
	}
	if !w.begun {
		w.begun = true
		w.write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
	}
	w.line(text)
}

// quiet tells that there is no news.
func (d *driver) quiet(in *edge.In) {
	if w := d.watches[in.Sched]; w != nil && w.begun {
		w.line(nil)
	}
}

// unlist ends a watch, or has the call for it fail: in 503 before anything was said, by a reset after that.
func (d *driver) unlist(in *edge.In) {
	w := d.watches[in.Sched]
	switch {
	case w == nil:
	case w.begun:
		w.forget()
		w.reset()
		delete(d.callers, w)
	default:
		w.refuse(503)
	}
}
