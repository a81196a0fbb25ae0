package process

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sys/unix"

	"valvecove/internal/config"
)

// fakeScheduler is the main function of a fake scheduler's process. It checks its resource limits, responds to GET /up,
// watches discovery and handles SIGHUP and SIGTERM as the platform requires, and schedules nothing.
func fakeScheduler() int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	c, err := config.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || int(limit.Max) != c.Limits.Sockets {
		fmt.Fprintln(os.Stderr, "descriptors:", limit, err)
		return 1
	}
	var cores unix.CPUSet
	if err := unix.SchedGetaffinity(0, &cores); err != nil || cores.Count() != 1 {
		fmt.Fprintln(os.Stderr, "cores:", cores.Count(), err)
		return 1
	}
	fmt.Fprintln(os.Stderr, "begins")
	request := func() {
		url := fmt.Sprintf("http://%v/discovery/hosts?stream=1&index=%d", c.Discovery, c.KnownEndpoints.Revision)
		go func() { _, _ = http.Get(url) }() // the response may come late, or never
	}
	request()
	readiness := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/up" {
			w.WriteHeader(http.StatusNotFound)
		}
	})
	go func() { _ = http.ListenAndServe(c.Listen.String(), readiness) }()
	for sig := range signals {
		if sig == syscall.SIGTERM {
			return 7
		}
		next, _, err := c.Reload(os.Getenv)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		if next.Discovery != c.Discovery {
			fmt.Fprintln(os.Stderr, "discovery moved")
		}
		c = next
		request()
	}
	return 0
}
