// Package fakeplatform is a small fake of the platform that a scheduler runs on, for tests with real scheduler processes.
// It owns the discovery service, the workers, the clients and the scheduler processes of one test, all on the loopback network. It
// is simpler than the testbed's simulated environment. It makes no assertions about the scheduler: it counts what the
// scheduler does, and its caller compares the counts with what the test expects.
package fakeplatform

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"time"
)

// watchHeartbeat is the time between two heartbeats on a watch of the endpoint list.
const watchHeartbeat = time.Second

// Platform is a fake platform with its workers and its discovery service. Its methods may be called concurrently, except
// for Close, which is called once, after all other calls.
type Platform struct {
	Listen    string    // address at which clients and workers reach the scheduler
	Discovery string    // address of the discovery service
	Workers   []*Worker // their ids are s-0, s-1, ...
	Sockets   int       // limit of descriptors of the schedulers that are started from then on
	MemoryMB  int       // limit of memory of these
	servers   []*httptest.Server
	closed    chan struct{}
}

// endpointList is an event of a watch on discovery, with the full endpoint list.
type endpointList struct {
	Revision  int        `json:"generation"`
	Snapshot  bool       `json:"reset"`
	Endpoints []endpoint `json:"instances"`
}

// endpoint is one worker in the endpoint list.
type endpoint struct {
	ID        string `json:"instanceId"`
	Address   string `json:"hostPort"`
	Lifecycle string `json:"lifecycle"`
}

// New starts a platform with a number of workers. Their jobs run until Worker.Free is called. The caller has to close the
// platform.
func New(workers int) (*Platform, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	platform := &Platform{Listen: listen, Sockets: defaultSockets, MemoryMB: defaultMemoryMB, closed: make(chan struct{})}
	list := endpointList{Revision: 1, Snapshot: true}
	for i := range workers {
		worker := &Worker{ID: "s-" + strconv.Itoa(i), arrivals: map[string][]time.Time{}, release: make(chan struct{})}
		address := platform.serve(func(w http.ResponseWriter, r *http.Request) { platform.acceptAttempt(worker, w, r) })
		platform.Workers = append(platform.Workers, worker)
		list.Endpoints = append(list.Endpoints, endpoint{ID: worker.ID, Address: address, Lifecycle: "up"})
	}
	event, err := json.Marshal(list)
	if err != nil {
		platform.Close()
		return nil, err
	}
	event = append(event, '\n')
	platform.Discovery = platform.serve(func(w http.ResponseWriter, r *http.Request) { platform.watch(event, w, r) })
	return platform, nil
}

// serve starts an HTTP server and returns its address. Close stops it.
func (p *Platform) serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	p.servers = append(p.servers, server)
	return server.Listener.Addr().String()
}

// loopbackAddress is that of the addresses of FreeAddress, without a port. It is none from which connections are made, as these would take their ports.
var loopbackAddress = netip.AddrFrom4([4]byte{127, byte(32 + rand.IntN(192)), byte(rand.IntN(256)), byte(2 + rand.IntN(250))})

// FreeAddress returns an address of the loopback network whose port was free a moment ago. Another process may have taken it since.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(loopbackAddress, 0).String())
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// Close stops the workers and the discovery service. Jobs that still run are dropped without a callback.
func (p *Platform) Close() {
	close(p.closed)
	for _, server := range p.servers {
		server.CloseClientConnections()
		server.Close()
	}
}

// watch serves a watch on the endpoint list: first the full list, then heartbeats until either side ends the watch.
func (p *Platform) watch(event []byte, w http.ResponseWriter, request *http.Request) {
	const heartbeat = "\n"
	response := http.NewResponseController(w)
	for line := string(event); ; line = heartbeat {
		if _, err := io.WriteString(w, line); err != nil {
			return
		}
		if err := response.Flush(); err != nil {
			return
		}
		select {
		case <-p.closed:
			return
		case <-request.Context().Done():
			return
		case <-time.After(watchHeartbeat):
		}
	}
}
