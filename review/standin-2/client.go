package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// job is a request of a client, and what became of it.
type job struct {
	id, class, tenant, key string
	body                   string
	budget                 time.Duration
	sent                   time.Time // its last byte
	answered               time.Time // zero: no whole answer
	status                 int
	result                 string
	closed                 time.Time // the client closed its connection before the answer
	connEnded              bool      // the scheduler's side ended the connection without a whole answer
	err                    error
	reused                 bool
	resent                 bool
	patience               time.Duration // how long after its time the client still waits; 0: 1.5 s
	over                   time.Time     // when the client knew the end
	node                   int           // the scheduler that got it
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (j *job) head() string {
	text := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\nX-Budget-Ms: %d\r\n",
		j.class, j.id[:6], j.id, j.class, j.tenant, j.budget.Milliseconds())
	if j.key != "" {
		text += "Idempotency-Key: " + j.key + "\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(j.body))
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	node   int
}

// clients keeps connections to the scheduler and opens more when all are busy.
type clients struct {
	rig   *rig
	mutex sync.Mutex
	idle  []*clientConn
	jobs  []*job
	next  int // the scheduler that the front gives the next connection to
	wait  sync.WaitGroup
}

func (c *clients) get() (*clientConn, error) {
	c.mutex.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mutex.Unlock()
		return conn, nil
	}
	c.mutex.Unlock()
	return c.dial()
}

func (c *clients) dial() (*clientConn, error) {
	c.mutex.Lock()
	node := c.next % len(c.rig.nodes)
	c.next++
	c.mutex.Unlock()
	conn, err := net.DialTimeout("tcp", c.rig.nodes[node].listen, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReaderSize(conn, 4096), node: node}, nil
}

func (c *clients) put(conn *clientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	conn.used = true
	c.idle = append(c.idle, conn)
}

// submit sends a job and waits for its answer.
func (c *clients) submit(j *job) {
	c.mutex.Lock()
	c.jobs = append(c.jobs, j)
	c.mutex.Unlock()
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.carryOut(j)
		j.over = time.Now()
		c.rig.rec.line("client: %s %s status %d after %d ms of %d err %v", j.class, j.id, j.status, time.Since(j.sent).Milliseconds(), j.budget.Milliseconds(), j.err)
	}()
}

func (c *clients) carryOut(j *job) {
	conn, err := c.get()
	for try := 0; ; try++ {
		if err != nil {
			j.err = err
			j.sent = time.Now()
			return
		}
		if c.once(j, conn) {
			return
		}
		// The end of a resting connection has crossed the request: it is sent once more on a new connection.
		j.resent = true
		conn, err = c.dial()
	}
}

// once sends the job on a connection. It returns false if the job is to be sent once more.
func (c *clients) once(j *job, conn *clientConn) bool {
	j.reused, j.node = conn.used, conn.node
	mayResend := conn.used && !j.resent
	c.rig.rec.line("client: sends %s %s", j.class, j.id)
	j.sent = time.Now()
	_, err := io.WriteString(conn, j.head()+j.body)
	j.sent = time.Now()
	if err != nil {
		_ = conn.Close()
		if mayResend {
			return false
		}
		j.err, j.connEnded = err, true
		return true
	}
	wait := j.budget + 1500*time.Millisecond
	if j.patience > 0 {
		wait = j.budget + j.patience
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	response, err := readFinal(conn.reader)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		if err == nil {
			j.answered, j.status, j.result = time.Now(), response.StatusCode, string(body)
			if response.Close {
				_ = conn.Close()
			} else {
				_ = conn.SetReadDeadline(time.Time{})
				c.put(conn)
			}
			return true
		}
	}
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		j.closed = time.Now()
		_ = conn.Close()
		j.err = err
		return true
	}
	_ = conn.Close()
	if mayResend {
		return false
	}
	j.err, j.connEnded = err, true
	return true
}

func readFinal(reader *bufio.Reader) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
		if err != nil || response.StatusCode >= 200 {
			return response, err
		}
	}
}
