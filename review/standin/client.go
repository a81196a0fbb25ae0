package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is a request of a client, and what became of it.
type call struct {
	id     string
	class  string
	tenant string
	budget time.Duration
	body   string
	hint   time.Duration // guess at the work; 0: none

	sentAt     time.Duration // when its last byte was written
	answeredAt time.Duration // when the last byte of its answer came; 0: never
	status     int
	result     string
}

func (c *call) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /%s/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n",
		c.class, c.id, c.class, c.tenant)
	if c.hint > 0 {
		fmt.Fprintf(&b, "X-Call-Cost: %d\r\n", c.hint.Microseconds())
	}
	fmt.Fprintf(&b, "X-Budget-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", c.budget.Milliseconds(), len(c.body), c.body)
	return b.Bytes()
}

// client sends requests on one connection, and reads the answers in order.
type client struct {
	name   string
	conn   net.Conn
	record *recorder

	mu    *sync.Mutex // guards the calls
	calls []*call     // in the order in which they were sent
	ended chan struct{}
}

func dial(name, address string, record *recorder) (*client, error) {
	return dialWith(name, address, record, &sync.Mutex{})
}

func dialWith(name, address string, record *recorder, mu *sync.Mutex) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, record: record, mu: mu, ended: make(chan struct{})}
	go c.read()
	return c, nil
}

// sendAll sends requests: all at once, without waiting for answers, or one at a time.
func (c *client) sendAll(calls []*call, atOnce bool) {
	for _, next := range calls {
		if err := c.send(next); err != nil {
			c.record.log("client %s: %v", c.name, err)
			return
		}
		if !atOnce && !c.awaitAnswer(next) {
			return
		}
	}
}

// send writes a request.
func (c *client) send(next *call) error {
	c.mu.Lock()
	c.calls = append(c.calls, next)
	c.mu.Unlock()
	if _, err := c.conn.Write(next.text()); err != nil {
		return err
	}
	c.mu.Lock()
	next.sentAt = c.record.now()
	c.mu.Unlock()
	c.record.log("client %s: %s sent, %s, %d ms", c.name, next.id, next.class, next.budget.Milliseconds())
	return nil
}

// awaitAnswer waits for the answer to a request, and reports whether it came.
func (c *client) awaitAnswer(sent *call) bool {
	for {
		c.mu.Lock()
		isAnswered := sent.answeredAt > 0
		c.mu.Unlock()
		if isAnswered {
			return true
		}
		select {
		case <-c.ended:
			return false
		case <-time.After(time.Millisecond):
		}
	}
}

// sendApart sends requests one after another, each from a client with a connection of its own, and then passes them on.
func (d *deployment) sendApart(name string, calls []*call, pause time.Duration, sent chan<- []*call) {
	for n, next := range calls {
		c, err := dialWith(fmt.Sprint(name, n), d.listen, d.record, &d.clientsMu)
		if err == nil {
			err = c.send(next)
		}
		if err != nil {
			d.record.log("client %s%d: %v", name, n, err)
		}
		time.Sleep(pause)
	}
	sent <- calls
}

// read reads answers until the connection ends.
func (c *client) read() {
	defer close(c.ended)
	reader := bufio.NewReader(c.conn)
	for next := 0; ; next++ {
		response, err := http.ReadResponse(reader, nil)
		if err == nil && response.StatusCode == http.StatusContinue {
			next--
			continue
		}
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		if err != nil {
			c.record.log("client %s: connection ended: %v", c.name, err)
			return
		}
		c.mu.Lock()
		if next >= len(c.calls) {
			c.record.log("client %s: an answer %d that no request is owed", c.name, response.StatusCode)
			c.mu.Unlock()
			return
		}
		answered := c.calls[next]
		answered.status, answered.result = response.StatusCode, string(body)
		answered.answeredAt = c.record.now()
		c.mu.Unlock()
		c.record.log("client %s: %s answered %d, body of %d bytes, %v after it was sent", c.name, answered.id, answered.status, len(body),
			(answered.answeredAt - answered.sentAt).Round(time.Millisecond))
	}
}

func (c *client) close() { _ = c.conn.Close() }
