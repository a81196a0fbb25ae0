package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valvecove/internal/testbed/process"
)

// Parameters of a load that have no flag.
const (
	loadWarmUp     = time.Second
	responderCores = 2
)

type loadCommand struct {
	Target string        `name:"target" help:"Address and port on 127.0.0.0/8; empty: the testbed's own responder, which responds at once." default:""`
	Rate   float64       `name:"rate" help:"Requests a second." default:"30000"`
	Conns  int           `name:"conns" help:"Connections." default:"256"`
	Cores  int           `name:"cores" help:"Threads that generate the load." default:"2"`
	For    time.Duration `name:"for" help:"For how long requests become due." default:"10s"`
	Seed   uint64        `name:"seed" help:"Seed of the arrival times." default:"1"`
}

// Run applies the load, and prints the latency, measured from when each request was due.
func (c *loadCommand) Run(ctx context.Context, streams *standardStreams) error {
	target := c.Target
	if target == "" {
		responder, err := process.StartResponder("127.0.0.1:0", responderCores, nil)
		if err != nil {
			return err
		}
		defer func() { _ = responder.Close() }()
		target = responder.Addr
	}
	result, err := process.Load(ctx, process.LoadOptions{
		Target: target, Rate: c.Rate, Conns: c.Conns, Threads: c.Cores, Length: c.For,
		WarmUp: loadWarmUp, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.stdout, "due %d, answered %d (%.0f/s), failed %d, open at the end %d\n", result.Scheduled, result.Answered,
		result.Rate, result.Failed, result.Unanswered)
	for status, responses := range result.Status {
		fmt.Fprintf(streams.stdout, "  status %d: %d\n", status, responses)
	}
	writePercentiles(streams.stdout, "latency from due", result.Latency)
	writePercentiles(streams.stdout, "lateness of the load", result.Lateness)
	if reason := result.InvalidReason(); reason != "" {
		fmt.Fprintln(streams.stderr, "void:", reason)
		return exitError(exitInvalid)
	}
	return nil
}

// writePercentiles prints a histogram of microseconds in milliseconds.
func writePercentiles(w io.Writer, title string, histogram *hdrhistogram.Histogram) {
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	fmt.Fprintf(w, "%s, ms: p50 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n", title,
		milliseconds(histogram.ValueAtQuantile(50)), milliseconds(histogram.ValueAtQuantile(99)),
		milliseconds(histogram.ValueAtQuantile(99.9)), milliseconds(histogram.Max()))
}
