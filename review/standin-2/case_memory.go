package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = caseMemory }

const (
	memoryLimit   = 64 // MB
	memoryClients = 100
	atOnce        = 8     // requests of a client
	longBody      = 60000 // bytes, of requests and of results
)

// rssAnon returns the memory of a process that is no file's, in MB.
func rssAnon(pid int) (mb float64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "RssAnon: %f kB", &kb); n == 1 {
			mb = kb / 1024
		}
	}
	return mb
}

// memoryGuard samples the memory of the scheduler's processes together, and kills them once it is over the limit, as the platform does.
type memoryGuard struct {
	mutex  sync.Mutex
	peak   float64
	parts  string
	killed bool
}

func (r *rig) guardMemory(limit float64, processes func() []*scheduler) *memoryGuard {
	guard := &memoryGuard{}
	go func() {
		for {
			time.Sleep(5 * time.Millisecond)
			sum, parts := 0.0, ""
			all := processes()
			for _, s := range all {
				if !s.hasEnded() {
					mb := rssAnon(s.command.Process.Pid)
					sum += mb
					parts += fmt.Sprintf(" %s %.1f", s.name, mb)
				}
			}
			guard.mutex.Lock()
			if sum > guard.peak+1 || sum > limit {
				guard.peak, guard.parts = sum, parts
				r.rec.line("memory %.1f MB:%s", sum, parts)
			}
			over := sum > limit
			guard.killed = guard.killed || over
			guard.mutex.Unlock()
			if over {
				r.rec.line("memory %.1f MB of %.0f: killed by the platform:%s", sum, limit, parts)
				for _, s := range all {
					_ = s.command.Process.Signal(syscall.SIGKILL)
				}
				return
			}
		}
	}()
	return guard
}

// caseMemory: a process is replaced while clients have sent many requests at once. The two processes together stay within the limit.
func caseMemory(r *rig) ([]string, error) {
	mode := os.Getenv("TROUBLE") // "0": neither; "many": the clients alone; "upgrade": the replacement alone
	many, upgrade := mode != "0" && mode != "upgrade", mode != "0" && mode != "many"
	r.memoryMB, r.resultSize = memoryLimit, longBody
	if err := r.fleet(30); err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	var processes []*scheduler
	start := func(name string) (*scheduler, error) {
		s, err := r.startScheduler(0, name)
		if err != nil {
			return nil, err
		}
		mutex.Lock()
		processes = append(processes, s)
		mutex.Unlock()
		if !s.waitReady(10 * time.Second) {
			return nil, errNotReady
		}
		return s, nil
	}
	old, err := start("old")
	if err != nil {
		return nil, err
	}
	guard := r.guardMemory(memoryLimit, func() []*scheduler {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]*scheduler(nil), processes...)
	})
	var wait sync.WaitGroup
	var answered, unanswered int
	for range memoryClients {
		time.Sleep(20 * time.Millisecond)
		wait.Add(1)
		go func() {
			defer wait.Done()
			conn, err := net.Dial("tcp", r.nodes[0].listen)
			if err != nil {
				return
			}
			defer conn.Close()
			var texts []string
			for i := range atOnce {
				j := newJob("status-check", 20*time.Millisecond, 1)
				if i == 0 {
					j = newJob("recipient-screen", 6*time.Second, 1)
				}
				j.budget = 12 * time.Second
				j.body += strings.Repeat("x", longBody)
				texts = append(texts, j.head()+j.body)
			}
			if many {
				go func() { _, _ = io.WriteString(conn, strings.Join(texts, "")) }()
			}
			reader := bufio.NewReader(conn)
			for i := range texts {
				if !many {
					_, _ = io.WriteString(conn, texts[i])
				}
				_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
				response, err := readFinal(reader)
				mutex.Lock()
				if err != nil {
					unanswered += len(texts) - i
					mutex.Unlock()
					return
				}
				answered++
				mutex.Unlock()
				_, _ = io.Copy(io.Discard, response.Body)
				if response.Close {
					return
				}
			}
		}()
	}
	time.Sleep(time.Second)
	if upgrade && !old.hasEnded() {
		if _, err := start("new"); err == nil {
			old.signal(syscall.SIGTERM)
			<-old.done
		}
	}
	wait.Wait()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	mutex.Lock()
	defer mutex.Unlock()
	fmt.Printf("peak %.1f MB of %d:%s; %d answers\n", guard.peak, memoryLimit, guard.parts, answered)
	if !guard.killed {
		return nil, nil
	}
	return []string{fmt.Sprintf("the processes have %.1f MB together, %d allowed, and are killed:%s; %d requests are lost", guard.peak, memoryLimit, guard.parts, unanswered)}, nil
}
