// Package fakeplatform is a small platform of stand-ins on 127.0.0.1, for tests with real processes of the scheduler: discovery,
// workers that tell of their jobs, and clients that keep their connections. It is simpler than the testbed's world and
// judges nothing: it counts, and whoever uses it says what is right.
package fakeplatform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Platform is the platform that schedulers run on.
type Platform struct {
	Listen    string    // where clients and workers find the scheduler
	Discovery string    // where discovery answers
	Workers   []*Worker // with ids s-0, s-1, ...
	servers   []*httptest.Server
	closed    chan struct{}
}

// Worker is a worker. It accepts every job, and tells that it has started; that it is done it tells once it is let.
type Worker struct {
	ID            string
	mutex         sync.Mutex
	runsByRequest map[string]int // by X-Call-Id
	release       chan struct{}
}

// New starts a platform with so many workers, whose jobs last until their node is freed.
func New(nodes int) (*Platform, error) {
	platform := &Platform{closed: make(chan struct{})}
	var err error
	if platform.Listen, err = FreeAddress(); err != nil {
		return nil, err
	}
	var endpoints []string
	for i := range nodes {
		n := &Worker{ID: "s-" + strconv.Itoa(i), runsByRequest: map[string]int{}, release: make(chan struct{})}
		s := platform.serve(func(w http.ResponseWriter, r *http.Request) { platform.acceptAttempt(n, w, r) })
		platform.Workers = append(platform.Workers, n)
		endpoints = append(endpoints, fmt.Sprintf(`{"instanceId":"%s","hostPort":"%s","lifecycle":"up"}`, n.ID, s.Listener.Addr()))
	}
	list := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`+"\n", strings.Join(endpoints, ","))
	platform.Discovery = platform.serve(func(w http.ResponseWriter, r *http.Request) { platform.watch(list, w, r) }).Listener.Addr().String()
	return platform, nil
}

func (p *Platform) serve(act http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(act)
	p.servers = append(p.servers, s)
	return s
}

// FreeAddress is an address at which nobody listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Close ends the platform.
func (p *Platform) Close() {
	close(p.closed)
	for _, s := range p.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// watch answers a watch on the endpoint list: the list, and then a sign of life each second.
func (p *Platform) watch(list string, w http.ResponseWriter, r *http.Request) {
	for line := list; ; line = "\n" {
		if _, err := io.WriteString(w, line); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-p.closed:
			return
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// acceptAttempt takes a job, or the word that one is given up, which means nothing here: what runs goes on.
func (p *Platform) acceptAttempt(n *Worker, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method != "POST" {
		return
	}
	id := r.Header.Get("X-Call-Id")
	n.mutex.Lock()
	n.runsByRequest[id]++
	n.mutex.Unlock()
	w.WriteHeader(202)
	go func() {
		p.sendCallback(n, id, "started")
		select {
		case <-n.release:
			p.sendCallback(n, id, "done")
		case <-p.closed:
		}
	}()
}

// sendCallback tells of a job as workers do: each call is tried until it is answered, ten times at most.
func (p *Platform) sendCallback(n *Worker, id, state string) {
	callback, _ := json.Marshal(map[string]string{"id": id, "from": n.ID, "state": state, "result": Result(id, n.ID)})
	for range 10 {
		res, err := http.Post("http://"+p.Listen+"/v1/job-events", "application/json", bytes.NewReader(callback))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode < 300 {
			return
		}
	}
}

// Result is what a node makes of a job.
func Result(id, node string) string { return id + " by " + node }

// Free lets the jobs of a node end, those that are there and all that come.
func (n *Worker) Free() { close(n.release) }

// Runs is how often each job has been run there, by X-Call-Id, and how many runs that are.
func (n *Worker) Runs() (by map[string]int, all int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	by = map[string]int{}
	for id, times := range n.runsByRequest {
		by[id] = times
		all += times
	}
	return by, all
}

// Client submits one job after another on one connection, which it never closes by itself.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects a client.
func (p *Platform) Dial() (*Client, error) {
	conn, err := net.Dial("tcp", p.Listen)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReader(conn)}, nil
}

// Close ends its connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Send submits a job, its request in two pieces that are cut at a byte, and waits for the answer, for a minute at most.
func (c *Client) Send(class, id, body string, cut int) (status int, result string, err error) {
	text := fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: h\r\nX-Call-Class: %s\r\nX-Call-Id: %s\r\nX-Budget-Ms: 60000\r\n"+
		"Content-Length: %d\r\n\r\n%s", class, class, id, len(body), body)
	cut = min(cut, len(text))
	for _, piece := range []string{text[:cut], text[cut:]} {
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return 0, "", err
		}
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	return res.StatusCode, string(got), err
}
