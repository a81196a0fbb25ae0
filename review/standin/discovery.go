package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// entry is one worker of the endpoint list.
type entry struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// list is the whole endpoint list.
type list struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// discovery serves a list that does not change while it runs.
type discovery struct {
	address string
	list    list // the whole list
}

// startDiscovery starts a discovery that lists workers. Before, it has listed and removed a number of others: if there are any, the first
// object of a watch holds what changed, else the whole list.
func startDiscovery(workers []*worker, removed int) (*discovery, error) {
	d := &discovery{list: list{Generation: 41, Reset: true}}
	for _, w := range workers {
		d.list.Instances = append(d.list.Instances, entry{
			ID: w.id, Address: w.address, Zone: "dc1", MachineType: "std-4c", Cell: w.cell, Lifecycle: "up", Weight: 1,
		})
	}
	first := d.list
	if removed > 0 {
		first.Reset = false
		first.Generation += removed
	}
	for n := range removed {
		first.Instances = append(first.Instances, entry{
			ID: fmt.Sprintf("s-%08x", n), Address: fmt.Sprintf("127.%d.%d.1:9000", 1+n%200, n/200), Zone: "dc1", MachineType: "std-4c",
			Cell: n / 4, Lifecycle: "removed", Weight: 1, StartedAtMs: 1_764_826_291_123 + int64(n),
		})
	}
	text, err := json.Marshal(first)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, text) })}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

// serve answers with the first object and, on a watch, an empty line every 2 s from then on.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request, text []byte) {
	_, _ = w.Write(append(text, '\n'))
	if r.URL.Query().Get("stream") == "" {
		return
	}
	flush := http.NewResponseController(w)
	for flush.Flush() == nil {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
		if _, err := io.WriteString(w, "\n"); err != nil {
			return
		}
	}
}
