package fleet

import (
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"valvecove/internal/http1"
)

const (
	heartbeatInterval = 2 * time.Second // between two empty lines that a watch gets
	workersPerCell    = 4
	entryLength       = 160 // approximate bytes of a worker's entry
	jsonContentType   = "Content-Type: application/json\r\n"
)

// discovery serves the endpoint list, as a snapshot or as a watch.
type discovery struct {
	timer
	engine      *engine
	rig         *Rig
	listener    *listener
	revision    int64
	startedAtMs []int64 // of each worker, Unix time; 0 before its first restart
	conns       map[*discoveryConn]struct{}
	changes     listChanges
	listBytes   int // bytes written to watches and in snapshots
}

// discoveryConn is a connection to discovery.
type discoveryConn struct {
	conn
	discovery *discovery
	watches   bool // its request was for a watch
}

func newDiscovery(rig *Rig, engine *engine, address netip.AddrPort) (*discovery, error) {
	created := &discovery{
		engine:      engine,
		rig:         rig,
		revision:    1,
		startedAtMs: make([]int64, rig.spec.Workers),
		conns:       map[*discoveryConn]struct{}{},
	}
	engine.setTimer(&created.timer, heartbeatInterval, created)
	created.startChanges(rig.spec.ChangeInterval)
	var err error
	created.listener, err = engine.listenAt(address, created.accept)
	return created, err
}

func (d *discovery) accept(fd int) {
	accepted := &discoveryConn{discovery: d}
	if err := d.engine.adopt(&accepted.conn, fd, accepted); err != nil {
		d.engine.fail(err)
		return
	}
	d.conns[accepted] = struct{}{}
}

// close closes the sockets. The engine must have ended.
func (d *discovery) close() {
	if d.listener == nil {
		return
	}
	for conn := range d.conns {
		conn.reset()
	}
	d.listener.close()
}

// timerExpired sends the heartbeat.
func (d *discovery) timerExpired() {
	d.broadcast("")
	d.engine.setTimer(&d.timer, d.engine.now+heartbeatInterval, d)
}

// broadcast writes a line to all watches.
func (d *discovery) broadcast(line string) {
	for conn := range d.conns {
		if conn.watches {
			conn.writeLine(line)
		}
	}
}

// restarted announces a worker's restart to all watches. It must be called on discovery's engine.
func (d *discovery) restarted(worker int, at time.Time) {
	d.revision++
	d.startedAtMs[worker] = at.UnixMilli()
	b := d.appendListStart(nil, false)
	b = d.appendEntry(b, worker)
	d.broadcast(string(append(b, "]}"...)))
}

// snapshot returns the whole list as JSON.
func (d *discovery) snapshot() string {
	b := make([]byte, 0, 64+entryLength*len(d.startedAtMs))
	b = d.appendListStart(b, true)
	for worker := range d.startedAtMs {
		if worker > 0 {
			b = append(b, ',')
		}
		b = d.appendEntry(b, worker)
	}
	return string(append(b, "]}"...))
}

// unchanged returns a list without entries, for a watch that has the current revision already.
func (d *discovery) unchanged() string { return string(append(d.appendListStart(nil, false), "]}"...)) }

// appendListStart appends a list of the current revision up to its entries. A reset list replaces all earlier ones.
func (d *discovery) appendListStart(b []byte, reset bool) []byte {
	b = append(b, `{"generation":`...)
	b = strconv.AppendInt(b, d.revision, 10)
	b = append(b, `,"reset":`...)
	b = strconv.AppendBool(b, reset)
	return append(b, `,"instances":[`...)
}

// appendEntry appends a worker's entry.
func (d *discovery) appendEntry(b []byte, worker int) []byte {
	b = append(b, `{"instanceId":"w-`...)
	b = strconv.AppendInt(b, int64(worker), 10)
	b = append(append(b, `","hostPort":"`...), d.rig.addresses.worker(worker).String()...)
	b = append(append(b, `","zone":"`...), zone...)
	b = append(append(b, `","machineType":"`...), kinds[worker%len(kinds)]...)
	b = append(b, `","cell":`...)
	b = strconv.AppendInt(b, int64(worker/workersPerCell), 10)
	b = append(append(b, `,"lifecycle":"`...), d.changes.lifecycle(worker)...)
	b = append(b, `","weight":1.0,"startedAtMs":`...)
	b = strconv.AppendInt(b, d.startedAtMs[worker], 10)
	return append(b, '}')
}

func (c *discoveryConn) connClosed(error) { delete(c.discovery.conns, c) }

func (c *discoveryConn) dataReceived(b []byte) int {
	if c.watches { // a watch sends no further request
		return len(b)
	}
	var request message
	size, err := c.engine.reader.read(b, &request)
	if err == nil && size == 0 {
		return 0
	}
	var target *url.URL
	if err == nil {
		target, err = url.ParseRequestURI(string(request.target))
	}
	if err != nil {
		c.write(http1.AppendResponse(nil, http1.StatusBadRequest, "", nil, false))
		c.close()
		delete(c.discovery.conns, c)
		return size
	}
	c.handleRequest(string(request.method), target)
	return size
}

func (c *discoveryConn) handleRequest(method string, target *url.URL) {
	switch {
	case method != http.MethodGet || target.Path != "/discovery/hosts":
		c.write(http1.AppendResponse(nil, http1.StatusNotFound, "", nil, true))
	case target.Query().Get("stream") == "1":
		revision, _ := strconv.ParseInt(target.Query().Get("index"), 10, 64)
		c.startWatch(revision)
	default:
		snapshot := []byte(c.discovery.snapshot())
		c.discovery.listBytes += len(snapshot)
		c.write(http1.AppendResponse(nil, http1.StatusOK, jsonContentType, snapshot, true))
	}
}

// startWatch begins a watch. revision is the one that the scheduler has, or 0.
func (c *discoveryConn) startWatch(revision int64) {
	c.watches = true
	c.write([]byte("HTTP/1.1 200 OK\r\n" + jsonContentType + "Transfer-Encoding: chunked\r\n\r\n"))
	if revision == c.discovery.revision {
		c.writeLine(c.discovery.unchanged())
	} else {
		c.writeLine(c.discovery.snapshot())
	}
}

// writeLine writes a line as one chunk.
func (c *discoveryConn) writeLine(line string) {
	b := strconv.AppendInt(nil, int64(len(line)+1), 16)
	b = append(b, "\r\n"...)
	b = append(b, line...)
	b = append(b, "\n\r\n"...)
	c.discovery.listBytes += len(b)
	c.write(b)
}
