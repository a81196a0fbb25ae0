package badclients

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	usualClients  = 8
	usualInterval = 40 * time.Millisecond // between two requests of a client
	usualBudget   = 4 * time.Second
	answerSlack   = 550 * time.Millisecond // a final answer may be later than its time by half a second, and by 50 ms on sockets
)

// usualLoad is the load of usual clients, each of which sends a request, awaits its answer, and sends another one.
type usualLoad struct {
	address  string
	bodySize int

	mutex      sync.Mutex
	answers    map[int]int // by status
	violations []Violation // requests without an answer
	shut       int         // new connections that were closed unread
	slowest    time.Duration
}

// usualClient keeps its connection.
type usualClient struct {
	load       *usualLoad
	number     int
	connection net.Conn // nil: none is open
	reader     *bufio.Reader
}

// run sends requests until stop is closed.
func (l *usualLoad) run(stop <-chan struct{}) {
	var group sync.WaitGroup
	for number := range usualClients {
		client := &usualClient{load: l, number: number}
		group.Go(func() { client.run(stop) })
	}
	group.Wait()
}

func (c *usualClient) run(stop <-chan struct{}) {
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(usualInterval):
		}
		c.request(n)
	}
}

// request sends a request, once more on a new connection if the close of a kept one has crossed it, and records what became of it.
func (c *usualClient) request(n int) {
	class := []string{classPayout, classCheck}[n%2]
	id := fmt.Sprintf("usual-%d-%d", c.number, n)
	text := requestText(class, id, usualBudget, "", strings.Repeat("x", c.load.bodySize))
	start := time.Now()
	wasKept := c.connection != nil
	status, err := c.send(text)
	if err != nil && wasKept && !isTimeout(err) {
		wasKept = false
		status, err = c.send(text)
	}
	c.load.record(id, status, err, wasKept, time.Since(start))
}

// send sends a request and returns the status of its answer.
func (c *usualClient) send(text string) (status int, err error) {
	if c.connection == nil {
		if c.connection, err = net.Dial("tcp", c.load.address); err != nil {
			c.connection = nil
			return 0, err
		}
		c.reader = bufio.NewReader(c.connection)
	}
	_ = c.connection.SetDeadline(time.Now().Add(usualBudget + answerSlack))
	if _, err := io.WriteString(c.connection, text); err != nil {
		c.close()
		return 0, err
	}
	response, err := readFinalResponse(c.reader)
	if err != nil {
		c.close()
		return 0, err
	}
	if response.Close {
		c.close()
	}
	return response.StatusCode, nil
}

func (c *usualClient) close() {
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// record records the answer to a request. A new connection that is closed without a byte may have been shut unread, which is allowed
// where others fill the descriptors.
func (l *usualLoad) record(id string, status int, err error, wasKept bool, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case err == nil:
		l.answers[status]++
		l.slowest = max(l.slowest, took)
	case !wasKept && !isTimeout(err):
		l.shut++
	default:
		rule := RuleAnswered
		if isTimeout(err) {
			rule = RuleInTime
		}
		text := fmt.Sprintf("request %s has no answer after %v: %v", id, took.Round(time.Millisecond), err)
		l.violations = append(l.violations, Violation{rule, text})
	}
}

// readFinalResponse reads a response with its body, and skips interim responses.
func readFinalResponse(reader *bufio.Reader) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return nil, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// requestText returns a request with further header lines, each with its end.
func requestText(class, id string, budget time.Duration, fields, body string) string {
	return requestStart(class, id, budget, fields) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// requestStart returns the header section of a request without its framing and its end.
func requestStart(class, id string, budget time.Duration, fields string) string {
	return fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: h\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n%s",
		class, id, id, class, budget.Milliseconds(), fields)
}
