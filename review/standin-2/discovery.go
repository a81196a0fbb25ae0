package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a worker node in the list of discovery.
type entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`

	addrs []string // by scheduler
}

type listing struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// discovery is a stand-in of the discovery service: the whole list, and watches on its changes.
type discovery struct {
	rec     *record
	addrs   []string // for each scheduler
	servers []*http.Server
	mutex   sync.Mutex
	gen     int
	entries map[string]entry
	log     []listing // the change of each generation
	changed chan struct{}
}

func newDiscovery(rec *record, nodes int) (*discovery, error) {
	d := &discovery{rec: rec, gen: 1, entries: map[string]entry{}, changed: make(chan struct{})}
	for i := range nodes {
		if _, err := d.open(i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// open serves a scheduler at a further address.
func (d *discovery) open(node int) (addr string, err error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(node, w, r) })}
	d.addrs = append(d.addrs, listener.Addr().String())
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// text returns a list as a scheduler gets it.
func (l listing) text(node int) []byte {
	seen := listing{Generation: l.Generation, Reset: l.Reset, Instances: []entry{}}
	for _, e := range l.Instances {
		if node < len(e.addrs) {
			e.HostPort = e.addrs[node]
		}
		seen.Instances = append(seen.Instances, e)
	}
	text, _ := json.Marshal(seen)
	return append(text, '\n')
}

// set changes entries, in one new generation.
func (d *discovery) set(changes ...entry) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.gen++
	for _, e := range changes {
		if e.Lifecycle == "removed" {
			delete(d.entries, e.InstanceID)
		} else {
			d.entries[e.InstanceID] = e
		}
		d.rec.line("discovery generation %d: %s %s started %d", d.gen, e.InstanceID, e.Lifecycle, e.StartedAtMs)
	}
	d.log = append(d.log, listing{Generation: d.gen, Instances: changes})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) whole() listing {
	all := listing{Generation: d.gen, Reset: true}
	for _, e := range d.entries {
		all.Instances = append(all.Instances, e)
	}
	return all
}

// after returns what changed after a generation, or the whole list.
func (d *discovery) after(index int) listing {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if index <= 0 || index > d.gen || d.gen-index > len(d.log) {
		return d.whole()
	}
	merged := map[string]entry{}
	var order []string
	for _, change := range d.log[len(d.log)-(d.gen-index):] {
		for _, e := range change.Instances {
			if _, seen := merged[e.InstanceID]; !seen {
				order = append(order, e.InstanceID)
			}
			merged[e.InstanceID] = e
		}
	}
	all := listing{Generation: d.gen, Instances: []entry{}}
	for _, id := range order {
		all.Instances = append(all.Instances, merged[id])
	}
	return all
}

// changes returns a channel that is closed at the next change.
func (d *discovery) changes() chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

func (d *discovery) serve(node int, w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	if r.URL.Query().Get("stream") != "1" {
		d.mutex.Lock()
		text := d.whole().text(node)
		d.mutex.Unlock()
		_, _ = w.Write(text)
		return
	}
	d.rec.line("watch opened by %s after %d", r.RemoteAddr, index)
	control := http.NewResponseController(w)
	for first := true; ; first = false {
		changed := d.changes()
		list := d.after(index)
		if first || list.Generation != index {
			_, _ = w.Write(list.text(node))
			index = list.Generation
		} else {
			fmt.Fprint(w, "\n")
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
	}
}

func (d *discovery) close() {
	for _, server := range d.servers {
		_ = server.Close()
	}
}
