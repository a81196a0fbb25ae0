package server

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hangingWorkers accepts connections and requests, and never responds.
type hangingWorkers struct {
	net.Listener
	received sync.Map // by call ID
}

func (h *hangingWorkers) serve() {
	for {
		connection, err := h.Accept()
		if err != nil {
			return
		}
		go func() {
			for reader := bufio.NewReader(connection); ; {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				h.received.Store(request.Header.Get("X-Call-Id"), true)
			}
		}()
	}
}

// persistentClient sends one request after the other until the scheduler ends, on one connection where possible.
type persistentClient struct {
	name     string
	address  string
	answered map[string]bool // by call ID

	mutex      sync.Mutex // for what follows
	connection *net.TCPConn
	ended      bool
}

// run sends requests until the scheduler has ended.
func (p *persistentClient) run() {
	var reader *bufio.Reader
	for n := 0; ; n++ {
		connection, isNew := p.connect()
		if connection == nil {
			return
		}
		if isNew {
			reader = bufio.NewReader(connection)
		}
		id := fmt.Sprintf("%s-%d", p.name, n)
		_, _ = fmt.Fprintf(connection, "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: %s\r\nX-Budget-Ms: 200\r\nContent-Length: 0\r\n\r\n", id)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		p.answered[id] = err == nil || errors.Is(err, os.ErrDeadlineExceeded) && hasResponse(connection)
		if err != nil || response.Close { // the next request is sent on a new connection
			p.disconnect()
		}
	}
}

// connect returns the client's connection, or nil if the scheduler has ended.
func (p *persistentClient) connect() (connection *net.TCPConn, isNew bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended {
		return nil, false
	}
	if p.connection != nil {
		return p.connection, false
	}
	dialed, err := net.Dial("tcp", p.address)
	if err != nil {
		return nil, false
	}
	p.connection = dialed.(*net.TCPConn)
	return p.connection, true
}

func (p *persistentClient) disconnect() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = p.connection.Close()
	p.connection = nil
}

// stop is called when the scheduler has ended, so that no further response is expected.
func (p *persistentClient) stop() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ended = true
	if p.connection != nil {
		_ = p.connection.SetReadDeadline(time.Unix(1, 0))
	}
}

// hasResponse reports whether a response was received that was not read when the scheduler ended.
func hasResponse(connection *net.TCPConn) bool {
	_ = connection.SetReadDeadline(time.Time{})
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	received := make([]byte, 1<<10)
	size := 0
	_ = raw.Read(func(fd uintptr) bool {
		size, _ = syscall.Read(int(fd), received)
		return true
	})
	return size > 0 && bytes.HasPrefix(received[:size], []byte("HTTP/1.1 "))
}

// With short deadlines, SIGKILL follows soon after SIGTERM. Each request that was sent to a worker is responded to before,
// although the workers hang and clients continue to send on their connections.
func TestTermWithShortDeadlines(t *testing.T) {
	const clients = 4
	for name, reloads := range map[string]int{"discovery is down": 0, "one reload": 1, "several reloads": 5} {
		t.Run(name, func(t *testing.T) {
			workers := &hangingWorkers{Listener: listen(t)}
			go workers.serve()
			text := strings.NewReplacer(`"hostPort":"127.0.0.1:1"`, `"hostPort":"`+workers.Addr().String()+`"`, "500000", "300000").Replace(testConfig)
			s := start(t, text)
			var all []*persistentClient
			var running sync.WaitGroup
			for n := range clients {
				c := &persistentClient{name: fmt.Sprint("c", n), address: s.addr, answered: map[string]bool{}}
				all = append(all, c)
				running.Go(c.run)
			}
			s.expectAccepted(workers)
			for range reloads {
				silent := listen(t) // the connection stays in its backlog, without a response
				s.configure(strings.Replace(text, `"discovery":"127.0.0.1:1"`, `"discovery":"`+silent.Addr().String()+`"`, 1))
				s.signal(syscall.SIGHUP)
			}
			s.signal(syscall.SIGTERM)
			if err := <-s.result; err != nil {
				t.Error(err)
			}
			for _, c := range all {
				c.stop()
			}
			running.Wait()
			for _, c := range all {
				c.expectAnswered(t, workers)
			}
		})
	}
}

// expectAnswered expects a response to each request of the client that workers have received.
func (p *persistentClient) expectAnswered(t *testing.T, workers *hangingWorkers) {
	t.Helper()
	workers.received.Range(func(id, _ any) bool {
		if strings.HasPrefix(id.(string), p.name+"-") && !p.answered[id.(string)] {
			t.Errorf("%s was sent to a worker, but the client received no response", id)
		}
		return true
	})
}

// expectAccepted sends requests until a worker has received one. On a busy machine a request may reach its deadline before it
// is sent to a worker.
func (s *process) expectAccepted(workers *hangingWorkers) {
	const maxRequests = 100
	for n := range maxRequests {
		answer := s.sendRequest(fmt.Sprintf("POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: first-%d\r\nContent-Length: 0\r\n\r\n", n))
		if _, err := answer.ReadString('\n'); err != nil {
			s.Fatal(err)
		}
		if workers.hasReceived() {
			return
		}
	}
	s.Fatalf("none of %d requests was sent to a worker", maxRequests)
}

// hasReceived reports whether a worker has received a request.
func (h *hangingWorkers) hasReceived() bool {
	received := false
	h.received.Range(func(any, any) bool {
		received = true
		return false
	})
	return received
}
