package main

import (
	"context"
	"fmt"
	"time"

	"valvecove/internal/testbed/process"
)

type loadCommand struct {
	Target string        `name:"target" help:"Address and port on 127.0.0.0/8; empty: a responder of the lab's own, which answers all at once." default:""`
	Rate   float64       `name:"rate" help:"Requests a second." default:"30000"`
	Conns  int           `name:"conns" help:"Connections." default:"256"`
	Cores  int           `name:"cores" help:"Threads that make the load." default:"2"`
	For    time.Duration `name:"for" help:"How long requests fall due." default:"10s"`
	Seed   uint64        `name:"seed" help:"Seed of the moments." default:"1"`
}

// Run puts the load on, and shows latency from when requests were due.
func (c *loadCommand) Run(ctx context.Context, streams *streams) error {
	target := c.Target
	if target == "" {
		r, err := process.StartResponder("127.0.0.1:0", 2, nil)
		if err != nil {
			return err
		}
		defer func() { _ = r.Close() }()
		target = r.Addr
	}
	got, err := process.Load(ctx, process.LoadOptions{
		Target: target, Rate: c.Rate, Conns: c.Conns, Cores: c.Cores, Length: c.For,
		WarmUp: time.Second, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.output, "due %d, answered %d (%.0f/s), failed %d, open at the end %d\n", got.Scheduled, got.Answered, got.Rate,
		got.Failed, got.Open)
	for status, n := range got.Status {
		fmt.Fprintf(streams.output, "  status %d: %d\n", status, n)
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	fmt.Fprintf(streams.output, "latency from due, ms: p50 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n", ms(got.Latency.ValueAtQuantile(50)),
		ms(got.Latency.ValueAtQuantile(99)), ms(got.Latency.ValueAtQuantile(99.9)), ms(got.Latency.Max()))
	fmt.Fprintf(streams.output, "lateness of the load, ms: p50 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n", ms(got.Lateness.ValueAtQuantile(50)),
		ms(got.Lateness.ValueAtQuantile(99)), ms(got.Lateness.ValueAtQuantile(99.9)), ms(got.Lateness.Max()))
	if why := got.InvalidReason(); why != "" {
		fmt.Fprintln(streams.errors, "void:", why)
		return exitError(exitInvalid)
	}
	return nil
}
