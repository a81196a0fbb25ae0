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

// leastInFlight picks the worker with the fewest requests in flight, in turn among equals.
type leastInFlight struct {
	lock     sync.Mutex
	workers  []string
	inFlight []int
	next     int // index at which the next search starts
}

// acquire picks a worker and counts a request to it. It returns the worker's index, for release.
func (l *leastInFlight) acquire() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	best := -1
	for offset := range l.workers {
		i := (l.next + offset) % len(l.workers)
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

// release ends a request that acquire counted.
func (l *leastInFlight) release(worker int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.inFlight[worker]--
}

// ProxyPlan has the addresses at which the proxy's process listens and to which it forwards.
type ProxyPlan struct {
	Listen  string   `json:"listen"`
	Workers []string `json:"nodes"` // addresses of the workers, with their ports
}

const (
	proxyDialTimeout  = time.Second
	proxyIdleConns    = 1024     // kept open to each worker
	proxyBufferLength = 32 << 10 // bytes
)

// NewProxy returns the baseline policy: the standard library's reverse proxy in front of workers that respond with the
// result. It responds to GET /up by itself. workers must not be empty.
func NewProxy(workers []string) http.Handler {
	balancer := &leastInFlight{workers: workers, inFlight: make([]int, len(workers))}
	type workerKey struct{}
	proxy := &httputil.ReverseProxy{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: proxyDialTimeout}).DialContext,
			MaxIdleConnsPerHost: proxyIdleConns,
			DisableCompression:  true,
		},
		Rewrite: func(request *httputil.ProxyRequest) {
			worker := request.In.Context().Value(workerKey{}).(string)
			request.Out.URL.Scheme, request.Out.URL.Host = "http", worker
		},
		ErrorLog:     log.New(io.Discard, "", 0),
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) },
		BufferPool:   &bufferPool{},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/up" {
			return
		}
		index := balancer.acquire()
		defer balancer.release(index)
		ctx := context.WithValue(request.Context(), workerKey{}, balancer.workers[index])
		proxy.ServeHTTP(w, request.WithContext(ctx))
	})
}

// bufferPool keeps the reverse proxy's buffers for reuse. It is an httputil.BufferPool.
type bufferPool struct{ pool sync.Pool }

// Get returns a buffer.
func (b *bufferPool) Get() []byte {
	if buffer, ok := b.pool.Get().(*[]byte); ok {
		return *buffer
	}
	return make([]byte, proxyBufferLength)
}

// Put takes a buffer back.
func (b *bufferPool) Put(buffer []byte) { b.pool.Put(&buffer) }

// ServeProxy serves the baseline policy until alive ends.
func ServeProxy(plan ProxyPlan, alive io.Reader) error {
	listener, err := net.Listen("tcp", plan.Listen)
	if err != nil {
		return err
	}
	if len(plan.Workers) == 0 {
		return errors.New("the proxy needs at least one worker")
	}
	server := &http.Server{Handler: NewProxy(plan.Workers)}
	go func() {
		_, _ = io.Copy(io.Discard, alive)
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("proxy: %w", err)
	}
	return nil
}
