package experiment

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
)

// Seeds returns count consecutive seeds.
func Seeds(first uint64, count int) []uint64 {
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// maxUnhandledPerWorker is how many runs per worker goroutine may be started ahead of the one that is handled next. It is bounded
// because results are large.
const maxUnhandledPerWorker = 4

// batch has jobs that are run in parallel, and whose results are handled in order.
type batch struct {
	jobs      []Job
	results   []chan batchResult // one channel for each job, with room for its result
	unhandled chan struct{}      // has an element for each run that is started and not yet handled
	started   atomic.Int64
}

type batchResult struct {
	run *RunResult
	err error
}

// Batch runs jobs, up to parallelism at once (0: as many as there are processors), and calls handle with each result in the
// order of the jobs, in the caller's goroutine. It returns the first error, of a run or of handle, and then starts no more runs.
func Batch(ctx context.Context, jobs []Job, parallelism int, handle func(i int, result *RunResult) error) error {
	if parallelism <= 0 {
		parallelism = runtime.GOMAXPROCS(0)
	}
	parallelism = max(1, min(parallelism, len(jobs)))
	work := &batch{
		jobs: jobs, results: make([]chan batchResult, len(jobs)),
		unhandled: make(chan struct{}, maxUnhandledPerWorker*parallelism),
	}
	for i := range work.results {
		work.results[i] = make(chan batchResult, 1)
	}
	ctx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	for range parallelism {
		workers.Go(func() { work.runJobs(ctx) })
	}
	for i := range jobs {
		result, err := work.await(ctx, i)
		if err != nil {
			return err
		}
		if err := handle(i, result); err != nil {
			return err
		}
	}
	return nil
}

// runJobs runs one job after another until there are no more, or the context ends.
func (b *batch) runJobs(ctx context.Context) {
	for {
		select {
		case b.unhandled <- struct{}{}:
		case <-ctx.Done():
			return
		}
		i := int(b.started.Add(1)) - 1
		if i >= len(b.jobs) {
			return
		}
		run, err := Run(ctx, b.jobs[i])
		b.results[i] <- batchResult{run, err}
	}
}

// await waits for the result of a job and returns it.
func (b *batch) await(ctx context.Context, i int) (*RunResult, error) {
	select {
	case result := <-b.results[i]:
		<-b.unhandled
		return result.run, result.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// inParallel calls action with 0 to count-1, up to parallelism at once. It returns the error for the lowest of these numbers
// that had one.
func inParallel(ctx context.Context, parallelism, count int, action func(i int) error) error {
	errs := make([]error, count)
	var begun atomic.Int64
	var workers sync.WaitGroup
	for range min(parallelism, count) {
		workers.Go(func() {
			for ctx.Err() == nil {
				i := int(begun.Add(1)) - 1
				if i >= count {
					return
				}
				errs[i] = action(i)
			}
		})
	}
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}
