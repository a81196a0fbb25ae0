package badclients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"valvecove/internal/testbed/fakeplatform"
)

const (
	departureBudget = 5 * time.Second
	// departureSlack is how long after a client's close an attempt may come to a worker: 0.1 s, and 50 ms on sockets.
	departureSlack = 150 * time.Millisecond
)

// departure is a client that sends payouts at once and leaves, after which each payout comes again on a connection of its own.
type departure struct {
	play     Play
	platform *fakeplatform.Platform
	ids      []string
	closedAt time.Time
}

func newDeparture(play Play, platform *fakeplatform.Platform) *departure {
	d := &departure{play: play, platform: platform}
	for n := range play.Requests {
		d.ids = append(d.ids, fmt.Sprintf("departed-%d", n))
	}
	return d
}

// leave sends all payouts and closes the connection.
func (d *departure) leave() error {
	connection, err := net.Dial("tcp", d.platform.Listen)
	if err != nil {
		return err
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		for _, id := range d.ids {
			if _, err := io.WriteString(connection, d.request(id)); err != nil {
				return
			}
		}
	}()
	time.Sleep(d.play.CloseAfter)
	if tcp, ok := connection.(*net.TCPConn); ok && d.play.Reset {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
	d.closedAt = time.Now()
	<-written
	return nil
}

func (d *departure) request(id string) string {
	return requestText(classPayout, id, departureBudget, "", strings.Repeat("x", d.play.BodySize))
}

// checkAttempts checks that nothing came to workers too long after the close.
func (d *departure) checkAttempts(result *Result) {
	for _, id := range d.ids {
		for _, at := range d.arrivals(id) {
			if late := at.Sub(d.closedAt); late > departureSlack {
				result.violate(RuleLateAttempt, "payout %s came to a worker %v after its client had left", id, late.Round(time.Millisecond))
			}
		}
	}
}

// repeat sends each payout again, on a connection of its own, and returns the answers by status; 0: none.
func (d *departure) repeat() map[int]int {
	var mutex sync.Mutex
	var group sync.WaitGroup
	answers := map[int]int{}
	for _, id := range d.ids {
		group.Go(func() {
			status := d.repeatOne(id)
			mutex.Lock()
			defer mutex.Unlock()
			answers[status]++
		})
	}
	group.Wait()
	return answers
}

func (d *departure) repeatOne(id string) (status int) {
	connection, err := net.Dial("tcp", d.platform.Listen)
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(departureBudget + answerSlack))
	if _, err := io.WriteString(connection, d.request(id)); err != nil {
		return 0
	}
	response, err := readFinalResponse(bufio.NewReader(connection))
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// checkRuns checks that no payout ran more than once.
func (d *departure) checkRuns(result *Result) {
	for _, id := range d.ids {
		if runs := len(d.arrivals(id)); runs > 1 {
			result.violate(RuleRunsOnce, "payout %s ran %d times", id, runs)
		}
	}
}

// arrivals returns when attempts of a payout came to any worker.
func (d *departure) arrivals(id string) (all []time.Time) {
	for _, worker := range d.platform.Workers {
		all = append(all, worker.Arrivals(id)...)
	}
	return all
}
