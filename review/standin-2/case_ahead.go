package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["ahead"] = caseAhead }

// sendAtOnce sends jobs on one new connection without waiting for answers, and reads the answers as they come.
func (c *clients) sendAtOnce(jobs []*job) {
	conn, err := net.DialTimeout("tcp", c.rig.nodes[0].listen, 2*time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	var written sync.WaitGroup
	written.Add(1)
	go func() {
		defer written.Done()
		for _, j := range jobs {
			_, err := io.WriteString(conn, j.head()+j.body)
			if err != nil {
				c.rig.rec.line("client: %s is not written whole: %v", j.id, err)
				return
			}
			c.mutex.Lock()
			j.sent = time.Now()
			c.mutex.Unlock()
			c.rig.rec.line("client: %s %s is written whole", j.class, j.id)
		}
	}()
	reader := bufio.NewReader(conn)
	for _, j := range jobs {
		_ = conn.SetReadDeadline(time.Now().Add(j.budget + 1500*time.Millisecond))
		response, err := readFinal(reader)
		if err != nil {
			j.err = err
			c.rig.rec.line("client: no answer to %s: %v", j.id, err)
			break
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			j.err = err
			break
		}
		j.answered, j.status, j.result = time.Now(), response.StatusCode, string(body)
		c.rig.rec.line("client: %s status %d close %v", j.id, j.status, response.Close)
	}
	written.Wait()
}

// caseAhead: a client sends many requests at once. Each that is written whole to the connection has its answer before the scheduler
// ends that connection.
func caseAhead(r *rig) ([]string, error) {
	if err := r.fleet(12); err != nil {
		return nil, err
	}
	s, err := r.startScheduler(0, "a")
	if err != nil || !s.waitReady(10*time.Second) {
		return nil, errNotReady
	}
	var jobs []*job
	for range 100 {
		j := newJob("cash-payout", 30*time.Millisecond, 1)
		j.body += strings.Repeat("x", 20000)
		jobs = append(jobs, j)
	}
	if r.trouble {
		r.clients.sendAtOnce(jobs)
	} else {
		for _, j := range jobs { // the same, one at a time
			r.clients.sendAtOnce([]*job{j})
		}
	}
	var broken []string
	for _, j := range jobs {
		if !j.sent.IsZero() && j.status == 0 {
			broken = append(broken, fmt.Sprintf("lost: %s %s was written whole, and the scheduler ended the connection without an answer", j.class, j.id))
		}
	}
	fmt.Printf("%d of %d jobs have no answer\n", len(broken), len(jobs))
	return broken, nil
}
