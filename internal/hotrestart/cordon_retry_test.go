package hotrestart

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"valvecove/internal/filesystem/filesystemtest"
)

// A failed write is retried with exponential backoff until it succeeds, with the newest content. The change from success to
// failure is reported once, and so is the change back.
func TestCordonStoreRetriesUntilStored(t *testing.T) {
	disk, loop := diskWithOldCordons(), newEventLoop()
	store := loop.newStore(disk, testStateDir)
	disk.SetFault(filesystemtest.FailAll(syscall.ENOSPC, filesystemtest.Write))
	loop.now = time.Hour
	var results []error
	save := func(workerIDs ...string) {
		store.Save(workerIDs, func(err error) { results = append(results, err) })
		loop.runPosted()
	}
	save("s-5")
	checkDelays(t, loop)
	save("s-2")
	state := store.State()
	if state.Stored || state.UnsavedSince != time.Hour || !errors.Is(state.LastError, syscall.ENOSPC) || len(loop.changes) != 1 {
		t.Errorf("while writes fail: %+v, reported changes %v", state, loop.changes)
	}
	disk.SetFault(nil)
	loop.runTimer(t)
	loop.runPosted()
	if got := disk.Files()[cordonPath]; got != newCordons || !store.State().Stored || store.State().LastError != nil {
		t.Errorf("stored %q, %+v", got, store.State())
	}
	if len(loop.changes) != 2 || loop.changes[1] != nil || len(loop.timers) != 0 {
		t.Errorf("reported changes %v, %d timers left", loop.changes, len(loop.timers))
	}
	if len(results) != 2 || !errors.Is(results[0], syscall.ENOSPC) || !errors.Is(results[1], syscall.ENOSPC) {
		t.Errorf("callbacks received %v, expected two write errors", results)
	}
}

// checkDelays expects failing writes to be retried with exponential backoff.
func checkDelays(t *testing.T, loop *eventLoop) {
	t.Helper()
	want := []time.Duration{
		100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
		1600 * time.Millisecond, 3200 * time.Millisecond, 5 * time.Second, 5 * time.Second,
	}
	for _, delay := range want {
		if got := loop.runTimer(t); got != delay {
			t.Errorf("retried after %v, expected %v", got, delay)
		}
		loop.runPosted()
	}
}

// IDs whose Save was answered with ErrTooManySaves are written too.
func TestCordonStoreWritesAfterTooManySaves(t *testing.T) {
	disk, loop := diskWithOldCordons(), newEventLoop()
	store := loop.newStore(disk, testStateDir)
	store.config.MaxCallbacks = 1
	var results []error
	for _, id := range []string{"s-7", "s-8", "s-2"} {
		store.Save([]string{id}, func(err error) { results = append(results, err) })
	}
	loop.runPosted()
	loop.finishWrite(store)
	if want := []error{ErrTooManySaves, ErrTooManySaves, nil}; !slices.Equal(results, want) {
		t.Errorf("callbacks received %v, expected %v", results, want)
	}
	if got := disk.Files()[cordonPath]; got != newCordons || !store.State().Stored {
		t.Errorf("stored %q, %+v", got, store.State())
	}
}

// A fenced store does not change the file, neither by a write in progress nor by a retry, until it is unfenced.
func TestCordonStoreFence(t *testing.T) {
	disk, loop := diskWithOldCordons(), newEventLoop()
	store := loop.newStore(disk, testStateDir)
	reached, proceed := make(chan struct{}), make(chan struct{})
	disk.SetFault(func(call filesystemtest.Call) filesystemtest.Fault {
		if call.Operation == filesystemtest.Write {
			reached <- struct{}{}
			<-proceed
		}
		return filesystemtest.Fault{}
	})
	var result error
	store.Save(newWorkerIDs, func(err error) { result = err })
	<-reached
	if store.Fence() {
		t.Error("fenced during a write that has just started")
	}
	loop.now = fenceDelay
	for range 2 {
		if !store.Fence() {
			t.Error("not fenced although the write hangs")
		}
	}
	close(proceed)
	loop.runPosted()
	disk.SetFault(nil)
	store.SaveWithoutCallback([]string{"s-9"})
	if got := disk.Files()[cordonPath]; got != oldCordons || !errors.Is(result, errFenced) || store.IsWriting() || len(loop.timers) != 0 {
		t.Errorf("fenced: the file is %q, the callback received %v, writing %v", got, result, store.IsWriting())
	}
	store.Unfence()
	loop.runPosted()
	if got, err := LoadCordonFile(disk, testStateDir); err != nil || !slices.Equal(got, []string{"s-9"}) || !store.State().Stored {
		t.Errorf("after Unfence the file has %v, error %v, expected s-9", got, err)
	}
}

// With random shares of failing calls, the IDs of each Save that succeeds are durable, and in the end the newest are.
func TestCordonStoreUnderRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		disk, loop := filesystemtest.New(nil), newEventLoop()
		store := loop.newStore(disk, testStateDir)
		disk.SetFault(filesystemtest.FailRandomly(seed, 0.05+0.6*random.Float64()))
		newest := ""
		for number := range 20 {
			newest = "s-" + strconv.Itoa(number)
			saved := newest
			store.Save([]string{saved}, func(err error) {
				if err == nil {
					checkDurable(t, disk, saved)
				}
			})
			loop.runPosted()
			if random.IntN(3) == 0 && len(loop.timers) > 0 {
				loop.runTimer(t)
				loop.finishWrite(store)
			}
		}
		disk.SetFault(nil)
		for !store.State().Stored {
			loop.runTimer(t)
			loop.finishWrite(store)
		}
		checkDurable(t, disk, newest)
	}
}

// checkDurable checks that the file contains exactly this worker after a power failure.
func checkDurable(t *testing.T, disk *filesystemtest.Disk, workerID string) {
	t.Helper()
	for _, outcome := range disk.AfterPowerLoss() {
		outcome.SetFault(nil)
		if got, err := LoadCordonFile(outcome, testStateDir); err != nil || !slices.Equal(got, []string{workerID}) {
			t.Fatalf("after a power failure: %v, %v, expected %s", got, err, workerID)
		}
	}
}
