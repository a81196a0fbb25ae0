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

// least deals requests out: each goes to a worker node with the fewest out, in turn among those.
type least struct {
	lock  sync.Mutex
	hosts []string
	out   []int
	next  int
}

func (l *least) take() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	best := -1
	for k := range l.hosts {
		i := (l.next + k) % len(l.hosts)
		if best < 0 || l.out[i] < l.out[best] {
			best = i
		}
		if l.out[i] == 0 {
			break
		}
	}
	l.out[best]++
	l.next = (best + 1) % len(l.hosts)
	return best
}

func (l *least) back(i int) {
	l.lock.Lock()
	l.out[i]--
	l.lock.Unlock()
}

// ProxyPlan is what the yardstick is told.
type ProxyPlan struct {
	Listen string   `json:"listen"`
	Nodes  []string `json:"nodes"` // addresses and ports
}

// NewProxy is the standard library's reverse proxy before worker nodes that answer by themselves. GET /up is its own.
func NewProxy(nodes []string) http.Handler {
	l := &least{hosts: nodes, out: make([]int, len(nodes))}
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
		BufferPool:   &buffers{},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/up" {
			return
		}
		i := l.take()
		defer l.back(i)
		proxy.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), chosen{}, l.hosts[i])))
	})
}

// buffers are httputil's, used again.
type buffers struct{ pool sync.Pool }

// Get gives a buffer.
func (b *buffers) Get() []byte {
	if x, ok := b.pool.Get().(*[]byte); ok {
		return *x
	}
	return make([]byte, 32<<10)
}

// Put takes it back.
func (b *buffers) Put(x []byte) { b.pool.Put(&x) }

// ServeProxy serves as the yardstick until alive ends.
func ServeProxy(p ProxyPlan, alive io.Reader) error {
	at, err := net.Listen("tcp", p.Listen)
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
	if err := s.Serve(at); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("proxy: %w", err)
	}
	return nil
}
