package judge

import (
	"fmt"
	"testing"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
	"valvecove/internal/lab/virtual"
)

// The judge deals cells and zones as the world does.
func TestRacks(t *testing.T) {
	spec := scenario.Default()
	spec.Fleet.Nodes, spec.Fleet.Zones, spec.Fleet.CellSize = 23, []string{"a", "b", "c"}, 3
	cells, zones := racks(spec)
	listed := 0
	trace := func(_ time.Duration, ins []edge.In, _ []edge.Out) {
		for _, in := range ins {
			if in.Boot == nil {
				continue
			}
			for _, h := range in.Boot.Known.Endpoints {
				n, _ := scenario.NodeIndex(h.ID, spec.Fleet.Nodes)
				if listed++; cells[n] != h.Cell || spec.Fleet.Zones[zones[n]] != h.Zone {
					t.Errorf("%s is of cell %d in zone %s, the judge says %d in %d", h.ID, h.Cell, h.Zone, cells[n], zones[n])
				}
			}
		}
	}
	if _, err := virtual.Play(spec, 1, virtual.Options{Trace: trace, Until: time.Second}); err != nil || listed < 20 {
		t.Errorf("%d worker nodes were listed, %v", listed, err)
	}
}

// The cost of a request, all its sights together, among 256 that are out at a time.
func BenchmarkWatch(b *testing.B) {
	const out = 256
	story := []seen.Sight{
		{What: seen.Due, Deadline: 5 * time.Second},
		{What: seen.Asked, Budget: 5 * time.Second},
		{What: seen.Reached},
		{What: seen.Accepted},
		{What: seen.Began},
		{What: seen.Noted, Text: "started", Status: 204},
		{What: seen.Finished, Status: 200, Text: "r"},
		{What: seen.Noted, Text: "done", Status: 204},
		{What: seen.Answered, Status: 200, Text: "r"},
		{What: seen.Settled, Status: 200},
	}
	calls := make([]string, b.N+out)
	for i := range calls {
		calls[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
	}
	j, now := New(scenario.Default(), Options{}), time.Duration(0)
	b.ResetTimer()
	for n := 0; n < b.N; n += out {
		for i := range story {
			s := &story[i]
			for k := n; k < n+out; k++ {
				now += 5 * time.Microsecond
				s.At, s.First, s.Job, s.Call, s.Conn, s.Node = now, now, uint64(k+1), calls[k], uint64(k%out), k%100
				j.Watch(s)
			}
		}
	}
	if broken := j.Verdict().Broken; len(broken) > 0 {
		b.Fatal(broken[0])
	}
}
