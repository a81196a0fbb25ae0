package management

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"valvecove/internal/filesystem/filesystemtest"
	"valvecove/internal/hotrestart"
	"valvecove/internal/modeltest"
)

// A cordon that can't be written to disk gets a response with 503, but stays in effect. The cordons call, the metric and one log
// line report it until it is stored, however often the write is retried.
func TestUnstoredCordonIsReportedUntilStored(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	disk := filesystemtest.New(nil)
	disk.SetFault(filesystemtest.FailAll(syscall.ENOSPC, filesystemtest.Write))
	f.storeCordonsOn(disk, "/state")
	if got := f.callUntilAnswered("PUT /v1/worker-nodes/s-0/suspend HTTP/1.1"); !strings.HasPrefix(got, "503 not kept: ") {
		t.Errorf("suspend: %q, expected 503", got)
	}
	for len(disk.Calls()) < 20 {
		f.Time += 700 * time.Millisecond
		_ = f.RunOnce(0)
		for f.store.IsWriting() {
			_ = f.RunOnce(1000)
		}
	}
	since := f.Now() - f.store.State().UnsavedSince
	want := fmt.Sprintf(`200 {"out":["s-0"],"kept":false,"not_kept_ms":%d,"error":"cordoned workers in `, since.Milliseconds())
	if got := f.callUntilAnswered("GET /v1/worker-nodes HTTP/1.1"); !strings.HasPrefix(got, want) || !strings.Contains(got, syscall.ENOSPC.Error()) {
		t.Errorf("while it is not stored: %q, expected %s", got, want)
	}
	if got := f.callUntilAnswered("GET /v1/metrics HTTP/1.1"); !strings.Contains(got, "edge_proxy.hosts_out_not_kept=1") {
		t.Errorf("metrics: %q, expected an unstored cordon", got)
	}
	disk.SetFault(nil)
	f.awaitStored()
	if got, err := hotrestart.LoadCordonFile(disk, "/state"); err != nil || !slices.Equal(got, []string{"s-0"}) {
		t.Errorf("stored %v, error %v, expected s-0", got, err)
	}
	if got := f.callUntilAnswered("GET /v1/worker-nodes HTTP/1.1"); got != `200 {"out":["s-0"],"kept":true}` {
		t.Errorf("once it is stored: %q", got)
	}
	if got := f.callUntilAnswered("GET /v1/metrics HTTP/1.1"); !strings.Contains(got, "edge_proxy.hosts_out_not_kept=0") {
		t.Errorf("metrics: %q, expected no unstored cordon", got)
	}
	text := f.log.String()
	if strings.Count(text, "are not stored") != 1 || strings.Count(text, "are stored again") != 1 {
		t.Errorf("expected one line for the failure and one for the recovery, log:\n%s", text)
	}
}

// awaitStored advances the clock and runs the loop until the cordoned workers are stored.
func (f *fixture) awaitStored() {
	for tries := 0; !f.store.State().Stored; tries++ {
		if tries > 100 {
			f.T.Fatal("never stored")
		}
		if f.store.IsWriting() {
			_ = f.RunOnce(1000) // the goroutine of the store wakes the loop
		} else {
			f.Time += 5 * time.Second
			_ = f.RunOnce(0)
		}
	}
}

// A process that does not own the requests forwards a cordon and applies nothing itself.
func TestCordonIsForwardedToOwner(t *testing.T) {
	for _, role := range []testRole{{hasRelinquished: true}, {isStandby: true}} {
		f := newFixture(&modeltest.Steps{T: t})
		f.role = role
		if got := f.callOperator("PUT /v1/worker-nodes/s-0/suspend HTTP/1.1\r\n\r\n"); got != "200 forwarded" {
			t.Errorf("%+v: the cordon call got %q, expected that it is forwarded", role, got)
		}
		if len(f.role.forwarded) != 1 || f.role.changes != 0 || len(f.table.Cordoned()) != 0 {
			t.Errorf("%+v, cordoned %v, expected one forwarded call and no change", f.role, f.table.Cordoned())
		}
		if got := f.callOperator("GET /v1/worker-nodes HTTP/1.1\r\n\r\n"); !strings.HasPrefix(got, "503 this process ") {
			t.Errorf("%+v: the call for the cordons got %q, expected 503", role, got)
		}
	}
}

// If the file can't be read, no worker is cordoned at the start of a process, and a reload changes nothing.
func TestUnreadableCordonFile(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	f.table.Cordon("s-0")
	f.cordons.config.LoadFile = func() ([]string, error) { return nil, syscall.EIO }
	f.cordons.Reload()
	if got := f.table.Cordoned(); !slices.Equal(got, []string{"s-0"}) {
		t.Errorf("cordoned %v after a reload, expected s-0", got)
	}
	f.cordons.Restore()
	if got := f.table.Cordoned(); len(got) != 0 {
		t.Errorf("cordoned %v after a start, expected none", got)
	}
	if lines := strings.Count(f.log.String(), "cordoned workers can't be read"); lines != 2 {
		t.Errorf("expected two errors, log:\n%s", f.log.String())
	}
}
