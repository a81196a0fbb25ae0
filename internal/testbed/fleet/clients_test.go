package fleet

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// Each request is counted with exactly one outcome, by its response: served, rejected or failed.
func TestClientsCountEachRequestOnce(t *testing.T) {
	rig := testRig(t, Spec{
		Workers: 1, Clients: 3, Burst: 2, Jobs: 60, Length: time.Minute, Work: time.Millisecond,
		Hint: 30 * time.Millisecond,
	})
	serveScheduler(t, rig, respondInOrder(t))
	got, err := rig.Run(t.Context(), []netip.AddrPort{rig.addresses.scheduler()}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got.All != (OutcomeCounts{Served: 36, Rejected: 12, Failed: 24}) || got.Requested != 72 || got.Settled != 72 ||
		got.FailureReasons["status 500"] != 12 || got.FailureReasons["another request's answer"] != 12 {
		t.Errorf("outcomes of 72 requests: %+v", got)
	}
}

// At a fixed rate, each request is sent once, also if it is rejected or fails.
func TestArrivalsSendEachRequestOnce(t *testing.T) {
	rig := testRig(t, Spec{
		Workers: 1, Clients: 1, Jobs: 60, Rate: 1000, Length: time.Minute, Work: time.Millisecond, Hint: 30 * time.Millisecond,
	})
	serveScheduler(t, rig, respondInOrder(t))
	got, err := rig.Run(t.Context(), []netip.AddrPort{rig.addresses.scheduler()}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got.All != (OutcomeCounts{Served: 30, Rejected: 10, Failed: 20}) || got.Requested != 60 || got.Settled != 60 {
		t.Errorf("outcomes of 60 requests: %+v", got)
	}
}

// respondInOrder returns a handler that of six requests rejects one, fails one, gives one the result of another request,
// and serves three, one of them with Connection: close.
func respondInOrder(t *testing.T) http.HandlerFunc {
	t.Helper()
	behaviours := make(chan int, 1000)
	for i := range cap(behaviours) {
		behaviours <- i % 6
	}
	return func(w http.ResponseWriter, request *http.Request) {
		checkClientHeaders(t, request.Header)
		switch <-behaviours {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
		case 2:
			_, _ = io.WriteString(w, "of another")
		case 3:
			w.Header().Set("Connection", "close")
			fallthrough
		default:
			_, _ = io.WriteString(w, request.Header.Get("X-Call-Id")+" ran")
		}
	}
}

func checkClientHeaders(t *testing.T, header http.Header) {
	t.Helper()
	if header.Get("X-Call-Cost") != "30000" || header.Get("X-Budget-Ms") != "5000" ||
		header.Get("X-Call-Class") != jobClass {
		t.Errorf("header of a request: %v", header)
	}
}
