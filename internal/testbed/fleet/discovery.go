package fleet

import (
	"bytes"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"valvecove/internal/http1"
)

// heartbeatInterval is how long a watch is without a line at most.
const heartbeatInterval = 2 * time.Second

// discovery is the list of workers and those who follow it.
type discovery struct {
	timer
	engine   *engine
	rig      *Rig
	listener *listener
	revision int64
	started  []int64 // when each worker was last started, in ms of Unix time; 0: long ago
	calls    map[*discoveryCall]struct{}
}

// discoveryCall is one connection.
type discoveryCall struct {
	conn
	discovery *discovery
	watches   bool
}

func newDiscovery(r *Rig, e *engine, at netip.AddrPort) (*discovery, error) {
	discovery := &discovery{
		engine: e, rig: r, revision: 1, started: make([]int64, r.spec.Nodes),
		calls: map[*discoveryCall]struct{}{},
	}
	e.setTimer(&discovery.timer, heartbeatInterval, discovery)
	var err error
	discovery.listener, err = e.listenAt(at, func(fd int) {
		c := &discoveryCall{discovery: discovery}
		if err := e.adopt(&c.conn, fd, c); err != nil {
			e.fail(err)
			return
		}
		discovery.calls[c] = struct{}{}
	})
	return discovery, err
}

// timerExpired writes empty lines.
func (d *discovery) timerExpired() {
	for c := range d.calls {
		if c.watches {
			c.writeLine("")
		}
	}
	d.engine.setTimer(&d.timer, d.engine.now+heartbeatInterval, d)
}

// entry is a worker as the list has it. Cells are of four, kinds are dealt out in turn.
func (d *discovery) entry(b []byte, n int) []byte {
	b = append(append(b, `{"instanceId":"w-`...), strconv.Itoa(n)...)
	b = append(append(b, `","hostPort":"`...), d.rig.addresses.worker(n).String()...)
	b = append(append(b, `","zone":"`...), zone...)
	b = append(append(b, `","machineType":"`...), kinds[n%len(kinds)]...)
	b = append(append(b, `","cell":`...), strconv.Itoa(n/4)...)
	b = append(append(b, `,"lifecycle":"up","weight":1.0,"startedAtMs":`...), strconv.FormatInt(d.started[n], 10)...)
	return append(b, '}')
}

// snapshot is the whole list.
func (d *discovery) snapshot() string {
	b := make([]byte, 0, 64+160*len(d.started))
	b = append(strconv.AppendInt(append(b, `{"generation":`...), d.revision, 10), `,"reset":true,"instances":[`...)
	for n := range d.started {
		if n > 0 {
			b = append(b, ',')
		}
		b = d.entry(b, n)
	}
	return string(append(b, "]}"...))
}

// restarted tells those who watch of a start.
func (d *discovery) restarted(n int, at time.Time) {
	d.revision++
	d.started[n] = at.UnixMilli()
	b := append(strconv.AppendInt([]byte(`{"generation":`), d.revision, 10), `,"reset":false,"instances":[`...)
	text := string(append(d.entry(b, n), "]}"...))
	for c := range d.calls {
		if c.watches {
			c.writeLine(text)
		}
	}
}

func (c *discoveryCall) connClosed(error) { delete(c.discovery.calls, c) }

func (c *discoveryCall) dataReceived(b []byte) int {
	if c.watches { // it has nothing more to say
		return len(b)
	}
	var message message
	size, err := c.engine.reader.read(b, &message)
	if err == nil && size == 0 {
		return 0
	}
	var uRL *url.URL
	if err == nil {
		uRL, err = url.ParseRequestURI(string(message.target))
	}
	switch {
	case err != nil:
		c.write(http1.AppendResponse(nil, http1.StatusBadRequest, "", nil, false))
		c.close()
		delete(c.discovery.calls, c)
	case string(message.method) != http.MethodGet || uRL.Path != "/discovery/hosts":
		c.write(http1.AppendResponse(nil, http1.StatusNotFound, "", nil, true))
	case uRL.Query().Get("stream") == "1":
		c.watches = true
		c.write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
		// The first line is the whole list, unless there is nothing new in it.
		if after, _ := strconv.ParseInt(uRL.Query().Get("index"), 10, 64); after == c.discovery.revision {
			c.writeLine(`{"generation":` + strconv.FormatInt(after, 10) + `,"reset":false,"instances":[]}`)
		} else {
			c.writeLine(c.discovery.snapshot())
		}
	default:
		c.write(http1.AppendResponse(nil, http1.StatusOK, "Content-Type: application/json\r\n", []byte(c.discovery.snapshot()), true))
	}
	return size
}

func (c *discoveryCall) writeLine(text string) {
	var b bytes.Buffer
	b.WriteString(strconv.FormatInt(int64(len(text)+1), 16))
	b.WriteString("\r\n")
	b.WriteString(text)
	b.WriteString("\n\r\n")
	c.write(b.Bytes())
}
