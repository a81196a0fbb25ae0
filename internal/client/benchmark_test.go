package client

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// benchmarkConnection measures one request on a connection that is kept alive, up to its response. respond is called after the
// iteration that reads the request.
func benchmarkConnection(b *testing.B, request func(n int) []byte, respond func(f *fixture, job uint64)) {
	b.Helper()
	// A fixture reports failures to a *testing.T, which a benchmark doesn't have.
	f := newFixture(&modeltest.Steps{T: &testing.T{}})
	peer := f.openConnection()
	received := make([]byte, 1<<12)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if _, err := unix.Write(peer.FD, request(n)); err != nil {
			b.Fatal(err)
		}
		f.runOnce()
		respond(f, uint64(n+1))
		if size, err := unix.Read(peer.FD, received); err != nil || size == 0 {
			b.Fatalf("no response to request %d: %v", n, err)
		}
		f.policy.Received = f.policy.Received[:0]
	}
	b.StopTimer()
	peer.Close()
	f.CloseDescriptors()
}

func BenchmarkReadinessCheck(b *testing.B) {
	request := []byte("GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	benchmarkConnection(b, func(int) []byte { return request }, func(*fixture, uint64) {})
}

func BenchmarkAdmittedRequest(b *testing.B) {
	request := func(n int) []byte {
		return fmt.Appendf(nil, "POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: %d\r\nX-Caller: t\r\nContent-Length: 5\r\n\r\nhello", n)
	}
	benchmarkConnection(b, request, func(f *fixture, job uint64) {
		f.act(dispatch.Reject{Job: job})
		f.runOnce()
	})
}
