package scheduler

import (
	"fmt"
	"runtime"
	"testing"

	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// The state of BenchmarkHotRestartOfLargeState.
const (
	benchmarkWorkers     = 3200
	benchmarkRequests    = 300
	benchmarkRequestSize = 64_000 // bytes
)

// listWorkers lists workers beside those that are listed already.
func (h *harness) listWorkers(count int) {
	list := requests.EndpointList{Revision: 3}
	for n := range count {
		id := fmt.Sprintf("s-listed-%08d", n)
		list.Endpoints = append(list.Endpoints, requests.Endpoint{ID: id, Addr: "10.20.30.40:50000", Lifecycle: "up", MachineType: "std-4c"})
	}
	h.scheduler.Requests.UpdateEndpoints(list)
	h.runIterations()
}

// BenchmarkHotRestartOfLargeState measures a hot restart with the most workers that the platform's pages name, as many removed ones as
// a table remembers, a client connection with full response slots, and 300 requests with large bodies in hand. MB/op is what both
// processes together allocate.
func BenchmarkHotRestartOfLargeState(b *testing.B) {
	for range b.N {
		b.StopTimer()
		dir := b.TempDir()
		predecessor, address := newPredecessorHarness(&modeltest.Steps{T: b}, dir)
		limits := testClientLimits(2 * benchmarkRequests)
		limits.BufferBytes = 2 * benchmarkRequests * benchmarkRequestSize
		predecessor.scheduler.clients.SetLimits(limits)
		predecessor.pipelineRequests(address)
		predecessor.removeEndpoints(removedEndpoints)
		predecessor.listWorkers(benchmarkWorkers)
		for n := range benchmarkRequests {
			client, socket := predecessor.socketPair()
			predecessor.scheduler.clients.AddConnection(socket, address)
			client.Write([]byte(requestOfSize(pipelinedRequests+n, benchmarkRequestSize)))
			predecessor.runIterations()
		}
		successor := predecessor.startSuccessor(dir, address)
		open := predecessor.scheduler.Requests.OpenCount()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		b.StartTimer()
		if err := predecessor.handOverTo(successor); err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), "MB/op")
		b.ReportMetric(float64(open), "requests")
	}
}
