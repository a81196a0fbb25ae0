package requests

import (
	"strconv"
	"testing"

	"valvecove/internal/modeltest"
)

// numberEndpoints returns the numbers of endpoints that are listed in the given order.
func numberEndpoints(hash func(id string) uint64, ids ...string) map[string]uint64 {
	table := newEndpointTable()
	table.hash = hash
	list := EndpointList{}
	for _, id := range ids {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: id})
	}
	table.apply(list, NameTable{}, 0)
	return table.numbers
}

// Schedulers must assign the same numbers to endpoints regardless of the order in which they are listed. Endpoints with the
// same hash must get different numbers.
func TestEndpointNumbersAgreeBetweenSchedulers(t *testing.T) {
	one := numberEndpoints(hashID, "s-1", "s-2")
	other := numberEndpoints(hashID, "s-2", "s-3", "s-1")
	if one["s-1"] != other["s-1"] || one["s-2"] != other["s-2"] {
		t.Errorf("numbers depend on the order: %v, %v", one, other)
	}
	colliding := numberEndpoints(func(id string) uint64 { return uint64(len(id)) }, "s-1", "s-2")
	if colliding["s-1"] == colliding["s-2"] {
		t.Errorf("two endpoints share number %d", colliding["s-1"])
	}
}

// The number of remembered endpoints is bounded: removed ones are forgotten, unless they are cordoned.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	table := newTestTable(&modeltest.ScriptedPolicy{}, 0, newRecordingTransport())
	replace := func(id string) {
		table.UpdateEndpoints(EndpointList{Reset: true, Endpoints: []Endpoint{{ID: id, Lifecycle: "up"}}})
	}
	replace("cordoned")
	table.Cordon("cordoned")
	for n := range 3 * maxRemovedEndpoints {
		replace("s-" + strconv.Itoa(n))
	}
	remembered, numbers := len(table.endpoints.remembered.byNumber), len(table.endpoints.remembered.numbers)
	if remembered > 2*maxRemovedEndpoints || remembered != numbers {
		t.Errorf("%d endpoints are remembered, %d numbers", remembered, numbers)
	}
	known, _ := table.Cordon("cordoned")
	if ids := table.Cordoned(); !known || len(ids) != 1 || ids[0] != "cordoned" {
		t.Errorf("cordoned: %v, expected one endpoint, which is remembered", ids)
	}
}
