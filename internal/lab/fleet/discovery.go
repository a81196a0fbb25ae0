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

// quietFor is how long a watch is without a line at most.
const quietFor = 2 * time.Second

// discovery is the list of worker nodes and those who follow it.
type discovery struct {
	alarm
	e          *engine
	rig        *Rig
	door       *listener
	generation int64
	started    []int64 // when each worker node was last started, in ms of Unix time; 0: long ago
	calls      map[*discoveryCall]struct{}
}

// discoveryCall is one connection.
type discoveryCall struct {
	conn
	of      *discovery
	watches bool
}

func newDiscovery(r *Rig, e *engine, at netip.AddrPort) (*discovery, error) {
	d := &discovery{
		e: e, rig: r, generation: 1, started: make([]int64, r.spec.Nodes),
		calls: map[*discoveryCall]struct{}{},
	}
	e.set(&d.alarm, quietFor, d)
	var err error
	d.door, err = e.listenAt(at, func(fd int) {
		c := &discoveryCall{of: d}
		if err := e.adopt(&c.conn, fd, c); err != nil {
			e.fail(err)
			return
		}
		d.calls[c] = struct{}{}
	})
	return d, err
}

// ring writes empty lines.
func (d *discovery) ring() {
	for c := range d.calls {
		if c.watches {
			c.line("")
		}
	}
	d.e.set(&d.alarm, d.e.now+quietFor, d)
}

// entry is a worker node as the list has it. Cells are of four, kinds are dealt out in turn.
func (d *discovery) entry(b []byte, n int) []byte {
	b = append(append(b, `{"instanceId":"w-`...), strconv.Itoa(n)...)
	b = append(append(b, `","hostPort":"`...), d.rig.places.node(n).String()...)
	b = append(append(b, `","zone":"`...), zone...)
	b = append(append(b, `","machineType":"`...), kinds[n%len(kinds)]...)
	b = append(append(b, `","cell":`...), strconv.Itoa(n/4)...)
	b = append(append(b, `,"lifecycle":"up","weight":1.0,"startedAtMs":`...), strconv.FormatInt(d.started[n], 10)...)
	return append(b, '}')
}

// whole is the whole list.
func (d *discovery) whole() string {
	b := make([]byte, 0, 64+160*len(d.started))
	b = append(strconv.AppendInt(append(b, `{"generation":`...), d.generation, 10), `,"reset":true,"instances":[`...)
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
	d.generation++
	d.started[n] = at.UnixMilli()
	b := append(strconv.AppendInt([]byte(`{"generation":`), d.generation, 10), `,"reset":false,"instances":[`...)
	text := string(append(d.entry(b, n), "]}"...))
	for c := range d.calls {
		if c.watches {
			c.line(text)
		}
	}
}

func (c *discoveryCall) ended(error) { delete(c.of.calls, c) }

func (c *discoveryCall) came(b []byte) int {
	if c.watches { // it has nothing more to say
		return len(b)
	}
	var m message
	size, err := c.e.reader.read(b, &m)
	if err == nil && size == 0 {
		return 0
	}
	var at *url.URL
	if err == nil {
		at, err = url.ParseRequestURI(string(m.target))
	}
	switch {
	case err != nil:
		c.write(http1.AppendResponse(nil, http1.StatusBadRequest, "", nil, false))
		c.close()
		delete(c.of.calls, c)
	case string(m.method) != http.MethodGet || at.Path != "/discovery/hosts":
		c.write(http1.AppendResponse(nil, http1.StatusNotFound, "", nil, true))
	case at.Query().Get("stream") == "1":
		c.watches = true
		c.write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
		// The first line is the whole list, unless there is nothing new in it.
		if after, _ := strconv.ParseInt(at.Query().Get("index"), 10, 64); after == c.of.generation {
			c.line(`{"generation":` + strconv.FormatInt(after, 10) + `,"reset":false,"instances":[]}`)
		} else {
			c.line(c.of.whole())
		}
	default:
		c.write(http1.AppendResponse(nil, http1.StatusOK, "Content-Type: application/json\r\n", []byte(c.of.whole()), true))
	}
	return size
}

func (c *discoveryCall) line(text string) {
	var b bytes.Buffer
	b.WriteString(strconv.FormatInt(int64(len(text)+1), 16))
	b.WriteString("\r\n")
	b.WriteString(text)
	b.WriteString("\n\r\n")
	c.write(b.Bytes())
}
