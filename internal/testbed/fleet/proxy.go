package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"
)

// leastInFlight deals requests out: each goes to a worker with the fewest out, in turn among those.
type leastInFlight struct {
	lock     sync.Mutex
	workers  []string
	inFlight []int
	next     int
}

func (l *leastInFlight) acquire() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	best := -1
	for k := range l.workers {
		i := (l.next + k) % len(l.workers)
		if best < 0 || l.inFlight[i] < l.inFlight[best] {
			best = i
		}
		if l.inFlight[i] == 0 {
			break
		}
	}
	l.inFlight[best]++
	l.next = (best + 1) % len(l.workers)
	return best
}

func (l *leastInFlight) release(i int) {
	l.lock.Lock()
	l.inFlight[i]--
	l.lock.Unlock()
}

// ProxyPlan is what the baseline policy is told.
type ProxyPlan struct {
	Listen string   `json:"listen"`
	Nodes  []string `json:"nodes"` // addresses and ports
}

// NewProxy is the standard library's reverse proxy before workers that answer by themselves. GET /up is its own.
func NewProxy(nodes []string) http.Handler {
	leastInFlight := &leastInFlight{workers: nodes, inFlight: make([]int, len(nodes))}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1024,
		DisableCompression:  true,
	}
	type chosen struct{}
	proxy := &httputil.ReverseProxy{
		Transport: transport,
		Rewrite: func(q *httputil.ProxyRequest) {
			q.Out.URL.Scheme, q.Out.URL.Host = "http", q.In.Context().Value(chosen{}).(string)
		},
		ErrorLog:     log.New(io.Discard, "", 0),
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) },
		BufferPool:   &bufferPool{},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/up" {
			return
		}
		i := leastInFlight.acquire()
		defer leastInFlight.release(i)
		proxy.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), chosen{}, leastInFlight.workers[i])))
	})
}

// bufferPool are httputil's, used again.
type bufferPool struct{ pool sync.Pool }

// Get gives a buffer.
func (b *bufferPool) Get() []byte {
	if x, ok := b.pool.Get().(*[]byte); ok {
		return *x
	}
	return make([]byte, 32<<10)
}

// Put takes it back.
func (b *bufferPool) Put(x []byte) { b.pool.Put(&x) }

// ServeProxy serves as the baseline policy until alive ends.
func ServeProxy(p ProxyPlan, alive io.Reader) error {
	listener, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	if len(p.Nodes) == 0 {
		return errors.New("a proxy needs worker nodes")
	}
	s := &http.Server{Handler: NewProxy(p.Nodes)}
	go func() {
		_, _ = io.Copy(io.Discard, alive)
		_ = s.Close()
	}()
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("proxy: %w", err)
	}
	return nil
}
