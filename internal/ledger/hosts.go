package ledger

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"valvecove/logic"
)

// Host is one entry of a host group, in discovery's own words.
type Host struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	State     string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// HostGroup is discovery's list of worker nodes, whole or in part.
type HostGroup struct {
	Generation int64  `json:"generation"`
	Reset      bool   `json:"reset"`
	Hosts      []Host `json:"instances"`
}

// States of a host.
const (
	hostUp   = "up"
	hostGone = "removed"
)

// Names are the words that stand for the indices which the module knows.
type Names struct{ Classes, Tenants, Zones, Kinds []string }

// hostTable gives each host its number. The numbers must agree between schedulers, since the module hashes
// them to share out cold worker nodes: they follow from the host's own id, never from the order of arrival.
type hostTable struct {
	numbers map[string]uint64
	hosts   map[uint64]Host
}

func (t *hostTable) number(id string) uint64 {
	if n, ok := t.numbers[id]; ok {
		return n
	}
	n := hashID(id)
	// Two ids with one hash must not share a number. In 64 bits that hardly happens; the second moves on.
	for salt := 1; n == 0 || t.hosts[n].ID != ""; salt++ {
		n = hashID(id + "#" + strconv.Itoa(salt))
	}
	t.numbers[id] = n
	t.hosts[n] = Host{ID: id}
	return n
}

// mostGone is how many hosts that have left are remembered, besides as many as are listed.
const mostGone = 1 << 14

// prune forgets hosts that have left, if there are too many. Of those in use nothing is forgotten, nor of those out by hand.
func (t *hostTable) prune(listed map[uint64]logic.Worker, inUse func(n uint64) bool) {
	if len(t.hosts) <= 2*len(listed)+mostGone {
		return
	}
	for n, h := range t.hosts {
		if _, is := listed[n]; !is && !inUse(n) {
			delete(t.hosts, n)
			delete(t.numbers, h.ID)
		}
	}
}

var hashID = func(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// take enters a group and returns it as the module's entries.
func (t *hostTable) take(g HostGroup, names Names) []logic.Worker {
	list := make([]logic.Worker, 0, len(g.Hosts))
	for _, h := range g.Hosts {
		if h.ID == "" {
			continue
		}
		n := t.number(h.ID)
		if h.Addr == "" {
			h.Addr = t.hosts[n].Addr // a removal need not repeat the address
		}
		t.hosts[n] = h
		list = append(list, logic.Worker{ID: n, Kind: slices.Index(names.Kinds, h.Kind), Ready: h.State == hostUp,
			Gone: h.State == hostGone, Size: h.Weight, Cell: h.Cell, Zone: slices.Index(names.Zones, h.Zone),
			BootAt: time.Duration(max(0, h.StartedMs)) * time.Millisecond})
	}
	return list
}
