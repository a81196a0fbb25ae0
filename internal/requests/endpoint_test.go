package requests

import (
	"log/slog"
	"strconv"
	"testing"

	"valvecove/internal/steps"
)

// Schedulers that meet the hosts in different orders must give them the same numbers, and two hosts two.
func TestEndpointNumbers_AgreeBetweenSchedulers(t *testing.T) {
	number := func(ids ...string) map[string]uint64 {
		table := endpointTable{map[string]uint64{}, map[uint64]Endpoint{}}
		var g EndpointList
		for _, id := range ids {
			g.Endpoints = append(g.Endpoints, Endpoint{ID: id})
		}
		table.apply(g, NameTable{})
		return table.numbers
	}
	a, b := number("s-1", "s-2"), number("s-2", "s-3", "s-1")
	if a["s-1"] != b["s-1"] || a["s-2"] != b["s-2"] {
		t.Errorf("numbers depend on the order: %v, %v", a, b)
	}
	real := hashID
	defer func() { hashID = real }()
	hashID = func(id string) uint64 { return uint64(len(id)) }
	if c := number("s-1", "s-2"); c["s-1"] == c["s-2"] {
		t.Errorf("two hosts share number %d", c["s-1"])
	}
}

// Hosts that have left are not remembered for ever, but for those that are out by hand.
func TestEndpoints_RemovedAreForgotten(t *testing.T) {
	l := New(6, NameTable{Classes: []string{"a"}}, func() Policy { return &steps.Script{} }, EndpointList{}, &recordingTransport{}, slog.New(slog.DiscardHandler))
	l.UpdateEndpoints(EndpointList{Reset: true, Endpoints: []Endpoint{{ID: "out", Lifecycle: "up"}}})
	l.Cordon("out")
	for n := range 3 * maxRemovedEndpoints {
		l.UpdateEndpoints(EndpointList{Reset: true, Endpoints: []Endpoint{{ID: "s-" + strconv.Itoa(n), Lifecycle: "up"}}})
	}
	if n := len(l.endpoints.byNumber); n > 2*maxRemovedEndpoints || n != len(l.endpoints.numbers) {
		t.Errorf("%d hosts are remembered, %d numbers", n, len(l.endpoints.numbers))
	}
	if known, _ := l.Cordon("out"); !known || len(l.Cordoned()) != 1 || l.Cordoned()[0] != "out" {
		t.Errorf("of the one that is out: %v", l.Cordoned())
	}
}
