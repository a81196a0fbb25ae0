package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["forms"] = caseForms }

// postChunked posts a body in chunks whose sizes are written in a form, such as "%x".
func postChunked(addr, path string, body []byte, sizeForm string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	text := "POST " + path + " HTTP/1.1\r\nHost: " + addr + "\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	half := len(body) / 2
	for _, chunk := range [][]byte{body[:half], body[half:], nil} {
		text += fmt.Sprintf(sizeForm+"\r\n", len(chunk))
		if len(chunk) > 0 {
			text += string(chunk) + "\r\n"
		}
	}
	if _, err := io.WriteString(conn, text+"\r\n"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// caseForms: worker nodes write the sizes of chunks with leading zeros, as HTTP/1.1 allows (chunk-size = 1*HEXDIG). Whatever they
// tell the scheduler in time has to reach the client.
func caseForms(r *rig) ([]string, error) {
	r.sizeForm = "%x"
	if r.trouble {
		r.sizeForm = "%08x"
	}
	if err := r.fleet(8); err != nil {
		return nil, err
	}
	s, err := r.startScheduler(0, "a")
	if err != nil || !s.waitReady(10*time.Second) {
		return nil, errNotReady
	}
	for range 40 {
		j := newJob("cash-payout", 200*time.Millisecond, 1)
		j.budget = 6 * time.Second
		r.clients.submit(j)
		time.Sleep(100 * time.Millisecond)
	}
	r.clients.wait.Wait()
	var broken []string
	for _, j := range r.clients.jobs {
		r.mutex.Lock()
		for _, a := range r.attempts[j.id] {
			if a.ended && j.status != 200 {
				broken = append(broken, fmt.Sprintf("%s %s ran at %s, which said done in time, and its client has status %d after %v",
					j.class, j.id, a.worker.id, j.status, j.over.Sub(j.sent).Round(time.Millisecond)))
				break
			}
		}
		r.mutex.Unlock()
	}
	r.rec.line("%d of %d jobs ran and were told as done, and their clients have no result", len(broken), len(r.clients.jobs))
	fmt.Printf("%d of %d jobs ran and were told as done, and their clients have no result\n", len(broken), len(r.clients.jobs))
	return broken, nil
}
